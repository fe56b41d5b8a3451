#include "citronsill/ownership.h"

#include "internal.h"

namespace citronsill {
namespace {

std::string PartitionKey(std::uint32_t partition) {
  return fmt::format("partition/{:04}", partition);
}

constexpr std::string_view kInstancePrefix = "instance/";
constexpr std::string_view kPartitionPrefix = "partition/";

// Most claims sent in one tick, so that a new instance does not flood the table.
constexpr std::size_t kMaxClaimsPerTick = 32;

}  // namespace

struct Ownership::Impl : std::enable_shared_from_this<Impl> {
  struct Partition {
    schema::PartitionRow row;
    std::uint64_t version = 0;
    bool owned = false;
    bool busy = false;  // A transaction on the row is under way.
    schema::PartitionOwner heard;
  };

  struct Instance {
    schema::InstanceRow row;
    std::uint64_t version = 0;
    SteadyTime changed;
  };

  Impl(Table& platform_table, schema::InstanceRow own, const OwnershipOptions& ownership_options,
       OwnershipHooks ownership_hooks)
      : table(platform_table),
        self(std::move(own)),
        options(ownership_options),
        hooks(std::move(ownership_hooks)),
        partitions(options.partition_count) {}

  Table& table;
  schema::InstanceRow self;
  OwnershipOptions options;
  OwnershipHooks hooks;
  mutable std::mutex mutex;
  std::vector<Partition> partitions;
  std::map<std::string, Instance> instances;
  std::uint64_t own_version = 0;
  std::optional<SteadyTime> last_tick;
  std::optional<SteadyTime> last_heartbeat;
  std::optional<SteadyTime> last_scan;
  bool heartbeat_busy = false;
  bool scan_busy = false;
  bool scanned = false;
  bool leaving = false;
  bool table_up = false;

  std::string OwnKey() const { return std::string(kInstancePrefix) + self.id(); }

  void Tick(SteadyTime now) {
    std::unique_lock lock(mutex);
    const bool paused = last_tick && now - *last_tick > options.pause_threshold;
    last_tick = now;
    const bool beat =
        !heartbeat_busy && (!last_heartbeat || now - *last_heartbeat >= options.heartbeat_period);
    const bool scan =
        !scan_busy && (!last_scan || paused || now - *last_scan >= options.scan_period);
    if (beat) {
      last_heartbeat = now;
      heartbeat_busy = true;
    }
    if (scan) {
      last_scan = now;
      scan_busy = true;
    }
    const bool may_claim = scanned && table_up && !paused;
    lock.unlock();
    if (beat) Heartbeat();
    if (scan) Scan(now);
    if (may_claim) Balance(now);
  }

  void Heartbeat() {
    schema::TableTransaction transaction;
    {
      std::lock_guard lock(mutex);
      self.set_heartbeat(self.heartbeat() + 1);
      auto* write = transaction.add_writes();
      write->set_key(OwnKey());
      write->set_value(self.SerializeAsString());
    }
    table.Commit(transaction,
                 [self = shared_from_this()](Result<schema::TableCommitResult> result) {
                   std::lock_guard lock(self->mutex);
                   self->heartbeat_busy = false;
                   self->table_up = result.has_value();
                   if (result && result.value().committed() && result.value().rows_size() == 1) {
                     self->own_version = result.value().rows(0).version();
                   }
                 });
  }

  void Scan(SteadyTime now) {
    table.Scan(std::string(kInstancePrefix),
               [self = shared_from_this(), now](Result<std::vector<schema::TableRow>> rows) {
                 self->OnInstances(rows, now);
               });
  }

  void OnInstances(const Result<std::vector<schema::TableRow>>& rows, SteadyTime now) {
    if (!rows) return OnScanFailed();
    {
      std::lock_guard lock(mutex);
      for (const schema::TableRow& row : rows.value()) {
        schema::InstanceRow parsed;
        if (!parsed.ParseFromString(row.value())) continue;
        Instance& instance = instances[parsed.id()];
        if (instance.version == row.version()) continue;
        instance.row = parsed;
        instance.version = row.version();
        instance.changed = now;
      }
    }
    table.Scan(std::string(kPartitionPrefix),
               [self = shared_from_this()](Result<std::vector<schema::TableRow>> partition_rows) {
                 self->OnPartitions(partition_rows);
               });
  }

  void OnScanFailed() {
    std::lock_guard lock(mutex);
    scan_busy = false;
    table_up = false;
  }

