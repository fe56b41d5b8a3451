#include "cell/commit.h"

#include <algorithm>
#include <utility>

#include "cell/limits.h"
#include "cell/log.h"
#include "cell/metrics.h"
#include "cell/scheduler.h"

namespace citronsill {

SteadyTime EarlierLeasesEnd(SteadyTime now, SteadyTime earlier_may_lead_until, milliseconds lease) {
  return std::max(now, earlier_may_lead_until) + LongestLocalTime(lease);
}

CommitLog::CommitLog(std::string shard, schema::HeadRow head, std::uint64_t head_version,
                     RowStore* store, SteadyTime claim_sent, SteadyTime earlier_may_lead_until,
                     CommitHooks hooks)
    : m_shard(std::move(shard)),
      m_head(std::move(head)),
      m_head_version(head_version),
      m_store(store),
      m_earlier_may_lead_until(earlier_may_lead_until),
      m_hooks(std::move(hooks)),
      m_confirmed(claim_sent),
      m_last_write(m_hooks.now()) {}

CommitLog::~CommitLog() { *m_alive = false; }

void CommitLog::Wake() {
  if (m_lost) return;
  m_write_wanted = true;
  Schedule();
}

// Builds the next transaction after the current event, at least `kCommitPeriod` after the last one.
void CommitLog::Schedule() {
  if (m_in_flight || m_scheduled) return;
  m_scheduled = true;
  auto start_next = [this, alive = m_alive] {
    if (!*alive || m_lost) return;
    m_scheduled = false;
    if (m_write_wanted && !m_in_flight) StartTransaction();
  };
  const auto since_last = std::chrono::duration_cast<milliseconds>(m_hooks.now() - m_sent);
  if (since_last >= kCommitPeriod) {
    m_hooks.post(std::move(start_next));
  } else {
    m_hooks.after(kCommitPeriod - since_last, std::move(start_next));
  }
}

milliseconds CommitLog::FailingFor() const {
  if (m_refused_position) {
    return std::chrono::duration_cast<milliseconds>(m_hooks.now() - m_refused_since);
  }
  if (!m_in_flight || m_failures == 0) return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(m_hooks.now() - m_sent);
}

milliseconds CommitLog::UnheardFor() const {
  const milliseconds failing = FailingFor();
  if (m_refused_position || failing == milliseconds(0)) return failing;
  const auto unheard =
      std::chrono::duration_cast<milliseconds>(m_hooks.now() - std::max(m_heard, m_sent));
  return unheard * 100 > m_duration * kCommitLatencyPercent ? unheard : milliseconds(0);
}

milliseconds CommitLog::ExpectedWait() const {
  milliseconds remaining{0};
  if (m_in_flight) {
    const auto age = std::chrono::duration_cast<milliseconds>(m_hooks.now() - m_sent);
    // How long a transaction still takes that has failed is not known: half of its age so far.
    remaining = std::max(m_duration - age, m_failures > 0 ? age / 2 : milliseconds(0));
  }
  return std::max(remaining, milliseconds(0)) + kCommitPeriod + m_duration;
}

bool CommitLog::MayLead() const {
  const SteadyTime now = m_hooks.now();
  if (m_lost || now >= m_confirmed + kLeadWithoutStore) return false;
  if (now < m_confirmed + kLeadUnsupported || m_supporters.empty()) return true;
  return m_hooks.is_supported_by(m_supporters);
}

void CommitLog::Tick() {
  if (m_lost || m_in_flight || m_hooks.now() < m_last_write + kRenewPeriod) return;
  StartTransaction();
}

void CommitLog::StartTransaction() {
  m_write_wanted = false;
  // The head row is both a condition and a write; a release also writes the owner row.
  WriteBatch batch = m_refused_position ? WriteBatch{} : m_hooks.take();
  m_transaction = {};
  m_position = batch.position;
  const RowKey head_key{kHeadTable, m_shard, kShardRowKey};
  m_head.set_sequence(m_head.sequence() + 1);
  const auto earlier_may_lead = std::max(
      milliseconds(0), std::chrono::ceil<milliseconds>(m_earlier_may_lead_until - m_hooks.now()));
  m_head.set_earlier_may_lead_ms(static_cast<std::uint32_t>(earlier_may_lead.count()));
  NameSupporters();
  m_transaction.conditions.push_back({head_key, m_head_version});
  m_transaction.writes = std::move(batch.writes);
  m_transaction.removals = std::move(batch.removals);
  m_transaction.writes.push_back(Row{head_key, m_head.SerializeAsString()});
  if (m_release_wanted) {
    m_releasing = true;
    m_released_owner.set_earlier_may_lead_ms(m_head.earlier_may_lead_ms());
    m_transaction.writes.push_back(
        Row{{kOwnerTable, m_shard, kShardRowKey}, m_released_owner.SerializeAsString()});
    m_on_release_begin();
  }
  m_failures = 0;
  m_attempts = 0;
  m_unanswered = 0;
  m_sent = m_hooks.now();
  m_in_flight = true;
  Send();
}

void CommitLog::NameSupporters() {
  m_head.clear_supporters();
  if (!m_hooks.supporters) return;
  for (const std::uint64_t incarnation : m_hooks.supporters()) {
    m_head.add_supporters(incarnation);
    m_supporters.insert(incarnation);
  }
}

// Time that a copy of the transaction takes to leave this instance. An attempt that is still being
// sent is not lost, and another one would only slow it down.
milliseconds CommitLog::SendingTime() const {
  if (!m_hooks.transfer_time) return milliseconds(0);
  constexpr std::size_t kEntryBytes = 100;  // Keys and punctuation.
  std::size_t bytes = 0;
  for (const Row& row : m_transaction.writes) bytes += row.value.size() * 4 / 3 + kEntryBytes;
  return m_hooks.transfer_time(bytes);
}

// Time-out of an answer. Adapts to the usual latency: a slow store gets enough time, and a lost
// reply is detected early.
milliseconds CommitLog::AnswerTimeout() const {
  const milliseconds base_timeout =
      std::max(kCommitTimeoutMin, m_latency * kCommitLatencyPercent / 100);
  return std::min(base_timeout * (1 << std::min(m_failures, kMaxTimeoutDoublings)),
                  kCommitTimeoutMax);
}

// The same transaction may be in flight several times: it cannot take effect twice, because it
// changes the row version on which it is conditional. A late reply to any attempt counts.
void CommitLog::Send() {
  m_last_write = m_hooks.now();
  ++m_unanswered;
  const std::uint32_t attempt = ++m_attempts;
  const std::uint64_t sequence = m_head.sequence();
  const milliseconds sending_time = SendingTime();
  m_hooks.after(sending_time + AnswerTimeout(), [this, alive = m_alive, attempt, sequence] {
    if (!*alive || !IsCurrent(sequence) || attempt != m_attempts || m_unanswered == 0) return;
    NoteFailure({schema::CODE_COMMIT_UNKNOWN, "no answer in time"});
    Probe();
  });
  m_store->Commit(
      m_transaction, sending_time + kCommitTimeoutMax,
      [this, alive = m_alive, sequence, sent = m_last_write](const Result<CommitOutcome>& result) {
        if (*alive) OnResult(sequence, sent, result);
      });
}

// Reads the head row to find out whether a transaction took effect before it is sent again.
//
// When the store is slow (50 times its usual latency), the writes of a part queue up there, and
// another attempt only makes the queue longer. A read overtakes the queue and distinguishes a slow
// store from a lost reply.
void CommitLog::Probe() {
  const std::uint32_t attempt = m_attempts;
  const std::uint64_t sequence = m_head.sequence();
  const SteadyTime sent = m_hooks.now();
  m_hooks.after(AnswerTimeout(), [this, alive = m_alive, attempt, sequence] {
    if (*alive && IsCurrent(sequence) && attempt == m_attempts && !m_resend_deferred) Send();
  });
  m_resend_deferred = false;
  m_store->Read(RowRange{kHeadTable, m_shard, kShardRowKey, "", 1}, kCommitTimeoutMax,
                [this, alive = m_alive, attempt, sequence, sent](const Result<RowPage>& page) {
                  if (*alive && IsCurrent(sequence)) OnProbe(attempt, sent, page);
                });
}

void CommitLog::OnProbe(std::uint32_t attempt, SteadyTime sent, const Result<RowPage>& page) {
  if (!page) {
    if (attempt == m_attempts) Send();
    return;
  }
  m_heard = m_hooks.now();
  // A transaction takes no less than a read. How long this one took is not known: its answer may
  // have been lost.
  const auto read_took = std::chrono::duration_cast<milliseconds>(m_hooks.now() - sent);
  m_latency = std::max(m_latency, std::min(read_took, kMaxCommitLatency));
  if (page.value().rows.empty() || page.value().rows[0].version != m_head_version) {
    return OnConflict({false, 0, page.value().rows});
  }
  if (attempt != m_attempts) return;
  const auto took = std::chrono::duration_cast<milliseconds>(m_hooks.now() - sent);
  if (took < kCommitTimeoutMin) return Send();
  m_resend_deferred = true;
  m_hooks.after(AnswerTimeout(), [this, alive = m_alive, attempt, sequence = m_head.sequence()] {
    if (*alive && IsCurrent(sequence) && attempt == m_attempts) Probe();
  });
}

// The average follows an increase at once, so that a store that has become slow gets more time. It
// is bounded, since an answer may have waited here while this process was frozen.
void CommitLog::RecordLatency(milliseconds took) {
  took = std::min(took, kMaxCommitLatency);
  m_latency = std::max(took, m_latency + (took - m_latency) / kLatencyWindow);
}

// Follows an increase at once, and a decrease within a few transactions: what is refused because of
// it could have been stored.
void CommitLog::RecordDuration(milliseconds took) {
  took = std::min(took, kMaxExpectedCommit);
  m_duration = std::max(took, (m_duration + took) / 2);
}

void CommitLog::NoteFailure(const Error& reason) {
  if (m_failures++ > 0) return;
  Log(LogLevel::kWarn, "commit-delayed")
      .Field("shard", m_shard)
      .Field("sequence", m_head.sequence())
      .Field("reason", reason);
}

void CommitLog::OnResult(std::uint64_t sequence, SteadyTime sent,
                         const Result<CommitOutcome>& result) {
  // An answer that comes after a read has shown the effect tells the latency all the same.
  if (result || result.error().code == schema::CODE_COMMIT_REFUSED) m_heard = m_hooks.now();
  if (result) RecordLatency(std::chrono::duration_cast<milliseconds>(m_hooks.now() - sent));
  if (!IsCurrent(sequence)) return;
  --m_unanswered;
  if (result) {
    if (result.value().committed) return Succeed(result.value().version);
    return OnConflict(result.value());
  }
  NoteFailure(result.error());
  if (result.error().code == schema::CODE_COMMIT_REFUSED) return OnRefused(result.error());
  if (m_unanswered > 0) return;
  const bool is_rejected = result.error().code == schema::CODE_TABLE_UNAVAILABLE;
  m_hooks.after(is_rejected ? kCommitRetry : milliseconds(0), [this, alive = m_alive, sequence] {
    if (*alive && IsCurrent(sequence) && m_unanswered == 0) Send();
  });
}

// The transaction will not take effect, so it is given up. Which part of it was refused is not
// told; a transaction that only writes the head row shows whether it was the changes. If an attempt
// had taken effect all the same, the next transaction would fail on its condition.
void CommitLog::OnRefused(const Error& reason) {
  std::size_t bytes = 0;
  for (const Row& row : m_transaction.writes) bytes += row.value.size();
  Log(LogLevel::kError, "commit-refused")
      .Field("shard", m_shard)
      .Field("sequence", m_head.sequence())
      .Field("writes", m_transaction.writes.size())
      .Field("removals", m_transaction.removals.size())
      .Field("bytes", bytes)
      .Field("reason", reason);
  if (!m_refused_position) {
    m_refused_position = m_position;
    m_refused_since = m_sent;
  }
  m_in_flight = false;
  m_releasing = false;
  m_write_wanted = true;
  m_hooks.after(kCommitRetry, [this, alive = m_alive] {
    if (*alive && !m_lost) Schedule();
  });
}

// The head row has a different version: an earlier attempt of this transaction took effect, or the
// shard has another scheduler.
void CommitLog::OnConflict(const CommitOutcome& outcome) {
  for (const Row& row : outcome.current) {
    if (row.key.table != kHeadTable) continue;
    schema::HeadRow head;
    if (head.ParseFromString(row.value) && head.term() == m_head.term() &&
        head.incarnation() == m_head.incarnation() && head.sequence() == m_head.sequence()) {
      return Succeed(row.version);
    }
  }
  Log(LogLevel::kWarn, "shard-lost")
      .Field("shard", m_shard)
      .Field("term", m_head.term())
      .Field("sequence", m_head.sequence());
  Lose();
}

void CommitLog::Succeed(std::uint64_t version) {
  if (m_failures > 0) {
    Log(LogLevel::kInfo, "commit-resumed")
        .Field("shard", m_shard)
        .Field("sequence", m_head.sequence())
        .Field("failures", m_failures)
        .Field("took_ms", std::chrono::duration_cast<milliseconds>(m_hooks.now() - m_sent));
  }
  NodeMetrics::Get().CountCommit(std::chrono::duration_cast<milliseconds>(m_hooks.now() - m_sent),
                                 m_failures + 1);
  RecordDuration(std::chrono::duration_cast<milliseconds>(m_hooks.now() - m_sent));
  m_head_version = version;
  m_confirmed = m_sent;
  m_supporters = {m_head.supporters().begin(), m_head.supporters().end()};
  // Changes that `on_stored` causes go into one transaction, so this one stays in flight until the
  // hook has returned.
  const std::shared_ptr<bool> alive = m_alive;
  const auto refused = std::exchange(m_refused_position, std::nullopt);
  if (refused) m_hooks.on_refused(*refused);
  if (!*alive || m_lost) return;
  if (m_position > 0) m_hooks.on_stored(m_position);
  if (!*alive || m_lost) return;
  m_in_flight = false;
  if (m_releasing) {
    m_lost = true;
    return m_on_released();
  }
  m_write_wanted |= refused.has_value();
  if (m_release_wanted) return StartTransaction();
  if (m_write_wanted) Schedule();
}

void CommitLog::Lose() {
  m_lost = true;
  m_in_flight = false;
  m_hooks.on_lost();
}

void CommitLog::Release(schema::OwnerRow owner, std::function<void()> on_begin,
                        std::function<void()> done) {
  if (m_lost) return;
  m_release_wanted = true;
  m_released_owner = std::move(owner);
  m_on_release_begin = std::move(on_begin);
  m_on_released = std::move(done);
  if (!m_in_flight) StartTransaction();
}

}  // namespace citronsill
