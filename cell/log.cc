#include "cell/log.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <memory>
#include <mutex>

#include "citronsill/log.h"
#include "schema/codes.pb.h"

namespace citronsill {
namespace {

// Size of the buffer: about a minute of log lines of a busy scheduler.
constexpr std::size_t kMaxBufferBytes = 256U << 10;
// The buffer is written as soon as it holds this much: a few pages of a pipe.
constexpr std::size_t kWriteBytes = 8U << 10;

// Buffers formatted lines and writes them to a non-blocking file descriptor.
class BufferSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  explicit BufferSink(int descriptor) : m_descriptor(descriptor) {}

  [[nodiscard]] std::uint64_t Dropped() const { return m_dropped; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (m_buffer.size() + line.size() > kMaxBufferBytes) {
      ++m_dropped;
      return;
    }
    m_buffer.append(line.data(), line.size());
    if (m_buffer.size() >= kWriteBytes) flush_();
  }

  void flush_() override {
    if (m_buffer.empty()) return;
    const ssize_t written = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
    if (written > 0) m_buffer.erase(0, static_cast<std::size_t>(written));
  }

 private:
  int m_descriptor;
  std::string m_buffer;
  std::uint64_t m_dropped = 0;
};

struct NodeLog {
  std::shared_ptr<BufferSink> sink;
  std::unique_ptr<spdlog::logger> logger;
};

NodeLog& Instance() {
  static NodeLog log;
  return log;
}

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarn:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

// Returns whether the text can be logged without quotes.
bool IsPlain(std::string_view text) {
  if (text.empty()) return false;
  for (const char c : text) {
    const bool is_plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                          (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == ':' ||
                          c == '/' || c == '@';
    if (!is_plain) return false;
  }
  return true;
}

}  // namespace

LogLine::LogLine(LogLevel level, std::string_view event)
    : m_enabled(Instance().logger && Instance().logger->should_log(ToSpdlog(level))),
      m_level(level) {
  if (m_enabled) m_text.append("event=").append(event);
}

LogLine::~LogLine() {
  if (m_enabled) Instance().logger->log(ToSpdlog(m_level), m_text);
}

LogLine& LogLine::Field(std::string_view key, std::string_view value) {
  if (!m_enabled) return *this;
  m_text.append(" ").append(key).append("=");
  if (IsPlain(value)) {
    m_text.append(value);
  } else {
    m_text.append(LogText(std::string(value)));
  }
  return *this;
}

LogLine& LogLine::Field(std::string_view key, bool value) {
  return Field(key, std::string_view(value ? "true" : "false"));
}

LogLine& LogLine::Field(std::string_view key, std::int64_t value) {
  if (m_enabled) fmt::format_to(std::back_inserter(m_text), " {}={}", key, value);
  return *this;
}

LogLine& LogLine::Field(std::string_view key, std::uint64_t value) {
  if (m_enabled) fmt::format_to(std::back_inserter(m_text), " {}={}", key, value);
  return *this;
}

LogLine& LogLine::Field(std::string_view key, double value) {
  if (m_enabled) fmt::format_to(std::back_inserter(m_text), " {}={:.3f}", key, value);
  return *this;
}

LogLine& LogLine::Field(std::string_view key, milliseconds value) {
  return Field(key, static_cast<std::int64_t>(value.count()));
}

LogLine& LogLine::Field(std::string_view key, const TaskRef& task) {
  if (m_enabled) {
    fmt::format_to(std::back_inserter(m_text), " {}={}.{}.{}.{}", key, task.job, task.occurrence,
                   task.step, task.index);
  }
  return *this;
}

LogLine& LogLine::Field(std::string_view key, const Error& error) {
  return Field(key, std::string_view(Describe(error)));
}

Result<void> StartNodeLog(const std::string& instance, const std::string& level) {
  const spdlog::level::level_enum parsed = spdlog::level::from_str(level);
  if (parsed == spdlog::level::off) {
    return Error{schema::CODE_INVALID_FIELD,
                 "log level is " + LogText(level) + "; allowed: debug, info, warn, error"};
  }
  // A reader of the log that is slow or gone must not block the process.
  ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  NodeLog& log = Instance();
  log.sink = std::make_shared<BufferSink>(STDOUT_FILENO);
  log.logger = std::make_unique<spdlog::logger>("node", log.sink);
  log.logger->set_level(parsed);
  log.logger->flush_on(spdlog::level::err);
  log.logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l instance=" + instance + " %v",
      spdlog::pattern_time_type::utc));
  return Success();
}

void FlushNodeLog() {
  if (Instance().logger) Instance().logger->flush();
}

std::uint64_t DroppedLogLines() { return Instance().sink ? Instance().sink->Dropped() : 0; }

}  // namespace citronsill
