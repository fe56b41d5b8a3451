#include "citronsill/settings.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "internal.h"

namespace citronsill {
namespace {

Error Invalid(const std::string& source, const std::string& key, const std::string& value,
              const std::string& allowed) {
  return Error{schema::CODE_SETTINGS_INVALID,
               source + ": " + key + " is \"" + value + "\"; allowed: " + allowed};
}

void SetDefault(std::chrono::milliseconds value, bool present,
                google::protobuf::Duration* duration) {
  if (!present) SetDuration(value, duration);
}

Result<void> CheckAddresses(const std::string& source, const schema::Settings& settings) {
  const std::array<std::pair<const char*, const std::string*>, 4> addresses{{
      {"api_address", &settings.api_address()},
      {"peer_address", &settings.peer_address()},
      {"table_address", &settings.table_address()},
      {"directory_address", &settings.directory_address()},
  }};
  for (const auto& [key, value] : addresses) {
    if (!ParseAddress(*value)) return Invalid(source, key, *value, "IP:port");
  }
  return Success();
}

}  // namespace

Result<void> CheckSettings(const std::string& source, schema::Settings* settings) {
  using std::chrono::milliseconds;
  if (settings->threads() == 0) settings->set_threads(2);
  if (settings->log_level().empty()) settings->set_log_level("info");
  if (settings->partition_count() == 0) settings->set_partition_count(64);
  SetDefault(milliseconds(30000), settings->has_task_lease(), settings->mutable_task_lease());
  SetDefault(milliseconds(6000), settings->has_owner_timeout(), settings->mutable_owner_timeout());
  SetDefault(milliseconds(10000), settings->has_default_deadline(),
             settings->mutable_default_deadline());
  SetDefault(milliseconds(10), settings->has_journal_interval(),
             settings->mutable_journal_interval());
  if (settings->instance_id().empty()) return Invalid(source, "instance_id", "", "a name");
  if (settings->failure_domain().empty()) return Invalid(source, "failure_domain", "", "a name");
  if (settings->threads() > 64) {
    return Invalid(source, "threads", std::to_string(settings->threads()), "1 to 64");
  }
  if (settings->partition_count() > 4096) {
    return Invalid(source, "partition_count", std::to_string(settings->partition_count()),
                   "1 to 4096");
  }
  if (ToMilliseconds(settings->owner_timeout()) < milliseconds(1000)) {
    return Invalid(source, "owner_timeout", ToJson(settings->owner_timeout()), "at least 1s");
  }
  if (ToMilliseconds(settings->task_lease()) < milliseconds(2000)) {
    return Invalid(source, "task_lease", ToJson(settings->task_lease()), "at least 2s");
  }
  return CheckAddresses(source, *settings);
}

Result<schema::Settings> LoadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) return Error{schema::CODE_SETTINGS_UNREADABLE, path + ": cannot be opened"};
  std::stringstream text;
  text << file.rdbuf();
  const auto json = nlohmann::json::parse(text.str(), nullptr, false, true);
  if (json.is_discarded()) {
    return Error{schema::CODE_SETTINGS_UNREADABLE, path + ": not valid JSON with comments"};
  }
  schema::Settings settings;
  if (auto parsed = FromJson(json.dump(), UnknownFields::kReject, &settings); !parsed) {
    return Error{schema::CODE_SETTINGS_INVALID, path + ": " + parsed.error().message};
  }
  BOOST_OUTCOME_TRY(CheckSettings(path, &settings));
  return settings;
}

}  // namespace citronsill
