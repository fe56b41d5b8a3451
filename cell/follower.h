/// Keeps a local view of some rows of the store up to date: reads all of them once, then follows
/// the change feed.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cell/limits.h"
#include "cell/store.h"
#include "citronsill/timer.h"

namespace citronsill {

struct FollowerHooks {
  Clock now = BootNow;
  DelayHook after;
  RandomHook random = MakeRandomSource();
  /// All rows; replaces everything received before.
  std::function<void(const std::vector<Row>& rows)> on_snapshot;
  std::function<void(const Row& row)> on_change;
  /// Minimum time between two calls for changes, so that one brings many.
  milliseconds min_period{0};
  /// How long the store may wait with its answer while nothing changes.
  milliseconds wait = kFeedWait;
};

/// How current a local view is, and which call is to bring the next change.
struct FollowerStatus {
  std::uint64_t version = 0;   ///< Version of the store up to which changes are known.
  milliseconds age{0};         ///< Since the store last answered without an error.
  const char* call = "";       ///< "read", "feed" or, between two attempts, "none".
  milliseconds call_age{0};    ///< How long this call or the pause has lasted.
  std::uint32_t failures = 0;  ///< Calls that failed since the last one that was answered.
  /// A large answer to this call is arriving. Not reported for longer than `kMaxArrivalReport`.
  bool is_arriving = false;
};

/// Follows the rows of one part of a table.
class TableFollower {
 public:
  static std::unique_ptr<TableFollower> Create(RowStore* store, std::string table, std::string part,
                                               FollowerHooks hooks);
  ~TableFollower();

  /// @returns whether a snapshot has been read.
  [[nodiscard]] bool IsLoaded() const;
  /// @returns when the store last answered without an error, by `BootNow`; before the first such
  /// answer, when the follower was created.
  [[nodiscard]] SteadyTime Heard() const;
  /// @returns a time before which nothing has changed that the view does not show: when the last
  /// answered call was sent, or its wait ended. An answer that this process handled late is not
  /// newer for that.
  [[nodiscard]] SteadyTime CurrentAsOf() const;
  [[nodiscard]] FollowerStatus Status() const;

  /// The store is known to answer again: a view that waits for it is read now.
  void OnStoreAnswers();

 private:
  struct Impl;
  explicit TableFollower(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

/// @returns a hook that delays calls through `timers`, which must outlive it.
DelayHook DelayThrough(TimerService& timers);

}  // namespace citronsill
