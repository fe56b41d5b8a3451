#include "citronsill/settings.h"

#include <fstream>
#include <sstream>

#include "citronsill/fields.h"
#include "internal.h"

namespace citronsill {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kNameRule = "a name of 1 to 128 characters a-z, 0-9, '-', '_' and '.'";

// Each sync renews the leases, and syncs are at most this far apart; a lease must survive several
// lost ones.
constexpr milliseconds kMinTaskLease{4 * kWorkerSyncWait};
// An owner renews its row with every heartbeat; with a shorter timeout, live owners would be
// replaced.
constexpr milliseconds kMinOwnerTimeout{2 * kHeartbeatPeriod};
constexpr milliseconds kMaxInterval{24 * 3600 * 1000};
constexpr milliseconds kMaxJournalInterval{1000};
constexpr std::uint32_t kMaxThreads = 64;
constexpr std::uint32_t kMaxPartitions = 4096;
constexpr std::uint32_t kMaxAttempts = 100;
constexpr double kMaxProcessors = 1e6;
constexpr std::uint64_t kMaxMemoryMb = 1ULL << 40U;

Error Invalid(const std::string& source, const std::string& key, const std::string& value,
              std::string_view allowed) {
  return Error{schema::CODE_SETTINGS_INVALID,
               source + ": " + key + " is " + value + "; allowed: " + std::string(allowed)};
}

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

std::string Seconds(milliseconds value) {
  return fmt::format("\"{}s\"", static_cast<double>(value.count()) / 1000.0);
}

void SetDefaults(schema::Settings* settings) {
  if (settings->threads() == 0) settings->set_threads(2);
  if (settings->log_level().empty()) settings->set_log_level("info");
  if (settings->partition_count() == 0) settings->set_partition_count(64);
  if (!settings->has_task_lease()) {
    SetDuration(milliseconds(30000), settings->mutable_task_lease());
  }
  if (!settings->has_owner_timeout()) {
    SetDuration(milliseconds(6000), settings->mutable_owner_timeout());
  }
  if (!settings->has_default_deadline()) {
    SetDuration(milliseconds(10000), settings->mutable_default_deadline());
  }
  if (!settings->has_journal_interval()) {
    SetDuration(milliseconds(10), settings->mutable_journal_interval());
  }
}

Result<void> CheckNames(const std::string& source, const schema::Settings& settings) {
  const std::array<std::pair<const char*, const std::string*>, 2> required{{
      {"instance_id", &settings.instance_id()},
      {"failure_domain", &settings.failure_domain()},
  }};
  for (const auto& [key, value] : required) {
    if (!IsName(*value)) return Invalid(source, key, Quoted(*value), kNameRule);
  }
  const std::array<std::pair<const char*, const std::string*>, 2> optional{{
      {"cell", &settings.cell()},
      {"region", &settings.region()},
  }};
  for (const auto& [key, value] : optional) {
    if (!value->empty() && !IsName(*value)) return Invalid(source, key, Quoted(*value), kNameRule);
  }
  return Success();
}

Result<void> CheckAddresses(const std::string& source, const schema::Settings& settings) {
  const std::array<std::pair<const char*, const std::string*>, 5> addresses{{
      {"api_address", &settings.api_address()},
      {"peer_address", &settings.peer_address()},
      {"table_address", &settings.table_address()},
      {"directory_address", &settings.directory_address()},
      {"objects_address", &settings.objects_address()},
  }};
  for (const auto& [key, value] : addresses) {
    const bool optional = std::string_view(key) == "objects_address";
    if (optional && value->empty()) continue;
    const auto endpoint = ParseAddress(*value);
    if (!endpoint || endpoint.value().port() == 0) {
      return Invalid(source, key, Quoted(*value), "IP:port, with a port from 1 to 65535");
    }
  }
  // The platform's services may share an address. The instance's own two addresses must differ from
  // each other and from those.
  for (std::size_t own = 0; own < 2; ++own) {
    for (std::size_t other = own + 1; other < addresses.size(); ++other) {
      if (*addresses[own].second != *addresses[other].second) continue;
      return Invalid(source, addresses[other].first, Quoted(*addresses[other].second),
                     std::string("an address other than ") + addresses[own].first);
    }
  }
  return Success();
}

Result<void> CheckRange(const std::string& source, const std::string& key, milliseconds value,
                        milliseconds min, milliseconds max) {
  if (value >= min && value <= max) return Success();
  return Invalid(source, key, Seconds(value), Seconds(min) + " to " + Seconds(max));
}

Result<void> CheckIntervals(const std::string& source, const schema::Settings& settings) {
  const milliseconds lease = ToMilliseconds(settings.task_lease());
  const milliseconds timeout = ToMilliseconds(settings.owner_timeout());
  BOOST_OUTCOME_TRY(CheckRange(source, "task_lease", lease, kMinTaskLease, kMaxInterval));
  BOOST_OUTCOME_TRY(CheckRange(source, "owner_timeout", timeout, kMinOwnerTimeout, kMaxInterval));
  BOOST_OUTCOME_TRY(CheckRange(source, "default_deadline",
                               ToMilliseconds(settings.default_deadline()), milliseconds(1),
                               kMaxInterval * 7));
  BOOST_OUTCOME_TRY(CheckRange(source, "journal_interval",
                               ToMilliseconds(settings.journal_interval()), milliseconds(1),
                               kMaxJournalInterval));
  if (timeout >= lease) {
    // Tasks would lapse before a new owner could renew their leases.
    return Invalid(source, "owner_timeout", Seconds(timeout),
                   "less than task_lease, which is " + Seconds(lease));
  }
  return Success();
}

Result<void> CheckProcess(const std::string& source, const schema::Settings& settings) {
  if (settings.threads() > kMaxThreads) {
    return Invalid(source, "threads", std::to_string(settings.threads()), "1 to 64");
  }
  if (settings.partition_count() > kMaxPartitions) {
    return Invalid(source, "partition_count", std::to_string(settings.partition_count()),
                   "1 to 4096");
  }
  static const std::set<std::string> levels{"trace", "debug", "info", "warn", "error"};
  if (!levels.contains(settings.log_level())) {
    return Invalid(source, "log_level", Quoted(settings.log_level()),
                   "trace, debug, info, warn, error");
  }
  if (settings.tls_certificate_file().empty() != settings.tls_key_file().empty()) {
    const bool has_key = settings.tls_certificate_file().empty();
    return Invalid(source, has_key ? "tls_certificate_file" : "tls_key_file", "\"\"",
                   std::string("a file, because ") +
                       (has_key ? "tls_key_file" : "tls_certificate_file") + " is set");
  }
  return Success();
}

Result<void> CheckClasses(const std::string& source, const schema::Settings& settings) {
  std::map<std::string, int> seen;
  for (int i = 0; i < settings.classes_size(); ++i) {
    const std::string path = "classes[" + std::to_string(i) + "]";
    const schema::WorkClass& work_class = settings.classes(i);
    if (auto checked = CheckWorkClass(path, work_class); !checked) {
      return Error{schema::CODE_SETTINGS_INVALID, source + ": " + checked.error().message};
    }
    const auto [first, added] = seen.emplace(work_class.name(), i);
    if (!added) {
      return Invalid(source, path + ".name", Quoted(work_class.name()),
                     "a name other than that of classes[" + std::to_string(first->second) + "]");
    }
  }
  return Success();
}

}  // namespace