  void OnPartitions(const Result<std::vector<schema::TableRow>>& rows) {
    if (!rows) return OnScanFailed();
    std::vector<PartitionId> lost;
    {
      std::lock_guard lock(mutex);
      scan_busy = false;
      scanned = true;
      table_up = true;
      for (const schema::TableRow& row : rows.value()) {
        schema::PartitionRow parsed;
        if (!parsed.ParseFromString(row.value())) continue;
        if (parsed.partition() < partitions.size()) TakeRow(parsed, row.version(), lost);
      }
    }
    for (const PartitionId partition : lost) hooks.on_lost(partition);
  }

  // Requires the mutex.
  void TakeRow(const schema::PartitionRow& row, std::uint64_t version,
               std::vector<PartitionId>& lost) {
    Partition& partition = partitions[row.partition()];
    if (version <= partition.version) return;
    partition.row = row;
    partition.version = version;
    Hear(partition, row);
    if (partition.owned && row.incarnation() != self.incarnation()) {
      partition.owned = false;
      lost.push_back(PartitionId{row.partition()});
    }
  }

  static void Hear(Partition& partition, const schema::PartitionRow& row) {
    if (row.epoch() < partition.heard.epoch()) return;
    partition.heard.set_partition(row.partition());
    partition.heard.set_epoch(row.epoch());
    partition.heard.set_owner(row.owner());
    partition.heard.set_incarnation(row.incarnation());
  }

  // Claims partitions without a live owner, and hands over those that belong elsewhere.
  void Balance(SteadyTime now) {
    std::vector<std::string> members = hooks.live_members();
    std::vector<schema::TableTransaction> claims;
    std::vector<std::uint32_t> claimed;
    std::vector<PartitionId> released;
    {
      std::lock_guard lock(mutex);
      if (leaving) std::erase(members, self.id());
      if (members.empty()) return;
      const std::vector<std::size_t> wanted = AssignPartitions(members, options.partition_count);
      for (std::uint32_t p = 0; p < partitions.size() && claims.size() < kMaxClaimsPerTick; ++p) {
        Partition& partition = partitions[p];
        if (partition.busy) continue;
        const std::string& heir = members[wanted[p]];
        const bool claim = !partition.owned && heir == self.id() && MayTake(partition, now);
        const bool hand_over = partition.owned && heir != self.id() && CanTakeOver(heir, now);
        if (!claim && !hand_over) continue;
        partition.busy = true;
        if (hand_over) {
          partition.owned = false;
          released.push_back(PartitionId{p});
        }
        claims.push_back(MakeClaim(p, heir));
        claimed.push_back(p);
      }
    }
    for (const PartitionId partition : released) hooks.on_lost(partition);
    for (std::size_t i = 0; i < claims.size(); ++i) Claim(claimed[i], claims[i]);
  }

  // Requires the mutex.
  bool MayTake(const Partition& partition, SteadyTime now) const {
    if (partition.version == 0) return true;
    if (partition.row.owner() == self.id()) return true;  // Handed over, or an earlier incarnation.
    const auto found = instances.find(partition.row.owner());
    if (found == instances.end()) return true;
    if (found->second.row.incarnation() != partition.row.incarnation()) return true;
    return now - found->second.changed > options.owner_timeout;
  }

  // Requires the mutex.
  bool CanTakeOver(const std::string& heir, SteadyTime now) const {
    const auto found = instances.find(heir);
    return found != instances.end() && now - found->second.changed <= options.owner_timeout;
  }

  // Requires the mutex.
  schema::TableTransaction MakeClaim(std::uint32_t p, const std::string& heir) const {
    const Partition& partition = partitions[p];
    schema::PartitionRow row = partition.row;
    row.set_partition(p);
    row.set_epoch(row.epoch() + 1);
    row.set_owner(heir);
    row.set_incarnation(heir == self.id() ? self.incarnation()
                                          : instances.at(heir).row.incarnation());
    schema::TableTransaction transaction;
    auto* condition = transaction.add_conditions();
    condition->set_key(PartitionKey(p));
    condition->set_version(partition.version);
    if (const auto found = instances.find(partition.row.owner());
        found != instances.end() && partition.version != 0 && partition.row.owner() != self.id() &&
        found->second.row.incarnation() == partition.row.incarnation()) {
      auto* unchanged = transaction.add_conditions();
      unchanged->set_key(std::string(kInstancePrefix) + partition.row.owner());
      unchanged->set_version(found->second.version);
    }
    auto* write = transaction.add_writes();
    write->set_key(PartitionKey(p));
    write->set_value(row.SerializeAsString());
    return transaction;
  }

