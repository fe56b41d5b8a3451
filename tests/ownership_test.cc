#include <doctest/doctest.h>

#include <chrono>

#include "ownershipcell.h"

namespace citronsill {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

schema::PartitionRow ReadRow(StandinTable& table, unsigned partition) {
  schema::PartitionRow row;
  const std::string number = std::to_string(partition);
  table.Read("partition/" + std::string(4 - number.size(), '0') + number,
             [&](const Result<schema::TableRow>& result) {
               if (result) row.ParseFromString(result.value().value());
             });
  return row;
}

unsigned CountMoved(const std::vector<std::string>& before, const std::vector<std::string>& after) {
  unsigned moved = 0;
  for (std::size_t p = 0; p < before.size(); ++p) moved += before[p] != after[p] ? 1 : 0;
  return moved;
}

// Guards against an instance that waits forever for a partition that it already owns, or claims it
// twice, because the answer to its claim was lost.
TEST_CASE("ownership: claims whose answers are lost are found in the rows") {
  OwnershipCell cell;
  cell.table.SetFault(TableFault::kLoseAnswers);
  cell.Start(1);
  cell.Run(seconds(4));
  cell.table.SetFault(TableFault::kNone);
  cell.Run(seconds(4));
  CHECK(cell.CountUnowned() == 0);
  for (unsigned p = 0; p < cell.options.partition_count; ++p)
    CHECK(ReadRow(cell.table, p).epoch() == 1);
}

// Guards against two owners when instances claim at the same time, and against a failed claim that
// is taken for a successful one.
TEST_CASE("ownership: concurrent claims leave one owner for each partition") {
  OwnershipCell cell;
  cell.isolated = true;  // Every instance considers itself the assigned owner of all partitions.
  cell.Start(2);
  cell.table.SetFault(TableFault::kHoldAnswers);
  for (int i = 0; i < 12; ++i) {
    cell.Run(milliseconds(500));
    cell.table.Release();
  }
  cell.table.SetFault(TableFault::kNone);
  CHECK(cell.CountUnowned() == 0);
  CHECK(cell.instances["instance-0"].served.size() + cell.instances["instance-1"].served.size() ==
        cell.options.partition_count);
  cell.isolated = false;
  cell.Run(seconds(10));
  CHECK(cell.CountUnowned() == 0);
  CHECK(cell.instances["instance-1"].served.size() == cell.options.partition_count / 2);
}

// Guards against a paused owner that acts on partitions that others have claimed meanwhile.
TEST_CASE("ownership: after a pause nothing is owned until the rows were read again") {
  OwnershipCell cell;
  cell.Start(2);
  cell.Run(seconds(10));
  CellInstance& paused = cell.instances["instance-0"];
  const PartitionId partition = paused.ownership->Owned().front();
  REQUIRE(paused.ownership->OwnedEpoch(partition));

  cell.now += milliseconds(2001);  // Another thread asks before the tick runs.
  CHECK_FALSE(paused.ownership->OwnedEpoch(partition));
  CHECK_FALSE(paused.ownership->OwnedVersion(partition));

  cell.table.SetFault(TableFault::kDown);
  cell.Run(seconds(5));
  CHECK_FALSE(paused.ownership->OwnedEpoch(partition));

  cell.table.SetFault(TableFault::kNone);
  cell.Run(seconds(3));
  CHECK(paused.ownership->OwnedEpoch(partition));
  CHECK(paused.confirmed == 1);
}

// Guards against an owner that is paused during a call to the table and then uses an outdated
// answer.
TEST_CASE("ownership: a late answer of the table is not acted upon") {
  OwnershipCell cell;
  cell.Start(1);
  cell.table.SetFault(TableFault::kHoldAnswers);
  cell.Run(milliseconds(500));
  cell.table.SetFault(TableFault::kNone);
  cell.Run(seconds(4));
  cell.table.Release();
  CHECK(cell.instances["instance-0"].served.empty());
  CHECK_FALSE(cell.instances["instance-0"].ownership->IsCertain());
  cell.Run(seconds(4));
  CHECK(cell.CountUnowned() == 0);
}

// Guards against a paused process that disturbs the process that replaced it under the same id.
TEST_CASE("ownership: a restarted instance replaces its earlier incarnation") {
  OwnershipCell cell;
  cell.Start(2);
  cell.Run(seconds(10));
  auto expected = cell.OwnerNames();
  for (std::string& owner : expected) owner = owner == "instance-0" ? "restarted" : owner;
  CellInstance& old = cell.instances["instance-0"];
  const auto old_epochs = old.served;
  old.running = false;
  cell.Start("instance-0", "restarted");
  cell.Run(seconds(4));
  CHECK(cell.OwnerNames() == expected);
  for (const auto& [partition, epoch] : old_epochs) {
    CHECK(ReadRow(cell.table, partition).epoch() == epoch + 1);
    CHECK_FALSE(old.ownership->OwnedEpoch(PartitionId{partition}));
  }
  for (int i = 0; i < 10; ++i) {
    cell.Run(milliseconds(500));
    old.ownership->Tick(cell.now);
  }
  CHECK(old.superseded);
  CHECK(old.ownership->Owned().empty());
  CHECK_FALSE(cell.instances["restarted"].superseded);
  CHECK(cell.OwnerNames() == expected);
}

// Guards against partitions that change owners several times, or stay without one, when an instance
// leaves.
TEST_CASE("ownership: a leaving instance hands each partition to its assigned owner directly") {
  OwnershipCell cell;
  cell.Start(4);
  cell.Run(seconds(10));
  CellInstance& leaving = cell.instances["instance-2"];
  const auto owned = leaving.served;
  leaving.leaving = true;
  leaving.ownership->Leave();
  cell.Run(seconds(3));
  CHECK(leaving.ownership->Owned().empty());
  CHECK(cell.CountUnowned() == 0);
  for (const auto& [partition, epoch] : owned) {
    CHECK(ReadRow(cell.table, partition).epoch() == epoch + 1);
  }
}

// Guards against an owner that goes on acting after a hand-over whose answer was lost.
TEST_CASE("ownership: a hand-over whose answer is lost leaves one owner") {
  OwnershipCell cell;
  cell.Start(2);
  cell.Run(seconds(10));
  CellInstance& leaving = cell.instances["instance-0"];
  leaving.leaving = true;
  leaving.ownership->Leave();
  cell.table.SetFault(TableFault::kLoseAnswers);
  cell.Run(milliseconds(500));
  cell.table.SetFault(TableFault::kDown);
  cell.Run(seconds(10));
  for (unsigned p = 0; p < cell.options.partition_count; ++p) {
    if (leaving.ownership->OwnedEpoch(PartitionId{p})) {
      CHECK(ReadRow(cell.table, p).owner() != "instance-1");
    }
  }
  cell.table.SetFault(TableFault::kNone);
  cell.Run(seconds(5));
  CHECK(cell.CountUnowned() == 0);
  CHECK(leaving.served.empty());
}

// Guards against a joining instance that gets no partitions, and against moves between the others.
TEST_CASE("ownership: a joining instance gets its share") {
  for (const unsigned count : {2U, 8U}) {
    OwnershipCell cell;
    cell.Start(count);
    cell.Run(seconds(10));
    const auto before = cell.OwnerNames();
    cell.Start(OwnershipCell::Name(count));
    cell.Run(seconds(10));
    CHECK(cell.CountUnowned() == 0);
    const unsigned share = cell.options.partition_count / (count + 1);
    CHECK(cell.instances[OwnershipCell::Name(count)].served.size() >= share / 2);
    CHECK(CountMoved(before, cell.OwnerNames()) <= 2 * (share + 1));
  }
}

// Guards against the loss of accepted work in a journal stream that later owners do not read.
TEST_CASE("ownership: the owner's journal stream is in the row before the partition is gained") {
  OwnershipCell cell;
  cell.Start(1);
  cell.Run(seconds(4));
  const std::string first = StreamName("instance-0", 1);
  CHECK(ReadRow(cell.table, 7).streams(0) == first);
  CHECK(cell.instances["instance-0"].streams[7].empty());

  Ownership& second = cell.Start("instance-0");
  cell.Run(seconds(4));
  CHECK(ReadRow(cell.table, 7).streams_size() == 2);
  CHECK(cell.instances["instance-0"].streams[7] == std::vector<std::string>{first});

  const auto version = second.OwnedVersion(PartitionId{7});
  second.RetireStreams(PartitionId{7}, {first, StreamName("instance-0", 2)});
  cell.table.SetFault(TableFault::kLoseAnswers);
  cell.Run(milliseconds(500));
  CHECK_FALSE(second.OwnedVersion(PartitionId{7}));
  CHECK(second.OwnedEpoch(PartitionId{7}));
  cell.table.SetFault(TableFault::kNone);
  cell.Run(seconds(2));
  REQUIRE(ReadRow(cell.table, 7).streams_size() == 1);
  CHECK(ReadRow(cell.table, 7).streams(0) == StreamName("instance-0", 2));
  CHECK(second.OwnedVersion(PartitionId{7}) > version);
}

// Guards against a partition that is dropped because the owner's removal of streams made an earlier
// journal batch fail, and against one that is kept although a worker knows a higher epoch.
TEST_CASE("ownership: a fenced partition is claimed again under a higher epoch") {
  OwnershipCell cell;
  cell.Start(1);
  cell.Run(seconds(4));
  cell.Start("instance-0");
  cell.Run(seconds(4));
  CellInstance& instance = cell.instances["instance-0"];
  const std::uint64_t epoch = instance.served[3];
  instance.ownership->OnFenced(PartitionId{3});
  CHECK(instance.served.count(3) == 0);
  cell.Run(seconds(2));
  CHECK(instance.served[3] == epoch + 1);

  instance.ownership->RetireStreams(PartitionId{3}, instance.streams[3]);
  cell.Run(milliseconds(500));
  instance.ownership->OnFenced(PartitionId{3});
  CHECK_FALSE(instance.ownership->OwnedEpoch(PartitionId{3}));
  cell.Run(seconds(2));
  CHECK(instance.ownership->OwnedEpoch(PartitionId{3}) == epoch + 1);
}

// Guards against a partition that nobody claims, because its row names a live instance that dropped
// it while another instance is the assigned owner.
TEST_CASE("ownership: a fenced partition that belongs elsewhere is claimed again") {
  OwnershipCell cell;
  cell.options.rebalance_delay = hours(1);
  cell.Start(1);
  cell.Run(seconds(4));
  cell.Start("instance-1");
  cell.Run(seconds(4));
  CellInstance& instance = cell.instances["instance-0"];
  REQUIRE(instance.served.size() == cell.options.partition_count);
  for (unsigned p = 0; p < cell.options.partition_count; ++p) {
    instance.ownership->OnFenced(PartitionId{p});
  }
  cell.Run(seconds(10));
  CHECK(cell.CountUnowned() == 0);
}

// Guards against a takeover while the table is down, and against a takeover from live owners once
// it is back.
TEST_CASE("ownership: an hour without the table") {
  OwnershipCell cell;
  // Without hand-overs, any change at a live owner would be a takeover.
  cell.options.rebalance_delay = hours(2);
  cell.Start(3);
  cell.Run(seconds(10));
  const auto before = cell.OwnerNames();
  cell.table.SetFault(TableFault::kDown);
  cell.Run(seconds(60));
  cell.instances["instance-1"].running = false;
  for (int minute = 1; minute < 60; ++minute) {
    cell.Run(seconds(60));
    for (unsigned p = 0; p < cell.options.partition_count; ++p) {
      CHECK(cell.OwnerNames()[p] == (before[p] == "instance-1" ? "" : before[p]));
    }
  }
  cell.table.SetFault(TableFault::kNone);
  cell.Run(cell.options.owner_timeout);
  CHECK(cell.CountUnowned() > 0);
  cell.Run(cell.options.watch_period);
  CHECK(cell.CountUnowned() == 0);
  for (unsigned p = 0; p < cell.options.partition_count; ++p) {
    if (before[p] != "instance-1") CHECK(cell.OwnerNames()[p] == before[p]);
  }
}

// Guards against a breaker that keeps live owners from renewing their rows for so long that they
// are replaced, and against one that delays takeovers for long.
TEST_CASE("ownership: an hour without the table, behind table guards") {
  OwnershipCell cell;
  cell.guarded = true;
  cell.options.rebalance_delay = hours(2);
  cell.Start(8);
  cell.Run(seconds(10));
  const auto before = cell.OwnerNames();
  cell.table.SetFault(TableFault::kDown);
  cell.Run(seconds(60));
  cell.instances["instance-1"].running = false;
  cell.Run(seconds(3540));
  // Gossip is gone as well, so that only the rows tell who is live.
  cell.isolated = true;
  cell.table.SetFault(TableFault::kNone);
  cell.Run(seconds(30));
  for (unsigned p = 0; p < cell.options.partition_count; ++p) {
    if (before[p] != "instance-1") CHECK(cell.OwnerNames()[p] == before[p]);
  }
  CHECK(cell.CountUnowned() == 0);
}

// Guards against a takeover that takes longer than the promised time after a failure.
TEST_CASE("ownership: a dead owner is replaced within the owner timeout and one watch period") {
  OwnershipCell cell;
  cell.Start(8);
  cell.Run(seconds(40));
  for (int offset = 0; offset < 4; ++offset) {
    cell.Run(milliseconds(500));
    const std::string dead = OwnershipCell::Name(static_cast<unsigned>(offset));
    cell.instances[dead].running = false;
    cell.Run(cell.options.owner_timeout + cell.options.watch_period);
    CHECK(cell.CountUnowned() == 0);
    cell.Start(dead);
    cell.Run(seconds(20));
  }
}

// Guards against owners that are replaced only because the others do not hear them by gossip.
TEST_CASE("ownership: an owner that gossip lost keeps its partitions while it renews its row") {
  OwnershipCell cell;
  cell.Start(2);
  cell.Run(seconds(10));
  const auto before = cell.OwnerNames();
  cell.isolated = true;
  cell.Run(seconds(60));
  CHECK(cell.OwnerNames() == before);
}

// Guards against partitions left for an instance that is live in gossip but cannot reach the table:
// those of a dead owner, and those that live owners would hand over to it.
TEST_CASE("ownership: an instance without the table gets no partitions") {
  OwnershipCell cell;
  cell.Start(4);
  cell.Run(seconds(10));
  CellInstance& disconnected = cell.instances["instance-1"];
  disconnected.path->cut = true;
  const auto owned = disconnected.served;
  cell.Run(seconds(10));
  cell.instances["instance-2"].running = false;
  cell.Run(seconds(30));
  CHECK(cell.CountUnowned() == 0);
  CHECK(disconnected.served == owned);
  disconnected.path->cut = false;
  cell.Run(seconds(15));
  CHECK(cell.CountUnowned() == 0);
  CHECK(disconnected.served.size() > owned.size());
}

// Guards against instances that use up the table's capacity while idle.
TEST_CASE("ownership: load on the table stays within its budget") {
  for (const unsigned count : {8U, 30U}) {
    OwnershipCell cell;
    cell.Start(count);
    cell.Run(seconds(20));
    const auto reads = cell.table.Reads();
    const auto writes = cell.table.Writes();
    cell.Run(seconds(600));
    const double reads_per_second = static_cast<double>(cell.table.Reads() - reads) / 600;
    const double writes_per_second = static_cast<double>(cell.table.Writes() - writes) / 600;
    MESSAGE(count, " instances: ", reads_per_second, " reads/s, ", writes_per_second, " writes/s");
    CHECK(reads_per_second <= 100);  // 5% of the table's 2,000 reads/s.
    CHECK(writes_per_second <= 0.5 * count + 0.1);
  }
}

// Guards against a table that fills up with rows of instances that no longer exist.
TEST_CASE("ownership: rows of instances that are gone are erased") {
  OwnershipCell cell;
  cell.Start(3);
  cell.Run(seconds(10));
  cell.instances["instance-0"].running = false;
  cell.Run(cell.options.erase_instance_after + seconds(60));
  std::size_t rows = 0;
  cell.table.Scan("instance/", [&](const Result<std::vector<schema::TableRow>>& result) {
    rows = result.value().size();
  });
  CHECK(rows == 2);
  CHECK(cell.CountUnowned() == 0);
}

}  // namespace
}  // namespace citronsill
