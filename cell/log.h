/// Structured log of a node: one line of key=value pairs per event, on standard output. Lines are
/// kept in a bounded buffer and written without blocking. Lines that do not fit are dropped and
/// counted.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "cell/types.h"
#include "cell/worker.h"
#include "citronsill/result.h"

namespace citronsill {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Builds one line, which is logged by the destructor.
class LogLine {
 public:
  /// @param event value of the field `event`, with which the line begins.
  LogLine(LogLevel level, std::string_view event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  /// Adds a field. Text is quoted if necessary, durations are in milliseconds, a task is written as
  /// ID.OCCURRENCE.STEP.INDEX.
  LogLine& Field(std::string_view key, std::string_view value);
  LogLine& Field(std::string_view key, const char* value) {
    return Field(key, std::string_view(value));
  }
  LogLine& Field(std::string_view key, const std::string& value) {
    return Field(key, std::string_view(value));
  }
  LogLine& Field(std::string_view key, bool value);
  LogLine& Field(std::string_view key, std::int64_t value);
  LogLine& Field(std::string_view key, std::uint64_t value);
  LogLine& Field(std::string_view key, int value) {
    return Field(key, static_cast<std::int64_t>(value));
  }
  LogLine& Field(std::string_view key, std::uint32_t value) {
    return Field(key, static_cast<std::uint64_t>(value));
  }
  LogLine& Field(std::string_view key, double value);
  LogLine& Field(std::string_view key, milliseconds value);
  LogLine& Field(std::string_view key, const TaskRef& task);
  LogLine& Field(std::string_view key, const Error& error);

 private:
  bool m_enabled;
  LogLevel m_level;
  std::string m_text;
};

inline LogLine Log(LogLevel level, std::string_view event) { return {level, event}; }

/// Starts logging to standard output, which is made non-blocking.
/// @param instance instance name that is added to each line.
/// @param level debug, info, warn or error.
/// @returns CODE_INVALID_FIELD for an unknown level.
Result<void> StartNodeLog(const std::string& instance, const std::string& level);

/// Writes as much of the buffer as standard output accepts without blocking. To be called every few
/// tens of milliseconds, and before the process ends.
void FlushNodeLog();

/// @returns number of lines that were dropped because the buffer was full.
std::uint64_t DroppedLogLines();

}  // namespace citronsill
