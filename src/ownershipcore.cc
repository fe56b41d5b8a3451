#include "citronsill/ownershipcore.h"

#include "citronsill/ownership.h"
#include "internal.h"

namespace citronsill {
namespace {

using Kind = OwnershipCommand::Kind;

// Limits of writes and of single-row reads per tick, so that a new instance does not flood the
// table.
constexpr std::size_t kMaxWritesPerTick = 32;
constexpr std::size_t kMaxReadsPerTick = 16;

// When this instance removes streams from a row, journal batches that were sent before fail their
// condition on the row within this time.
constexpr std::chrono::seconds kRetireWindow{5};

const LiveMember* FindMember(const std::vector<LiveMember>& members, const std::string& id) {
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&](const LiveMember& member) { return member.id == id; });
  return found == members.end() ? nullptr : &*found;
}

OwnershipCommand MakeCommand(Kind kind, SteadyTime now) {
  OwnershipCommand command;
  command.kind = kind;
  command.sent = now;
  return command;
}

}  // namespace

std::string StreamName(const std::string& instance, std::uint64_t incarnation) {
  return instance + "." + Hex64(incarnation);
}

OwnershipCore::OwnershipCore(std::string id, std::uint64_t incarnation,
                             const OwnershipOptions& options)
    : m_id(std::move(id)),
      m_incarnation(incarnation),
      m_options(options),
      m_partitions(options.partition_count) {}

std::vector<OwnershipCommand> OwnershipCore::Tick(SteadyTime now,
                                                  const std::vector<LiveMember>& members) {
  Commands commands;
  if (IsPauseDetected(now)) SetUncertain(now);
  m_last_tick = now;
  if (!m_first_tick) m_first_tick = now;
  if (m_superseded) return commands;
  HeartbeatIfDue(now, commands);
  ScanIfDue(now, commands);
  ReadSilentOwners(now, members, commands);
  RereadPartitions(now, commands);
  const bool settled = now - *m_first_tick >= m_options.startup_delay;
  if (settled && m_scanned && m_table_up && !m_uncertain) {
    Balance(now, members, commands);
    EraseUnused(now, members, commands);
  }
  return commands;
}

bool OwnershipCore::IsPauseDetected(SteadyTime now) const {
  return m_last_tick && now - *m_last_tick > m_options.pause_threshold;
}

bool OwnershipCore::IsCertain(SteadyTime now) const {
  return !m_uncertain && !m_superseded && !IsPauseDetected(now);
}

void OwnershipCore::SetUncertain(SteadyTime now) {
  m_uncertain = true;
  m_uncertain_since = now;
}

void OwnershipCore::OnAnswer(SteadyTime now) {
  // While the table was unreachable, live owners could not renew their rows, so what was observed
  // before does not count.
  if (m_last_answer && now - *m_last_answer > m_options.owner_timeout / 2) {
    for (auto& [id, observed] : m_instances) observed.seen = false;
  }
  m_last_answer = now;
  m_table_up = true;
}

// An answer is not used when the process was paused after it sent the command, because the rows may
// have changed since.
bool OwnershipCore::IsUsable(const OwnershipCommand& command, SteadyTime now) {
  OnAnswer(now);
  if (now - command.sent > m_options.max_answer_age || IsPauseDetected(now)) SetUncertain(now);
  return !m_superseded && (!m_uncertain || command.sent >= m_uncertain_since) &&
         now - command.sent <= m_options.max_answer_age;
}

void OwnershipCore::Supersede() {
  m_superseded = true;
  for (std::uint32_t p = 0; p < m_partitions.size(); ++p) {
    if (m_partitions[p].owned) Lose(p);
  }
  m_events.push_back({OwnershipEvent::Kind::kSuperseded, 0, 0, {}});
}

void OwnershipCore::HeartbeatIfDue(SteadyTime now, Commands& commands) {
  if (m_heartbeat_pending) return;
  if (m_last_heartbeat && now - *m_last_heartbeat < m_options.heartbeat_period) return;
  m_last_heartbeat = now;
  m_heartbeat_pending = true;
  auto command = MakeCommand(Kind::kHeartbeat, now);
  command.instance = m_id;
  command.instance_version = m_own_version;
  command.heartbeat = ++m_heartbeat;
  commands.push_back(std::move(command));
}

