// Case: a task that takes long, on sound workers.
#include "cases.h"

namespace review {

int RunLong(const Options& options) {
  Cell cell(options, 3);
  // Only one worker has the label; it has room for many of the tasks.
  for (int i = 0; i < 3; ++i) {
    cell.AddWorker("i-7f3a91c" + std::to_string(i), Worker::Kind{{"a", "r1-1"}});
  }
  cell.AddWorker("i-7f3a91c3", Worker::Kind{{"b", "r1-1"}});
  cell.StartAll();
  const TaskModel task{4500, 4600, options.trouble ? milliseconds(600000) : milliseconds(40000),
                       false, "b"};
  const auto job = cell.Submit("00000000000000f1", "batch", OneStep(1, task), task, 1);
  milliseconds idle{0};
  milliseconds longest_idle{0};
  constexpr milliseconds kStep{50};
  for (milliseconds spent{0}; spent < milliseconds(45000); spent += kStep) {
    cell.RunFor(kStep);
    idle = job->accepted && cell.IsIdle(*job) ? idle + kStep : milliseconds(0);
    longest_idle = std::max(longest_idle, idle);
  }
  cell.Ask(job, 0);
  cell.RunFor(milliseconds(500));
  std::string ends;
  for (const auto& [how, count] : cell.runs.ends) ends += " " + how + " " + std::to_string(count);
  cell.record.Line("starts " + std::to_string(cell.runs.starts) + ", ends" + ends +
                   ", longest time with nothing running " + std::to_string(longest_idle.count()) +
                   " ms");
  return AskAll(&cell);
}

}  // namespace review
