#include "cell/claim.h"

#include <algorithm>
#include <string_view>
#include <tuple>

#include "cell/commit.h"
#include "cell/limits.h"
#include "cell/log.h"

namespace citronsill {

// Load pattern: instances have equal processors and different links. A start, its store row and its
// holds are about 1.5 KB, so that 600 starts a second fill a link of 10 Mbit/s.
std::uint32_t SchedulingStrength(std::uint32_t processor_milli, std::uint32_t link_mbps) {
  if (link_mbps == 0) return processor_milli;
  return std::min(processor_milli, link_mbps * kStrengthMilliPerMbps);
}

// Load pattern: all instances are restarted in turn. The strongest one that was started last goes
// first, because it is not restarted again: the shard moves once instead of before each restart.
std::vector<std::string> OrderHeirs(std::vector<Heir> heirs) {
  const auto key = [](const Heir& heir) {
    const std::uint32_t strength = std::min(heir.strength_milli, kFullStrengthMilli);
    return std::tuple(-std::int64_t{strength}, -heir.started_unix_ms,
                      std::string_view(heir.instance));
  };
  std::sort(heirs.begin(), heirs.end(),
            [&key](const Heir& a, const Heir& b) { return key(a) < key(b); });
  std::vector<std::string> names;
  names.reserve(heirs.size());
  for (Heir& heir : heirs) names.push_back(std::move(heir.instance));
  return names;
}

Claimer::Claimer(std::string shard, schema::OwnerRow self, milliseconds handicap, ClaimHooks hooks)
    : m_shard(std::move(shard)),
      m_self(std::move(self)),
      m_handicap(handicap),
      m_hooks(std::move(hooks)) {}

void Claimer::OnOwner(const schema::OwnerRow& owner, std::uint64_t version) {
  if (m_known && version <= m_owner_version) return;
  const bool is_new = owner.term() != m_owner.term();
  m_known = true;
  m_owner = owner;
  m_owner_version = version;
  m_vacant_since.reset();
  m_head_since.reset();
  m_claim_after_read = false;
  m_claim_failed = false;
  if (version == 0) return;
  if (is_new) {
    Log(LogLevel::kInfo, "owner-changed")
        .Field("shard", m_shard)
        .Field("owner", owner.instance())
        .Field("term", owner.term())
        .Field("version", version);
  }
  // The answer to a claim of this process may have been lost.
  if (IsOwn() && m_claimed_owner.term() == owner.term()) {
    m_hooks.on_gained(m_owner, m_claimed_head, version);
  }
}

// Heirs take their turn one after the other, so that one claim is enough in most cases. An instance
// that no scheduler has listed as an heir knows no more than its own strength.
milliseconds Claimer::Turn() const {
  const auto found = std::find(m_heirs.begin(), m_heirs.end(), m_self.instance());
  if (found == m_heirs.end()) return m_handicap;
  const auto place = static_cast<int>(found - m_heirs.begin());
  const int early = std::min(place, kStaggeredHeirs);
  return kHeirStagger * early + kLateHeirStagger * (place - early);
}

void Claimer::Tick(const OwnerSigns& signs, bool may_claim) {
  if (!m_known || m_busy || !may_claim || IsOwn()) return;
  const SteadyTime now = m_hooks.now();
  const bool is_vacant = m_owner_version == 0 || m_owner.released() || signs.has_denied;
  if (is_vacant) {
    if (!m_vacant_since) m_vacant_since = now;
    if (now < *m_vacant_since + Turn()) return;
    if (m_owner.released() && !m_claim_failed) {
      // Both rows were written by the transaction that released the shard.
      m_head_version = m_owner_version;
      return Claim();
    }
    m_claim_after_read = true;
    return Read();
  }
  m_vacant_since.reset();
  const bool is_silent =
      now > signs.heard + kOwnerLinkSilence || (!signs.is_linked && signs.is_refused);
  if (!is_silent) {
    m_head_since.reset();
    return;
  }
  // A silent scheduler that goes on writing is alive, and only this instance does not reach it.
  if (now < m_next_read) return;
  m_next_read = now + kOwnerProbePeriod;
  m_claim_after_read = m_head_since && now > *m_head_since + Patience(signs) + Turn();
  Read();
}

// Load pattern: the scheduler's machine loses power under load, and quotes in flight have 0.7 s to
// spare. One that is alive writes every 20 to 30 ms, or as often as a slow store lets it; how slow
// the store is shows in the reads.
milliseconds Claimer::Patience(const OwnerSigns& signs) const {
  if (signs.is_refused) return kOwnerRefused;
  return std::min(kOwnerSilence + kOwnerSilenceReads * m_read_took, kOwnerSilenceMost);
}

void Claimer::Read() {
  m_busy = true;
  m_read_sent = m_hooks.now();
  m_hooks.read_rows();
}

void Claimer::OnRows(const Result<std::vector<Row>>& rows) {
  m_busy = false;
  m_read_took = std::chrono::duration_cast<milliseconds>(m_hooks.now() - m_read_sent);
  if (!rows) {
    // Without the store nobody can claim, and the owner may be as silent for the same reason.
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
    // Somebody else was faster.
    OnOwner(owner, owner_version);
    return;
  }
  if (!m_head_since || head_version != m_head_version) {
    const bool was_known = m_head_since.has_value();
    m_head_since = m_hooks.now();
    m_head_version = head_version;
    m_head = head;
    if (was_known) m_claim_after_read = false;
  }
  if (m_claim_after_read) Claim();
}

void Claimer::Claim() {
  m_busy = true;
  m_claimed_owner = m_self;
  m_claimed_owner.set_term(m_owner.term() + 1);
  m_claimed_head.set_term(m_claimed_owner.term());
  m_claimed_head.set_incarnation(m_self.incarnation());
  m_claimed_head.set_sequence(m_head.sequence() + 1);
  Log(LogLevel::kInfo, "claim")
      .Field("shard", m_shard)
      .Field("term", m_claimed_owner.term())
      .Field("owner", m_owner.instance())
      .Field("owner_version", m_owner_version)
      .Field("head_version", m_head_version);
  m_hooks.write_rows(m_claimed_owner, m_claimed_head, m_owner_version, m_head_version);
}

void Claimer::OnClaimed(const Result<CommitOutcome>& result) {
  m_busy = false;
  m_vacant_since.reset();
  m_head_since.reset();
  m_claim_failed = true;
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
