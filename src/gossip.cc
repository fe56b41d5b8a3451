#include "citronsill/gossip.h"

#include <xxhash.h>

#include <random>

#include "internal.h"

namespace citronsill {
namespace {

// Once in this number of periods, a peer that is not known to be live is called too, so that the
// sides of a network split find each other again.
constexpr std::uint64_t kProbePeriods = 4;

// Hashes of load are cut to 21 bits, which take three bytes in a message.
constexpr std::uint32_t kLoadHashMask = (1U << 21U) - 1;

// @returns a short id of one incarnation of a member, which stands for its identity in messages.
std::uint32_t RefOf(const schema::MemberState& state) {
  return static_cast<std::uint32_t>(
      XXH64(state.id().data(), state.id().size(), state.incarnation()));
}

void CopyLoad(const schema::MemberState& from, schema::MemberState& to) {
  to.set_heartbeat(from.heartbeat());
  to.set_leaving(from.leaving());
  if (from.has_largest()) *to.mutable_largest() = from.largest();
  to.set_free_slots(from.free_slots());
  to.set_waiting(from.waiting());
  to.set_record_revision(from.record_revision());
}

std::uint32_t LoadHashOf(const schema::MemberState& state) {
  schema::MemberState load;
  CopyLoad(state, load);
  load.clear_heartbeat();
  const std::string text = load.SerializeAsString();
  return static_cast<std::uint32_t>(XXH64(text.data(), text.size(), 0)) & kLoadHashMask;
}

std::uint64_t HashOf(const std::vector<schema::PartitionOwner>& owners) {
  std::uint64_t hash = 0;
  for (const schema::PartitionOwner& owner : owners) {
    const std::array<std::uint64_t, 3> parts{owner.partition(), owner.epoch(), owner.incarnation()};
    hash = XXH64(parts.data(), sizeof(parts), hash);
  }
  return hash;
}

std::string Pack(const schema::Gossip& gossip) {
  schema::Packed packed;
  packed.set_data(gossip.SerializeAsString());
  return ToJson(packed);
}

Result<schema::Gossip> Unpack(const std::string& json) {
  schema::Packed packed;
  BOOST_OUTCOME_TRY(FromJson(json, UnknownFields::kIgnore, &packed));
  schema::Gossip gossip;
  if (!gossip.ParseFromString(packed.data()) || gossip.refs_size() != gossip.heartbeats_size() ||
      gossip.refs_size() != gossip.contents_size()) {
    return Error{schema::CODE_MALFORMED, "the gossip message cannot be parsed"};
  }
  return gossip;
}

void AddHeartbeat(const schema::MemberState& state, schema::Gossip& gossip) {
  gossip.add_refs(RefOf(state));
  gossip.add_heartbeats(state.heartbeat());
  gossip.add_contents(LoadHashOf(state));
}

void AddLoad(const schema::MemberState& state, schema::Gossip& gossip) {
  schema::MemberState& load = *gossip.add_members();
  CopyLoad(state, load);
  load.set_ref(RefOf(state));
}

}  // namespace

struct GossipExchange::Impl : std::enable_shared_from_this<Impl> {
  using States = std::map<std::uint32_t, schema::MemberState>;

  Impl(Membership& members, const GossipOptions& gossip_options, GossipHooks gossip_hooks)
      : membership(members),
        options(gossip_options),
        hooks(std::move(gossip_hooks)),
        random(options.seed) {}

  Membership& membership;
  GossipOptions options;
  GossipHooks hooks;
  std::mutex mutex;
  std::mt19937_64 random;
  std::vector<std::string> current_round;  // Live peers that are still to be called in this round.
  std::uint64_t periods = 0;
  GossipCounts counts;

  States KnownStates() const {
    States states;
    for (schema::MemberState& state : membership.Digest(hooks.now())) {
      const std::uint32_t ref = RefOf(state);
      states[ref] = std::move(state);
    }
    return states;
  }

  schema::Gossip Digest() const {
    schema::Gossip gossip;
    for (const auto& [ref, state] : KnownStates()) AddHeartbeat(state, gossip);
    gossip.set_owners_hash(HashOf(hooks.owners()));
    return gossip;
  }

  // Takes over members and owners. Adds to `wanted` the members that are newer at the other side
  // but not contained in its message.
  void Merge(const schema::Gossip& gossip, schema::Gossip& wanted) {
    const States known = KnownStates();
    std::vector<schema::MemberState> updates;
    for (const schema::MemberState& state : gossip.members()) {
      if (!state.id().empty()) updates.push_back(state);
      const auto found = known.find(state.ref());
      if (!state.id().empty() || found == known.end()) continue;
      updates.push_back(found->second);
      CopyLoad(state, updates.back());
    }
    for (int i = 0; i < gossip.refs_size(); ++i) {
      const auto found = known.find(gossip.refs(i));
      if (found == known.end()) {
        wanted.add_unknown(gossip.refs(i));
      } else if (gossip.heartbeats(i) <= found->second.heartbeat()) {
        continue;
      } else if (gossip.contents(i) != LoadHashOf(found->second)) {
        wanted.add_outdated(gossip.refs(i));
      } else {
        updates.push_back(found->second);
        updates.back().set_heartbeat(gossip.heartbeats(i));
      }
    }
    membership.Merge(updates, hooks.now());
    if (gossip.owners_size() > 0) {
      hooks.merge_owners({gossip.owners().begin(), gossip.owners().end()});
    }
  }