void OwnershipCore::ScanIfDue(SteadyTime now, Commands& commands) {
  const bool must_rescan = m_uncertain && (!m_last_scan || *m_last_scan < m_uncertain_since);
  if (m_scan_pending && !must_rescan) return;
  const auto period = m_scan_failed || m_uncertain ? m_options.watch_period : m_options.scan_period;
  if (m_last_scan && !must_rescan && now - *m_last_scan < period) return;
  m_last_scan = now;
  m_scan_pending = true;
  commands.push_back(MakeCommand(Kind::kScan, now));
}

// Reads the instance rows of owners that are silent in gossip, so that the age of these rows is
// known by the time gossip no longer considers the owners live.
void OwnershipCore::ReadSilentOwners(SteadyTime now, const std::vector<LiveMember>& members,
                                     Commands& commands) {
  std::set<std::string> silent;
  for (const Partition& partition : m_partitions) {
    // Between two scans gossip may know a later owner than the row that was last read.
    const bool gossip_is_newer = partition.known.epoch > partition.row.epoch;
    const std::string& owner = gossip_is_newer ? partition.known.id : partition.row.owner;
    if (owner.empty() || owner == m_id || silent.count(owner) != 0) continue;
    const LiveMember* member = FindMember(members, owner);
    if (member == nullptr || member->silence > m_options.watch_silence) silent.insert(owner);
  }
  for (const std::string& id : silent) ReadInstance(id, now, commands);
}

void OwnershipCore::ReadInstance(const std::string& id, SteadyTime now, Commands& commands) {
  ObservedInstance& observed = m_instances[id];
  if (observed.reading) return;
  if (observed.last_read && now - *observed.last_read < m_options.watch_period) return;
  observed.last_read = now;
  observed.reading = true;
  auto command = MakeCommand(Kind::kReadInstance, now);
  command.instance = id;
  commands.push_back(std::move(command));
}

void OwnershipCore::RereadPartitions(SteadyTime now, Commands& commands) {
  std::size_t reads = 0;
  for (std::uint32_t p = 0; p < m_partitions.size() && reads < kMaxReadsPerTick; ++p) {
    Partition& partition = m_partitions[p];
    if (!partition.reread_requested || partition.reading || partition.writing) continue;
    partition.reading = true;
    ++reads;
    auto command = MakeCommand(Kind::kReadPartition, now);
    command.partition = p;
    commands.push_back(std::move(command));
  }
}

// The live member with the lowest id erases the rows of instances that are gone, one per tick.
void OwnershipCore::EraseUnused(SteadyTime now, const std::vector<LiveMember>& members,
                                Commands& commands) {
  for (const LiveMember& member : members) {
    if (member.id < m_id) return;
  }
  for (auto found = m_instances.begin(); found != m_instances.end(); ++found) {
    const std::string& id = found->first;
    const ObservedInstance& observed = found->second;
    if (!observed.seen || observed.record.version == 0 || id == m_id) continue;
    if (now - observed.unchanged_since < m_options.erase_instance_after) continue;
    const auto is_owned_by_instance = [&](const Partition& partition) {
      return partition.row.owner == id;
    };
    if (FindMember(members, id) != nullptr) continue;
    if (std::any_of(m_partitions.begin(), m_partitions.end(), is_owned_by_instance)) continue;
    auto command = MakeCommand(Kind::kErase, now);
    command.instance = id;
    command.instance_version = observed.record.version;
    commands.push_back(std::move(command));
    m_instances.erase(found);
    return;
  }
}

