// Case 1: a job whose steps name all earlier steps in "after".
#include "cases.h"

namespace review {
namespace {

constexpr int kSteps = 32;

// Steps that run one after the other. With `all_earlier`, each step names all steps before it in
// "after", otherwise only the one right before it; both mean the same.
std::string Pipeline(bool all_earlier) {
  std::string steps;
  for (int step = 0; step < kSteps; ++step) {
    std::string after;
    for (int earlier = all_earlier ? 0 : std::max(0, step - 1); earlier < step; ++earlier) {
      after += (after.empty() ? "" : ",") + std::to_string(earlier);
    }
    steps += (steps.empty() ? "" : ",") + std::string(R"({"count":1,"cpu":500,"memMb":64,)") +
             R"("estimateMs":100)" + (after.empty() ? "" : R"(,"after":[)" + after + "]") + "}";
  }
  return R"({"spec":"pipeline","steps":[)" + steps + "]}";
}

}  // namespace

int RunPaths(const Options& options) {
  Cell cell(options, 3);
  const Worker::Kind kind{{"a", "r1-1"}};
  for (int i = 0; i < 4; ++i) cell.AddWorker("i-7f3a91c" + std::to_string(i), kind);
  cell.StartAll();
  // The cell works.
  const TaskModel quick{500, 64, milliseconds(500), false, ""};
  const auto first = cell.Submit("00000000000000a1", "quick", OneStep(2, quick), quick, 2);
  cell.RunFor(milliseconds(3000));
  cell.Ask(first, 0);
  cell.RunFor(milliseconds(500));
  if (first->state != "succeeded") return kExitNotRun;
  // Jobs that are at work or wait when the pipeline comes.
  const TaskModel batch{2000, 256, milliseconds(8000), false, ""};
  for (int i = 0; i < 6; ++i) {
    cell.Submit("00000000000000b" + std::to_string(i), "batch", OneStep(4, batch), batch, 4);
  }
  cell.RunFor(milliseconds(1000));
  const TaskModel stage{500, 64, milliseconds(100), false, ""};
  cell.Submit("00000000000000c1", "batch", Pipeline(options.trouble), stage, kSteps);
  cell.RunFor(milliseconds(20000));
  return AskAll(&cell);
}

}  // namespace review
