// Work of control at rest: it must not grow with the square of the number of instances or workers.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "cell/fleet.h"
#include "cell/limits.h"
#include "cell/scheduler.h"
#include "cell/succession.h"
#include "platform/platform.h"

namespace citronsill::model {
namespace {

// A scheduler that exchanges pings with a number of peers for a second.
struct PingRun {
  explicit PingRun(int peer_count) {
    SteadyTime now{std::chrono::hours(1)};
    const auto name = [](int peer) { return "instance-" + std::to_string(peer); };
    Succession succession([&now] { return now; },
                          [&] {
                            std::vector<Successor> successors;
                            for (int i = 0; i < peer_count; ++i) {
                              successors.push_back({name(i), 500, 1000 + i});
                              ++visits;
                            }
                            return successors;
                          });
    std::vector<int> keys(static_cast<std::size_t>(peer_count));
    std::vector<SteadyTime> due(static_cast<std::size_t>(peer_count), now);
    for (; now < SteadyTime(std::chrono::hours(1)) + milliseconds(1000); now += milliseconds(50)) {
      for (int i = 0; i < peer_count; ++i) {
        const auto index = static_cast<std::size_t>(i);
        if (now < due[index]) continue;
        due[index] = now + succession.PingPeriod(name(i));
        ++pings;
        if (const auto* list = succession.ListFor(&keys[index]); list != nullptr) {
          names += list->size();
          longest = std::max(longest, list->size());
        }
      }
    }
  }

  std::size_t visits = 0;  // Peers that were looked at to make the list.
  std::size_t pings = 0;
  std::size_t names = 0;    // Names in all pings.
  std::size_t longest = 0;  // Names in one ping.
};

// Guards against the collapse of large quiet-1: each of 1,460 pings a second gathered, sorted and
// sent the names of all 146 peers, a third of the scheduler's processor time before any traffic.
TEST_CASE("control cost: a ping costs the same with 10 and with 1,000 peers") {
  const PingRun few(10);
  const PingRun many(1000);
  const auto per_ping = [](std::size_t count, const PingRun& run) {
    return static_cast<double>(count) / static_cast<double>(run.pings);
  };
  INFO("visits ", few.visits, " ", many.visits, ", names ", few.names, " ", many.names, ", pings ",
       few.pings, " ", many.pings);
  CHECK(per_ping(many.visits, many) <= 4 * per_ping(few.visits, few));
  CHECK(many.longest == kMaxSuccessors);
  // Each peer gets the list once; unchanged, it is not sent again within the second.
  CHECK(many.names == 1000 * kMaxSuccessors);
}

TEST_CASE("succession: a peer gets the list when it changes, and now and then again") {
  SteadyTime now{std::chrono::hours(1)};
  std::vector<Successor> successors{{"a", 500, 1}, {"b", 500, 2}};
  Succession succession([&now] { return now; }, [&] { return successors; });
  int peer = 0;
  REQUIRE(succession.ListFor(&peer) != nullptr);
  CHECK(succession.ListFor(&peer) == nullptr);
  successors.pop_back();
  now += kSuccessionPeriod;
  const auto* list = succession.ListFor(&peer);
  REQUIRE(list != nullptr);
  CHECK(*list == std::vector<std::string>{"a"});
  now += kSuccessionRepeat;
  CHECK(succession.ListFor(&peer) != nullptr);
  // A new connection from the same peer gets it at once.
  succession.Forget(&peer);
  CHECK(succession.ListFor(&peer) != nullptr);
  CHECK(succession.PingPeriod("a") == kPingPeriod);
  CHECK(succession.PingPeriod("b") == kUnlistedPingPeriod);
}

// Guards against a scheduler that sends a new configuration, of up to 256 KB, to all peers at once,
// although each of them reads it from the store in the same moment: 147 times, 1.5 s of its link.
TEST_CASE("config push: a peer that reaches the store is left time to read the change itself") {
  SteadyTime now{std::chrono::hours(1)};
  ConfigPushes pushes([&now] { return now; });
  int peer = 0;
  int cut_off = 0;
  pushes.OnChange();
  CHECK_FALSE(pushes.IsDue(&peer, 7, {true}));
  CHECK(pushes.IsDue(&cut_off, 7, {false}));
  CHECK_FALSE(pushes.IsDue(&cut_off, 7, {false}));
  now += kConfigPushAfter;
  CHECK(pushes.IsDue(&peer, 7, {true}));
  CHECK_FALSE(pushes.IsDue(&peer, 7, {true}));
}

// Guards against copies that fill the link of a peer which is receiving the configuration, or has
// it on its way over the same link (issue 62).
TEST_CASE(
    "config push: each version goes over a link once, and not beside an answer of the store") {
  SteadyTime now{std::chrono::hours(1)};
  ConfigPushes pushes([&now] { return now; });
  int link = 0;
  int other = 0;
  pushes.OnChange();
  now += kConfigPushAfter;
  for (int ping = 0; ping < 100; ++ping, now += kPingPeriod) {
    CHECK_FALSE(pushes.IsDue(&link, 7, {true, true}));
    CHECK_FALSE(pushes.IsDue(&link, 7, {false, true}));
  }
  CHECK(pushes.IsDue(&link, 7, {true}));
  for (int ping = 0; ping < 100; ++ping, now += kPingPeriod) {
    CHECK_FALSE(pushes.IsDue(&link, 7, {true}));
    CHECK_FALSE(pushes.IsDue(&link, 7, {false}));
  }
  // Each link gets it, and so does a link that takes the place of a closed one.
  CHECK(pushes.IsDue(&other, 7, {true}));
  CHECK(pushes.IsDue(&link, 8, {true}));
  pushes.Forget(&link);
  CHECK(pushes.IsDue(&link, 8, {true}));
}

WorkerDescription MakeWorker(int number) {
  WorkerDescription worker;
  worker.id = "w" + std::to_string(number);
  worker.service = "pool";
  worker.address = worker.id;
  worker.capacity = {16000, 32768, 0};
  worker.born_unix_ms = 1000;
  return worker;
}

// A scheduler with attached workers that run nothing.
struct IdleScheduler {
  explicit IdleScheduler(int worker_count) {
    SchedulerOptions options;
    options.shard = "s0";
    options.term = 1;
    options.lease = milliseconds(5000);
    SchedulerHooks hooks;
    hooks.now = [this] { return now; };
    hooks.wall = [this] { return WallTime(now.time_since_epoch()); };
    hooks.may_lead = [] { return true; };
    hooks.hold = [this](const Worker& worker, const HoldOrder&, std::uint64_t id) {
      if (!worker.attached) holds.push_back(id);
    };
    hooks.advice_capacity = [this] {
      ++passes;
      return AdviceCapacity{};
    };
    hooks.has_writes = [] {};
    hooks.plan_soon = [this] { ++requested_passes; };
    scheduler = std::make_unique<Scheduler>(options, std::move(hooks));
    for (int i = 0; i < worker_count; ++i) scheduler->Workers().Put(MakeWorker(i));
    while (!holds.empty()) {
      const std::vector<std::uint64_t> answered = std::exchange(holds, {});
      for (const std::uint64_t id : answered) {
        HoldAnswer answer;
        answer.born_unix_ms = 1000;
        answer.clock = WorkerTime{milliseconds(1000)};
        scheduler->Workers().OnHold(id, answer);
      }
    }
  }

