// Who takes a shard over, and when.
#include "cell/claim.h"

#include <doctest/doctest.h>

#include "cell/commit.h"
#include "cell/limits.h"

namespace citronsill {
namespace {

// One instance beside a scheduler that it watches; both rows are at `version`.
struct Watch {
  Watch() {
    schema::OwnerRow self;
    self.set_instance("self");
    self.set_incarnation(7);
    ClaimHooks hooks;
    hooks.now = [this] { return now; };
    hooks.read_rows = [this] { ++reads; };
    hooks.write_rows = [this](const schema::OwnerRow& owner, const schema::HeadRow&,
                              std::uint64_t owner_version, std::uint64_t head_version) {
      ++claims;
      claimed = owner;
      CHECK(owner_version == version);
      CHECK(head_version == version);
    };
    hooks.on_gained = [this](const auto&, const auto&, std::uint64_t) { ++gained; };
    claimer = std::make_unique<Claimer>("s0", self, milliseconds(0), std::move(hooks));
    owner.set_instance("other");
    owner.set_incarnation(5);
    owner.set_term(3);
    claimer->OnOwner(owner, version);
  }

  // Ticks for some time; reads are answered with the rows as they are.
  void Run(milliseconds time, const OwnerLinkState& signs) {
    for (const SteadyTime until = now + time; now < until; now += kShardTick) {
      claimer->Tick(signs, true);
      if (reads > 0 && read_began == SteadyTime{}) read_began = now;
      if (reads == 0 || now < read_began + read_time) continue;
      read_began = {};
      for (; reads > 0; --reads) AnswerRead();
    }
  }

  void AnswerRead() {
    schema::HeadRow head;
    head.set_term(owner.term());
    std::vector<Row> rows{
        Row{{kHeadTable, "s0", kShardRowKey}, head.SerializeAsString(), head_version},
        Row{{kOwnerTable, "s0", kShardRowKey}, owner.SerializeAsString(), version}};
    claimer->OnRows(rows);
  }

