/// Service-level burn and state of a cell for operators: counts of one instance, their sum over all
/// instances, alerts, and text short enough for a phone.
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

/// Share of requests that have to be answered well. The rest is the error budget.
inline constexpr double kObjective = 0.99;

/// Size of the text of a report.
inline constexpr std::size_t kReportLines = 20;
inline constexpr std::size_t kReportColumns = 40;

/// @returns whether an answer with this code uses up error budget. Bad input, refusals by quota or
/// size, cancellations, and failures of the work itself do not.
bool IsBurn(schema::Code code);

/// Answers that one instance gave to callers, by work class and code. Thread-safe.
class AnswerCounts {
 public:
  AnswerCounts();
  ~AnswerCounts();

  /// @param work_class at most 64 different ones are kept; further ones are counted as "other".
  void Count(const std::string& work_class, schema::Code code, SteadyTime now);

  /// Adds classes and refusals to a part of the report.
  void Fill(SteadyTime now, schema::ReportPart* part) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// What a report is made of.
struct ReportInput {
  std::vector<schema::ReportPart> parts;        ///< From the instances that answered.
  std::vector<std::string> expected;            ///< Ids of all instances, the silent ones included.
  std::optional<std::uint32_t> listed_workers;  ///< Of the platform's list; none when not known.
  std::int64_t now_unix_ms = 0;
};

/// Sums the parts up. Pure. An instance without a part is listed as unknown and adds nothing.
schema::Report BuildReport(const ReportInput& input);

/// Alerts that hold, with hysteresis. Not thread-safe.
class AlertRules {
 public:
  /// Starts and ends alerts and adds those that hold, and what they ask for, to the report.
  /// @remarks An alert starts when both windows burn too fast, and ends only when the short window
  /// burns at less than half of that rate, so that it does not go on and off at the threshold. A
  /// class that no instance reports leaves its alerts as they are.
  /// @returns the names of alerts that started or ended, for the log.
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

/// @returns "HH:MM:SSZ".
std::string ClockTime(std::int64_t unix_ms);

}  // namespace citronsill
