#include "cell/claim.h"

#include <algorithm>
#include <string_view>
#include <tuple>

#include "cell/commit.h"
#include "cell/limits.h"
#include "cell/log.h"

namespace citronsill {

// Instances with equal processor shares can have different network links, and the link can be the
// bottleneck: one task start, with its store row and its share of the hold calls, takes about 1.5
// KB, so 600 starts per second saturate a link of 10 Mbit/s.
std::uint32_t SchedulingStrength(std::uint32_t processor_milli, std::uint32_t link_mbps) {
  if (link_mbps == 0) return processor_milli;
  return std::min(processor_milli, link_mbps * kStrengthMilliPerMbps);
}

// Sorts by strength, then by most recent start. In a rolling restart, the instance that was started
// last is not restarted again, so that the shard moves once instead of before each restart.
std::vector<std::string> OrderSuccessors(std::vector<Successor> successors) {
  const auto key = [](const Successor& successor) {
    const std::uint32_t strength = std::min(successor.strength_milli, kFullStrengthMilli);
    return std::tuple(-std::int64_t{strength}, -successor.started_unix_ms,
                      std::string_view(successor.instance));
  };
  std::sort(successors.begin(), successors.end(),
            [&key](const Successor& a, const Successor& b) { return key(a) < key(b); });
  std::vector<std::string> names;
  names.reserve(successors.size());
  for (Successor& successor : successors) names.push_back(std::move(successor.instance));
  return names;
}

Claimer::Claimer(std::string shard, schema::OwnerRow self, milliseconds default_delay,
                 ClaimHooks hooks)
    : m_shard(std::move(shard)),
      m_self(std::move(self)),
      m_default_delay(default_delay),
      m_hooks(std::move(hooks)) {}

void Claimer::OnOwner(const schema::OwnerRow& owner, std::uint64_t version) {
  if (m_owner_known && version <= m_owner_version) return;
  const bool is_new_term = owner.term() != m_owner.term();
  m_owner_known = true;
  m_owner = owner;
  m_owner_version = version;
  m_vacant_since.reset();
  m_head_since.reset();
  m_claim_after_read = false;
  m_claim_failed = false;
  m_owner_denied = false;
  m_claim_unanswered = m_claim_unanswered && !is_new_term;
  if (is_new_term) m_supports_until = {};
  if (version == 0) return;
  if (is_new_term) {
    Log(LogLevel::kInfo, "owner-changed")
        .Field("shard", m_shard)
        .Field("owner", owner.instance())
        .Field("term", owner.term())
        .Field("version", version);
  }
  // This process may have claimed the shard without getting the reply.
  if (IsOwn() && m_claimed_owner.term() == owner.term()) {
    m_hooks.on_gained(m_owner, m_claimed_head, version);
  }
}

bool Claimer::IsListed() const {
  return std::find(m_successors.begin(), m_successors.end(), m_self.instance()) !=
         m_successors.end();
}

// Successors wait for increasing times, so that in most cases only one of them claims the shard. An
// instance that got no list of successors can only go by its own strength; one that is not on the
// list claims after those on it, in groups, so that the claims of many do not queue at the store.
milliseconds Claimer::ClaimDelay() const {
  if (m_successors.empty()) return m_default_delay;
  const auto found = std::find(m_successors.begin(), m_successors.end(), m_self.instance());
  const auto position = static_cast<int>(found - m_successors.begin());
  const int staggered = std::min(position, kStaggeredSuccessors);
  const milliseconds delay =
      kSuccessorStagger * staggered + kLateSuccessorStagger * (position - staggered);
  if (found != m_successors.end()) return delay;
  const auto group = static_cast<int>(StableHash(m_self.instance()) % kUnlistedClaimGroups);
  return delay + m_default_delay + kLateSuccessorStagger * group;
}

void Claimer::Tick(const OwnerLinkState& link_state, bool may_claim) {
  if (!m_owner_known || m_busy || !may_claim || IsOwn()) return;
  const SteadyTime now = m_hooks.now();
  m_owner_denied = link_state.has_denied;
  const bool is_vacant = m_owner_version == 0 || m_owner.released() || link_state.has_denied;
  if (is_vacant) {
    if (!m_vacant_since) m_vacant_since = now;
    if (now < *m_vacant_since + ClaimDelay()) return;
    if (m_owner.released() && !m_claim_failed) {
      // The transaction that released the shard wrote both rows, so they have the same version.
      m_head_version = m_owner_version;
      return Claim();
    }
    m_claim_after_read = true;
    return ReadOwnership();
  }
  m_vacant_since.reset();
  const bool is_silent = now > link_state.heard + link_state.silence_limit ||
                         (!link_state.is_linked && link_state.is_refused);
  if (!is_silent) {
    m_head_since.reset();
    return;
  }
  // A silent scheduler that still writes its head row is alive: only the connection between it and
  // this instance has failed.
  if (now < m_next_read) return;
  m_next_read =
      now + (m_successors.empty() || IsListed() ? kOwnerProbePeriod : kUnlistedOwnerProbePeriod);
  m_claim_after_read =
      m_head_since && now > *m_head_since + SilenceLimit(link_state) + ClaimDelay();
  ReadOwnership();
}

// Returns how long the head row must stay unchanged before the scheduler counts as dead. A
// scheduler that is alive writes every 20 to 30 ms, or as often as a slow store allows, which is
// estimated from the duration of reads. The limit is short because interactive jobs in flight have
// only 0.7 s to spare when the scheduler's machine loses power under load.
milliseconds Claimer::SilenceLimit(const OwnerLinkState& link_state) const {
  if (link_state.is_refused) return kOwnerRefused;
  return std::min(kOwnerSilence + kOwnerSilenceReads * m_read_took, kMaxOwnerSilence);
}

void Claimer::ReadOwnership() {
  m_busy = true;
  m_read_sent = m_hooks.now();
  m_hooks.read_rows();
}

void Claimer::OnRows(const Result<std::vector<Row>>& rows) {
  m_busy = false;
  m_read_took = std::chrono::duration_cast<milliseconds>(m_hooks.now() - m_read_sent);
  if (!rows) {
    // While the store is unreachable nobody can claim the shard, and the owner may be unable to
    // write its head row for the same reason.
    m_head_since.reset();
    return;
  }
  std::uint64_t head_version = 0;
  std::uint64_t owner_version = 0;
  schema::HeadRow head;
  schema::OwnerRow owner;
  for (const Row& row : rows.value()) {
    if (row.key.table == kHeadTable && head.ParseFromString(row.value)) head_version = row.version;
    if (row.key.table == kOwnerTable && owner.ParseFromString(row.value)) {
      owner_version = row.version;
    }
  }
  if (owner_version > m_owner_version) {
    // Another instance has claimed the shard meanwhile.
    OnOwner(owner, owner_version);
    return;
  }
  if (!m_head_since || head_version != m_head_version) {
    const bool was_known = m_head_since.has_value();
    m_head_since = m_hooks.now();
    m_head_version = head_version;
    m_head = head;
    if (m_head_version != m_claimed_head_version) m_claim_unanswered = false;
    if (was_known) m_claim_after_read = false;
  }
  if (m_claim_after_read) Claim();
}

// A claim without an answer may take effect at any time, until the rows have changed.
bool Claimer::GrantSupport(std::uint64_t term) {
  const bool is_owner = m_owner_known && m_owner_version != 0 && m_owner.term() == term;
  if (!is_owner || IsOwn() || m_owner.released() || m_claim_unanswered) return false;
  m_supports_until = m_hooks.now() + kSupportTime + kSupportMargin;
  return true;
}

bool Claimer::IsSupporter() const {
  const auto& supporters = m_head.supporters();
  return std::find(supporters.begin(), supporters.end(), m_self.incarnation()) != supporters.end();
}

// Returns for how long earlier schedulers may still renew leases, counted from this claim. None of
// them can write after it, so that is `kLeadWithoutStore` at most. An owner that has released the
// shard or whose process has ended renews none, but schedulers before it may be cut off: its rows
// tell for how long they count. An owner that names this process as a supporter sent its last write
// before the head row was first read, and leads without the support of this process for
// `kLeadUnsupported` from then.
milliseconds Claimer::EarlierMayLead() const {
  if (m_owner_version == 0) return milliseconds(0);
  if (m_owner.released()) return TimePassedOn(m_owner);
  if (m_owner_denied) return TimePassedOn(m_head);
  if (!IsSupporter() || !m_head_since) return kLeadWithoutStore;
  const SteadyTime until = std::max(*m_head_since + kLeadUnsupported, m_supports_until);
  return std::max(TimePassedOn(m_head), std::chrono::ceil<milliseconds>(until - m_hooks.now()));
}

void Claimer::Claim() {
  const bool has_ended = m_owner_version == 0 || m_owner.released() || m_owner_denied;
  if (!has_ended && m_hooks.now() < m_supports_until) return;
  m_busy = true;
  // A claim of the same rows that was not answered may be the one that takes effect.
  if (!m_claim_unanswered || m_claimed_head_version != m_head_version) m_claim_sent = m_hooks.now();
  m_claimed_head_version = m_head_version;
  m_claim_unanswered = true;
  const auto earlier_may_lead_ms = static_cast<std::uint32_t>(EarlierMayLead().count());
  m_claimed_owner = m_self;
  m_claimed_owner.set_term(m_owner.term() + 1);
  m_claimed_owner.set_earlier_may_lead_ms(earlier_may_lead_ms);
  m_claimed_head.set_earlier_may_lead_ms(earlier_may_lead_ms);
  m_claimed_head.set_term(m_claimed_owner.term());
  m_claimed_head.set_incarnation(m_self.incarnation());
  m_claimed_head.set_sequence(m_head.sequence() + 1);
  Log(LogLevel::kInfo, "claim")
      .Field("shard", m_shard)
      .Field("term", m_claimed_owner.term())
      .Field("owner", m_owner.instance())
      .Field("owner_version", m_owner_version)
      .Field("head_version", m_head_version)
      .Field("released", m_owner.released())
      .Field("denied", m_owner_denied)
      .Field("supporter", IsSupporter())
      .Field("earlier_may_lead_ms", earlier_may_lead_ms);
  m_hooks.write_rows(m_claimed_owner, m_claimed_head, m_owner_version, m_head_version);
}

void Claimer::OnClaimed(const Result<CommitOutcome>& result) {
  m_busy = false;
  m_vacant_since.reset();
  m_head_since.reset();
  m_claim_failed = true;
  m_claim_unanswered = !result;
  if (!result) {
    Log(LogLevel::kWarn, "claim-unanswered")
        .Field("shard", m_shard)
        .Field("reason", result.error());
    return;
  }
  if (result.value().committed) {
    return OnOwner(m_claimed_owner, result.value().version);
  }
  for (const Row& row : result.value().current) {
    schema::OwnerRow owner;
    if (row.key.table == kOwnerTable && owner.ParseFromString(row.value)) {
      OnOwner(owner, row.version);
    }
  }
}

}  // namespace citronsill
