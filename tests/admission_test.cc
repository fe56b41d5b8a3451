#include "citronsill/admission.h"

#include <doctest/doctest.h>

#include <set>

#include "citronsill/fairness.h"
#include "schema/citronsill.pb.h"

namespace citronsill {
namespace {

using std::chrono::milliseconds;

constexpr SteadyTime kStart{std::chrono::hours(1)};

AdmissionQuery MakeQuery(const std::string& job, const std::string& team, double work) {
  AdmissionQuery query;
  query.job = job;
  query.team = team;
  query.work = work;
  return query;
}

AdmissionControl MakeGate() {
  AdmissionOptions options;
  options.max_queue_wait = milliseconds(1000);
  AdmissionControl gate(options);
  gate.SetExpectedRate(1.0);
  return gate;
}

TEST_CASE("admission: refused callers get different times at the drain rate") {
  AdmissionControl gate = MakeGate();
  gate.OnQueued("team", 2.0, kStart);
  std::set<milliseconds> times;
  for (int i = 0; i < 10; ++i) {
    const Admission refused = gate.Decide(MakeQuery(std::to_string(i), "team", 0.1), kStart);
    REQUIRE(refused.code == schema::CODE_OVERLOADED);
    times.insert(refused.retry_after);
  }
  CHECK(times.size() == 10);
  // One after the other, 10 jobs of 0.1 cell-seconds take at least 0.9 s.
  CHECK(*times.rbegin() - *times.begin() >= milliseconds(900));
}

TEST_CASE("admission: a caller who returns in time goes before new ones") {
  AdmissionControl gate = MakeGate();
  gate.OnQueued("team", 2.0, kStart);
  const Admission refused = gate.Decide(MakeQuery("first", "team", 0.1), kStart);
  REQUIRE(refused.code == schema::CODE_OVERLOADED);
  const SteadyTime later = kStart + refused.retry_after;
  gate.OnTaken("team", 1.1, milliseconds(100), later);
  // Between the parts of the queue that new and returning callers may fill.
  CHECK(gate.QueueSeconds("team") > 0.6);
  CHECK(gate.QueueSeconds("team") <= 1.0);
  CHECK(gate.Decide(MakeQuery("other", "team", 0.1), later).code == schema::CODE_OVERLOADED);
  CHECK(gate.Decide(MakeQuery("first", "team", 0.1), later).code == schema::CODE_OK);
}

TEST_CASE("admission: the drain rate is measured while work waits") {
  AdmissionControl gate = MakeGate();
  SteadyTime now = kStart;
  gate.OnQueued("team", 100.0, now);
  // The cell drains a fifth of what was expected.
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(100);
    gate.OnTaken("team", 0.02, milliseconds(500), now);
  }
  CHECK(gate.DrainRate() == doctest::Approx(0.2).epsilon(0.6));
  CHECK(gate.DrainRate() < 0.4);
}

TEST_CASE("admission: the flood of one team does not get another team refused") {
  AdmissionControl gate = MakeGate();
  gate.OnQueued("flood", 50.0, kStart);
  CHECK(gate.Decide(MakeQuery("a", "flood", 0.1), kStart).code == schema::CODE_OVERLOADED);
  CHECK(gate.Decide(MakeQuery("b", "quiet", 0.1), kStart).code == schema::CODE_OK);
}

TEST_CASE("admission: without workers nothing is refused for load") {
  AdmissionControl gate = MakeGate();
  gate.SetExpectedRate(0.0);
  gate.OnQueued("team", 5.0, kStart);
  CHECK(gate.Decide(MakeQuery("a", "team", 1.0), kStart).code == schema::CODE_OK);
}

TEST_CASE("fairness: the dominant share counts slots, and a quota of 0 is no limit") {
  FairShares shares;
  shares.SetCapacity({100000, 100000, 0}, 10);
  shares.Add("team", {1000, 1000, 0}, true);
  CHECK(shares.Share("team") == doctest::Approx(0.1));
  shares.SetQuota("team", {2000, 0, 0});
  CHECK(shares.WithinQuota("team", {1000, 99999, 0}, 1));
  CHECK_FALSE(shares.WithinQuota("team", {1001, 1, 0}, 1));
  CHECK(shares.WhyNeverWithinQuota("team", {2000, 1, 0}, 1).empty());
  CHECK_FALSE(shares.WhyNeverWithinQuota("team", {2000, 1, 0}, 2).empty());
  shares.Remove("team", {1000, 1000, 0}, true);
  CHECK(shares.Share("team") == 0.0);
}

}  // namespace
}  // namespace citronsill
