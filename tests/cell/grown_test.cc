// The cell at grown size, with instances that have a share of a core: what callers are owed while
// the scheduler has little processor time.
#include <doctest/doctest.h>

#include <cstdlib>

#include "grown.h"

namespace citronsill::model {
namespace {

// Of the jobs that are handed in, the site's gate allows 60% to be refused.
constexpr double kLeastAccepted = 0.4;

std::uint64_t Seed() {
  const char* const text = std::getenv("CITRONSILL_SEED");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

GrownOptions WithShare(double share) {
  GrownOptions options;
  options.shares = {share, share, share};
  options.seed = Seed();
  return options;
}

void CheckKept(const GrownCell& grown) {
  INFO(grown.report.Text());
  CHECK(grown.cell.history.violations.empty());
  CHECK(grown.report.unknown == 0);
  CHECK(grown.report.unanswered == 0);
  CHECK(grown.report.starved == 0);
  CHECK(grown.report.lasting_away == 0);
  CHECK(grown.report.late == 0);
  CHECK(static_cast<double>(grown.report.accepted) >=
        kLeastAccepted * static_cast<double>(grown.report.submitted));
}

// Guards against checks and loads that no scheduler could keep: with half of a core, as the strong
// instances of the site have, everything is kept and nothing is refused.
TEST_CASE("grown: a calm wave on half of a core is served") {
  GrownCell grown(WithShare(0.5));
  grown.Run();
  CheckKept(grown);
  CHECK(grown.report.given_up == 0);
}

// Guards against LOST of issue 16: tasks that could run wait for seconds beside free workers, since
// the scheduler accepts more than it has processor time for, and each pass looks at more.
TEST_CASE("grown: a calm wave on 0.12 of a core leaves no task waiting beside free workers") {
  GrownCell grown(WithShare(0.12));
  grown.Run();
  CheckKept(grown);
}

// Guards against a takeover that never ends: the new scheduler calls all workers at once, more than
// it takes in within their time-out, and plans after each answer, so that calls time out whose
// answers are there. 3 s is the time for which a task that could run may wait.
TEST_CASE("grown: a successor with 0.12 of a core has all workers and starts work within 3 s") {
  GrownOptions options = WithShare(0.12);
  options.shares[0] = 0.5;
  options.burst = 2.1;
  GrownCell grown(options);
  std::uint64_t starts = 0;
  // The crest of the wave is at 13.4 s, in the middle of the burst.
  grown.options.burst_at = milliseconds(11000);
  grown.At(milliseconds(13400), [&] {
    REQUIRE(grown.cell.Leader() != nullptr);
    grown.Fault();
    grown.cell.Leader()->Kill();
  });
  std::function<void()> wait = [&] {
    if (grown.cell.Leader() == nullptr) {
      grown.cell.loop.After(milliseconds(10), wait);
      return;
    }
    starts = grown.cell.history.starts;
    grown.cell.loop.At(grown.cell.Leader()->gained + GrownCell::kStarved, [&] {
      CHECK(grown.Attached() == GrownCell::kWorkers);
      CHECK(grown.cell.history.starts > starts);
    });
  };
  grown.At(milliseconds(13401), wait);
  grown.Run();
  CheckKept(grown);
}

// Guards against the collapse of a varied copy of the site: timed jobs hand in more than the
// scheduler can start, and what waits makes each pass dearer. The store and the workers are slow to
// answer, so that a time-out is short against the lag of the loop.
TEST_CASE("grown: timed jobs that pile up on 0.15 of a core, at a slow store, run in time") {
  GrownOptions options = WithShare(0.15);
  options.timed = 0.15;
  options.transaction = milliseconds(12);
  options.way = milliseconds(4);
  GrownCell grown(options);
  grown.Run();
  CheckKept(grown);
}

// Guards against a fix that holds only while the store and the workers answer at once: here a
// transaction takes 12 ms, and the way 4 ms.
TEST_CASE("grown: a slow store on 0.12 of a core leaves no task waiting beside free workers") {
  GrownOptions options = WithShare(0.12);
  options.transaction = milliseconds(12);
  options.way = milliseconds(4);
  GrownCell grown(options);
  grown.Run();
  CheckKept(grown);
}

// Guards against lasting tasks that are away for 6 s: a scheduler that is behind takes workers for
// silent and lets their leases lapse, and what ran there waits for its turn among the short work.
TEST_CASE("grown: lasting tasks are at work while a burst is served on 0.12 of a core") {
  GrownOptions options = WithShare(0.12);
  options.lasting = true;
  options.burst = 3.0;
  GrownCell grown(options);
  grown.Run();
  CheckKept(grown);
}

}  // namespace
}  // namespace citronsill::model