  // Adds the members that are newer here than in the digest of the other side.
  void AddNewer(const schema::Gossip& digest, schema::Gossip& answer) const {
    std::map<std::uint32_t, int> listed;
    for (int i = 0; i < digest.refs_size(); ++i) listed[digest.refs(i)] = i;
    for (const auto& [ref, state] : KnownStates()) {
      const auto found = listed.find(ref);
      if (found == listed.end()) {
        *answer.add_members() = state;
      } else if (state.heartbeat() <= digest.heartbeats(found->second)) {
        continue;
      } else if (LoadHashOf(state) == digest.contents(found->second)) {
        AddHeartbeat(state, answer);
      } else {
        AddLoad(state, answer);
      }
    }
  }

  void AddOwners(schema::Gossip& gossip) const {
    for (schema::PartitionOwner& owner : hooks.owners()) *gossip.add_owners() = std::move(owner);
  }

  Result<std::string> Handle(const std::string& params) {
    BOOST_OUTCOME_TRY(const auto gossip, Unpack(params));
    schema::Gossip answer;
    Merge(gossip, answer);
    if (gossip.refs_size() > 0) {
      AddNewer(gossip, answer);
      answer.set_owners_hash(HashOf(hooks.owners()));
      if (answer.owners_hash() != gossip.owners_hash()) AddOwners(answer);
    }
    std::string text = Pack(answer);
    Count(text.size(), params.size());
    return text;
  }

  void Count(std::size_t sent, std::size_t received) {
    std::lock_guard lock(mutex);
    counts.messages_sent += sent > 0 ? 1 : 0;
    counts.bytes_sent += sent;
    counts.bytes_received += received;
  }

  void OnAnswer(const std::string& address, const std::string& text) {
    Count(0, text.size());
    const auto answer = Unpack(text);
    if (!answer) return;
    schema::Gossip ignored;
    Merge(answer.value(), ignored);
    schema::Gossip push;
    const States known = KnownStates();
    for (const std::uint32_t ref : answer.value().unknown()) {
      if (const auto found = known.find(ref); found != known.end()) {
        *push.add_members() = found->second;
      }
    }
    for (const std::uint32_t ref : answer.value().outdated()) {
      if (const auto found = known.find(ref); found != known.end()) AddLoad(found->second, push);
    }
    if (answer.value().owners_hash() != HashOf(hooks.owners())) AddOwners(push);
    if (push.members_size() == 0 && push.owners_size() == 0) return;
    Call(address, push, [weak = weak_from_this()](const Result<std::string>& result) {
      if (auto self = weak.lock(); self && result) self->Count(0, result.value().size());
    });
  }

  void Call(const std::string& address, const schema::Gossip& gossip,
            std::function<void(Result<std::string>)> done) {
    std::string text = Pack(gossip);
    Count(text.size(), 0);
    hooks.call(address, std::move(text), std::move(done));
  }

  void Tick() {
    const SteadyTime now = hooks.now();
    membership.Heartbeat(hooks.load(), now);
    const std::vector<std::string> peers = ChoosePeers(now);
    if (peers.empty()) return;
    const schema::Gossip digest = Digest();
    for (const std::string& address : peers) {
      {
        std::lock_guard lock(mutex);
        ++counts.exchanges;
      }
      Call(address, digest, [weak = weak_from_this(), address](const Result<std::string>& result) {
        if (auto self = weak.lock(); self && result) self->OnAnswer(address, result.value());
      });
    }
  }

  std::vector<std::string> ChoosePeers(SteadyTime now) {
    std::set<std::string> live;
    for (const schema::MemberState& state : membership.Live(now)) live.insert(state.peer_address());
    std::set<std::string> others;
    for (const schema::MemberState& state : membership.Digest(now)) {
      others.insert(state.peer_address());
    }
    for (const std::string& address : hooks.listed_addresses()) others.insert(address);
    for (const std::string& address : live) others.erase(address);
    live.erase(options.peer_address);
    others.erase(options.peer_address);
    others.erase("");
    std::lock_guard lock(mutex);
    std::vector<std::string> peers = TakeFromRound(live);
    std::size_t probes = kGossipFanout - peers.size();
    if (++periods % kProbePeriods == 0) probes = std::max<std::size_t>(probes, 1);
    std::vector<std::string> candidates(others.begin(), others.end());
    std::shuffle(candidates.begin(), candidates.end(), random);
    candidates.resize(std::min(candidates.size(), probes));
    peers.insert(peers.end(), candidates.begin(), candidates.end());
    return peers;
  }

  // Requires the mutex. Every live peer is called once before one is called again.
  std::vector<std::string> TakeFromRound(const std::set<std::string>& live) {
    std::vector<std::string> peers;
    const std::size_t wanted = std::min(kGossipFanout, live.size());
    while (peers.size() < wanted) {
      if (current_round.empty()) {
        current_round.assign(live.begin(), live.end());
        std::shuffle(current_round.begin(), current_round.end(), random);
      }
      const std::string address = current_round.back();
      current_round.pop_back();
      const bool already_chosen = std::count(peers.begin(), peers.end(), address) != 0;
      if (live.count(address) != 0 && !already_chosen) peers.push_back(address);
    }
    return peers;
  }
};

Result<std::unique_ptr<GossipExchange>> GossipExchange::Create(Membership& membership,
                                                               const GossipOptions& options,
                                                               GossipHooks hooks) {
  if (!hooks.now) hooks.now = [] { return std::chrono::steady_clock::now(); };
  return std::unique_ptr<GossipExchange>(
      new GossipExchange(std::make_shared<Impl>(membership, options, std::move(hooks))));
}

GossipExchange::GossipExchange(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

GossipExchange::~GossipExchange() = default;

void GossipExchange::Tick() { m_impl->Tick(); }

Result<std::string> GossipExchange::Handle(const std::string& params) {
  return m_impl->Handle(params);
}

GossipCounts GossipExchange::Counts() const {
  std::lock_guard lock(m_impl->mutex);
  return m_impl->counts;
}

}  // namespace citronsill
