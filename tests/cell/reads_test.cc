// Tests the answers of a scheduler that may have been replaced.
#include "cell/reads.h"

#include <doctest/doctest.h>

#include "cell/limits.h"

namespace citronsill {
namespace {

struct ReadGateFixture {
  SteadyTime now{std::chrono::seconds(100)};
  ReadGate gate{[this] { return now; }};
  int answers_given = 0;

  void Run(milliseconds time) {
    for (const SteadyTime until = now + time; now < until; now += kLeaderTick) gate.OnTick();
  }
  bool Ask(ReadGate::Answer kind, bool store_fails = false) {
    return gate.Deliver(kind, store_fails, [this] { ++answers_given; });
  }
};

// Guards against a scheduler that was frozen and replaced and then denies jobs that its successor
// has accepted (soak seed 202).
TEST_CASE("reads: a scheduler that was frozen answers once it is known to still own the shard") {
  ReadGateFixture fixture;
  fixture.now += std::chrono::seconds(1);
  for (const auto kind : {ReadGate::Answer::kState, ReadGate::Answer::kUnknown}) {
    CHECK_FALSE(fixture.Ask(kind));
    CHECK_FALSE(fixture.Ask(kind, true));
  }
  // A transaction that was sent before the freeze proves nothing.
  fixture.gate.OnConfirmed(fixture.now - milliseconds(900));
  CHECK(fixture.answers_given == 0);
  fixture.gate.OnConfirmed(fixture.now);
  CHECK(fixture.answers_given == 4);
}

// Guards against delaying answers although nobody can have claimed the shard.
TEST_CASE("reads: a scheduler with a recent commit answers at once") {
  ReadGateFixture fixture;
  fixture.Run(kOwnerRefused - kLeaderTick);
  CHECK(fixture.Ask(ReadGate::Answer::kUnknown));
  CHECK(fixture.Ask(ReadGate::Answer::kState));
  CHECK(fixture.answers_given == 2);
}

// Guards against states that cannot be queried while the store is down.
TEST_CASE("reads: while the store fails, states are answered, but unknown jobs are not") {
  ReadGateFixture fixture;
  fixture.Run(std::chrono::seconds(3));
  CHECK(fixture.Ask(ReadGate::Answer::kState, true));
  CHECK_FALSE(fixture.Ask(ReadGate::Answer::kUnknown, true));
  CHECK(fixture.answers_given == 1);
}

}  // namespace
}  // namespace citronsill
