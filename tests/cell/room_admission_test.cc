// Who is turned away while there is too little room.
#include "cell/room_admission.h"

#include <doctest/doctest.h>

#include <array>
#include <random>

#include "cell/limits.h"

namespace citronsill {
namespace {

JobNeeds Lookup() { return {true, true, CellTime(0.001), milliseconds(600), milliseconds(3600)}; }
JobNeeds Batch(double work = 0.1) {
  return {false, true, CellTime(work), milliseconds(9000), milliseconds(40000)};
}

QueuedWork Queue(double interactive, double batch, double late = 0, double beyond = 0) {
  return {CellTime(interactive), CellTime(batch), CellTime(late), CellTime(beyond)};
}

// Guards against jobs that are refused beside free workers.
TEST_CASE("room: without a backlog everything is accepted") {
  JobNeeds late = Lookup();
  late.objective_slack = late.late_slack = milliseconds(-500);
  CHECK(DecideRoom(Queue(0.1, 0.2, 0.1, 0), late).verdict == RoomVerdict::kAccepted);
  CHECK(DecideRoom(Queue(0, 0), Batch()).verdict == RoomVerdict::kAccepted);
}

// Load: a crest of long batch work for 20 s beside short interactive work.
TEST_CASE("room: interactive work does not pay for a crest of batch work") {
  const QueuedWork queued = Queue(0.3, 20, 10, 5);
  CHECK(DecideRoom(queued, Lookup()).verdict == RoomVerdict::kAccepted);
  CHECK(DecideRoom(queued, Batch()).verdict == RoomVerdict::kAccepted);
  JobNeeds beyond = Batch();
  beyond.is_within_share = false;
  CHECK(DecideRoom(queued, beyond).verdict == RoomVerdict::kBeyondShare);
}

// Load: more interactive work at once than the cell can do in the time that callers wait.
TEST_CASE("room: what would be of no use is refused at once, with the time until it would be") {
  const RoomDecision decision = DecideRoom(Queue(6, 0), Lookup());
  CHECK(decision.verdict == RoomVerdict::kCannotBeInTime);
  CHECK(decision.expected_wait >= milliseconds(6000));
  CHECK(decision.retry_after >= milliseconds(2400));
  // After that time the backlog has shrunk so far that the job is accepted.
  const double left = 6.0 - std::chrono::duration<double>(decision.retry_after).count();
  CHECK(DecideRoom(Queue(left, 0), Lookup()).verdict == RoomVerdict::kAccepted);
}

// Guards against a large job that is taken although only small ones can still be done.
TEST_CASE("room: of two jobs with the same deadline the larger one is turned away first") {
  const QueuedWork queued = Queue(0, 39.5);
  CHECK(DecideRoom(queued, Batch(0.1)).verdict == RoomVerdict::kAccepted);
  CHECK(DecideRoom(queued, Batch(1.0)).verdict == RoomVerdict::kCannotBeInTime);
}

// Load: five seconds of 1.5 times the work that fits, of three kinds, a fifth of it beyond shares.
// Guards against an order of refusals that costs callers more: a queue that takes everything makes
// all kinds late.
TEST_CASE(
    "room: at a crest only work beyond shares is refused, and interactive work stays in time") {
  std::mt19937 random(3);
  QueuedWork queued;
  std::array<int, 3> refused{};  // Interactive, batch, beyond a share.
  std::array<int, 3> sent{};
  constexpr double kTick = 0.01;
  for (int tick = 0; tick < 500; ++tick) {
    const auto submit = [&](JobNeeds job, CellTime* group, std::size_t kind) {
      ++sent[kind];
      if (DecideRoom(queued, job).verdict == RoomVerdict::kAccepted) {
        *group += job.work;
      } else {
        ++refused[kind];
      }
    };
    submit({true, true, CellTime(0.004), milliseconds(600), milliseconds(3600)},
           &queued.interactive, 0);
    if (tick % 10 == 0) submit(Batch(0.08), &queued.batch, 1);
    if (std::uniform_int_distribution<int>(0, 9)(random) < 3) {
      submit({true, false, CellTime(0.01), milliseconds(600), milliseconds(3600)},
             &queued.beyond_share, 2);
    }
    // The cell works through the queue in the order of the groups.
    double work = kTick;
    for (CellTime* group :
         {&queued.interactive, &queued.batch, &queued.late, &queued.beyond_share}) {
      const double done = std::min(work, group->count());
      *group -= CellTime(done);
      work -= done;
    }
    CHECK(queued.interactive.count() <= 0.6);
  }
  CHECK(refused[0] == 0);
  CHECK(refused[1] == 0);
  CHECK(refused[2] > sent[2] / 4);
}

}  // namespace
}  // namespace citronsill
