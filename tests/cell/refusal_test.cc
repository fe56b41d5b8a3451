// When callers that are turned away come back.
#include "cell/refusal.h"

#include <doctest/doctest.h>

#include <functional>

namespace citronsill {
namespace {

constexpr milliseconds kOutage{4500};
constexpr int kRetries = 4;

struct Served {
  int in_time = 0;
  int late = 0;
};

// Callers arrive all through an outage and come back as they are told; their work takes `run`.
Served Replay(milliseconds objective, milliseconds run,
              const std::function<milliseconds()>& retry_after) {
  Served served;
  for (milliseconds arrival{0}; arrival < kOutage; arrival += milliseconds(10)) {
    milliseconds at = arrival;
    for (int tries = 0; at < kOutage && tries < kRetries; ++tries) at += retry_after();
    const milliseconds age = at + run - arrival;
    if (at < kOutage) continue;
    if (age <= objective) {
      ++served.in_time;
    } else if (age <= kLateFactor * objective) {
      ++served.late;
    }
  }
  return served;
}

// Guards against callers that come back after their work has stopped to be worth anything: seconds
// 32 to 36 of jkanu-grown, trouble-2.
TEST_CASE("refusal: interactive callers come back while their work is worth something") {
  const milliseconds objective(1525);
  const milliseconds run(850);
  const Served told = Replay(objective, run, [&] { return RetryAfter(objective); });
  const Served every_two = Replay(objective, run, [] { return milliseconds(2000); });
  CHECK(told.in_time >= every_two.in_time);
  CHECK(told.in_time + told.late > every_two.in_time + every_two.late);
}

// Guards against batch callers that have used up their tries before the longest outage is over.
TEST_CASE("refusal: batch callers reach over the longest outage") {
  CHECK(RetryAfter(milliseconds(14000)) * kRetries >= milliseconds(9000));
}

TEST_CASE("refusal: callers of a queue that is not known yet are told a time as well") {
  CHECK(RetryAfter(milliseconds(0)) > milliseconds(0));
}

}  // namespace
}  // namespace citronsill
