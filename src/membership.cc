#include "citronsill/membership.h"

#include "internal.h"

namespace citronsill {

struct Membership::Impl {
  struct Member {
    schema::MemberState state;
    SteadyTime changed;
  };

  MembershipOptions options;
  std::string self;
  mutable std::mutex mutex;
  std::map<std::string, Member> members;

  [[nodiscard]] bool IsLive(const Member& member, SteadyTime now) const {
    return member.state.id() == self || now - member.changed < options.suspect_after;
  }

  void MergeOne(const schema::MemberState& state, SteadyTime now) {
    if (state.id().empty() || state.id() == self) return;
    auto [found, added] = members.try_emplace(state.id());
    Member& member = found->second;
    const bool restarted = member.state.incarnation() != state.incarnation();
    const bool newer = restarted ? member.state.heartbeat() == 0 || state.heartbeat() > 0
                                 : state.heartbeat() > member.state.heartbeat();
    if (!added && !newer) return;
    member.state = state;
    member.changed = now;
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

void Membership::Beat(const schema::MemberState& load) {
  std::lock_guard lock(m_impl->mutex);
  schema::MemberState& own = m_impl->members[m_impl->self].state;
  own.set_heartbeat(own.heartbeat() + 1);
  own.set_leaving(load.leaving());
  *own.mutable_free() = load.free();
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

std::vector<schema::MemberState> Membership::Digest(SteadyTime) const {
  std::lock_guard lock(m_impl->mutex);
  std::vector<schema::MemberState> states;
  for (const auto& [id, member] : m_impl->members) states.push_back(member.state);
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