void OwnershipCore::UpdateAssignment(SteadyTime now, const std::vector<LiveMember>& members) {
  std::vector<std::string> ids;
  for (const LiveMember& member : members) {
    if (!member.leaving && member.id != m_id) ids.push_back(member.id);
  }
  if (!m_leaving) ids.push_back(m_id);
  std::sort(ids.begin(), ids.end());
  if (ids == m_assigned_members) return;
  m_assigned_members = ids;
  const auto owners = AssignPartitions(ids, m_options.partition_count);
  for (std::uint32_t p = 0; p < m_partitions.size(); ++p) {
    const std::string assigned_owner = ids.empty() ? std::string() : ids[owners[p]];
    if (m_partitions[p].assigned_owner == assigned_owner) continue;
    m_partitions[p].assigned_owner = assigned_owner;
    m_partitions[p].assigned_since = now;
  }
}

void OwnershipCore::Balance(SteadyTime now, const std::vector<LiveMember>& members,
                            Commands& commands) {
  UpdateAssignment(now, members);
  const std::size_t before = commands.size();
  for (std::uint32_t p = 0; p < m_partitions.size(); ++p) {
    if (commands.size() - before >= kMaxWritesPerTick) return;
    BalancePartition(p, now, members, commands);
  }
}

void OwnershipCore::BalancePartition(std::uint32_t p, SteadyTime now,
                                     const std::vector<LiveMember>& members, Commands& commands) {
  Partition& partition = m_partitions[p];
  if (partition.writing || partition.reread_requested || partition.suspended) return;
  if (partition.owned && partition.assigned_owner != m_id)
    return HandOver(p, now, members, commands);
  if (partition.owned && !partition.streams_to_retire.empty()) {
    PartitionRecord row = partition.row;
    std::erase_if(row.streams, [&](const std::string& stream) {
      return std::count(partition.streams_to_retire.begin(), partition.streams_to_retire.end(),
                        stream) != 0;
    });
    partition.retired_at = now;
    partition.version_unknown = true;
    return Write(p, std::move(row), now, commands);
  }
  if (partition.owned) return;
  // A row that names this instance is claimed even when another instance is the assigned owner,
  // because the others do not claim it while this instance is live.
  const bool should_claim = partition.assigned_owner == m_id || NamesThisInstance(partition.row);
  if (!should_claim && !IsOrphan(partition, now, members)) return;
  if (partition.known.epoch > partition.row.epoch) return RequestReread(partition, now);
  if (!MayClaim(partition, now, members)) return;
  Write(p, NextRow(partition, m_id, m_incarnation), now, commands);
}

// @returns whether the partition has had no live owner for `orphan_delay`, plus a part of it that
// differs between instances, so that few of them claim at the same time.
bool OwnershipCore::IsOrphan(Partition& partition, SteadyTime now,
                             const std::vector<LiveMember>& members) {
  const bool gossip_is_newer = partition.known.epoch > partition.row.epoch;
  const std::string& owner = gossip_is_newer ? partition.known.id : partition.row.owner;
  if (FindMember(members, owner) != nullptr ||
      (!gossip_is_newer && !MayClaim(partition, now, members))) {
    partition.orphan_since.reset();
    return false;
  }
  if (!partition.orphan_since) partition.orphan_since = now;
  const auto spread = m_options.orphan_delay * (m_incarnation % 8) / 16;
  return now - *partition.orphan_since >= m_options.orphan_delay + spread;
}

void OwnershipCore::HandOver(std::uint32_t p, SteadyTime now,
                             const std::vector<LiveMember>& members, Commands& commands) {
  Partition& partition = m_partitions[p];
  const LiveMember* assigned_owner = FindMember(members, partition.assigned_owner);
  if (assigned_owner == nullptr) return;
  // The new owner must have renewed its row lately, because without access to the table it could
  // not take the partition over. An instance that is leaving does not wait for the next renewal.
  const ObservedInstance& observed = m_instances[assigned_owner->id];
  const bool is_current =
      observed.seen && observed.record.incarnation == assigned_owner->incarnation;
  const bool renewed = observed.renewed_at && now - *observed.renewed_at < m_options.owner_timeout;
  if (!is_current || !(m_leaving || renewed))
    return ReadInstance(assigned_owner->id, now, commands);
  if (!m_leaving && now - partition.assigned_since < m_options.rebalance_delay) return;
  partition.suspended = true;
  Write(p, NextRow(partition, assigned_owner->id, assigned_owner->incarnation), now, commands);
}

