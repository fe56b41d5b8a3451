/// Exchange of membership and partition owners between instances by gossip.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "citronsill/membership.h"
#include "citronsill/result.h"
#include "citronsill/types.h"

namespace citronsill {

struct GossipOptions {
  std::string peer_address;  ///< Peer address of this instance.
  std::uint64_t seed = 0;    ///< Seed of the random order in which peers are called.
};

struct GossipHooks {
  /// Calls the method `gossip` of another instance with JSON text.
  std::function<void(const std::string& address, std::string params,
                     std::function<void(Result<std::string>)> done)>
      call;
  /// @returns addresses of instances from the platform's list.
  std::function<std::vector<std::string>()> listed_addresses;
  /// @returns the load of this instance; only the fields that change over time are used.
  std::function<schema::MemberState()> load;
  /// @returns the partition owners that this instance knows.
  std::function<std::vector<schema::PartitionOwner>()> owners;
  /// Takes over received owners that have a higher epoch than the known ones.
  std::function<void(const std::vector<schema::PartitionOwner>&)> merge_owners;
  std::function<SteadyTime()> now;  ///< The steady clock when not set.
};

/// Counts since the start. Bytes are those of the JSON texts.
struct GossipCounts {
  std::uint64_t exchanges = 0;  ///< Exchanges that this instance started.
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

/// An exchange starts with a digest: for each member a hash of its identity, its heartbeat counter
/// and a hash of its load. The answer contains what is newer at the other side and asks for what is
/// older there; a second message then sends that. Owners are sent only if their hashes differ. No
/// state is kept about a peer, so a lost message needs no repair. Thread-safe.
class GossipExchange {
 public:
  static Result<std::unique_ptr<GossipExchange>> Create(Membership& membership,
                                                        const GossipOptions& options,
                                                        GossipHooks hooks);
  ~GossipExchange();

  /// Increments the own heartbeat counter and starts exchanges with a few peers.
  void Tick();

  /// Handles the method `gossip` of a peer.
  /// @param params JSON text.
  /// @returns the answer as JSON text; CODE_MALFORMED or CODE_INVALID_FIELD when `params` cannot be
  /// parsed.
  Result<std::string> Handle(const std::string& params);

  [[nodiscard]] GossipCounts Counts() const;

 private:
  struct Impl;
  explicit GossipExchange(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
