// Case 2: a scheduled job whose occurrences overlap.
#include "cases.h"

namespace review {
namespace {

constexpr int kTasks = 120;
constexpr int kOccurrences = 24;
constexpr milliseconds kInterval{1500};
constexpr milliseconds kFirstDue{2000};

}  // namespace

int RunRow(const Options& options) {
  Cell cell(options, 3);
  const Worker::Kind kind{{"a", "r1-1"}};
  for (int i = 0; i < 6; ++i) cell.AddWorker("i-7f3a91c" + std::to_string(i), kind);
  cell.StartAll();
  // Each occurrence has 120 small tasks. They last longer than the interval, or not.
  const TaskModel part{50, 16, options.trouble ? milliseconds(60000) : milliseconds(1000), true,
                       ""};
  const std::int64_t first_due = UnixMs() + kFirstDue.count();
  const auto scheduled =
      cell.Submit("00000000000000d1", "batch",
                  OneStep(kTasks, part,
                          R"(,"maxRuns":)" + std::to_string(kOccurrences) + R"(,"startTimeMs":)" +
                              std::to_string(first_due) + R"(,"intervalMs":)" +
                              std::to_string(kInterval.count())),
                  part, kTasks * kOccurrences);
  scheduled->due = [first_due] {
    const std::int64_t since = UnixMs() - first_due;
    if (since < 0) return 0;
    return kTasks *
           static_cast<int>(std::min<std::int64_t>(kOccurrences, 1 + since / kInterval.count()));
  };
  // Other clients hand in small jobs all the while.
  const TaskModel batch{500, 64, milliseconds(3000), false, ""};
  for (int i = 10; i < 32; ++i) {
    cell.Submit("0000000000000e" + std::to_string(i), "batch", OneStep(2, batch), batch, 2);
    cell.RunFor(milliseconds(2000));
    if (i % 4 == 0) cell.Ask(scheduled, 0);
    std::size_t running = 0;
    for (const auto& worker : cell.workers) running += worker->Running();
    cell.record.Line("running " + std::to_string(running) + ", largest row that was sent " +
                     std::to_string(cell.store.LargestRow()) + " bytes, refused transactions " +
                     std::to_string(cell.store.OverLimit()));
  }
  return AskAll(&cell);
}

}  // namespace review
