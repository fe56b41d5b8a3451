/// Several `Ownership` objects over one in-memory table, in model time; for tests.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "citronsill/ownership.h"
#include "citronsill/tableguard.h"
#include "schema/citronsill.pb.h"
#include "tools/standin_table.h"

namespace citronsill {

/// The connection of one instance to the table, which a test can cut.
class TablePath : public Table {
 public:
  explicit TablePath(Table& table) : m_table(table) {}

  bool cut = false;

  void Read(std::string key, std::function<void(Result<schema::TableRow>)> done) override {
    cut ? done(Refusal()) : m_table.Read(std::move(key), std::move(done));
  }
  void Scan(std::string prefix,
            std::function<void(Result<std::vector<schema::TableRow>>)> done) override {
    cut ? done(Refusal()) : m_table.Scan(std::move(prefix), std::move(done));
  }
  void Commit(schema::TableTransaction transaction,
              std::function<void(Result<schema::TableCommitResult>)> done) override {
    cut ? done(Refusal()) : m_table.Commit(std::move(transaction), std::move(done));
  }

 private:
  static Error Refusal() { return Error{schema::CODE_TABLE_UNAVAILABLE, "cut off"}; }

  Table& m_table;
};

/// One instance of the cell. Gossip between running instances loses nothing; it only has a delay.
struct CellInstance {
  std::string id;
  std::unique_ptr<TablePath> path;
  std::shared_ptr<TableGuard> guard;
  std::unique_ptr<Ownership> ownership;
  std::uint64_t incarnation = 0;
  bool running = true;
  bool leaving = false;
  SteadyTime last_tick;                           ///< Time of its last tick.
  std::map<std::uint32_t, std::uint64_t> served;  ///< Epochs by partition, as told by the hooks.
  std::map<std::uint32_t, std::vector<std::string>> streams;
  unsigned gained = 0;
  unsigned confirmed = 0;
  bool superseded = false;
};

class OwnershipCell {
 public:
  static constexpr std::chrono::milliseconds kStep{500};
  static constexpr std::chrono::milliseconds kSuspectAfter{2000};

  StandinTable table;
  SteadyTime now{std::chrono::hours(1)};
  std::map<std::string, CellInstance> instances;
  OwnershipOptions options;
  bool guarded = false;   ///< Instances started from now on use the table through a `TableGuard`.
  bool isolated = false;  ///< No instance hears another one by gossip.

  /// @param label key in `instances`; the id when empty.
  Ownership& Start(const std::string& id, const std::string& label = "") {
    CellInstance& instance = instances[label.empty() ? id : label];
    instance = CellInstance();
    instance.id = id;
    instance.incarnation = ++m_last_incarnation;
    instance.last_tick = now;
    schema::InstanceRow self;
    self.set_id(id);
    self.set_incarnation(instance.incarnation);
    OwnershipHooks hooks;
    hooks.on_gained = [&instance](PartitionId partition, std::uint64_t epoch,
                                  std::vector<std::string> streams) {
      instance.served[partition.value] = epoch;
      instance.streams[partition.value] = std::move(streams);
      ++instance.gained;
    };
    hooks.on_lost = [&instance](PartitionId partition) { instance.served.erase(partition.value); };
    hooks.on_confirmed = [&instance] { ++instance.confirmed; };
    hooks.on_superseded = [&instance] { instance.superseded = true; };
    hooks.live_members = [this, id] { return Members(id); };
    hooks.now = [this] { return now; };
    if (guarded) instance.guard = MakeGuard();
    instance.path = std::make_unique<TablePath>(guarded ? static_cast<Table&>(*instance.guard)
                                                        : static_cast<Table&>(table));
    instance.ownership = Ownership::Create(*instance.path, self, options, std::move(hooks)).value();
    return *instance.ownership;
  }

  void Start(unsigned count) {
    for (unsigned i = 0; i < count; ++i) Start(Name(i));
  }

  static std::string Name(unsigned i) { return "instance-" + std::to_string(i); }

  void Run(std::chrono::milliseconds time) {
    for (const SteadyTime end = now + time; now < end;) {
      now += kStep;
      Step();
    }
  }

  /// Ticks every running instance once, then passes on what each knows about owners.
  void Step() {
    for (auto& [id, instance] : instances) {
      if (!instance.running) continue;
      instance.last_tick = now;
      if (instance.guard) instance.guard->Tick();
      instance.ownership->Tick(now);
    }
    for (auto& [id, from] : instances) {
      if (!from.running || isolated) continue;
      const auto owners = from.ownership->Owners();
      for (auto& [other, to] : instances) {
        if (to.running && id != other) to.ownership->MergeOwners(owners);
      }
    }
  }

  /// @returns for each partition the instance that owns it by its hooks and `OwnedEpoch`; "" if
  /// there is none or two.
  std::vector<std::string> OwnerNames() const {
    std::vector<std::string> owners(options.partition_count);
    std::vector<unsigned> count(options.partition_count);
    for (const auto& [id, instance] : instances) {
      if (!instance.running) continue;
      for (const auto& [partition, epoch] : instance.served) {
        if (!instance.ownership->OwnedEpoch(PartitionId{partition})) continue;
        owners[partition] = ++count[partition] == 1 ? id : "";
      }
    }
    return owners;
  }

  unsigned CountUnowned() const {
    unsigned count = 0;
    for (const std::string& owner : OwnerNames()) count += owner.empty() ? 1 : 0;
    return count;
  }

 private:
  std::shared_ptr<TableGuard> MakeGuard() {
    TableGuardHooks hooks;
    hooks.now = [this] { return now; };
    hooks.random = [this] { return std::uniform_real_distribution<double>(0, 1)(m_random); };
    return TableGuard::Create(table, {}, std::move(hooks)).value();
  }

  std::vector<LiveMember> Members(const std::string& self) const {
    std::vector<LiveMember> members;
    for (const auto& [label, instance] : instances) {
      const auto silence =
          std::chrono::duration_cast<std::chrono::milliseconds>(now - instance.last_tick);
      if (silence >= kSuspectAfter || (isolated && instance.id != self)) continue;
      members.push_back({instance.id, instance.incarnation, silence, instance.leaving});
    }
    return members;
  }

  std::mt19937_64 m_random{5};
  std::uint64_t m_last_incarnation = 0;
};

}  // namespace citronsill