// @returns whether the partition may be claimed: its row names no owner or this instance, or the
// owner is not live in gossip and its instance row has another incarnation or was unchanged for the
// owner timeout.
bool OwnershipCore::MayClaim(const Partition& partition, SteadyTime now,
                             const std::vector<LiveMember>& members) const {
  const PartitionRecord& row = partition.row;
  if (row.owner.empty() || row.owner == m_id) return true;
  const LiveMember* owner = FindMember(members, row.owner);
  if (owner != nullptr && owner->incarnation == row.incarnation) return false;
  const auto found = m_instances.find(row.owner);
  if (found == m_instances.end() || !found->second.seen) return false;
  if (found->second.record.incarnation != row.incarnation) return true;
  return now - found->second.unchanged_since > m_options.owner_timeout;
}

PartitionRecord OwnershipCore::NextRow(const Partition& partition, const std::string& owner,
                                       std::uint64_t incarnation) const {
  PartitionRecord row = partition.row;
  row.epoch = row.epoch + 1;
  row.owner = owner;
  row.incarnation = incarnation;
  const std::string stream = StreamName(owner, incarnation);
  if (std::count(row.streams.begin(), row.streams.end(), stream) == 0) {
    row.streams.push_back(stream);
  }
  return row;
}

void OwnershipCore::Write(std::uint32_t p, PartitionRecord row, SteadyTime now,
                          Commands& commands) {
  Partition& partition = m_partitions[p];
  auto command = MakeCommand(Kind::kWrite, now);
  command.partition = p;
  const std::string& owner = partition.row.owner;
  if (!partition.owned && !owner.empty() && owner != m_id) {
    command.instance = owner;
    command.instance_version = m_instances[owner].record.version;
  }
  command.row = std::move(row);
  partition.writing = true;
  commands.push_back(std::move(command));
}

void OwnershipCore::OnFailed(const OwnershipCommand& command) {
  m_table_up = false;
  switch (command.kind) {
    case Kind::kScan:
      m_scan_failed = true;
      if (command.sent == m_last_scan) m_scan_pending = false;
      break;
    case Kind::kReadInstance:
      m_instances[command.instance].reading = false;
      break;
    case Kind::kReadPartition:
      m_partitions[command.partition].reading = false;
      break;
    default:
      break;
  }
}

void OwnershipCore::OnScan(const OwnershipCommand& command,
                           const std::map<std::string, InstanceRecord>& instances,
                           const std::map<std::uint32_t, PartitionRecord>& partitions,
                           SteadyTime now) {
  if (command.sent == m_last_scan) m_scan_pending = false;
  m_scan_failed = false;
  if (!IsUsable(command, now)) return;
  std::erase_if(m_instances, [&](const auto& entry) {
    return instances.count(entry.first) == 0 && !entry.second.reading;
  });
  for (const auto& [id, record] : instances) Observe(id, record, now);
  for (const auto& [p, record] : partitions) {
    if (p < m_partitions.size()) ApplyRow(p, record, command.sent);
  }
  m_scanned = true;
  if (!m_uncertain) return;
  m_uncertain = false;
  m_events.push_back({OwnershipEvent::Kind::kConfirmed, 0, 0, {}});
}

void OwnershipCore::OnInstance(const OwnershipCommand& command, const InstanceRecord& record,
                               SteadyTime now) {
  m_instances[command.instance].reading = false;
  if (IsUsable(command, now)) Observe(command.instance, record, now);
}

void OwnershipCore::Observe(const std::string& id, const InstanceRecord& record, SteadyTime now) {
  ObservedInstance& observed = m_instances[id];
  if (observed.seen && record.version == observed.record.version) return;
  if (observed.seen && record.version != 0 && record.version < observed.record.version) return;
  if (observed.seen) observed.renewed_at = now;
  observed.seen = true;
  observed.record = record;
  observed.unchanged_since = now;
}

