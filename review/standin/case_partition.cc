// Case: the scheduler and a worker are cut off together; the next scheduler is restarted.
#include "cases.h"

namespace review {

int RunPartition(const Options& options) {
  Cell cell(options, 3);
  cell.AddWorker("i-7f3a91c0", Worker::Kind{{"a", "r1-1"}});
  cell.StartAll();
  Node* const first = cell.Scheduler();
  if (first == nullptr) return kExitNotRun;
  cell.record.Line("scheduler is " + first->name);
  const TaskModel task{4500, 4600, milliseconds(30000), false, ""};
  cell.Submit("00000000000000a1", "batch", OneStep(4, task), task, 4);
  cell.RunFor(milliseconds(2000));
  // Only now, so that all tasks are on the first worker.
  cell.AddWorker("i-7f3a91c1", Worker::Kind{{"a", "r1-2"}});
  cell.AddWorker("i-7f3a91c2", Worker::Kind{{"a", "r1-2"}});
  cell.RunFor(milliseconds(2000));
  Worker& cut_worker = *cell.workers[0];
  constexpr milliseconds kCut{11000};
  const SteadyTime cut_at = Now();
  if (options.trouble) {
    // The link between the two and everything else is cut. They still reach each other.
    cell.Cut(*first);
    const std::uint64_t fence = cut_worker.HighestFence();
    for (const auto& worker : cell.workers) worker->reachable.lowest = fence + 1;
    cut_worker.reachable = {0, fence};
    cut_worker.is_cut_from_store = true;
    cell.record.Line("worker " + cut_worker.Id() + " cut off from the store and the other nodes");
  }
  cell.RunFor(milliseconds(2500));
  Node* const second = options.trouble ? cell.Scheduler() : first;
  if (second == nullptr || (options.trouble && second == first)) return kExitNotRun;
  cell.record.Line("scheduler is " + second->name);
  // A planned restart.
  cell.Signal(*second, SIGTERM);
  cell.RunUntil([&] { return cell.HasEnded(*second); }, milliseconds(8000));
  cell.Start(*second);
  cell.RunUntil([&] { return Now() >= cut_at + kCut; }, kCut);
  if (options.trouble) {
    cell.Heal(*first);
    for (const auto& worker : cell.workers) worker->reachable = {};
    cut_worker.is_cut_from_store = false;
  }
  cell.RunFor(milliseconds(30000));
  return AskAll(&cell);
}

}  // namespace review
