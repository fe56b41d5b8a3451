/// Structured log of a node: one line of key=value pairs for each event, on standard output. Lines
/// wait in a bounded buffer and are written without blocking; what does not fit is counted and
/// reported later.
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

/// Builds one line; it is logged at the end of the full expression.
class LogLine {
 public:
  LogLine(LogLevel level, std::string_view event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

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

/// Starts logging to standard output.
/// @param instance name that each line carries.
/// @param level debug, info, warn or error.
/// @returns CODE_INVALID_FIELD for an unknown level.
Result<void> StartNodeLog(const std::string& instance, const std::string& level);

/// Writes what is buffered, as far as standard output takes it at once. To be called every few tens
/// of milliseconds, and before the process ends.
void FlushNodeLog();

/// @returns lines that were dropped because the buffer was full.
std::uint64_t DroppedLogLines();

}  // namespace citronsill
