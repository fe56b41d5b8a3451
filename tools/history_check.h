/// Checks the answers to callers against the histories of the workers, independently of the state
/// that the product reports.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace citronsill {

/// Start or end of one attempt of a task on one worker.
struct HistoryEvent {
  std::int64_t at_us = 0;  ///< In microseconds, on a clock that all workers share.
  std::string worker;
  std::string request;      ///< Id of the request.
  std::uint32_t index = 0;  ///< Index of the task in its request.
  std::uint32_t attempt = 0;
  bool started = false;  ///< True for the start of the attempt, false for its end.
};

/// State of one request as its caller knows it at the end of a run.
struct CallerRecord {
  std::string request;  ///< Id of the request.
  std::string work_class;
  std::string payload;
  std::uint32_t task_count = 1;
  bool idempotent = true;
  bool exclusive = false;
  bool accepted = false;             ///< The caller was answered that the request is accepted.
  bool succeeded = false;            ///< The final outcome is CODE_OK.
  bool final = false;                ///< The caller got a final outcome.
  bool not_run = false;              ///< The caller was answered that the request was not run.
  std::vector<std::string> results;  ///< One for each task, by task index.
};

namespace history_detail {

/// Request id and task index.
using TaskId = std::pair<std::string, std::uint32_t>;

/// Time in which one attempt ran, in microseconds as in HistoryEvent.
struct Run {
  std::string worker;
  std::int64_t from = 0;
  std::int64_t until = INT64_MAX;  ///< INT64_MAX if the task still ran when the history was read.
};

inline std::map<TaskId, std::vector<Run>> CollectRuns(const std::vector<HistoryEvent>& events) {
  std::map<TaskId, std::vector<Run>> runs;
  std::map<std::pair<TaskId, std::pair<std::string, std::uint32_t>>, std::size_t> open_runs;
  for (const HistoryEvent& event : events) {
    const TaskId task{event.request, event.index};
    const auto key = std::make_pair(task, std::make_pair(event.worker, event.attempt));
    if (event.started) {
      open_runs[key] = runs[task].size();
      runs[task].push_back({event.worker, event.at_us});
    } else if (const auto found = open_runs.find(key); found != open_runs.end()) {
      runs[task][found->second].until = event.at_us;
    }
  }
  return runs;
}

inline bool AnyOverlap(const std::vector<Run>& runs) {
  for (std::size_t i = 0; i < runs.size(); ++i) {
    for (std::size_t j = i + 1; j < runs.size(); ++j) {
      if (runs[i].from < runs[j].until && runs[j].from < runs[i].until) return true;
    }
  }
  return false;
}

/// @returns whether there is a result for each task and each belongs to this request.
inline bool IsComplete(const CallerRecord& record) {
  if (record.results.size() != record.task_count) return false;
  for (const std::string& result : record.results) {
    if (result != record.work_class + " done: " + record.payload) return false;
  }
  return true;
}

}  // namespace history_detail

/// @param events events of all workers; those of one worker are in the order of its history.
/// @param records requests of all callers.
/// @returns one line for each violation; empty when all invariants hold.
inline std::vector<std::string> CheckHistory(const std::vector<HistoryEvent>& events,
                                             const std::vector<CallerRecord>& records) {
  using history_detail::TaskId;
  const auto runs = history_detail::CollectRuns(events);
  std::vector<std::string> violations;
  for (const CallerRecord& record : records) {
    const std::string name = record.work_class + " " + record.request;
    for (std::uint32_t index = 0; index < record.task_count; ++index) {
      const auto found = runs.find(TaskId{record.request, index});
      if (found == runs.end()) continue;
      if (!record.idempotent && found->second.size() > 1) {
        violations.push_back(name + ": not idempotent, but started " +
                             std::to_string(found->second.size()) + " times");
      }
      if (record.exclusive && history_detail::AnyOverlap(found->second)) {
        violations.push_back(name + ": exclusive, but ran in two places at once");
      }
      if (record.not_run) violations.push_back(name + ": reported as not run, but was started");
    }
    if (record.succeeded && !history_detail::IsComplete(record)) {
      violations.push_back(name + ": the answer is incomplete or belongs to another request");
    }
    if (record.accepted && !record.final) {
      violations.push_back(name + ": accepted, but has no final outcome");
    }
  }
  return violations;
}

}  // namespace citronsill
