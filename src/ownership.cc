#include "citronsill/ownership.h"

#include "internal.h"

namespace citronsill {
namespace {

using Kind = OwnershipCommand::Kind;

constexpr std::string_view kInstancePrefix = "instance/";
constexpr std::string_view kPartitionPrefix = "partition/";

std::string PartitionKey(std::uint32_t partition) {
  return fmt::format("{}{:04}", kPartitionPrefix, partition);
}

std::string InstanceKey(const std::string& id) { return std::string(kInstancePrefix) + id; }

void AddCondition(const std::string& key, std::uint64_t version,
                  schema::TableTransaction& transaction) {
  auto* condition = transaction.add_conditions();
  condition->set_key(key);
  condition->set_version(version);
}

// A row that cannot be parsed is treated as a row without an owner, but keeps its version.
PartitionRecord ToPartitionRecord(const schema::TableRow& row) {
  schema::PartitionRow parsed;
  PartitionRecord record;
  record.version = row.version();
  if (!parsed.ParseFromString(row.value())) return record;
  record.owner = parsed.owner();
  record.incarnation = parsed.incarnation();
  record.epoch = parsed.epoch();
  record.streams.assign(parsed.streams().begin(), parsed.streams().end());
  return record;
}

InstanceRecord ToInstanceRecord(const schema::TableRow& row) {
  schema::InstanceRow parsed;
  if (!parsed.ParseFromString(row.value())) return {row.version(), 0};
  return {row.version(), parsed.incarnation()};
}

schema::PartitionRow ToSchema(std::uint32_t partition, const PartitionRecord& record) {
  schema::PartitionRow row;
  row.set_partition(partition);
  row.set_owner(record.owner);
  row.set_incarnation(record.incarnation);
  row.set_epoch(record.epoch);
  for (const std::string& stream : record.streams) row.add_streams(stream);
  return row;
}

CommitOutcome ToOutcome(const Result<schema::TableCommitResult>& result) {
  if (result) {
    return result.value().committed() ? CommitOutcome::kCommitted : CommitOutcome::kConflict;
  }
  return result.error().code == schema::CODE_TABLE_UNAVAILABLE ? CommitOutcome::kRefused
                                                               : CommitOutcome::kUnknown;
}

const schema::TableRow* FindRow(const Result<schema::TableCommitResult>& result,
                                const std::string& key) {
  if (!result) return nullptr;
  for (const schema::TableRow& row : result.value().rows()) {
    if (row.key() == key) return &row;
  }
  return nullptr;
}

}  // namespace

struct Ownership::Impl : std::enable_shared_from_this<Impl> {
  Impl(Table& platform_table, schema::InstanceRow own, const OwnershipOptions& ownership_options,
       OwnershipHooks ownership_hooks)
      : table(platform_table),
        self(std::move(own)),
        options(ownership_options),
        hooks(std::move(ownership_hooks)),
        core(self.id(), self.incarnation(), options) {}

  Table& table;
  const schema::InstanceRow self;
  OwnershipOptions options;
  OwnershipHooks hooks;
  mutable std::mutex mutex;
  OwnershipCore core;
  std::deque<OwnershipEvent> events;
  bool dispatching = false;

  SteadyTime Now() const { return hooks.now ? hooks.now() : std::chrono::steady_clock::now(); }

  void Tick(SteadyTime now) {
    const std::vector<LiveMember> members = hooks.live_members();
    std::vector<OwnershipCommand> commands;
    UpdateCore([&] { commands = core.Tick(now, members); });
    for (const OwnershipCommand& command : commands) Run(command);
  }

  // Runs `function`, which changes the core, under the lock; then calls the hooks for the resulting
  // events.
  template <class Function>
  void UpdateCore(Function function) {
    {
      std::lock_guard lock(mutex);
      function();
      for (OwnershipEvent& event : core.TakeEvents()) events.push_back(std::move(event));
    }
    Dispatch();
  }

  // Only one thread at a time calls hooks, which keeps them in the order of the changes.
  void Dispatch() {
    std::unique_lock lock(mutex);
    if (dispatching) return;
    dispatching = true;
    while (!events.empty()) {
      const OwnershipEvent event = std::move(events.front());
      events.pop_front();
      lock.unlock();
      CallHook(event);
      lock.lock();
    }
    dispatching = false;
  }

