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

}  // namespace
}  // namespace citronsill::model