  SteadyTime now{std::chrono::hours(1)};
  std::vector<std::uint64_t> holds;
  int passes = 0;
  int requested_passes = 0;
  std::unique_ptr<Scheduler> scheduler;
};

// Guards against work for each heartbeat: 730 a second of 1,100 workers each asked for a planning
// pass, and each looked at all workers for those to attach.
TEST_CASE("control cost: a repeated entry of a worker asks for nothing") {
  IdleScheduler idle(100);
  idle.requested_passes = 0;
  for (int i = 0; i < 100; ++i) idle.scheduler->Workers().Put(MakeWorker(i));
  CHECK(idle.requested_passes == 0);
  WorkerDescription draining = MakeWorker(3);
  draining.draining = true;
  idle.scheduler->Workers().Put(draining);
  CHECK(idle.requested_passes == 1);
  CHECK_FALSE(idle.scheduler->Workers().Find("w3")->TakesWork());
}

// Guards against passes that prepare all workers while no task waits: a sixth of the processor time
// of the scheduler of large quiet-1 before any traffic.
TEST_CASE("control cost: a pass without waiting tasks looks at no worker") {
  IdleScheduler idle(1000);
  idle.scheduler->Plan();
  idle.passes = 0;
  for (int i = 0; i < 10; ++i) idle.scheduler->Plan();
  CHECK(idle.passes == 0);
  // The report of free resources stays current.
  CHECK(idle.scheduler->LastLoad().workers == 1000);
  CHECK(idle.scheduler->LastLoad().free.processors_milli == 16'000'000);
}

Row WorkerRow(const std::string& state, int sequence, int clock_ms) {
  return Row{
      {"servers", "", "i-1"},
      R"({"service":"s","address":"10.0.0.1:80","state":")" + state +
          R"(","coldRemainingMs":0,"capacity":{"cpu":16000},"labels":["a","r1"],"clockMs":)" +
          std::to_string(clock_ms) + R"(,"sequence":)" + std::to_string(sequence) + "}"};
}

TEST_CASE("worker digest: heartbeats of a worker in the same state have the same digest") {
  const std::uint64_t digest = platform::WorkerDigest(WorkerRow("ready", 4, 482113));
  CHECK(platform::WorkerDigest(WorkerRow("ready", 5, 483613)) == digest);
  CHECK(platform::WorkerDigest(WorkerRow("draining", 5, 483613)) != digest);
  CHECK(platform::WorkerDigest(Row{{"servers", "", "i-1"}, R"({"sequence":)"}) != digest);
  CHECK(platform::WorkerDigest(Row{{"servers", "", "i-1"}, ""}) != digest);
}

}  // namespace
}  // namespace citronsill::model
