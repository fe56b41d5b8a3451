/// Interface to workers and to the policy service. Implementations are in platform/ and tests/.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cell/types.h"
#include "citronsill/result.h"

namespace citronsill {

/// Description of a worker from the list of workers.
struct WorkerDescription {
  std::string id;
  std::string machine;  ///< Machine that the worker runs on; may be empty.
  std::string service;  ///< Pool that the worker belongs to.
  std::string address;  ///< IP:port.
  std::string failure_domain;
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  milliseconds drain_remaining{0};  ///< Minimum time until a draining worker leaves.
  std::int64_t born_unix_ms = 0;    ///< When this incarnation of the worker was started.

  /// @returns whether only `drain_remaining` and `born_unix_ms` may differ.
  [[nodiscard]] bool IsSameExceptTimes(const WorkerDescription& other) const {
    return id == other.id && machine == other.machine && service == other.service &&
           address == other.address && failure_domain == other.failure_domain &&
           rack == other.rack && labels == other.labels && capacity == other.capacity &&
           draining == other.draining;
  }
};

/// Identifies a task. All runs of the task share it.
struct TaskRef {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  auto operator<=>(const TaskRef&) const = default;
};

/// A request to start a run.
struct StartOrder {
  TaskRef task;
  std::uint64_t run = 0;
  std::string payload;
  std::string checkpoint;   ///< Checkpoint to resume from; may be empty.
  std::string ticket;       ///< Permission of the policy service; may be empty.
  std::uint64_t fence = 0;  ///< Fencing token. Rises with each term and restart of the worker.
  /// New end of the lease of all runs on the worker. It rejects the start after this time.
  WorkerTime lease_until;
};

enum class StartVerdict {
  kStarted,     ///< Also when this run had already been started.
  kStaleFence,  ///< The worker has seen a higher fence.
  kOldRun,      ///< A run with the same or a higher number was stopped or has ended there.
  kTooLate,     ///< The lease in the order had expired on arrival.
  kNoRoom,
  kBadTicket,
  kUnavailable,  ///< The worker is unhealthy and did not start the run.
  kInvalid,
  kGone,  ///< Another incarnation of a worker answers at this address.
};

struct StartAnswer {
  StartVerdict verdict{};
  std::optional<WorkerTime> clock;
};

struct StopAnswer {
  bool acknowledged = false;  ///< The run can no longer begin, and ends if it is running.
  bool stale_fence = false;
  bool gone = false;  ///< Another incarnation of a worker answers at this address.
  std::optional<WorkerTime> clock;
};

struct RunningTask {
  TaskRef task;
  std::uint64_t run = 0;
  std::string checkpoint;
  int percent = 0;        ///< Progress; 100 for a long-running task that is working.
  std::int64_t load = 0;  ///< Serving task: tail latency in ms. Others: thousandths of a core.
};

/// The end of a run. The worker reports it until it is acknowledged.
struct EndedTask {
  std::uint64_t number = 0;  ///< Sequence number of ends within this incarnation, from 1.
  TaskRef task;
  std::uint64_t run = 0;
  RunEnd end{};
  std::string checkpoint;
};

/// The heartbeat of the scheduler to a worker: renews the lease, acknowledges ends and queries the
/// runs of the worker.
struct HoldOrder {
  std::uint64_t fence = 0;
  std::uint64_t acknowledged = 0;  ///< The worker may drop ends up to this number.
  WorkerTime lease_until;          ///< New end of the lease of all runs; 0 for no renewal.
  milliseconds wait{0};            ///< The worker answers after this time or at the next end.
  milliseconds timeout{0};         ///< The call is given up this long after `wait`.
};

struct HoldAnswer {
  bool stale_fence = false;
  bool gone = false;  ///< Another incarnation of a worker answers at this address.
  WorkerTime clock;
  std::int64_t born_unix_ms = 0;  ///< Start of this incarnation; 0 when not reported.
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
};

/// Connections to one worker. After an error it is unknown whether the call was carried out; it may
/// still be, even after later calls.
class WorkerLink {
 public:
  virtual ~WorkerLink() = default;
  virtual void Start(StartOrder order, milliseconds timeout,
                     std::function<void(Result<StartAnswer>)> done) = 0;
  virtual void Stop(const TaskRef& task, std::uint64_t run, std::uint64_t fence,
                    milliseconds timeout, std::function<void(Result<StopAnswer>)> done) = 0;
  virtual void Hold(HoldOrder order, milliseconds timeout,
                    std::function<void(Result<HoldAnswer>)> done) = 0;
  /// Throttles a running task to a percentage of its full speed.
  /// @param percent 0 to 100.
  /// @param done gets whether the worker accepted the call.
  virtual void Pace(const TaskRef& task, std::uint64_t run, int percent, std::uint64_t fence,
                    milliseconds timeout, std::function<void(Result<bool>)> done) = 0;
};

/// Hook that creates the link to a worker.
using WorkerLinkFactory =
    std::function<Result<std::unique_ptr<WorkerLink>>(const WorkerDescription& worker)>;

/// Permission of the policy service to run a step on a worker.
struct Ticket {
  std::string worker;
  std::string ticket;
};

struct AdviceAnswer {
  std::vector<Ticket> tickets;  ///< One for each worker that may run the step.
  milliseconds valid{0};        ///< How long the tickets are valid.
};

/// Asks the policy service which workers may run a step.
/// @param step step in question; the task index is ignored.
/// @param done gets CODE_OVERLOADED when too many calls wait; any other error when the answer is
/// unknown.
using AskAdvice =
    std::function<void(const TaskRef& step, std::vector<std::string> workers, milliseconds timeout,
                       std::function<void(Result<AdviceAnswer>)> done)>;

}  // namespace citronsill
