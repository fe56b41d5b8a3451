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
  if (IsGap(now)) EnterDoubt(now);
  m_last_tick = now;
  if (!m_first_tick) m_first_tick = now;
  if (m_superseded) return commands;
  BeatIfDue(now, commands);
  ScanIfDue(now, commands);
  WatchSilent(now, members, commands);
  ReadAgain(now, commands);
  const bool settled = now - *m_first_tick >= m_options.settle_time;
  if (settled && m_scanned && m_table_up && !m_doubt) {
    Balance(now, members, commands);
    EraseUnused(now, members, commands);
  }
  return commands;
}

bool OwnershipCore::IsGap(SteadyTime now) const {
  return m_last_tick && now - *m_last_tick > m_options.pause_threshold;
}

bool OwnershipCore::IsCertain(SteadyTime now) const {
  return !m_doubt && !m_superseded && !IsGap(now);
}

void OwnershipCore::EnterDoubt(SteadyTime now) {
  m_doubt = true;
  m_doubt_since = now;
}

void OwnershipCore::Answered(SteadyTime now) {
  // While the table was unreachable, live owners could not renew their rows, so what was observed
  // before does not count.
  if (m_last_answer && now - *m_last_answer > m_options.owner_timeout / 2) {
    for (auto& [id, watched] : m_instances) watched.seen = false;
  }
  m_last_answer = now;
  m_table_up = true;
}

// An answer is not used when the process was paused after it sent the command, because the rows may
// have changed since.
bool OwnershipCore::IsUsable(const OwnershipCommand& command, SteadyTime now) {
  Answered(now);
  if (now - command.sent > m_options.late_answer || IsGap(now)) EnterDoubt(now);
  return !m_superseded && (!m_doubt || command.sent >= m_doubt_since) &&
         now - command.sent <= m_options.late_answer;
}

void OwnershipCore::Supersede() {
  m_superseded = true;
  for (std::uint32_t p = 0; p < m_partitions.size(); ++p) {
    if (m_partitions[p].owned) Lose(p);
  }
  m_events.push_back({OwnershipEvent::Kind::kSuperseded, 0, 0, {}});
}

void OwnershipCore::BeatIfDue(SteadyTime now, Commands& commands) {
  if (m_heartbeat_busy) return;
  if (m_last_heartbeat && now - *m_last_heartbeat < m_options.heartbeat_period) return;
  m_last_heartbeat = now;
  m_heartbeat_busy = true;
  auto command = MakeCommand(Kind::kHeartbeat, now);
  command.instance = m_id;
  command.instance_version = m_own_version;
  command.heartbeat = ++m_heartbeat;
  commands.push_back(std::move(command));
}

void OwnershipCore::ScanIfDue(SteadyTime now, Commands& commands) {
  const bool doubted = m_doubt && (!m_last_scan || *m_last_scan < m_doubt_since);
  if (m_scan_busy && !doubted) return;
  const auto period = m_scan_failed || m_doubt ? m_options.watch_period : m_options.scan_period;
  if (m_last_scan && !doubted && now - *m_last_scan < period) return;
  m_last_scan = now;
  m_scan_busy = true;
  commands.push_back(MakeCommand(Kind::kScan, now));
}

// Reads the instance rows of owners that are silent in gossip, so that the age of these rows is
// known by the time gossip no longer considers the owners live.
void OwnershipCore::WatchSilent(SteadyTime now, const std::vector<LiveMember>& members,
                                Commands& commands) {
  std::set<std::string> silent;
  for (const Partition& partition : m_partitions) {
    // Between two scans gossip may know a later owner than the row that was last read.
    const bool newer = partition.known.epoch > partition.row.epoch;
    const std::string& owner = newer ? partition.known.id : partition.row.owner;
    if (owner.empty() || owner == m_id || silent.count(owner) != 0) continue;
    const LiveMember* member = FindMember(members, owner);
    if (member == nullptr || member->silence > m_options.watch_silence) silent.insert(owner);
  }
  for (const std::string& id : silent) ReadInstance(id, now, commands);
}

