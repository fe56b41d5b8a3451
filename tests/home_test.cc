#include <doctest/doctest.h>

#include <rapidcheck.h>
#include <spdlog/spdlog.h>
#include <cstdlib>
#include <iostream>

#include "cell.h"

namespace citronsill {
namespace {

schema::Request MakeRequest(const std::string& work_class, const std::string& key,
                            unsigned tasks = 1) {
  schema::Request request;
  request.set_work_class(work_class);
  request.set_team("team");
  request.set_key(key);
  request.set_payload("payload of " + key);
  request.set_task_count(tasks);
  request.mutable_size()->set_processors(1);
  SetDuration(milliseconds(300), request.mutable_run_time());
  return request;
}

// Turns logging off, because thousands of recoveries would fill the log.
struct LogsOff {
  LogsOff() { spdlog::set_level(spdlog::level::off); }
  ~LogsOff() { spdlog::set_level(spdlog::level::info); }
};

enum class StepKind {
  kSubmit,
  kRepeat,
  kCancel,
  kKill,
  kPause,
  kResume,
  kTableDown,
  kTableLosesAnswers,
  kTableUp,
  kWorkerUnreachable,
  kWorkerReachable,
  kTakeOver,
  kRemoveWorker,
  kLast = kRemoveWorker
};

struct Step {
  int kind = 0;    // A `StepKind`.
  int choice = 0;  // Selects the class, request, worker or partition that the step affects.
  int wait = 0;    // Milliseconds after the step.
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << step.kind << ", " << step.choice << ", " << step.wait << "}";
}

void Apply(ModelCell& cell, const Step& step, int& requests) {
  static const char* const classes[] = {"quote", "fitting", "order", "plan"};
  const auto worker = static_cast<std::size_t>(step.choice) % cell.workers.size();
  const PartitionId partition{static_cast<std::uint32_t>(step.choice) % kModelPartitions};
  const auto owner = cell.OwnerOf(partition);
  const auto request = [&] {
    auto found = cell.callers.begin();
    std::advance(found, step.choice % static_cast<int>(cell.callers.size()));
    return found->second.request;
  };
  switch (static_cast<StepKind>(step.kind)) {
    case StepKind::kSubmit: {
      schema::Request submitted =
          MakeRequest(classes[step.choice % 4], "key-" + std::to_string(requests++),
                      1U + static_cast<unsigned>(step.choice / 4 % 2));
      submitted.set_no_wait(step.choice / 8 % 2 == 0 && submitted.work_class() != "quote");
      cell.Submit(submitted);
      break;
    }
    case StepKind::kRepeat:
      if (!cell.callers.empty()) cell.Submit(request());
      break;
    case StepKind::kCancel:
      if (!cell.callers.empty()) cell.Cancel(RequestIdOf("team", request().key()));
      break;
    case StepKind::kKill:
      owner->process->Kill();
      break;
    case StepKind::kPause:
      owner->process->Pause();
      break;
    case StepKind::kResume:
      for (std::size_t i = 0; i < cell.instances.size(); ++i) cell.instances[i]->process->Resume();
      break;
    case StepKind::kTableDown:
      cell.table.SetFault(TableFault::kDown);
      break;
    case StepKind::kTableLosesAnswers:
      cell.table.SetFault(TableFault::kLoseAnswers);
      break;
    case StepKind::kTableUp:
      cell.table.SetFault(TableFault::kNone);
      break;
    case StepKind::kWorkerUnreachable:
      cell.workers[worker].reachable = false;
      break;
    case StepKind::kWorkerReachable:
      cell.workers[worker].reachable = true;
      break;
    case StepKind::kRemoveWorker:
      // At least two workers remain, and removals are rare.
      if (worker >= 2 && step.choice > 48) cell.Remove(cell.workers[worker]);
      break;
    case StepKind::kTakeOver: {
      // The new owner is an instance that may own, or have owned, partitions; if it is not up, a
      // new one.
      auto new_owner =
          cell.instances[static_cast<std::size_t>(step.choice) % cell.instances.size()];
      if (!new_owner->process->IsUp() || new_owner == owner) new_owner = cell.NewInstance();
      if (cell.TakeOver(partition, new_owner) && owner->process->IsUp()) {
        cell.time.After(milliseconds(step.choice * 20), [owner, partition, &cell] {
          if (cell.OwnerOf(partition) != owner) {
            owner->process->RunOrDefer([owner, partition] { owner->Lose(partition); });
          }
        });
      }
      break;
    }
  }
}

std::vector<std::string> RunSchedule(std::uint64_t seed, const std::vector<Step>& steps) {
  ModelCell cell(seed);
  cell.time.Run(milliseconds(200));
  int requests = 0;
  for (const Step& step : steps) {
    Apply(cell, step, requests);
    cell.time.Run(milliseconds(step.wait));
  }
  return cell.FinishAndCheck();
}

// Guards against work that is lost, run twice or reported wrongly under kills, pauses, takeovers,
// table outages, lost answers, late and repeated events, cancellations and repeated keys.
TEST_CASE("home: invariants hold under schedules of faults") {
  const LogsOff logs_off;
  const char* schedules = std::getenv("CITRONSILL_SCHEDULES");
  const char* seed = std::getenv("CITRONSILL_SEED");
  rc::detail::TestParams params;
  params.maxSuccess = schedules != nullptr ? std::atoi(schedules) : 1000;
  params.seed = seed != nullptr ? std::strtoull(seed, nullptr, 10) : 20261204;
  MESSAGE("seed " << params.seed << ", schedules " << params.maxSuccess);
  const auto step = rc::gen::apply(
      [](int kind, int choice, int wait) {
        // About half of the steps submit requests, so that faults occur while there is work.
        return Step{kind > static_cast<int>(StepKind::kLast) ? 0 : kind, choice, wait};
      },
      rc::gen::inRange(0, 2 * static_cast<int>(StepKind::kLast)), rc::gen::inRange(0, 64),
      rc::gen::element(0, 5, 15, 30, 100, 400, 1500));
  const auto result = rc::detail::checkTestable(
      [&] {
        const auto cell_seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto steps = *rc::gen::resize(30, rc::gen::container<std::vector<Step>>(step));
        const auto violations = RunSchedule(cell_seed, steps);
        for (const std::string& violation : violations) RC_LOG() << violation << "\n";
        RC_ASSERT(violations.empty());
      },
      rc::detail::TestMetadata{"home", "home"}, params);
  rc::detail::printResultMessage(result, std::cerr);
  CHECK(result.is<rc::detail::SuccessResult>());
}

}  // namespace
}  // namespace citronsill
