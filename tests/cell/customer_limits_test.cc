// Limits and shares of customers: what each may have running, and whose work goes first.
#include <doctest/doctest.h>

#include <random>

#include "cell/customer_ledger.h"
#include "cell/planner.h"

namespace citronsill {
namespace {

using std::chrono::seconds;

constexpr SteadyTime kNow{seconds(1000)};
constexpr AdviceCapacity kSlots{16, 16, 16};

CustomerDirectoryPtr MakeCustomers(int count, double weight, const Resources& limit = {}) {
  std::vector<CustomerDirectory::Entry> entries;
  entries.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) entries.push_back({{"c" + std::to_string(i), weight, limit}, {}});
  return CustomerDirectory::Create(std::move(entries));
}

PlanWorker MakeWorker(std::int64_t milli) {
  PlanWorker worker;
  worker.free = worker.capacity = {milli, 100000, 0};
  worker.rack = 1;
  worker.takes_work = true;
  return worker;
}

PlanUnit MakeUnit(std::uint32_t id, CustomerIndex customer, std::uint32_t count, std::int64_t milli,
                  std::size_t workers) {
  PlanUnit unit;
  unit.id = id;
  unit.priority = 1;
  unit.customer = customer;
  unit.arrived = kNow;
  unit.objective = kNow + seconds(60);
  unit.late_limit = kNow + seconds(180);
  unit.critical_path = unit.duration = seconds(3);
  unit.size = {milli, 100, 0};
  unit.count = count;
  unit.fits.assign(workers, Fit::kReady);
  return unit;
}

std::int64_t PlacedMilli(const Plan& plan, const std::vector<PlanUnit>& units,
                         CustomerIndex customer) {
  std::int64_t sum = 0;
  for (const Placement& placement : plan.placements) {
    const PlanUnit& unit = units[placement.unit];
    if (unit.customer == customer) sum += unit.size.processors_milli;
  }
  return sum;
}

// Load: one customer sends eight times its usual beside twenty others, who stay within their
// shares. Guards against others that wait behind what it sends in excess.
TEST_CASE("customers: only what one sends in excess is beyond its share") {
  constexpr int kCustomers = 21;
  constexpr int kGreedy = 20;
  CustomerLedger ledger;
  ledger.SetCustomers(*MakeCustomers(kCustomers, 2.0));
  std::map<bool, int> greedy_jobs;
  int others_beyond = 0;
  for (int tick = 0; tick < 200; ++tick) {
    const SteadyTime at = kNow + milliseconds(100) * tick;
    for (int i = 0; i < kCustomers; ++i) {
      const CustomerIndex customer = ledger.IndexOf("c" + std::to_string(i));
      if (i == kGreedy) ++greedy_jobs[ledger.CountJob(customer, at)];
      if (i != kGreedy && tick % 10 == i % 10) others_beyond += !ledger.CountJob(customer, at);
    }
  }
  CHECK(others_beyond == 0);
  // 20 s at 2 jobs a second, and what may come at once.
  CHECK(greedy_jobs[true] >= 40);
  CHECK(greedy_jobs[true] <= 40 + 2 * 5 + 20);
  CHECK(greedy_jobs[true] + greedy_jobs[false] == 200);
  const CustomerIndex greedy = ledger.IndexOf("c20");
  const SteadyTime end = kNow + seconds(20);
  CHECK(ledger.TimeToShare(greedy, end) <= milliseconds(500));
  CHECK(ledger.IsWithinShare(greedy, end + ledger.TimeToShare(greedy, end)));
}

// Guards against a share that is new after each change of the configuration.
TEST_CASE("customers: a configuration gives nobody a new share") {
  CustomerLedger ledger;
  ledger.SetCustomers(*MakeCustomers(1, 1.0));
  const CustomerIndex customer = ledger.IndexOf("c0");
  while (ledger.CountJob(customer, kNow)) {
  }
  ledger.SetCustomers(*MakeCustomers(1, 1.0));
  CHECK_FALSE(ledger.IsWithinShare(customer, kNow));
  CHECK(ledger.IsWithinShare(customer, kNow + seconds(1)));
}

// Load: a burst beyond a share beside work within shares, with too little room for both.
TEST_CASE("customers: work beyond a share goes behind work within shares, hopeless work last") {
  PlanUnit within = MakeUnit(0, 1, 1, 1000, 1);
  PlanUnit beyond = MakeUnit(1, 2, 1, 1000, 1);
  beyond.is_beyond_share = true;
  beyond.priority = 0;
  beyond.objective = kNow + seconds(4);
  CHECK(GoesBefore(within, beyond, kNow));
  PlanUnit late = within;
  late.objective = kNow + seconds(1);
  CHECK(GoesBefore(late, beyond, kNow));
  PlanUnit hopeless = within;
  hopeless.objective = hopeless.late_limit = kNow + seconds(1);
  CHECK(GoesBefore(beyond, hopeless, kNow));
}

// Guards against starts above the limit of a customer, whatever is free.
TEST_CASE("customers: no plan exceeds a limit") {
  std::mt19937 random(7);
  const auto between = [&random](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  };
  for (int round = 0; round < 200; ++round) {
    std::vector<PlanWorker> workers(static_cast<std::size_t>(between(1, 12)),
                                    MakeWorker(std::int64_t{1000} * between(4, 64)));
    PlanLimits limits{kNow, kSlots};
    for (int i = 0; i < 4; ++i) {
      limits.customer_room.push_back(
          {std::int64_t{1000} * between(-20, 100), between(0, 3000), kUnlimitedRoom});
    }
    std::vector<PlanUnit> units;
    for (std::uint32_t id = 0; id < 20; ++id) {
      units.push_back(MakeUnit(id, static_cast<CustomerIndex>(between(0, 3)),
                               static_cast<std::uint32_t>(between(1, 30)),
                               std::int64_t{1000} * between(1, 9), workers.size()));
      units.back().gang = between(0, 2) == 0;
    }
    const Plan plan = MakePlan(limits, units, &workers);
    for (CustomerIndex customer = 0; customer < 4; ++customer) {
      const std::int64_t room = limits.customer_room[customer].processors_milli;
      CHECK(PlacedMilli(plan, units, customer) <= std::max<std::int64_t>(room, 0));
    }
  }
}

// Guards against a step that is wider than its customer's limit and never starts.
TEST_CASE("customers: a step wider than the limit starts in parts") {
  std::vector<PlanWorker> workers(4, MakeWorker(32000));
  PlanLimits limits{kNow, kSlots};
  limits.customer_room = {{kUnlimitedRoom, kUnlimitedRoom, kUnlimitedRoom},
                          {10000, kUnlimitedRoom, kUnlimitedRoom}};
  const std::vector<PlanUnit> units{MakeUnit(0, 1, 20, 2000, 4)};
  const Plan plan = MakePlan(limits, units, &workers);
  CHECK(plan.placements.size() == 5);
  CHECK(plan.over_limit == std::vector<std::uint32_t>{0});
}

// Load: a gang waits for the limit of its customer while other customers have work for all room.
// Guards against room, reservations or requests that it takes from them, and against small work of
// its own customer that takes each place below the limit.
TEST_CASE("customers: a gang that waits for a limit holds up only its own customer") {
  std::vector<PlanWorker> workers(4, MakeWorker(32000));
  PlanLimits limits{kNow, kSlots};
  limits.customer_room = {{kUnlimitedRoom, kUnlimitedRoom, kUnlimitedRoom},
                          {16000, kUnlimitedRoom, kUnlimitedRoom},
                          {kUnlimitedRoom, kUnlimitedRoom, kUnlimitedRoom}};
  PlanUnit gang = MakeUnit(0, 1, 10, 2000, 4);
  gang.gang = gang.may_ask = true;
  gang.objective = kNow + seconds(10);
  const std::vector<PlanUnit> units{gang, MakeUnit(1, 1, 4, 2000, 4), MakeUnit(2, 2, 64, 2000, 4)};
  const Plan plan = MakePlan(limits, units, &workers);
  CHECK(PlacedMilli(plan, units, 2) == 128000);
  CHECK(PlacedMilli(plan, units, 1) == 0);
  CHECK(plan.reservations.empty());
  CHECK(plan.set_aside.empty());
  CHECK(plan.advice_requests.empty());
}

// Guards against a gang that waits for ever because its customer may never have that much running.
TEST_CASE("customers: what can never run below the limit is known at once") {
  CustomerLedger ledger;
  ledger.SetCustomers(*MakeCustomers(1, 0.0, {10000, 0, 0}));
  const CustomerIndex customer = ledger.IndexOf("c0");
  CHECK(ledger.CanEverRun(customer, {2000, 100000, 0}, 5));
  CHECK_FALSE(ledger.CanEverRun(customer, {2000, 1, 0}, 6));
  CHECK(ledger.CanEverRun(kNoCustomer, {2000, 1, 0}, 1000));
}

}  // namespace
}  // namespace citronsill
