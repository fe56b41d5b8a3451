// Runs one review case: cell_standin CASE PROGRAM FOLDER RECORD. The variable TROUBLE=0 leaves the
// disruption out.
#include <iostream>

#include "cases.h"

namespace review {

int AskAll(Cell* cell) {
  constexpr milliseconds kFinish{14000};
  constexpr milliseconds kIdle{3000};
  constexpr milliseconds kWatch{10000};
  cell->record.Line("end of the traffic");
  cell->RunFor(kFinish);
  std::map<std::string, SteadyTime> idle_since;
  std::set<std::string> lost;
  for (const SteadyTime until = Now() + kWatch; Now() < until;) {
    for (const auto& job : cell->jobs) {
      if (!job->accepted || !cell->IsIdle(*job)) {
        idle_since.erase(job->id);
        continue;
      }
      const SteadyTime since = idle_since.try_emplace(job->id, Now()).first->second;
      if (Now() < since + kIdle || !lost.insert(job->id).second) continue;
      cell->record.Broken("LOST", "nothing of accepted job " + job->id +
                                      " has run for 3 s, though a task's turn has come and there "
                                      "is room for it");
    }
    cell->RunFor(milliseconds(50));
  }
  int pending = 0;
  for (const auto& job : cell->jobs) {
    if (!job->accepted) continue;
    auto answers = std::make_shared<std::vector<unsigned>>();
    for (std::size_t node = 0; node < cell->nodes.size(); ++node) {
      ++pending;
      cell->Ask(job, node, [&pending, answers, cell, job](unsigned status) {
        --pending;
        answers->push_back(status);
        if (answers->size() < cell->nodes.size()) return;
        const auto known = std::count(answers->begin(), answers->end(), 200U);
        if (known == 0) {
          cell->record.Broken("LOST", "accepted job " + job->id +
                                          " gets no answer in time or is not known, at any node");
        }
      });
    }
  }
  cell->RunUntil([&pending] { return pending == 0; }, Cell::kDeadline + milliseconds(2000));
  for (const auto& job : cell->jobs) {
    cell->record.Line("job " + job->id + (job->accepted ? " accepted" : " not accepted") +
                      ", last state " + job->state);
  }
  return cell->record.BrokenCount() > 0 ? 1 : 0;
}

namespace {

int Run(const std::string& name, const Options& options) {
  if (name == "paths") return RunPaths(options);
  if (name == "row") return RunRow(options);
  if (name == "long") return RunLong(options);
  if (name == "partition") return RunPartition(options);
  if (name == "kind") return RunKind(options);
  return kExitNotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 5) return review::kExitNotRun;
  review::Options options;
  options.program = argv[2];
  options.folder = argv[3];
  options.record = argv[4];
  const char* const trouble = std::getenv("TROUBLE");
  options.trouble = trouble == nullptr || std::string(trouble) != "0";
  try {
    return review::Run(argv[1], options);
  } catch (const std::exception& error) {
    std::cerr << "cell_standin: " << error.what() << '\n';
    return review::kExitNotRun;
  }
}
