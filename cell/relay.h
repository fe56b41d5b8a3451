/// Access to the row store through other instances while the store refuses this one. The store may
/// refuse some instances and serve others. The effect of a transaction must not depend on the
/// instance that sends it.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "cell/limits.h"
#include "cell/link.h"
#include "cell/store.h"

namespace citronsill {

/// A row store that uses the own connection (the "own path") or, while that fails, relays calls
/// through the link to another instance. When the other instance refuses a call, it is made through
/// the own connection all the same.
class RelayedStore : public RowStore {
 public:
  /// @param own the store through the own connection of this instance.
  /// @param probe range that is read to check whether the own connection works again. Reads of its
  /// table are not relayed, because it has the keys of customers; `ConfigPush` takes their place.
  /// @param links returns the links to instances that reach the store.
  RelayedStore(RowStore* own, Clock now, RowRange probe,
               std::function<std::vector<LinkPtr>()> links);
  ~RelayedStore() override;

  /// A transaction that follows a failed one, or is sent while another has no answer yet, is sent
  /// over both paths at once; the first successful answer counts.
  void Commit(RowTransaction transaction, milliseconds timeout,
              std::function<void(Result<CommitOutcome>)> done) override;
  void Read(RowRange range, milliseconds timeout,
            std::function<void(Result<RowPage>)> done) override;
  /// Not relayed. A caller whose call fails has to fall back to reading.
  void Follow(std::string table, std::uint64_t after, milliseconds wait,
              std::function<void(Result<RowPage>)> done) override;

  /// Checks whether the own connection works again. To be called periodically.
  void Tick();

  [[nodiscard]] bool OwnPathWorks() const { return m_own_failures < kOwnPathFailures; }

  /// Carries out a relayed call of another instance through the own connection, or refuses it while
  /// that does not work.
  void Serve(const LinkPtr& link, const schema::LinkMessage& message);

 private:
  using CommitDone = std::function<void(Result<CommitOutcome>)>;
  using ReadDone = std::function<void(Result<RowPage>)>;

  LinkPtr PickLink();
  // @returns whether the rows of a table may be sent to other instances.
  [[nodiscard]] bool IsRelayed(const std::string& table) const { return table != m_probe.table; }
  void RecordOwnPathResult(bool served);
  void CommitOwn(RowTransaction transaction, milliseconds timeout, CommitDone done);
  void CommitRelayed(const LinkPtr& link, const RowTransaction& transaction, milliseconds timeout,
                     CommitDone done);
  void CommitBoth(const LinkPtr& link, RowTransaction transaction, milliseconds timeout,
                  CommitDone done);
  void ReadOwn(RowRange range, milliseconds timeout, ReadDone done);
  void ReadRelayed(const LinkPtr& link, const RowRange& range, milliseconds timeout, ReadDone done);
  [[nodiscard]] milliseconds RemainingAfter(SteadyTime began, milliseconds timeout) const;

  RowStore* m_own;
  Clock m_now;
  RowRange m_probe;
  std::function<std::vector<LinkPtr>()> m_links;
  std::uint32_t m_own_failures = 0;       // Consecutive failed calls on the own path.
  bool m_commit_failed = false;           // The last answered transaction failed.
  std::uint32_t m_commits_in_flight = 0;  // Transactions without an answer.
  bool m_probing = false;
  SteadyTime m_next_probe{};
  std::size_t m_next_link = 0;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace citronsill
