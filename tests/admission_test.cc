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

AdmissionControl MakeAdmissionControl() {
  AdmissionOptions options;
  options.max_queue_wait = milliseconds(1000);
  AdmissionControl admission(options);
  admission.SetExpectedRate(1.0);
  return admission;
}

TEST_CASE("admission: refused callers get retry times spaced by the drain rate") {
  AdmissionControl admission = MakeAdmissionControl();
  admission.OnQueued("team", 2.0, kStart);
  std::set<milliseconds> times;
  for (int i = 0; i < 10; ++i) {
    const Admission refused = admission.Decide(MakeQuery(std::to_string(i), "team", 0.1), kStart);
    REQUIRE(refused.code == schema::CODE_OVERLOADED);
    times.insert(refused.retry_after);
  }
  CHECK(times.size() == 10);
  // The starts of 10 consecutive jobs of 0.1 cell-seconds each span at least 0.9 s.
  CHECK(*times.rbegin() - *times.begin() >= milliseconds(900));
}

TEST_CASE("admission: a caller who retries in time is admitted before new ones") {
  AdmissionControl admission = MakeAdmissionControl();
  admission.OnQueued("team", 2.0, kStart);
  const Admission refused = admission.Decide(MakeQuery("first", "team", 0.1), kStart);
  REQUIRE(refused.code == schema::CODE_OVERLOADED);
  const SteadyTime later = kStart + refused.retry_after;
  admission.OnTaken("team", 1.1, milliseconds(100), later);
  // Between the fractions of the queue that new callers and callers who retry in time may fill.
  CHECK(admission.QueueSeconds("team") > 0.6);
  CHECK(admission.QueueSeconds("team") <= 1.0);
  CHECK(admission.Decide(MakeQuery("other", "team", 0.1), later).code == schema::CODE_OVERLOADED);
  CHECK(admission.Decide(MakeQuery("first", "team", 0.1), later).code == schema::CODE_OK);
}

TEST_CASE("admission: the drain rate is measured while work waits") {
  AdmissionControl admission = MakeAdmissionControl();
  SteadyTime now = kStart;
  admission.OnQueued("team", 100.0, now);
  // The cell drains at a fifth of the expected rate.
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(100);
    admission.OnTaken("team", 0.02, milliseconds(500), now);
  }
  CHECK(admission.DrainRate() == doctest::Approx(0.2).epsilon(0.6));
  CHECK(admission.DrainRate() < 0.4);
}

TEST_CASE("admission: the backlog of one team does not cause refusals of another team") {
  AdmissionControl admission = MakeAdmissionControl();
  admission.OnQueued("flood", 50.0, kStart);
  CHECK(admission.Decide(MakeQuery("a", "flood", 0.1), kStart).code == schema::CODE_OVERLOADED);
  CHECK(admission.Decide(MakeQuery("b", "quiet", 0.1), kStart).code == schema::CODE_OK);
}

TEST_CASE("admission: without workers no job is refused because of the load") {
  AdmissionControl admission = MakeAdmissionControl();
  admission.SetExpectedRate(0.0);
  admission.OnQueued("team", 5.0, kStart);
  CHECK(admission.Decide(MakeQuery("a", "team", 1.0), kStart).code == schema::CODE_OK);
}

TEST_CASE("fairness: the dominant share counts slots, and a quota of 0 is no limit") {
  FairShares shares;
  shares.SetCapacity({100000, 100000, 0}, 10);
  shares.Add("team", {1000, 1000, 0}, true);
  CHECK(shares.Share("team") == doctest::Approx(0.1));
  shares.SetQuota("team", {2000, 0, 0});
  CHECK(shares.WithinQuota("team", {1000, 99999, 0}, 1));
  CHECK_FALSE(shares.WithinQuota("team", {1001, 1, 0}, 1));
  CHECK(shares.QuotaViolation("team", {2000, 1, 0}, 1).empty());
  CHECK_FALSE(shares.QuotaViolation("team", {2000, 1, 0}, 2).empty());
  shares.Remove("team", {1000, 1000, 0}, true);
  CHECK(shares.Share("team") == 0.0);
}

}  // namespace
}  // namespace citronsill
