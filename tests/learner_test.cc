#include "citronsill/learner.h"

#include <doctest/doctest.h>

namespace citronsill {
namespace {

using std::chrono::milliseconds;

constexpr Resources kDeclared{4000, 8192, 1};

void ObserveMany(Learner& learner, const std::string& name, int count, const Resources& used,
                 milliseconds run_time) {
  for (int i = 0; i < count; ++i) learner.Observe(name, kDeclared, used, run_time);
}

// Guards against a few unusual runs that change the size of a whole class.
TEST_CASE("learner: declared values hold until enough runs were seen") {
  Learner learner;
  ObserveMany(learner, "plan", 19, Resources{2800, 6000, 1}, milliseconds(500));
  CHECK(learner.Estimate("plan", kDeclared, milliseconds(400)).size == kDeclared);
  CHECK(learner.Estimate("plan", kDeclared, milliseconds(400)).run_time == milliseconds(400));
  ObserveMany(learner, "plan", 1, Resources{2800, 6000, 1}, milliseconds(500));
  const LearnedEstimate learned = learner.Estimate("plan", kDeclared, milliseconds(400));
  CHECK(learned.size.processors_milli >= 2800);
  CHECK(learned.size.processors_milli <= 3000);
  CHECK(learned.size.memory_mb >= 6000);
  CHECK(learned.size.memory_mb <= 6400);
  CHECK(learned.size.accelerators == 1);
  CHECK(learned.run_time >= milliseconds(500));
  CHECK(learned.run_time <= milliseconds(560));
}

// Guards against wrong usage reports that make workers overcommitted or leave them empty.
TEST_CASE("learner: learned values stay near the declared ones") {
  Learner learner;
  ObserveMany(learner, "small", 100, Resources{1, 1, 0}, milliseconds(1));
  ObserveMany(learner, "large", 100, Resources{400000, 900000, 0}, milliseconds(900000));
  const LearnedEstimate small = learner.Estimate("small", kDeclared, milliseconds(1000));
  CHECK(small.size == Resources{2000, 4096, 1});
  CHECK(small.run_time == milliseconds(125));
  const LearnedEstimate large = learner.Estimate("large", kDeclared, milliseconds(1000));
  CHECK(large.size == Resources{8000, 16384, 1});
  CHECK(large.run_time == milliseconds(8000));
}

// Guards against a size of zero for runs that end before their first usage report.
TEST_CASE("learner: no size is learned from runs without a usage report") {
  Learner learner;
  ObserveMany(learner, "quote", 100, Resources{}, milliseconds(20));
  CHECK(learner.Estimate("quote", kDeclared, milliseconds(20)).size == kDeclared);
}

// Guards against a learned size that covers only the average run.
TEST_CASE("learner: the learned size covers the large runs of a class") {
  Learner learner;
  for (int i = 0; i < 50; ++i) {
    ObserveMany(learner, "batch", 9, Resources{2400, 4500, 0}, milliseconds(100));
    ObserveMany(learner, "batch", 1, Resources{5000, 4500, 0}, milliseconds(100));
  }
  CHECK(learner.Estimate("batch", kDeclared, milliseconds(100)).size.processors_milli >= 5000);
}

// Guards against a class that keeps its old learned size after its work has changed.
TEST_CASE("learner: recent runs outweigh old ones") {
  Learner learner;
  ObserveMany(learner, "batch", 1000, Resources{6000, 8192, 0}, milliseconds(100));
  ObserveMany(learner, "batch", 2000, Resources{2400, 8192, 0}, milliseconds(100));
  CHECK(learner.Estimate("batch", kDeclared, milliseconds(100)).size.processors_milli <= 2600);
}

// Guards against long runs that are treated as short
// ones, and short runs that are treated as long ones.
TEST_CASE("learner: classes with long runs are likely stragglers") {
  Learner learner;
  ObserveMany(learner, "quote", 500, Resources{2400, 4500, 0}, milliseconds(100));
  ObserveMany(learner, "fairing", 30, Resources{2400, 4500, 0}, milliseconds(5000));
  CHECK(learner.Estimate("fairing", kDeclared, milliseconds(100)).likely_straggler);
  CHECK_FALSE(learner.Estimate("quote", kDeclared, milliseconds(100)).likely_straggler);
  CHECK(learner.Estimate("unknown", kDeclared, milliseconds(5000)).likely_straggler);
  CHECK_FALSE(learner.Estimate("unknown", kDeclared, milliseconds(100)).likely_straggler);
}

// Guards against unbounded memory use when callers invent class names.
TEST_CASE("learner: classes beyond the limit keep their declared values") {
  Learner learner(LearnerOptions{.max_work_classes = 1});
  ObserveMany(learner, "first", 30, Resources{2400, 4500, 0}, milliseconds(100));
  ObserveMany(learner, "second", 30, Resources{2400, 4500, 0}, milliseconds(100));
  CHECK(learner.Estimate("first", kDeclared, milliseconds(100)).size != kDeclared);
  CHECK(learner.Estimate("second", kDeclared, milliseconds(100)).size == kDeclared);
}

}  // namespace
}  // namespace citronsill
