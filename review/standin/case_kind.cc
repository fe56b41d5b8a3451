// Case: workers crash and start again under their ids as workers of another kind.
#include "cases.h"

namespace review {
namespace {

Worker::Kind KindA() { return {{"a", "r1-1"}, 32000, 64000}; }
Worker::Kind KindB() { return {{"b", "r1-1"}, 16000, 64000}; }

}  // namespace

int RunKind(const Options& options) {
  Cell cell(options, 3);
  constexpr std::size_t kWorkers = 8;
  constexpr int kRestarts = 36;
  for (std::size_t i = 0; i < kWorkers; ++i) {
    cell.AddWorker("i-7f3a91c" + std::to_string(i), i % 2 == 0 ? KindA() : KindB());
  }
  cell.StartAll();
  const TaskModel need_a{8000, 1000, milliseconds(2000), false, "a"};
  const TaskModel need_b{8000, 1000, milliseconds(2000), false, "b"};
  int submitted = 0;
  const auto submit_some = [&] {
    for (const TaskModel* task : {&need_a, &need_b}) {
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", ++submitted);
      cell.Submit(id, "batch", OneStep(6, *task), *task, 6);
    }
  };
  constexpr milliseconds kStep{500};
  std::mt19937 random(1);
  std::uniform_int_distribution<int> down(0, 1000);
  for (int restart = 0; restart < kRestarts; ++restart) {
    Worker& worker = *cell.workers[static_cast<std::size_t>(restart * 3) % kWorkers];
    if (options.trouble) worker.Kill();
    submit_some();
    cell.RunFor(kStep);
    submit_some();
    // Down for 1 to 2 s.
    cell.RunFor(kStep + milliseconds(down(random)));
    if (options.trouble) worker.Restart(worker.HasLabel("a") ? KindB() : KindA());
    submit_some();
    cell.RunFor(kStep);
  }
  cell.RunFor(milliseconds(5000));
  return cell.record.BrokenCount() > 0 ? 1 : 0;
}

}  // namespace review
