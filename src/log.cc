#include "citronsill/log.h"

#include "internal.h"

namespace citronsill {
Result<void> ConfigureLog(const std::string& instance, const std::string& level) {
  BOOST_OUTCOME_TRY(SetLogLevel(level));
  spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l instance=" + instance + " %v",
                      spdlog::pattern_time_type::utc);
  return Success();
}

Result<void> SetLogLevel(const std::string& level) {
  static const std::set<std::string> levels{"trace", "debug", "info", "warn", "error"};
  if (!levels.contains(level)) {
    return Error{schema::CODE_INVALID_FIELD,
                 "level is " + LogText(level) + "; allowed: trace, debug, info, warn, error"};
  }
  spdlog::set_level(spdlog::level::from_str(level));
  return Success();
}

}  // namespace citronsill