bool IsName(std::string_view name) {
  const auto is_allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), is_allowed);
}

Result<void> CheckWorkClass(const std::string& path, const schema::WorkClass& work_class) {
  const auto invalid = [&](const std::string& key, const std::string& value,
                           std::string_view allowed) {
    return Error{schema::CODE_INVALID_FIELD,
                 path + "." + key + " is " + value + "; allowed: " + std::string(allowed)};
  };
  if (!IsName(work_class.name())) return invalid("name", Quoted(work_class.name()), kNameRule);
  const schema::Resources& size = work_class.default_size();
  if (!(size.processors() > 0.0 && size.processors() <= kMaxProcessors)) {
    return invalid("default_size.processors", fmt::format("{}", size.processors()),
                   "more than 0, at most 1000000");
  }
  if (size.memory_mb() < 1 || size.memory_mb() > kMaxMemoryMb) {
    return invalid("default_size.memory_mb", std::to_string(size.memory_mb()), "1 to 2^40");
  }
  const milliseconds run_time = ToMilliseconds(work_class.default_run_time());
  if (run_time.count() < 1) {
    return invalid("default_run_time", Seconds(run_time), "at least \"0.001s\"");
  }
  if (work_class.max_attempts() > kMaxAttempts) {
    return invalid("max_attempts", std::to_string(work_class.max_attempts()), "0 to 100");
  }
  if (work_class.has_default_deadline() &&
      ToMilliseconds(work_class.default_deadline()) < run_time) {
    return invalid("default_deadline", Seconds(ToMilliseconds(work_class.default_deadline())),
                   "at least default_run_time, which is " + Seconds(run_time));
  }
  const bool needs_journal = work_class.exclusive() || !work_class.idempotent() ||
                             work_class.policy() == schema::POLICY_SERVICE;
  if (needs_journal && !work_class.durable()) {
    return invalid("durable", "false",
                   "true for classes that are exclusive, not idempotent or services");
  }
  return Success();
}

Result<void> CheckSettings(const std::string& source, schema::Settings* settings) {
  SetDefaults(settings);
  BOOST_OUTCOME_TRY(CheckNames(source, *settings));
  BOOST_OUTCOME_TRY(CheckProcess(source, *settings));
  BOOST_OUTCOME_TRY(CheckIntervals(source, *settings));
  BOOST_OUTCOME_TRY(CheckAddresses(source, *settings));
  return CheckClasses(source, *settings);
}

Result<schema::Settings> ParseSettings(const std::string& source, std::string_view text) {
  FieldRules rules;
  rules.allow_comments = true;
  std::string plain;
  const auto errors = CheckFields(text, *schema::Settings::descriptor(), rules, &plain);
  if (!errors.empty()) {
    const bool unreadable = errors.front().code == schema::CODE_MALFORMED;
    return Error{unreadable ? schema::CODE_SETTINGS_UNREADABLE : schema::CODE_SETTINGS_INVALID,
                 source + ": " + ToError(errors.front()).message};
  }
  schema::Settings settings;
  if (auto parsed = FromJson(plain, UnknownFields::kReject, &settings); !parsed) {
    return Error{schema::CODE_SETTINGS_INVALID, source + ": " + parsed.error().message};
  }
  BOOST_OUTCOME_TRY(CheckSettings(source, &settings));
  return settings;
}

Result<schema::Settings> LoadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) return Error{schema::CODE_SETTINGS_UNREADABLE, path + ": cannot be opened"};
  std::stringstream text;
  text << file.rdbuf();
  return ParseSettings(path, text.str());
}

}  // namespace citronsill