void OwnershipCore::OnPartition(const OwnershipCommand& command, const PartitionRecord& record,
                                SteadyTime now) {
  m_partitions[command.partition].reading = false;
  if (IsUsable(command, now)) ApplyRow(command.partition, record, command.sent);
}

void OwnershipCore::OnHeartbeat(const OwnershipCommand& command, CommitOutcome outcome,
                                const std::optional<InstanceRecord>& record, SteadyTime now) {
  m_heartbeat_pending = false;
  if (outcome == CommitOutcome::kRefused || outcome == CommitOutcome::kUnknown || !record) {
    m_table_up = false;
    return;
  }
  // A late answer makes the ownership of partitions uncertain, but still tells the state of the own
  // row.
  IsUsable(command, now);
  const bool is_own_row = record->version != 0 && record->incarnation == m_incarnation;
  if (!is_own_row && record->version != 0 && m_registered) return Supersede();
  m_registered = m_registered || is_own_row;
  m_own_version = record->version;
  if (outcome == CommitOutcome::kConflict) m_last_heartbeat.reset();
}

void OwnershipCore::OnWrite(const OwnershipCommand& command, CommitOutcome outcome,
                            const std::optional<PartitionRecord>& record,
                            const std::optional<InstanceRecord>& observed, SteadyTime now) {
  Partition& partition = m_partitions[command.partition];
  partition.writing = false;
  if (outcome == CommitOutcome::kRefused) {
    m_table_up = false;
    if (partition.reread_requested) return;
    partition.suspended = false;
    partition.version_unknown = false;
    return;
  }
  if (outcome == CommitOutcome::kUnknown) {
    m_table_up = false;
    return RequestReread(partition, now);
  }
  if (!IsUsable(command, now)) return RequestReread(partition, now);
  if (observed) Observe(command.instance, *observed, now);
  if (record) return ApplyRow(command.partition, *record, now);
  partition.suspended = false;
  partition.version_unknown = false;
}

void OwnershipCore::RequestReread(Partition& partition, SteadyTime now) {
  partition.reread_requested = now;
}

bool OwnershipCore::NamesThisInstance(const PartitionRecord& row) const {
  return row.version != 0 && row.incarnation == m_incarnation && row.owner == m_id;
}

// `sent` is when the read of the row was sent. A read that was sent before a new read was requested
// does not count as that new read.
void OwnershipCore::ApplyRow(std::uint32_t p, const PartitionRecord& record, SteadyTime sent) {
  Partition& partition = m_partitions[p];
  if (record.version < partition.row.version) return;
  const bool changed = record.version > partition.row.version;
  const std::uint64_t epoch = partition.row.epoch;
  if (changed) partition.row = record;
  if (changed) partition.orphan_since.reset();
  if (record.epoch >= partition.known.epoch) {
    partition.known = {record.owner, record.incarnation, record.epoch};
  }
  if (!partition.writing && (!partition.reread_requested || sent >= *partition.reread_requested)) {
    partition.reread_requested.reset();
    partition.suspended = false;
    partition.version_unknown = false;
  }
  std::erase_if(partition.streams_to_retire, [&](const std::string& stream) {
    return std::count(record.streams.begin(), record.streams.end(), stream) == 0;
  });
  const bool is_owner =
      NamesThisInstance(partition.row) && partition.row.version > partition.fenced_version;
  if (!is_owner && partition.owned) return Lose(p);
  if (is_owner && (!partition.owned || epoch != partition.row.epoch)) Gain(p);
}

void OwnershipCore::Gain(std::uint32_t p) {
  Partition& partition = m_partitions[p];
  OwnershipEvent event;
  event.kind = OwnershipEvent::Kind::kGained;
  event.partition = p;
  event.epoch = partition.row.epoch;
  const std::string own_stream = StreamName(m_id, m_incarnation);
  for (const std::string& stream : partition.row.streams) {
    if (partition.ever_owned || stream != own_stream) event.streams.push_back(stream);
  }
  partition.owned = true;
  partition.ever_owned = true;
  m_events.push_back(std::move(event));
}

