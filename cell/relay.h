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
#include "cell/store_paths.h"

namespace citronsill {

/// @returns the range that a check of the own path reads: it lies right after the row of the
/// configuration and has no rows, so that a check takes the time of an answer, not of a transfer.
RowRange StoreProbe(const RowKey& config_row);

/// A row store that uses the own connection (the "own path") or, while that fails, relays calls
/// through the links to other instances (`StorePaths` says which). A relayed call that fails, or is
/// not answered soon, goes on to the next instance; the first successful answer counts. When all of
/// them refuse a call, it is made through the own connection all the same.
class RelayedStore : public RowStore {
 public:
  /// @param own the store through the own connection of this instance.
  /// @param probe range that is read to check whether the own connection works again. Reads of its
  /// table are not relayed, because it has the keys of customers; `ConfigPush` takes their place.
  /// @param links returns the links to instances that may reach the store.
  /// @param after runs a function later. Without it, no copies of unanswered calls are sent.
  RelayedStore(RowStore* own, Clock now, RowRange probe,
               std::function<std::vector<LinkPtr>()> links, DelayHook after = nullptr);
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

  void ReadInParts(RowRange range, milliseconds timeout, OnAnswerPart on_part,
                   std::function<void(Result<RowPage>)> done) override;
  void FollowInParts(std::string table, std::uint64_t after, milliseconds wait,
                     OnAnswerPart on_part, std::function<void(Result<RowPage>)> done) override;

  /// Checks whether the own connection works again. To be called periodically.
  void Tick();

  [[nodiscard]] bool OwnPathWorks() const { return m_own_failures < kOwnPathFailures; }

  /// Carries out a relayed call of another instance through the own connection, or refuses it while
  /// that does not work.
  void Serve(const LinkPtr& link, const schema::LinkMessage& message);

 private:
  using CommitDone = std::function<void(Result<CommitOutcome>)>;
  using ReadDone = std::function<void(Result<RowPage>)>;

  // @returns whether the rows of a table may be sent to other instances.
  [[nodiscard]] bool IsRelayed(const std::string& table) const { return table != m_probe.table; }
  // One call that is relayed through one or more instances.
  template <class Outcome>
  struct Relay;
  template <class Outcome>
  using RelayPtr = std::shared_ptr<Relay<Outcome>>;

  std::vector<LinkPtr> PickLinks() const;
  // Sends the call, or a copy of it, to the next instance.
  template <class Outcome>
  void RelayOnce(const RelayPtr<Outcome>& relay);
  // Sends a copy when the call to `link` has no answer after a while and none is arriving.
  template <class Outcome>
  void HedgeLater(const RelayPtr<Outcome>& relay, const LinkPtr& link);
  // Waits with copies while the answer may be arriving over `link`.
  template <class Outcome>
  void AwaitArrival(const RelayPtr<Outcome>& relay, const LinkPtr& link);
  template <class Outcome>
  void OnRelayed(const RelayPtr<Outcome>& relay, std::uint64_t incarnation, SteadyTime sent,
                 const Result<Outcome>& result);
  void RecordOwnPathResult(bool served);
  void CommitOwn(RowTransaction transaction, milliseconds timeout, CommitDone done);
  void CommitRelayed(std::vector<LinkPtr> links, const RowTransaction& transaction,
                     std::size_t max_copies, milliseconds timeout, CommitDone done);
  void CommitBoth(std::vector<LinkPtr> links, RowTransaction transaction, milliseconds timeout,
                  CommitDone done);
  void ReadOwn(RowRange range, milliseconds timeout, OnAnswerPart on_part, ReadDone done);
  // An answer that is arriving shows that the own path works.
  OnAnswerPart CountParts(OnAnswerPart on_part);
  void ReadRelayed(std::vector<LinkPtr> links, const RowRange& range, milliseconds timeout,
                   OnAnswerPart on_part, ReadDone done);
  void LogFirstPeer(const LinkPtr& link);
  [[nodiscard]] milliseconds RemainingAfter(SteadyTime began, milliseconds timeout) const;

  RowStore* m_own;
  Clock m_now;
  RowRange m_probe;
  std::function<std::vector<LinkPtr>()> m_links;
  DelayHook m_after;
  StorePaths m_paths;
  std::uint32_t m_own_failures = 0;       // Consecutive failed calls on the own path.
  bool m_commit_failed = false;           // The last answered transaction failed.
  std::uint32_t m_commits_in_flight = 0;  // Transactions without an answer.
  bool m_probing = false;
  SteadyTime m_next_probe{};
  // Instance that calls try first, for the log, and when a change of it was logged last.
  std::uint64_t m_logged_peer = 0;
  SteadyTime m_logged_at{};
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace citronsill
