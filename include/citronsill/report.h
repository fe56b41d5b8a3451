/// Burn rates of the error budget and state of a cell, for operators: counts of one instance, their
/// sum over all instances, alerts, and text that fits on a phone.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronsill/result.h"
#include "citronsill/types.h"

namespace citronsill {

/// Windows over which answers are counted.
inline constexpr std::chrono::minutes kShortWindow{5};
inline constexpr std::chrono::minutes kLongWindow{60};

/// Service level objective: fraction of the requests that must be answered well. The rest is the
/// error budget.
inline constexpr double kServiceLevelObjective = 0.99;

/// Maximum size of the text of a report.
inline constexpr std::size_t kReportLines = 20;
inline constexpr std::size_t kReportColumns = 40;

/// @returns whether an answer with this code uses up error budget. Invalid input, rejections due to
/// quota or size, cancellations, and failures of the work itself do not.
bool UsesErrorBudget(schema::Code code);

/// Answers that one instance gave to callers, by work class and code. Thread-safe.
class AnswerCounts {
 public:
  AnswerCounts();
  ~AnswerCounts();

  /// @param work_class at most 64 classes are counted separately; further ones are counted as
  /// "other".
  void Count(const std::string& work_class, schema::Code code, SteadyTime now);

  /// Adds the counts of classes and rejections to a part of the report.
  void FillReportPart(SteadyTime now, schema::ReportPart* part) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Input of a report.
struct ReportInput {
  std::vector<schema::ReportPart> parts;        ///< From the instances that answered.
  std::vector<std::string> expected;            ///< Ids of all instances, including silent ones.
  std::optional<std::uint32_t> listed_workers;  ///< In the platform's directory, if known.
  std::int64_t now_unix_ms = 0;
};

/// Sums up the parts, without side effects. An instance without a part is listed as unknown and
/// contributes nothing.
schema::Report BuildReport(const ReportInput& input);

/// Active alerts, with hysteresis. Not thread-safe.
class AlertRules {
 public:
  /// Starts and ends alerts and adds the active ones, and the actions that they require, to the
  /// report.
  /// @remarks An alert starts when both windows reach its burn rates, and ends only when the short
  /// window burns at less than half of its rate, so that it does not flap at the threshold. Alerts
  /// of a class that no instance reports stay as they are.
  /// @returns the names of the alerts that started or ended, for the log.
  std::vector<std::string> Update(schema::Report* report);

 private:
  struct Key {
    std::string name;
    std::string work_class;
    auto operator<=>(const Key&) const = default;
  };
  std::map<Key, std::int64_t> m_since_unix_ms;
};

/// @returns at most `kReportLines` lines of `kReportColumns` columns.
std::string ReportText(const std::string& cell, const schema::Report& report);

/// @returns a small HTML page without scripts.
std::string ReportHtml(const std::string& cell, const schema::Report& report);

/// @returns the time of day in UTC as "HH:MM:SSZ".
std::string ClockTime(std::int64_t unix_ms);

}  // namespace citronsill