void OwnershipCore::Lose(std::uint32_t p) {
  Partition& partition = m_partitions[p];
  partition.owned = false;
  partition.suspended = false;
  partition.version_unknown = false;
  partition.streams_to_retire.clear();
  m_events.push_back({OwnershipEvent::Kind::kLost, p, 0, {}});
}

void OwnershipCore::OnFenced(std::uint32_t p, SteadyTime now) {
  Partition& partition = m_partitions[p];
  if (!partition.owned) return;
  RequestReread(partition, now);
  if (partition.retired_at && now - *partition.retired_at < kRetireWindow) {
    // The batch that failed was sent before this instance changed the streams in the row.
    partition.suspended = true;
    partition.retired_at.reset();
    return;
  }
  partition.fenced_version = partition.row.version;
  Lose(p);
}

void OwnershipCore::MergeOwner(std::uint32_t p, const KnownOwner& owner, SteadyTime now) {
  Partition& partition = m_partitions[p];
  if (owner.epoch <= partition.known.epoch) return;
  partition.known = owner;
  const bool to_self = owner.id == m_id && owner.incarnation == m_incarnation;
  if (!partition.owned && !to_self) return;
  partition.suspended = partition.owned;
  RequestReread(partition, now);
}

void OwnershipCore::RetireStreams(std::uint32_t p, const std::vector<std::string>& streams) {
  Partition& partition = m_partitions[p];
  if (!partition.owned) return;
  const std::string own_stream = StreamName(m_id, m_incarnation);
  for (const std::string& stream : streams) {
    const auto& row_streams = partition.row.streams;
    if (stream != own_stream && std::count(row_streams.begin(), row_streams.end(), stream) != 0) {
      partition.streams_to_retire.push_back(stream);
    }
  }
}

std::optional<std::uint64_t> OwnershipCore::OwnedEpoch(std::uint32_t p, SteadyTime now) const {
  const Partition& partition = m_partitions[p];
  if (!IsCertain(now) || !partition.owned || partition.suspended) return std::nullopt;
  return partition.row.epoch;
}

std::optional<std::uint64_t> OwnershipCore::OwnedVersion(std::uint32_t p, SteadyTime now) const {
  if (!OwnedEpoch(p, now) || m_partitions[p].version_unknown) return std::nullopt;
  return m_partitions[p].row.version;
}

std::vector<OwnershipEvent> OwnershipCore::TakeEvents() { return std::exchange(m_events, {}); }

std::string OwnershipCore::Fingerprint(SteadyTime now) const {
  // Ages above every threshold lead to the same behaviour.
  const auto age = [&](const std::optional<SteadyTime>& time) -> std::int64_t {
    if (!time) return -1;
    const auto limit = 2 * (m_options.owner_timeout + m_options.scan_period);
    return std::min<std::chrono::nanoseconds>(now - *time, limit).count() / 1000000;
  };
  std::string text = fmt::format(
      "{} {} {} {} {} {} {}|{}{}{}{}{}{}{}{}{}", m_incarnation, m_own_version, age(m_last_tick),
      age(m_last_heartbeat), age(m_last_scan), age(m_last_answer),
      m_uncertain ? age(m_uncertain_since) : 0, m_heartbeat_pending, m_scan_pending, m_scan_failed,
      m_scanned, m_registered, m_uncertain, m_leaving, m_superseded, m_table_up);
  for (const Partition& x : m_partitions) {
    text += fmt::format("|{} {} {} {} {} {}{}{}{}{}{} {} {} {} {} {} {}", x.row.version,
                        x.row.owner, x.row.epoch, x.known.id, x.known.epoch, x.owned, x.ever_owned,
                        x.writing, x.reading, x.suspended, x.version_unknown,
                        age(x.reread_requested), x.fenced_version, age(x.retired_at),
                        x.assigned_owner, age(x.assigned_since), age(x.orphan_since));
  }
  for (const auto& [id, x] : m_instances) {
    text += fmt::format("|{} {} {} {} {} {} {}", id, x.record.version, x.seen, x.reading,
                        age(x.unchanged_since), age(x.last_read), age(x.renewed_at));
  }
  return text;
}

}  // namespace citronsill