void OwnershipCore::ReadInstance(const std::string& id, SteadyTime now, Commands& commands) {
  Watched& watched = m_instances[id];
  if (watched.reading) return;
  if (watched.read && now - *watched.read < m_options.watch_period) return;
  watched.read = now;
  watched.reading = true;
  auto command = MakeCommand(Kind::kReadInstance, now);
  command.instance = id;
  commands.push_back(std::move(command));
}

void OwnershipCore::ReadAgain(SteadyTime now, Commands& commands) {
  std::size_t reads = 0;
  for (std::uint32_t p = 0; p < m_partitions.size() && reads < kMaxReadsPerTick; ++p) {
    Partition& partition = m_partitions[p];
    if (!partition.reread_since || partition.reading || partition.busy) continue;
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
    const Watched& watched = found->second;
    if (!watched.seen || watched.record.version == 0 || id == m_id) continue;
    if (now - watched.unchanged_since < m_options.forget_instance) continue;
    const auto uses = [&](const Partition& partition) { return partition.row.owner == id; };
    if (FindMember(members, id) != nullptr) continue;
    if (std::any_of(m_partitions.begin(), m_partitions.end(), uses)) continue;
    auto command = MakeCommand(Kind::kErase, now);
    command.instance = id;
    command.instance_version = watched.record.version;
    commands.push_back(std::move(command));
    m_instances.erase(found);
    return;
  }
}

void OwnershipCore::FindHeirs(SteadyTime now, const std::vector<LiveMember>& members) {
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
    const std::string heir = ids.empty() ? std::string() : ids[owners[p]];
    if (m_partitions[p].heir == heir) continue;
    m_partitions[p].heir = heir;
    m_partitions[p].heir_since = now;
  }
}

void OwnershipCore::Balance(SteadyTime now, const std::vector<LiveMember>& members,
                            Commands& commands) {
  FindHeirs(now, members);
  const std::size_t before = commands.size();
  for (std::uint32_t p = 0; p < m_partitions.size(); ++p) {
    if (commands.size() - before >= kMaxWritesPerTick) return;
    BalanceOne(p, now, members, commands);
  }
}

void OwnershipCore::BalanceOne(std::uint32_t p, SteadyTime now,
                               const std::vector<LiveMember>& members, Commands& commands) {
  Partition& partition = m_partitions[p];
  if (partition.busy || partition.reread_since || partition.suspended) return;
  if (partition.owned && partition.heir != m_id) return HandOver(p, now, members, commands);
  if (partition.owned && !partition.retire.empty()) {
    PartitionRecord row = partition.row;
    std::erase_if(row.streams, [&](const std::string& stream) {
      return std::count(partition.retire.begin(), partition.retire.end(), stream) != 0;
    });
    partition.retired = now;
    partition.version_unknown = true;
    return Write(p, std::move(row), now, commands);
  }
  if (partition.owned) return;
  // A row that names this instance is claimed even when another instance is the assigned owner,
  // because the others do not claim it while this instance is live.
  const bool wanted = partition.heir == m_id || IsMine(partition.row);
  if (!wanted && !IsOrphan(partition, now, members)) return;
  if (partition.known.epoch > partition.row.epoch) return AskAgain(partition, now);
  if (!MayTake(partition, now, members)) return;
  Write(p, NextRow(partition, m_id, m_incarnation), now, commands);
}