  void Claim(std::uint32_t p, const schema::TableTransaction& transaction) {
    table.Commit(transaction,
                 [self = shared_from_this(), p](Result<schema::TableCommitResult> result) {
                   self->OnClaimed(p, result);
                 });
  }

  void OnClaimed(std::uint32_t p, const Result<schema::TableCommitResult>& result) {
    std::optional<schema::PartitionRow> gained;
    {
      std::lock_guard lock(mutex);
      Partition& partition = partitions[p];
      partition.busy = false;
      if (!result) {
        table_up = table_up && result.error().code != schema::CODE_TABLE_UNAVAILABLE;
        last_scan.reset();  // The row tells whether the claim took effect.
        return;
      }
      for (const schema::TableRow& row : result.value().rows()) {
        schema::PartitionRow parsed;
        if (row.key() != PartitionKey(p) || !parsed.ParseFromString(row.value())) continue;
        partition.row = parsed;
        partition.version = row.version();
        Hear(partition, parsed);
      }
      const bool own = partition.row.incarnation() == self.incarnation();
      if (own && !partition.owned) {
        partition.owned = true;
        gained = partition.row;
      }
    }
    if (gained) {
      hooks.on_gained(PartitionId{p}, gained->epoch(),
                      {gained->streams().begin(), gained->streams().end()});
    }
  }
};

Result<std::unique_ptr<Ownership>> Ownership::Create(Table& table, const schema::InstanceRow& self,
                                                     const OwnershipOptions& options,
                                                     OwnershipHooks hooks) {
  if (options.partition_count < 1 || options.partition_count > 4096) {
    return Error{schema::CODE_INVALID_FIELD, "partition_count must be 1 to 4096"};
  }
  return std::unique_ptr<Ownership>(
      new Ownership(std::make_shared<Impl>(table, self, options, std::move(hooks))));
}

Ownership::Ownership(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Ownership::~Ownership() = default;

void Ownership::Tick(SteadyTime now) { m_impl->Tick(now); }

void Ownership::Leave() {
  std::lock_guard lock(m_impl->mutex);
  m_impl->leaving = true;
}

std::optional<schema::PartitionOwner> Ownership::OwnerOf(PartitionId partition) const {
  std::lock_guard lock(m_impl->mutex);
  const auto& heard = m_impl->partitions[partition.value].heard;
  if (heard.owner().empty()) return std::nullopt;
  return heard;
}

std::optional<std::uint64_t> Ownership::OwnedEpoch(PartitionId partition) const {
  std::lock_guard lock(m_impl->mutex);
  const auto& entry = m_impl->partitions[partition.value];
  if (!entry.owned) return std::nullopt;
  return entry.row.epoch();
}

std::optional<std::uint64_t> Ownership::OwnedVersion(PartitionId partition) const {
  std::lock_guard lock(m_impl->mutex);
  const auto& entry = m_impl->partitions[partition.value];
  if (!entry.owned) return std::nullopt;
  return entry.version;
}

std::vector<PartitionId> Ownership::Owned() const {
  std::lock_guard lock(m_impl->mutex);
  std::vector<PartitionId> owned;
  for (std::uint32_t p = 0; p < m_impl->partitions.size(); ++p) {
    if (m_impl->partitions[p].owned) owned.push_back(PartitionId{p});
  }
  return owned;
}

std::vector<schema::PartitionOwner> Ownership::Owners() const {
  std::lock_guard lock(m_impl->mutex);
  std::vector<schema::PartitionOwner> owners;
  for (const auto& partition : m_impl->partitions) {
    if (!partition.heard.owner().empty()) owners.push_back(partition.heard);
  }
  return owners;
}

void Ownership::MergeOwners(const std::vector<schema::PartitionOwner>& owners) {
  std::lock_guard lock(m_impl->mutex);
  for (const schema::PartitionOwner& owner : owners) {
    if (owner.partition() >= m_impl->partitions.size()) continue;
    auto& partition = m_impl->partitions[owner.partition()];
    if (owner.epoch() <= partition.heard.epoch()) continue;
    partition.heard = owner;
    m_impl->last_scan.reset();
  }
}

void Ownership::OnFenced(PartitionId partition) {
  bool lost = false;
  {
    std::lock_guard lock(m_impl->mutex);
    auto& entry = m_impl->partitions[partition.value];
    lost = entry.owned;
    entry.owned = false;
    m_impl->last_scan.reset();
  }
  if (lost) m_impl->hooks.on_lost(partition);
}

bool Ownership::IsTableUp() const {
  std::lock_guard lock(m_impl->mutex);
  return m_impl->table_up;
}

}  // namespace citronsill
