#include "citronsill/membership.h"

#include "internal.h"

namespace citronsill {

struct Membership::Impl {
  struct Member {
    schema::MemberState state;
    SteadyTime changed;
    bool advanced = false;  // The counter was seen to change, which shows that the process runs.
    // The incarnation that this one replaced. Other members may still pass on its entries, which
    // are ignored up to this heartbeat.
    std::uint64_t former_incarnation = 0;
    std::uint64_t former_heartbeat = 0;
    // An incarnation with an earlier start time; it replaces this one once its counter rises while
    // this one is silent.
    std::uint64_t earlier_incarnation = 0;
    std::uint64_t earlier_heartbeat = 0;
  };

  MembershipOptions options;
  std::string self;
  mutable std::mutex mutex;
  std::map<std::string, Member> members;
  std::optional<SteadyTime> last_heartbeat;

  [[nodiscard]] bool IsLive(const Member& member, SteadyTime now) const {
    if (member.state.id() == self) return true;
    return member.advanced && now - member.changed < options.suspect_after;
  }

  void MergeOne(const schema::MemberState& state, SteadyTime now) {
    if (state.id().empty() || state.id() == self) return;
    const auto found = members.find(state.id());
    if (found == members.end()) {
      if (EvictIfFull(now)) Replace(members[state.id()], state, now);
      return;
    }
    Member& member = found->second;
    if (member.state.incarnation() != state.incarnation()) {
      if (ShouldReplace(member, state, now)) Replace(member, state, now);
      return;
    }
    if (state.heartbeat() <= member.state.heartbeat()) return;
    member.state = state;
    member.changed = now;
    member.advanced = true;
  }

  static void Replace(Member& member, const schema::MemberState& state, SteadyTime now) {
    const schema::MemberState former = std::exchange(member, Member()).state;
    member.state = state;
    member.changed = now;
    member.former_incarnation = former.incarnation();
    member.former_heartbeat = former.heartbeat();
  }

  // @returns whether an entry of another incarnation replaces `member`. Records the counter of an
  // incarnation with an earlier start time, to see whether it rises.
  bool ShouldReplace(Member& member, const schema::MemberState& state, SteadyTime now) const {
    const auto start_order = [](const schema::MemberState& x) {
      return std::pair(x.started_unix_ms(), x.incarnation());
    };
    if (state.incarnation() == member.former_incarnation &&
        state.heartbeat() <= member.former_heartbeat) {
      return false;
    }
    if (start_order(state) > start_order(member.state)) return true;
    if (IsLive(member, now)) return false;
    const bool is_rising = member.earlier_incarnation == state.incarnation() &&
                           state.heartbeat() > member.earlier_heartbeat;
    member.earlier_incarnation = state.incarnation();
    member.earlier_heartbeat =
        std::max(state.heartbeat(), is_rising ? 0 : member.earlier_heartbeat);
    return is_rising;
  }

  // Removes the member that has been silent longest if there are `max_members`.
  // @returns whether there is room for another one; there is none if all are live.
  bool EvictIfFull(SteadyTime now) {
    if (members.size() < options.max_members) return true;
    auto oldest = members.end();
    for (auto entry = members.begin(); entry != members.end(); ++entry) {
      if (IsLive(entry->second, now)) continue;
      if (oldest == members.end() || entry->second.changed < oldest->second.changed) oldest = entry;
    }
    if (oldest == members.end()) return false;
    members.erase(oldest);
    return true;
  }

  // Does not count a long gap between two heartbeats of this process as silence of the others.
  void ExcludeGap(SteadyTime now) {
    if (last_heartbeat && now - *last_heartbeat > options.suspect_after / 2) {
      for (auto& [id, member] : members) member.changed += now - *last_heartbeat;
    }
    last_heartbeat = now;
  }
};

Result<std::unique_ptr<Membership>> Membership::Create(const schema::MemberState& self,
                                                       const MembershipOptions& options) {
  if (self.id().empty()) {
    return Error{schema::CODE_INVALID_FIELD, "the instance id must not be empty"};
  }
  auto impl = std::make_unique<Impl>();
  impl->options = options;
  impl->self = self.id();
  impl->members[self.id()].state = self;
  return std::unique_ptr<Membership>(new Membership(std::move(impl)));
}

Membership::Membership(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Membership::~Membership() = default;

void Membership::Heartbeat(const schema::MemberState& load, SteadyTime now) {
  std::lock_guard lock(m_impl->mutex);
  m_impl->ExcludeGap(now);
  schema::MemberState& own = m_impl->members[m_impl->self].state;
  own.set_heartbeat(own.heartbeat() + 1);
  own.set_leaving(load.leaving());
  *own.mutable_largest() = load.largest();
  own.set_free_slots(load.free_slots());
  own.set_waiting(load.waiting());
  own.set_record_revision(load.record_revision());
}

void Membership::Merge(const std::vector<schema::MemberState>& members, SteadyTime now) {
  std::lock_guard lock(m_impl->mutex);
  for (const schema::MemberState& state : members) m_impl->MergeOne(state, now);
  std::erase_if(m_impl->members, [&](const auto& entry) {
    return entry.first != m_impl->self && now - entry.second.changed > m_impl->options.forget_after;
  });
}

std::vector<schema::MemberState> Membership::Digest(SteadyTime now) const {
  std::lock_guard lock(m_impl->mutex);
  std::vector<schema::MemberState> states;
  for (const auto& [id, member] : m_impl->members) {
    const bool fresh = now - member.changed < m_impl->options.forget_after / 2;
    if (id == m_impl->self || fresh) states.push_back(member.state);
  }
  return states;
}

std::vector<schema::MemberState> Membership::Live(SteadyTime now) const {
  std::lock_guard lock(m_impl->mutex);
  std::vector<schema::MemberState> states;
  for (const auto& [id, member] : m_impl->members) {
    if (m_impl->IsLive(member, now)) states.push_back(member.state);
  }
  return states;
}

std::vector<LiveMember> Membership::LiveMembers(SteadyTime now) const {
  std::lock_guard lock(m_impl->mutex);
  std::vector<LiveMember> live;
  for (const auto& [id, member] : m_impl->members) {
    if (!m_impl->IsLive(member, now)) continue;
    LiveMember entry;
    entry.id = id;
    entry.incarnation = member.state.incarnation();
    entry.leaving = member.state.leaving();
    if (id != m_impl->self) {
      entry.silence = std::chrono::duration_cast<std::chrono::milliseconds>(now - member.changed);
    }
    live.push_back(std::move(entry));
  }
  return live;
}

std::optional<schema::MemberState> Membership::Find(const std::string& id) const {
  std::lock_guard lock(m_impl->mutex);
  const auto found = m_impl->members.find(id);
  if (found == m_impl->members.end()) return std::nullopt;
  return found->second.state;
}

bool Membership::IsLive(const std::string& id, SteadyTime now) const {
  std::lock_guard lock(m_impl->mutex);
  const auto found = m_impl->members.find(id);
  return found != m_impl->members.end() && m_impl->IsLive(found->second, now);
}

}  // namespace citronsill
