/// Calls to a worker, as the cell uses them. Back ends are in platform/ and tests/.
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

/// What is known of a worker from the list of workers.
struct WorkerDescription {
  std::string id;
  std::string machine;  ///< Hardware that the worker is one life of; may be empty.
  std::string service;  ///< Pool that it belongs to.
  std::string address;  ///< IP:port.
  std::string failure_domain;
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  milliseconds drain_remaining{0};  ///< Least time until a draining worker leaves.
  std::int64_t born_unix_ms = 0;    ///< Start of this life of the worker.
};

/// Name of a task: the same for all of its runs.
struct TaskRef {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  auto operator<=>(const TaskRef&) const = default;
};

struct StartOrder {
  TaskRef task;
  std::uint64_t run = 0;
  std::string payload;
  std::string save;    ///< State to resume from; may be empty.
  std::string ticket;  ///< Permission of the policy service; may be empty.
  std::uint64_t fence = 0;
  WorkerTime lease_until;  ///< Of everything that runs on the worker.
};

enum class StartVerdict {
  kStarted,     ///< Also when this run is there already.
  kStaleFence,  ///< The worker has seen a higher fence.
  kOldRun,      ///< A run at least as high was stopped or ended there.
  kTooLate,     ///< The lease of the order was over on arrival.
  kNoRoom,
  kBadTicket,
  kUnwilling,  ///< The worker is not well and has done nothing.
  kInvalid,
  kGone,  ///< Another life of a worker answers at this address.
};

struct StartAnswer {
  StartVerdict verdict{};
  std::optional<WorkerTime> clock;
};

struct StopAnswer {
  bool acknowledged = false;  ///< The run will not begin any more, and ends if it is there.
  bool stale_fence = false;
  bool gone = false;  ///< Another life of a worker answers at this address.
  std::optional<WorkerTime> clock;
};

struct RunningTask {
  TaskRef task;
  std::uint64_t run = 0;
  std::string save;
  int percent = 0;        ///< Progress; 100 for a long-running task at work.
  std::int64_t load = 0;  ///< Tail of a serving task in ms; thousandths of a core for any other.
};

struct EndedTask {
  std::uint64_t number = 0;  ///< Counts the ends of this life of the worker, from 1.
  TaskRef task;
  std::uint64_t run = 0;
  RunEnd end{};
  std::string save;
};

struct HoldOrder {
  std::uint64_t fence = 0;
  std::uint64_t acknowledged = 0;  ///< Ends up to this number may be forgotten.
  WorkerTime lease_until;          ///< 0 renews nothing.
  milliseconds wait{0};            ///< The worker answers after this time or at the next end.
};

struct HoldAnswer {
  bool stale_fence = false;
  bool gone = false;  ///< Another life of a worker answers at this address.
  WorkerTime clock;
  std::int64_t born_unix_ms = 0;  ///< 0 when the worker did not say.
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
};

/// Connections to one worker. An error means that it is not known whether the call was carried out,
/// or will be, even after later calls.
class WorkerLink {
 public:
  virtual ~WorkerLink() = default;
  virtual void Start(StartOrder order, milliseconds timeout,
                     std::function<void(Result<StartAnswer>)> done) = 0;
  virtual void Stop(const TaskRef& task, std::uint64_t run, std::uint64_t fence,
                    milliseconds timeout, std::function<void(Result<StopAnswer>)> done) = 0;
  virtual void Hold(HoldOrder order, milliseconds timeout,
                    std::function<void(Result<HoldAnswer>)> done) = 0;
  /// Sets the share of its work that a running task may do. @param percent 0 to 100.
  virtual void Pace(const TaskRef& task, std::uint64_t run, int percent, std::uint64_t fence,
                    milliseconds timeout, std::function<void(Result<bool>)> done) = 0;
};

/// Makes the link to a worker; a hook.
using WorkerLinkFactory =
    std::function<Result<std::unique_ptr<WorkerLink>>(const WorkerDescription& worker)>;

/// A ticket of the policy service: this worker may run the step.
struct Ticket {
  std::string worker;
  std::string ticket;
};

struct AdviceAnswer {
  std::vector<Ticket> tickets;  ///< Of the workers that may run the step.
  milliseconds valid{0};
};

/// Asks the policy service which workers may run a step.
/// @param done gets CODE_OVERLOADED when too many calls wait; any other error when it is not known.
/// @param step the index of the task is ignored.
using AskAdvice =
    std::function<void(const TaskRef& step, std::vector<std::string> workers, milliseconds timeout,
                       std::function<void(Result<AdviceAnswer>)> done)>;

}  // namespace citronsill
