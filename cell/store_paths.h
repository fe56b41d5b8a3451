/// Chooses the instances through which calls to the store are relayed. Does no I/O and reads no
/// clock but the one that is passed in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cell/types.h"

namespace citronsill {

/// An instance that can relay calls.
struct RelayPeer {
  std::uint64_t incarnation = 0;
  std::uint32_t strength_milli = 0;  ///< See `SchedulingStrength`.
  bool reports_store = false;        ///< Says in its pings that it reaches the store.
};

/// What relayed calls have shown about the instances that carried them out. Peers whose recent
/// calls have failed come last; of the others, those that answer soonest come first. A peer that
/// was not used recently is taken to answer the later, the weaker it is: a full transaction keeps a
/// link of 10 Mbit/s busy for half a second.
class StorePaths {
 public:
  explicit StorePaths(Clock now) : m_now(std::move(now)) {}

  /// @returns indexes into `peers`, in the order in which a call should try them.
  [[nodiscard]] std::vector<std::size_t> Order(const std::vector<RelayPeer>& peers) const;

  /// @returns how long a call to this peer may stay unanswered before a copy of it goes to another
  /// one: twice the mean time of its recent answers, within `kMinRelayHedge` and `kMaxRelayHedge`.
  /// For a peer that was not used recently, twice the time of the last answer of any peer, as a
  /// store that is slow is slow for all; `kUnknownRelayHedge` at least.
  [[nodiscard]] milliseconds HedgeAfter(std::uint64_t incarnation) const;

  /// The store has answered a call through this peer.
  void OnAnswer(std::uint64_t incarnation, milliseconds took);
  /// A call has failed: the peer does not reach the store, or did not answer.
  void OnFailure(std::uint64_t incarnation);
  /// A call has not been answered within `HedgeAfter`. The peer is avoided for a moment.
  void OnOverdue(std::uint64_t incarnation);

  /// @returns mean time of recent answers; none if there are none.
  [[nodiscard]] std::optional<milliseconds> Latency(std::uint64_t incarnation) const;
  /// @returns number of peers of which something is known.
  [[nodiscard]] std::size_t Size() const { return m_records.size(); }

 private:
  struct Record {
    milliseconds mean{0};
    SteadyTime answered{};  // Last answer.
    std::uint32_t failures = 0;
    SteadyTime avoid_until{};
    SteadyTime touched{};
  };
  [[nodiscard]] milliseconds Expected(const RelayPeer& peer) const;
  [[nodiscard]] SteadyTime AvoidUntil(std::uint64_t incarnation) const;
  Record& Touch(std::uint64_t incarnation);

  Clock m_now;
  milliseconds m_last_took{0};  // Of the last answer of any peer.
  SteadyTime m_last_answer{};
  std::unordered_map<std::uint64_t, Record> m_records;  // By incarnation.
};

}  // namespace citronsill