  void CallHook(const OwnershipEvent& event) const {
    const PartitionId partition{event.partition};
    switch (event.kind) {
      case OwnershipEvent::Kind::kGained:
        return hooks.on_gained(partition, event.epoch, event.streams);
      case OwnershipEvent::Kind::kLost:
        return hooks.on_lost(partition);
      case OwnershipEvent::Kind::kConfirmed:
        if (hooks.on_confirmed) hooks.on_confirmed();
        return;
      case OwnershipEvent::Kind::kSuperseded:
        if (hooks.on_superseded) hooks.on_superseded();
        return;
    }
  }

  void Run(const OwnershipCommand& command) {
    switch (command.kind) {
      case Kind::kHeartbeat:
        return Heartbeat(command);
      case Kind::kScan:
        return ScanInstances(command);
      case Kind::kReadInstance:
        return ReadInstance(command);
      case Kind::kReadPartition:
        return ReadPartition(command);
      case Kind::kWrite:
        return Write(command);
      case Kind::kErase:
        return Erase(command);
    }
  }

  void ReportFailure(const OwnershipCommand& command) {
    UpdateCore([&] { core.OnFailed(command); });
  }

  void Heartbeat(const OwnershipCommand& command) {
    schema::TableTransaction transaction;
    AddCondition(InstanceKey(self.id()), command.instance_version.value_or(0), transaction);
    schema::InstanceRow row = self;
    row.set_heartbeat(command.heartbeat);
    auto* write = transaction.add_writes();
    write->set_key(InstanceKey(self.id()));
    write->set_value(row.SerializeAsString());
    table.Commit(std::move(transaction),
                 [impl = shared_from_this(), command](Result<schema::TableCommitResult> result) {
                   std::optional<InstanceRecord> record;
                   const schema::TableRow* found = FindRow(result, InstanceKey(impl->self.id()));
                   if (found != nullptr) record = ToInstanceRecord(*found);
                   impl->UpdateCore([&] {
                     impl->core.OnHeartbeat(command, ToOutcome(result), record, impl->Now());
                   });
                 });
  }

  void ScanInstances(const OwnershipCommand& command) {
    table.Scan(
        std::string(kInstancePrefix),
        [impl = shared_from_this(), command](const Result<std::vector<schema::TableRow>>& rows) {
          if (!rows) return impl->ReportFailure(command);
          std::map<std::string, InstanceRecord> instances;
          for (const schema::TableRow& row : rows.value()) {
            instances[row.key().substr(kInstancePrefix.size())] = ToInstanceRecord(row);
          }
          impl->ScanPartitions(command, std::move(instances));
        });
  }

  void ScanPartitions(const OwnershipCommand& command,
                      std::map<std::string, InstanceRecord> instances) {
    table.Scan(
        std::string(kPartitionPrefix),
        [impl = shared_from_this(), command,
         instances = std::move(instances)](const Result<std::vector<schema::TableRow>>& rows) {
          if (!rows) return impl->ReportFailure(command);
          std::map<std::uint32_t, PartitionRecord> partitions;
          for (const schema::TableRow& row : rows.value()) {
            schema::PartitionRow parsed;
            if (!parsed.ParseFromString(row.value())) continue;
            if (row.key() != PartitionKey(parsed.partition())) continue;
            partitions[parsed.partition()] = ToPartitionRecord(row);
          }
          impl->UpdateCore([&] { impl->core.OnScan(command, instances, partitions, impl->Now()); });
        });
  }

  void ReadInstance(const OwnershipCommand& command) {
    table.Read(InstanceKey(command.instance),
               [impl = shared_from_this(), command](const Result<schema::TableRow>& row) {
                 if (!row) return impl->ReportFailure(command);
                 const InstanceRecord record = ToInstanceRecord(row.value());
                 impl->UpdateCore([&] { impl->core.OnInstance(command, record, impl->Now()); });
               });
  }

  void ReadPartition(const OwnershipCommand& command) {
    table.Read(PartitionKey(command.partition),
               [impl = shared_from_this(), command](const Result<schema::TableRow>& row) {
                 if (!row) return impl->ReportFailure(command);
                 const PartitionRecord record = ToPartitionRecord(row.value());
                 impl->UpdateCore([&] { impl->core.OnPartition(command, record, impl->Now()); });
               });
  }

