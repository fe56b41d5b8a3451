/// Decides which waiting tasks start on which workers, and about which workers to ask the policy
/// service. Pure functions of a snapshot: no clock, no calls.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <vector>

#include "cell/customer_ledger.h"
#include "cell/types.h"

namespace citronsill {

/// Whether a unit may run on a worker.
enum class Fit : std::uint8_t {
  kNever,    ///< Not allowed, not suitable, or to be avoided.
  kUnknown,  ///< The policy service has not been asked yet.
  kAllowed,  ///< Allowed, but a new ticket is needed first.
  kReady,    ///< A task may start there now.
};

/// @returns how many tasks of `size` fit into `room`, at most `max_count`.
std::uint32_t FitCount(const Resources& room, const Resources& size, std::uint32_t max_count);

/// A worker on which a unit may run, with or without a new ticket.
struct KnownFit {
  std::uint32_t worker = 0;
  Fit fit = Fit::kAllowed;  ///< kAllowed or kReady.
};

/// Kinds of requests to the policy service, by the request slots that they may use.
enum class AdviceRequestKind : std::uint8_t {
  kInteractive,  ///< May use all request slots.
  kBatch,        ///< May use the request slots that are not reserved for interactive work.
  kLong,         ///< May use the request slots that are not reserved for the other two kinds.
};

/// Free request slots of the policy service; each carries one advice request at a time.
struct AdviceCapacity {
  std::uint32_t free = 0;        ///< Request slots without an open request.
  std::uint32_t free_batch = 0;  ///< Of the free ones, those that a batch request may use.
  std::uint32_t free_long = 0;   ///< Of the free ones, those that a long request may use.
};

/// Resources that are expected to become free when a task ends.
struct ExpectedEnd {
  SteadyTime at;
  Resources size;
};

struct PlanWorker {
  Resources free;
  Resources capacity;
  double speed = 1.0;             ///< Compared with the usual worker; 0.5: takes twice as long.
  std::uint32_t rack = 0;         ///< Id of its rack, from 1.
  bool takes_work = false;        ///< New tasks may be started on it.
  std::vector<ExpectedEnd> ends;  ///< In any order; see `PlanLimits::list_ends`.
};

/// A number of tasks on one worker.
struct Share {
  std::uint32_t worker = 0;
  std::uint32_t count = 0;
};

/// Waiting tasks of one step. They are alike and are placed in one decision.
struct PlanUnit {
  std::uint32_t id = 0;        ///< Id chosen by the caller.
  std::uint32_t priority = 0;  ///< 0 for interactive work, which goes first.
  CustomerIndex customer = kNoCustomer;
  /// Submitted beyond the share of its customer: goes behind what is within a share.
  bool is_beyond_share = false;
  SteadyTime arrived;
  SteadyTime objective;  ///< When the job should be finished.
  /// Until this time finishing the job late still has some value; after it, hardly any.
  SteadyTime late_limit;
  /// Expected time from the start of this step to the end of the job.
  milliseconds critical_path{0};
  milliseconds duration{0};  ///< Expected duration of a task on a worker of usual speed.
  Resources size;
  std::uint32_t count = 0;  ///< Number of waiting tasks.
  bool gang = false;        ///< The tasks start all together or not at all.
  bool rack_local = false;  ///< The tasks run slower on more than one rack.
  /// Goes before all other units: a long-running task that does not run, a member that its running
  /// gang waits for, or the overdue first task of a job while the scheduler is the bottleneck.
  bool goes_first = false;
  /// Its requests may also use request slots that are reserved for shorter ones.
  bool may_use_reserved_slots = false;
  std::uint32_t max_per_worker = 0;  ///< 0 for no limit.
  std::uint32_t preferred_rack = 0;  ///< Rack of its data or of its running tasks; 0 for none.
  /// Fit on each worker, by its index; empty when `known` holds the fits.
  std::vector<Fit> fits;
  /// Workers on which it may run. The policy service allows a step on a few dozen of a thousand
  /// workers, and only these are looked at, until it is asked about others.
  std::vector<KnownFit> known;
  /// Room that is reserved for a gang while its tickets are renewed; not part of the free
  /// resources.
  std::vector<Share> reserved;
  /// Tasks of the step that run on each worker, by its index; empty if there are none.
  std::vector<std::uint32_t> present;
  /// The queue uses the policy service, and the step has no open advice request and no pause after
  /// a failed one.
  bool may_ask = false;
  milliseconds advice_time{0};       ///< Expected duration of an advice request.
  milliseconds ticket_valid{0};      ///< How long a ticket can be used.
  AdviceRequestKind request_kind{};  ///< Which request slots its requests may use.
  /// Share of the workers that the policy service usually allows.
  double allowed_share = 1.0;
};

/// Time and limits of one planning pass.
struct PlanLimits {
  SteadyTime now;
  AdviceCapacity advice_capacity;
  /// Maximum number of tasks to place; a gang that begins below it is placed whole.
  std::size_t max_placements = std::numeric_limits<std::size_t>::max();
  /// Maximum number of units to examine. Examining a unit visits all workers and makes up the cost
  /// of a pass.
  std::size_t max_examined = std::numeric_limits<std::size_t>::max();
  /// What each customer may start below its limit, by its index; empty without limits.
  std::vector<Resources> customer_room = {};
  /// Fills in the fields of a unit that depend on workers (`fits` or `known`, `present`,
  /// `preferred_rack`, `duration`). Called only for the units that are examined. May be empty if
  /// the units are complete.
  std::function<void(PlanUnit*)> fill_worker_fields = nullptr;
  /// @returns the workers whose fit is `kUnknown`, for a unit without `fits`. Called only when the
  /// policy service is going to be asked.
  std::function<std::vector<std::uint32_t>(const PlanUnit&)> list_unknown = nullptr;
  /// @returns the expected ends of the tasks on a worker. Called only for the workers on which room
  /// may be set aside. May be empty if the workers are complete.
  std::function<std::vector<ExpectedEnd>(std::uint32_t worker)> list_ends = nullptr;
};

struct Placement {
  std::uint32_t unit = 0;  ///< Id of the unit.
  std::uint32_t worker = 0;
};

struct AdviceRequest {
  std::uint32_t unit = 0;  ///< Id of the unit.
  std::vector<std::uint32_t> workers;
};

struct Reservation {
  std::uint32_t unit = 0;  ///< Id of the unit.
  std::vector<Share> shares;
};

/// Room on a worker that is set aside for waiting gangs until enough room is free for them.
struct SetAsideRoom {
  std::uint32_t worker = 0;
  Resources size;
};

struct Plan {
  std::vector<Placement> placements;           ///< The placements of a gang are consecutive.
  std::vector<Reservation> reservations;       ///< All reservations that are in force from now on.
  std::vector<AdviceRequest> advice_requests;  ///< Most urgent request first.
  /// Ids of units that got no room because it is left to gangs.
  std::vector<std::uint32_t> yielding;
  /// Ids of units of which tasks wait for the limit of their customer.
  std::vector<std::uint32_t> over_limit;
  std::vector<SetAsideRoom> set_aside;   ///< Room set aside for waiting gangs.
  std::vector<std::uint32_t> undecided;  ///< Ids of units that were examined without a decision.
  std::size_t examined = 0;              ///< Number of units that were examined.
  std::size_t pairs = 0;                 ///< Pairs of a unit and a worker that were looked at.
  bool placement_limit_reached = false;  ///< Units were skipped because of `max_placements`.
  bool examine_limit_reached = false;    ///< Units were skipped because of `max_examined`.
};

/// Scheduling order of units.
///
/// Matters when, for seconds at a time, interactive tasks that last less than a second, and batch
/// tasks and gangs that may wait, need more room than there is, or when a customer sends many times
/// its usual. After the units with `goes_first`, what was submitted within the share of its
/// customer goes before what was not, but for very late work, which goes last. In each of these
/// groups, work that can still meet its objective goes before late work, which still has value, and
/// that before very late work, which has hardly any (see `late_limit`). Within each of these
/// classes interactive work goes first: it cannot wait and ends soon. The rest goes by the latest
/// start that meets its objective, or, if it is late, by the shortest remaining time.
/// @returns whether `a` goes before `b`.
bool GoesBefore(const PlanUnit& a, const PlanUnit& b, SteadyTime now);

/// @returns the decisions of one planning pass. The free resources in `workers` are reduced by the
/// room that was given away.
Plan MakePlan(const PlanLimits& limits, std::vector<PlanUnit> units,
              std::vector<PlanWorker>* workers);

}  // namespace citronsill
