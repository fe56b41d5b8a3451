/// Decides which waiting tasks start where, and which workers to ask the policy service about. Pure
/// functions of a snapshot: no clock, no calls.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <vector>

#include "cell/types.h"

namespace citronsill {

/// Whether a unit may run on a worker.
enum class Fit : std::uint8_t {
  kNever,    ///< Not allowed, or to be avoided.
  kUnknown,  ///< The policy service was not asked yet.
  kAllowed,  ///< Allowed, but a new ticket is needed first.
  kReady,    ///< May be started now.
};

/// Questions to the policy service, by the lanes that they may use.
enum class QuestionKind : std::uint8_t {
  kInteractive,  ///< All lanes.
  kBatch,        ///< Those that are not kept for interactive work.
  kLong,         ///< Those that are not kept for the other two.
};

/// Lanes to the policy service.
struct LaneCounts {
  std::uint32_t free = 0;        ///< Without a question.
  std::uint32_t free_batch = 0;  ///< Of them, those that may take a batch question.
  std::uint32_t free_long = 0;   ///< Of them, those that may take a long one.
};

/// Room that is expected to become free.
struct ExpectedEnd {
  SteadyTime at;
  Resources size;
};

struct PlanWorker {
  Resources free;
  Resources capacity;
  std::uint32_t rack = 0;
  bool takes_work = false;
  std::vector<ExpectedEnd> ends;  ///< In any order.
};

/// A number of tasks on one worker.
struct Share {
  std::uint32_t worker = 0;
  std::uint32_t count = 0;
};

/// Tasks of one step that wait: alike, and placed in one decision.
struct PlanUnit {
  std::uint32_t id = 0;        ///< Of the caller.
  std::uint32_t priority = 0;  ///< 0 is interactive work, which goes first.
  SteadyTime arrived;
  SteadyTime objective;      ///< When its job has to be done.
  SteadyTime late_limit;     ///< When doing it is worth hardly anything any more.
  milliseconds chain{0};     ///< Expected time from the start of this step to the end of the job.
  milliseconds duration{0};  ///< Expected duration of a task.
  Resources size;
  std::uint32_t count = 0;  ///< Tasks that wait.
  bool gang = false;        ///< All or none.
  bool rack_local = false;  ///< Slower on more than one rack.
  /// Goes before all others: a task that lasts and is away, or a member that its gang waits for.
  bool goes_first = false;
  bool any_lane = false;  ///< Its questions may use lanes that are kept for shorter ones.
  std::uint32_t max_per_worker = 0;  ///< 0 for no limit.
  std::uint32_t preferred_rack = 0;  ///< Where its data or the rest of it is; 0 for anywhere.
  std::vector<Fit> fits;             ///< By worker.
  /// Room that is kept for a gang while its tickets are renewed; not part of what is free.
  std::vector<Share> reserved;
  std::vector<std::uint32_t> present;  ///< By worker: tasks of the step there; empty for none.
  bool may_ask = false;                ///< Its queue has a policy service, and no question is open.
  QuestionKind question{};             ///< Which lanes its questions may use.
  double allowed_share = 1.0;          ///< Share of workers that are usually allowed.
};

struct PlanLimits {
  SteadyTime now;
  LaneCounts lanes;
  /// Tasks that may be placed; a gang that begins below it is placed whole.
  std::size_t most_placements = std::numeric_limits<std::size_t>::max();
  /// Units whose workers may be looked at, which is what a pass costs.
  std::size_t most_examined = std::numeric_limits<std::size_t>::max();
  /// Fills in what a unit says of workers (`fits`, `present`, `preferred_rack`, `duration`); called
  /// for the units that are examined only. May be empty when the units have it already.
  std::function<void(PlanUnit*)> describe = nullptr;
};

struct Placement {
  std::uint32_t unit = 0;  ///< Id of the unit.
  std::uint32_t worker = 0;
};

struct Question {
  std::uint32_t unit = 0;  ///< Id of the unit.
  std::vector<std::uint32_t> workers;
};

struct Reservation {
  std::uint32_t unit = 0;  ///< Id of the unit.
  std::vector<Share> shares;
};

/// Room on a worker that is kept for gangs until enough of it is free.
struct SetAsideRoom {
  std::uint32_t worker = 0;
  Resources size;
};

struct Plan {
  std::vector<Placement> placements;      ///< Those of a gang follow one another.
  std::vector<Reservation> reservations;  ///< All that are in force from now on.
  std::vector<Question> questions;        ///< Most urgent first.
  std::vector<std::uint32_t> yielding;    ///< Ids of units that leave all room to gangs.
  std::vector<SetAsideRoom> set_aside;    ///< For gangs that wait.
  std::vector<std::uint32_t> fruitless;   ///< Ids of units that were examined for nothing.
  std::size_t examined = 0;               ///< Units whose workers were looked at.
  bool placements_cut = false;            ///< Units were left because of `most_placements`.
  bool examined_cut = false;              ///< Units were left because of `most_examined`.
};

/// The order in which units get their turn.
///
/// Load pattern: more is asked for than there is room, for seconds at a time, by interactive tasks
/// that last less than a second and by batch tasks and gangs that may wait. Interactive work goes
/// first: it has no time to wait and leaves soon. The rest goes by the latest moment at which it
/// has to start to meet its objective. What cannot meet it any more goes behind what can, as long
/// as that is waiting.
/// @returns whether `a` goes before `b`.
bool GoesBefore(const PlanUnit& a, const PlanUnit& b, SteadyTime now);

/// @returns what to do now. `workers` is changed: room that was given away is taken off.
Plan MakePlan(const PlanLimits& limits, std::vector<PlanUnit> units,
              std::vector<PlanWorker>* workers);

}  // namespace citronsill