  void Write(const OwnershipCommand& command) {
    schema::TableTransaction transaction;
    AddCondition(PartitionKey(command.partition), command.row.version, transaction);
    if (command.instance_version) {
      AddCondition(InstanceKey(command.instance), *command.instance_version, transaction);
    }
    auto* write = transaction.add_writes();
    write->set_key(PartitionKey(command.partition));
    write->set_value(ToSchema(command.partition, command.row).SerializeAsString());
    table.Commit(std::move(transaction),
                 [impl = shared_from_this(), command](Result<schema::TableCommitResult> result) {
                   impl->OnWritten(command, result);
                 });
  }

  void OnWritten(const OwnershipCommand& command, const Result<schema::TableCommitResult>& result) {
    std::optional<PartitionRecord> record;
    std::optional<InstanceRecord> observed;
    const schema::TableRow* partition = FindRow(result, PartitionKey(command.partition));
    if (partition != nullptr) record = ToPartitionRecord(*partition);
    const schema::TableRow* instance = FindRow(result, InstanceKey(command.instance));
    if (instance != nullptr) observed = ToInstanceRecord(*instance);
    UpdateCore([&] { core.OnWrite(command, ToOutcome(result), record, observed, Now()); });
  }

  void Erase(const OwnershipCommand& command) {
    schema::TableTransaction transaction;
    AddCondition(InstanceKey(command.instance), command.instance_version.value_or(0), transaction);
    auto* write = transaction.add_writes();
    write->set_key(InstanceKey(command.instance));
    write->set_erase(true);
    // The result is not needed: a row that was not erased is found by the next scan.
    table.Commit(std::move(transaction), [](const Result<schema::TableCommitResult>&) {});
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
  m_impl->core.Leave();
}

std::optional<schema::PartitionOwner> Ownership::OwnerOf(PartitionId partition) const {
  std::lock_guard lock(m_impl->mutex);
  const KnownOwner& known = m_impl->core.KnownOwnerOf(partition.value);
  if (known.id.empty()) return std::nullopt;
  schema::PartitionOwner owner;
  owner.set_partition(partition.value);
  owner.set_epoch(known.epoch);
  owner.set_owner(known.id);
  owner.set_incarnation(known.incarnation);
  return owner;
}

std::optional<std::uint64_t> Ownership::OwnedEpoch(PartitionId partition) const {
  std::lock_guard lock(m_impl->mutex);
  return m_impl->core.OwnedEpoch(partition.value, m_impl->Now());
}

std::optional<std::uint64_t> Ownership::OwnedVersion(PartitionId partition) const {
  std::lock_guard lock(m_impl->mutex);
  return m_impl->core.OwnedVersion(partition.value, m_impl->Now());
}

bool Ownership::IsCertain() const {
  std::lock_guard lock(m_impl->mutex);
  return m_impl->core.IsCertain(m_impl->Now());
}

std::vector<PartitionId> Ownership::Owned() const {
  std::lock_guard lock(m_impl->mutex);
  std::vector<PartitionId> owned;
  for (std::uint32_t p = 0; p < m_impl->options.partition_count; ++p) {
    if (m_impl->core.IsOwned(p)) owned.push_back(PartitionId{p});
  }
  return owned;
}

void Ownership::RetireStreams(PartitionId partition, const std::vector<std::string>& streams) {
  std::lock_guard lock(m_impl->mutex);
  m_impl->core.RetireStreams(partition.value, streams);
}

std::vector<schema::PartitionOwner> Ownership::Owners() const {
  std::vector<schema::PartitionOwner> owners;
  for (std::uint32_t p = 0; p < m_impl->options.partition_count; ++p) {
    if (auto owner = OwnerOf(PartitionId{p})) owners.push_back(*std::move(owner));
  }
  return owners;
}

void Ownership::MergeOwners(const std::vector<schema::PartitionOwner>& owners) {
  m_impl->UpdateCore([&] {
    for (const schema::PartitionOwner& owner : owners) {
      if (owner.partition() >= m_impl->options.partition_count) continue;
      m_impl->core.MergeOwner(owner.partition(),
                              {owner.owner(), owner.incarnation(), owner.epoch()}, m_impl->Now());
    }
  });
}

void Ownership::OnFenced(PartitionId partition) {
  m_impl->UpdateCore([&] { m_impl->core.OnFenced(partition.value, m_impl->Now()); });
}

bool Ownership::IsTableUp() const {
  std::lock_guard lock(m_impl->mutex);
  return m_impl->core.IsTableUp();
}

}  // namespace citronsill
