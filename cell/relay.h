/// A row store that goes through other instances while this one is turned away. The store may
/// refuse some instances and serve the others; what a transaction does must not depend on who sends
/// it.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "cell/limits.h"
#include "cell/link.h"
#include "cell/store.h"

namespace citronsill {

class RelayedStore : public RowStore {
 public:
  /// @param own the path of this instance.
  /// @param probe a range that is read to find out whether the own path works again.
  /// @param links gives the links to instances that reach the store.
  RelayedStore(RowStore* own, Clock now, RowRange probe,
               std::function<std::vector<LinkPtr>()> links);
  ~RelayedStore() override;

  /// A transaction that is sent again, before or after the first one failed, goes both ways at
  /// once; its first answer counts.
  void Commit(RowTransaction transaction, milliseconds timeout,
              std::function<void(Result<CommitOutcome>)> done) override;
  void Read(RowRange range, milliseconds timeout,
            std::function<void(Result<RowPage>)> done) override;
  /// Not relayed: a caller that cannot follow reads.
  void Follow(std::string table, std::uint64_t after, milliseconds wait,
              std::function<void(Result<RowPage>)> done) override;

  /// Looks whether the own path works again. To be called periodically.
  void Tick();

  [[nodiscard]] bool OwnPathWorks() const { return m_own_failures < kOwnPathFailures; }

  /// Carries out a call of another instance on the own path.
  static void Serve(RowStore* own, const LinkPtr& link, const schema::LinkMessage& message);

 private:
  using CommitDone = std::function<void(Result<CommitOutcome>)>;

  LinkPtr PickLink();
  void OwnPathResult(bool served);
  void CommitOwn(RowTransaction transaction, milliseconds timeout, CommitDone done);
  void CommitRelayed(const LinkPtr& link, const RowTransaction& transaction, milliseconds timeout,
                     CommitDone done);
  void CommitBoth(const LinkPtr& link, RowTransaction transaction, milliseconds timeout,
                  CommitDone done);

  RowStore* m_own;
  Clock m_now;
  RowRange m_probe;
  std::function<std::vector<LinkPtr>()> m_links;
  std::uint32_t m_own_failures = 0;  // In a row.
  bool m_commit_failed = false;      // The last transaction.
  std::uint32_t m_commits_open = 0;  // Transactions without an answer.
  bool m_probing = false;
  SteadyTime m_next_probe{};
  std::size_t m_next_link = 0;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace citronsill
