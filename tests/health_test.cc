#include "citronsill/health.h"

#include <doctest/doctest.h>

namespace citronsill {
namespace {

using std::chrono::seconds;

SteadyTime At(int second) { return SteadyTime(seconds(second)); }

/// Ten known workers. `QuarantineWorker0` fails three different jobs on the first one.
struct Fixture {
  HealthTracker health;

  Fixture() {
    for (int i = 0; i < 10; ++i) health.AddWorker("worker-" + std::to_string(i));
  }

  void Fail(const std::string& worker, const std::string& job, int second = 0) {
    health.OnResult(worker, job, false, At(second));
  }

  void QuarantineWorker0() {
    for (const char* job : {"a", "b", "c"}) Fail("worker-0", job);
    REQUIRE(health.IsQuarantined("worker-0"));
  }

  /// Fails a probe on the first worker. @returns the delay in seconds until the next probe is due.
  int FailProbe(int second) {
    const std::string job = "probe-" + std::to_string(second);
    health.OnPlaced("worker-0", job, At(second));
    Fail("worker-0", job, second);
    return static_cast<int>(
        std::chrono::duration_cast<seconds>(*health.NextProbe(At(second)) - At(second)).count());
  }
};

// Guards against a worker that fails all tasks and still gets new ones.
TEST_CASE_FIXTURE(Fixture, "health: a worker that fails different jobs is quarantined") {
  Fail("worker-0", "a");
  Fail("worker-0", "a");
  Fail("worker-0", "a");
  CHECK(health.MayPlace("worker-0", At(0)));
  Fail("worker-0", "b");
  Fail("worker-0", "c");
  CHECK_FALSE(health.MayPlace("worker-0", At(1)));
  CHECK(health.MayPlace("worker-1", At(1)));
  CHECK(health.QuarantinedCount() == 1);
}

// Guards against quarantine for failures that are not consecutive.
TEST_CASE_FIXTURE(Fixture, "health: a success resets the count of consecutive failures") {
  for (const char* job : {"a", "b", "c", "d", "e", "f"}) {
    Fail("worker-0", job);
    health.OnResult("worker-0", "good", true, At(0));
  }
  CHECK(health.MayPlace("worker-0", At(0)));
}

// Guards against quarantine of good workers because of jobs that fail everywhere.
TEST_CASE_FIXTURE(Fixture, "health: a job that fails everywhere does not count against workers") {
  for (int job = 0; job < 30; ++job) {
    const std::string name = "job-" + std::to_string(job);
    for (int attempt = 0; attempt < 3; ++attempt) {
      Fail("worker-" + std::to_string((job + attempt) % 10), name);
    }
    CHECK(health.IsJobFailing(name));
  }
  CHECK(health.QuarantinedCount() == 0);
}

// Guards against a worker that stays in quarantine after its jobs turned out to be at fault.
TEST_CASE_FIXTURE(Fixture, "health: quarantine ends when one of its jobs fails elsewhere too") {
  QuarantineWorker0();
  Fail("worker-1", "a");
  CHECK_FALSE(health.IsQuarantined("worker-0"));
  health.OnResult("worker-2", "a", true, At(1));
  CHECK(health.IsQuarantined("worker-0"));
}

// Guards against a faulty worker that stays in service
// because a second faulty worker failed the same jobs.
TEST_CASE_FIXTURE(
    Fixture, "health: a job that succeeds elsewhere counts against all workers that failed it") {
  for (const char* job : {"a", "b", "c"}) {
    Fail("worker-0", job);
    Fail("worker-1", job);
  }
  CHECK(health.QuarantinedCount() == 0);
  for (const char* job : {"a", "b", "c"}) health.OnResult("worker-2", job, true, At(0));
  CHECK(health.IsQuarantined("worker-0"));
  CHECK(health.IsQuarantined("worker-1"));
}

// Guards against a quarantined worker that gets more than
// one probe at a time, or probes at a constant rate.
TEST_CASE_FIXTURE(Fixture,
                  "health: probes run one at a time, and their delay doubles up to a maximum") {
  QuarantineWorker0();
  CHECK_FALSE(health.MayPlace("worker-0", At(4)));
  CHECK(health.MayPlace("worker-0", At(5)));
  health.OnPlaced("worker-0", "p", At(5));
  CHECK_FALSE(health.MayPlace("worker-0", At(6)));
  Fail("worker-0", "p", 7);
  CHECK_FALSE(health.MayPlace("worker-0", At(16)));
  CHECK(health.MayPlace("worker-0", At(17)));
  CHECK(FailProbe(17) == 20);
  CHECK(FailProbe(100) == 40);
  for (int i = 0; i < 10; ++i) FailProbe(1000 + 1000 * i);
  CHECK(FailProbe(100000) == 600);
}

// Guards against a repaired worker that never returns
// to service, or returns after a single success.
TEST_CASE_FIXTURE(Fixture, "health: a worker returns to service after three successful probes") {
  QuarantineWorker0();
  for (int probe = 0; probe < 3; ++probe) {
    CHECK(health.IsQuarantined("worker-0"));
    health.OnPlaced("worker-0", "p" + std::to_string(probe), At(10));
    health.OnResult("worker-0", "p" + std::to_string(probe), true, At(10));
  }
  CHECK_FALSE(health.IsQuarantined("worker-0"));
  Fail("worker-0", "x");
  CHECK(health.MayPlace("worker-0", At(10)));
}

// Guards against a worker that stays in quarantine because its probe was stopped or never reported.
TEST_CASE_FIXTURE(Fixture, "health: a probe without a result does not block the next one") {
  QuarantineWorker0();
  health.OnPlaced("worker-0", "p", At(5));
  health.OnNoResult("worker-0", "p", At(6));
  CHECK(health.MayPlace("worker-0", At(6)));
  health.OnPlaced("worker-0", "q", At(6));
  CHECK_FALSE(health.MayPlace("worker-0", At(305)));
  CHECK(health.MayPlace("worker-0", At(306)));
}

// Guards against quarantine of the whole cell because of a fault that all workers share.
TEST_CASE_FIXTURE(Fixture, "health: quarantine is limited to a share of the workers") {
  for (int worker = 0; worker < 10; ++worker) {
    for (int job = 0; job < 5; ++job) {
      Fail("worker-" + std::to_string(worker), std::to_string(worker * 10 + job));
    }
  }
  CHECK(health.QuarantinedCount() == 3);
}

// Guards against retries that multiply the load when most attempts fail.
TEST_CASE("health: retries are limited to a tenth of first attempts") {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 10000; ++i) {
    budget.OnFirstAttempt();
    while (budget.TryTake()) ++retries;
  }
  CHECK(retries <= 1010);
  CHECK(retries >= 1000);
}

}  // namespace
}  // namespace citronsill
