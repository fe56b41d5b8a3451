/// What a scheduler tells its peers with its pings: who succeeds it, and how often to expect the
/// next ping. The cost of a ping does not depend on the number of peers.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/claim.h"
#include "cell/types.h"

namespace citronsill {

/// The successors of the schedulers of this instance, and which peers know them already.
///
/// Matters from about a hundred instances on: gathering, sorting and sending all of them with each
/// ping costs the square of their number.
class Succession {
 public:
  /// @param gather returns the instances that can take over now; called at most once in
  /// `kSuccessionPeriod`.
  Succession(Clock now, std::function<std::vector<Successor>()> gather);

  /// @returns the list to send to a peer with the next ping, null when the peer has the current
  /// one. It is repeated every `kSuccessionRepeat`.
  /// @param peer identifies the link to the peer until `Forget`.
  const std::vector<std::string>* ListFor(const void* peer);

  /// @returns the incarnations of the first successors that answer to `SupportRequest`, at most
  /// `kMaxSupporters`.
  const std::vector<std::uint64_t>& Supporters();

  /// @returns the interval of the pings to and from an instance: successors notice a failure of the
  /// scheduler first, so they exchange pings with it more often.
  [[nodiscard]] milliseconds PingPeriod(const std::string& instance);

  /// The link to a peer was closed.
  void Forget(const void* peer) { m_sent.erase(peer); }

 private:
  struct Sent {
    std::uint64_t version = 0;
    SteadyTime at;
  };

  void Refresh();

  Clock m_now;
  std::function<std::vector<Successor>()> m_gather;
  std::vector<std::string> m_list;  // At most `kMaxSuccessors` names, in the order of their claims.
  std::vector<std::uint64_t> m_supporters;
  std::uint64_t m_version = 0;  // Increases with each change of the list.
  SteadyTime m_refresh_at{};
  std::unordered_map<const void*, Sent> m_sent;
};

/// Decides when a peer that has an older configuration is sent the current one.
///
/// All instances read changes from the store at about the same time. A push helps those that do not
/// reach it; for the others it would only fill both links, with a large configuration for more than
/// a second. A link delivers what it was given, so each version goes over it once.
class ConfigPushes {
 public:
  /// What a peer with an older configuration says in its ping.
  struct Peer {
    bool reaches_store = false;
    bool is_receiving = false;  ///< An answer of the store about the configuration is arriving.
    /// The store may have a newer one than this instance: a peer that reaches the store is left
    /// more time to read that.
    bool may_be_old = false;
  };

  explicit ConfigPushes(Clock now) : m_now(std::move(now)) {}

  /// To be called when the configuration of this instance has changed.
  void OnChange() { m_changed_at = m_now(); }

  /// A ping of a peer with an older configuration has arrived.
  /// @param link identifies the link to the peer.
  /// @param version current configuration of this instance.
  /// @returns whether to send it to the peer now.
  bool IsDue(const void* link, std::uint64_t version, const Peer& peer);

  /// The link to a peer was closed.
  void Forget(const void* link) {
    m_pushed.erase(link);
    m_reading.erase(link);
  }

 private:
  Clock m_now;
  SteadyTime m_changed_at{};
  std::unordered_map<const void*, std::uint64_t> m_pushed;  // Last version sent over a link.
  // When peers that were left time to read the store first asked.
  std::unordered_map<const void*, SteadyTime> m_reading;
};

}  // namespace citronsill
