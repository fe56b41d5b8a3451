/// A row store that goes through other instances while this one is turned away. The store may refuse
/// some instances and serve the others; what a transaction does must not depend on who sends it.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "cell/link.h"
#include "cell/store.h"

namespace citronsill {

class RelayedStore : public RowStore {
 public:
  /// @param own the path of this instance.
  /// @param links gives the links to other instances.
  RelayedStore(RowStore* own, Clock now, std::function<std::vector<LinkPtr>()> links);

  void Commit(RowTransaction transaction, milliseconds timeout,
              std::function<void(Result<CommitOutcome>)> done) override;
  void Read(RowRange range, milliseconds timeout,
            std::function<void(Result<RowPage>)> done) override;
  /// Not relayed: a caller that cannot follow reads.
  void Follow(std::string table, std::uint64_t after, milliseconds wait,
              std::function<void(Result<RowPage>)> done) override;

  /// Carries out a call of another instance on the own path.
  static void Serve(RowStore* own, const LinkPtr& link, const schema::LinkMessage& message);

 private:
  LinkPtr PickLink();
  void OwnPathResult(bool served);

  RowStore* m_own;
  Clock m_now;
  std::function<std::vector<LinkPtr>()> m_links;
  std::uint32_t m_own_failures = 0;  // In a row.
  SteadyTime m_own_retry{};
  std::size_t m_next_link = 0;
  bool m_last_was_own = false;
};

}  // namespace citronsill