// The delay differs between instances, so that few of them claim at the same time.
bool OwnershipCore::IsOrphan(Partition& partition, SteadyTime now,
                             const std::vector<LiveMember>& members) {
  const bool newer = partition.known.epoch > partition.row.epoch;
  const std::string& owner = newer ? partition.known.id : partition.row.owner;
  if (FindMember(members, owner) != nullptr || (!newer && !MayTake(partition, now, members))) {
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
  const LiveMember* heir = FindMember(members, partition.heir);
  if (heir == nullptr) return;
  // The new owner must have renewed its row lately, because without access to the table it could
  // not take the partition over. An instance that is leaving does not wait for the next renewal.
  const Watched& watched = m_instances[heir->id];
  const bool known = watched.seen && watched.record.incarnation == heir->incarnation;
  const bool renewed = watched.renewed && now - *watched.renewed < m_options.owner_timeout;
  if (!known || !(m_leaving || renewed)) return ReadInstance(heir->id, now, commands);
  if (!m_leaving && now - partition.heir_since < m_options.rebalance_delay) return;
  partition.suspended = true;
  Write(p, NextRow(partition, heir->id, heir->incarnation), now, commands);
}

bool OwnershipCore::MayTake(const Partition& partition, SteadyTime now,
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
  partition.busy = true;
  commands.push_back(std::move(command));
}

void OwnershipCore::OnFailed(const OwnershipCommand& command) {
  m_table_up = false;
  switch (command.kind) {
    case Kind::kScan:
      m_scan_failed = true;
      if (command.sent == m_last_scan) m_scan_busy = false;
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
  if (command.sent == m_last_scan) m_scan_busy = false;
  m_scan_failed = false;
  if (!IsUsable(command, now)) return;
  std::erase_if(m_instances, [&](const auto& entry) {
    return instances.count(entry.first) == 0 && !entry.second.reading;
  });
  for (const auto& [id, record] : instances) Observe(id, record, now);
  for (const auto& [p, record] : partitions) {
    if (p < m_partitions.size()) TakeRow(p, record, command.sent);
  }
  m_scanned = true;
  if (!m_doubt) return;
  m_doubt = false;
  m_events.push_back({OwnershipEvent::Kind::kConfirmed, 0, 0, {}});
}

void OwnershipCore::OnInstance(const OwnershipCommand& command, const InstanceRecord& record,
                               SteadyTime now) {
  m_instances[command.instance].reading = false;
  if (IsUsable(command, now)) Observe(command.instance, record, now);
}

void OwnershipCore::Observe(const std::string& id, const InstanceRecord& record, SteadyTime now) {
  Watched& watched = m_instances[id];
  if (watched.seen && record.version == watched.record.version) return;
  if (watched.seen && record.version != 0 && record.version < watched.record.version) return;
  if (watched.seen) watched.renewed = now;
  watched.seen = true;
  watched.record = record;
  watched.unchanged_since = now;
}

void OwnershipCore::OnPartition(const OwnershipCommand& command, const PartitionRecord& record,
                                SteadyTime now) {
  m_partitions[command.partition].reading = false;
  if (IsUsable(command, now)) TakeRow(command.partition, record, command.sent);
}

void OwnershipCore::OnHeartbeat(const OwnershipCommand& command, CommitOutcome outcome,
                                const std::optional<InstanceRecord>& record, SteadyTime now) {
  m_heartbeat_busy = false;
  if (outcome == CommitOutcome::kRefused || outcome == CommitOutcome::kUnknown || !record) {
    m_table_up = false;
    return;
  }
  // A late answer makes the ownership of partitions uncertain, but still tells the state of the own
  // row.
  IsUsable(command, now);
  const bool own = record->version != 0 && record->incarnation == m_incarnation;
  if (!own && record->version != 0 && m_registered) return Supersede();
  m_registered = m_registered || own;
  m_own_version = record->version;
  if (outcome == CommitOutcome::kConflict) m_last_heartbeat.reset();
}

void OwnershipCore::OnWrite(const OwnershipCommand& command, CommitOutcome outcome,
                            const std::optional<PartitionRecord>& record,
                            const std::optional<InstanceRecord>& watched, SteadyTime now) {
  Partition& partition = m_partitions[command.partition];
  partition.busy = false;
  if (outcome == CommitOutcome::kRefused) {
    m_table_up = false;
    if (partition.reread_since) return;
    partition.suspended = false;
    partition.version_unknown = false;
    return;
  }
  if (outcome == CommitOutcome::kUnknown) {
    m_table_up = false;
    return AskAgain(partition, now);
  }
  if (!IsUsable(command, now)) return AskAgain(partition, now);
  if (watched) Observe(command.instance, *watched, now);
  if (record) return TakeRow(command.partition, *record, now);
  partition.suspended = false;
  partition.version_unknown = false;
}

void OwnershipCore::AskAgain(Partition& partition, SteadyTime now) { partition.reread_since = now; }

bool OwnershipCore::IsMine(const PartitionRecord& row) const {
  return row.version != 0 && row.incarnation == m_incarnation && row.owner == m_id;
}

// `sent` is when the read of the row was sent. A read that was sent before a new read was requested
// does not count as that new read.
void OwnershipCore::TakeRow(std::uint32_t p, const PartitionRecord& record, SteadyTime sent) {
  Partition& partition = m_partitions[p];
  if (record.version < partition.row.version) return;
  const bool changed = record.version > partition.row.version;
  const std::uint64_t epoch = partition.row.epoch;
  if (changed) partition.row = record;
  if (changed) partition.orphan_since.reset();
  if (record.epoch >= partition.known.epoch) {
    partition.known = {record.owner, record.incarnation, record.epoch};
  }
  if (!partition.busy && (!partition.reread_since || sent >= *partition.reread_since)) {
    partition.reread_since.reset();
    partition.suspended = false;
    partition.version_unknown = false;
  }
  std::erase_if(partition.retire, [&](const std::string& stream) {
    return std::count(record.streams.begin(), record.streams.end(), stream) == 0;
  });
  const bool mine = IsMine(partition.row) && partition.row.version > partition.fenced_version;
  if (!mine && partition.owned) return Lose(p);
  if (mine && (!partition.owned || epoch != partition.row.epoch)) Gain(p);
}

void OwnershipCore::Gain(std::uint32_t p) {
  Partition& partition = m_partitions[p];
  OwnershipEvent event;
  event.kind = OwnershipEvent::Kind::kGained;
  event.partition = p;
  event.epoch = partition.row.epoch;
  const std::string own = StreamName(m_id, m_incarnation);
  for (const std::string& stream : partition.row.streams) {
    if (partition.ever_owned || stream != own) event.streams.push_back(stream);
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
  partition.retire.clear();
  m_events.push_back({OwnershipEvent::Kind::kLost, p, 0, {}});
}

void OwnershipCore::OnFenced(std::uint32_t p, SteadyTime now) {
  Partition& partition = m_partitions[p];
  if (!partition.owned) return;
  AskAgain(partition, now);
  if (partition.retired && now - *partition.retired < kRetireWindow) {
    // The batch that failed was sent before this instance changed the streams in the row.
    partition.suspended = true;
    partition.retired.reset();
    return;
  }
  partition.fenced_version = partition.row.version;
  Lose(p);
}

void OwnershipCore::Hear(std::uint32_t p, const KnownOwner& owner, SteadyTime now) {
  Partition& partition = m_partitions[p];
  if (owner.epoch <= partition.known.epoch) return;
  partition.known = owner;
  const bool to_self = owner.id == m_id && owner.incarnation == m_incarnation;
  if (!partition.owned && !to_self) return;
  partition.suspended = partition.owned;
  AskAgain(partition, now);
}

void OwnershipCore::Retire(std::uint32_t p, const std::vector<std::string>& streams) {
  Partition& partition = m_partitions[p];
  if (!partition.owned) return;
  const std::string own = StreamName(m_id, m_incarnation);
  for (const std::string& stream : streams) {
    const auto& held = partition.row.streams;
    if (stream != own && std::count(held.begin(), held.end(), stream) != 0) {
      partition.retire.push_back(stream);
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
  std::string text =
      fmt::format("{} {} {} {} {} {} {}|{}{}{}{}{}{}{}{}{}", m_incarnation, m_own_version,
                  age(m_last_tick), age(m_last_heartbeat), age(m_last_scan), age(m_last_answer),
                  m_doubt ? age(m_doubt_since) : 0, m_heartbeat_busy, m_scan_busy, m_scan_failed,
                  m_scanned, m_registered, m_doubt, m_leaving, m_superseded, m_table_up);
  for (const Partition& x : m_partitions) {
    text += fmt::format("|{} {} {} {} {} {}{}{}{}{}{} {} {} {} {} {} {}", x.row.version,
                        x.row.owner, x.row.epoch, x.known.id, x.known.epoch, x.owned, x.ever_owned,
                        x.busy, x.reading, x.suspended, x.version_unknown, age(x.reread_since),
                        x.fenced_version, age(x.retired), x.heir, age(x.heir_since),
                        age(x.orphan_since));
  }
  for (const auto& [id, x] : m_instances) {
    text += fmt::format("|{} {} {} {} {} {} {}", id, x.record.version, x.seen, x.reading,
                        age(x.unchanged_since), age(x.read), age(x.renewed));
  }
  return text;
}

}  // namespace citronsill