  SteadyTime now{std::chrono::seconds(100)};
  milliseconds read_time{0};
  SteadyTime read_began{};
  std::uint64_t version = 20;
  std::uint64_t head_version = 20;
  schema::OwnerRow owner;
  schema::OwnerRow claimed;
  int reads = 0;
  int claims = 0;
  int gained = 0;
  std::unique_ptr<Claimer> claimer;
};

OwnerLinkState Heard(SteadyTime when) {
  OwnerLinkState signs;
  signs.is_linked = true;
  signs.heard = when;
  return signs;
}

// Guards against a takeover that waits for reads while the store is slow: inc-7457 on hobu-sched,
// where a shard that was given away had no scheduler for 1.3 s.
TEST_CASE("claim: a shard that was given away is claimed at once, without reading") {
  Watch watch;
  watch.owner.set_released(true);
  watch.claimer->OnOwner(watch.owner, ++watch.version);
  watch.claimer->Tick(Heard(watch.now), true);
  CHECK(watch.claims == 1);
  CHECK(watch.reads == 0);
  CHECK(watch.claimed.term() == 4);
}

// Guards against heirs that claim at the same time and queue up at a slow store.
TEST_CASE("claim: the second heir leaves the first one time for its claim") {
  Watch watch;
  watch.claimer->SetSuccessors({"first", "self"});
  watch.owner.set_released(true);
  watch.claimer->OnOwner(watch.owner, ++watch.version);
  watch.Run(kHeirStagger, Heard(watch.now));
  CHECK(watch.claims == 0);
  watch.Run(2 * kShardTick, Heard(watch.now));
  CHECK(watch.claims == 1);
}

// Guards against two schedulers in turn: an instance that lost its own link replaced a live one.
TEST_CASE("claim: a scheduler that still writes is not replaced, one that does not is") {
  Watch watch;
  const OwnerLinkState signs = Heard(watch.now);
  for (int i = 0; i < 20; ++i) {
    ++watch.head_version;
    watch.Run(kRenewPeriod, signs);
  }
  CHECK(watch.claims == 0);
  watch.version = watch.head_version;
  watch.claimer->OnOwner(watch.owner, watch.version);
  watch.Run(kOwnerSilence + kOwnerProbePeriod + 2 * kShardTick, signs);
  CHECK(watch.claims == 1);
}

// Load pattern: the scheduler's process is killed under load; work in flight has 0.7 s to spare.
// Guards against takeovers that begin only after the killed process was started again.
TEST_CASE("claim: a scheduler whose process has ended is replaced within 0.3 s") {
  Watch watch;
  OwnerLinkState signs = Heard(watch.now);
  signs.is_linked = false;
  signs.is_refused = true;
  watch.Run(milliseconds(300), signs);
  CHECK(watch.claims == 1);
}

// Load pattern: the scheduler's machine loses power under load.
// Guards against takeovers of which half a second is waiting: hobu-sched-grown trouble-3, second 3.
TEST_CASE("claim: a scheduler that falls silent is replaced within 0.6 s") {
  Watch watch;
  const OwnerLinkState signs = Heard(watch.now);
  watch.Run(milliseconds(600), signs);
  CHECK(watch.claims == 1);
}

// Guards against claims while the scheduler waits for a slow store, and its links are silent for a
// moment.
TEST_CASE("claim: with a slow store, a silent scheduler is given half a second") {
  Watch watch;
  watch.read_time = milliseconds(100);
  const OwnerLinkState signs = Heard(watch.now);
  watch.Run(kOwnerLinkSilence + watch.read_time + kOwnerSilenceMost, signs);
  CHECK(watch.claims == 0);
}

// Load pattern: a rolling restart while the store takes 50 times as long (hobu-sched, trouble-2).
// Guards against claims of a shard whose scheduler waits for the store: each costs several slow
// transactions.
TEST_CASE("claim: with a slow store, a scheduler is given the time of its writes") {
  Watch watch;
  watch.read_time = milliseconds(300);
  OwnerLinkState signs = Heard(watch.now);
  signs.is_linked = false;
  signs.is_refused = true;
  for (int i = 0; i < 10; ++i) {
    ++watch.head_version;
    watch.Run(milliseconds(400), signs);
  }
  CHECK(watch.claims == 0);
}

// Guards against a claim for every hiccup of a link.
TEST_CASE("claim: a scheduler that is heard is left alone") {
  Watch watch;
  for (int i = 0; i < 50; ++i) watch.Run(kPingPeriod, Heard(watch.now));
  CHECK(watch.claims == 0);
  CHECK(watch.reads == 0);
}

// Load pattern: all instances are restarted in turn.
// Guards against a shard that moves to the instance which is restarted next, again and again.
TEST_CASE("claim: of equally strong heirs the one that was started last goes first") {
  CHECK(OrderSuccessors({{"a", 250, 1000}, {"b", 250, 9000}, {"c", 120, 9500}, {"d", 250, 1000}}) ==
        std::vector<std::string>{"b", "a", "d", "c"});
  // Above half a core more strength makes no difference.
  CHECK(OrderSuccessors({{"a", 1000, 1000}, {"b", 500, 2000}}) ==
        std::vector<std::string>{"b", "a"});
}

// Load pattern: instances with the same share of a core, of which some have a link of 10 Mbit/s.
// Guards against a scheduler whose link is full at half of the load that it is meant for.
TEST_CASE("claim: an instance behind a narrow link comes after one with a wide link") {
  CHECK(SchedulingStrength(500, 200) == 500);
  CHECK(SchedulingStrength(500, 10) == 100);
  CHECK(SchedulingStrength(120, 10) == 100);
  CHECK(SchedulingStrength(250, 0) == 250);
}

}  // namespace
}  // namespace citronsill
