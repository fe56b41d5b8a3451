#include "cell/node_settings.h"

#include <boost/json.hpp>
#include <cmath>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>

#include "net.h"

namespace citronsill {
namespace {

namespace json = boost::json;

constexpr std::uint32_t kMaxLinkMbps = 1'000'000;
constexpr std::uint32_t kMaxMemoryMb = 1U << 20;
constexpr std::uint32_t kMaxDescriptors = 1U << 20;
constexpr double kMaxShare = 64.0;
constexpr milliseconds kMinLease{500};
constexpr milliseconds kMaxDuration{24 * 3600 * 1000};

// Reads the fields of one JSON object and keeps the first error.
class FieldReader {
 public:
  FieldReader(const json::object& object, std::string source)
      : m_object(object), m_source(std::move(source)) {}

  void Name(std::string_view key, std::string* out) {
    const json::value* value = Find(key, true);
    if (value == nullptr) return;
    if (!value->is_string() || value->get_string().empty()) return Reject(key, "non-empty text");
    *out = std::string(value->get_string());
  }

  void Address(std::string_view key, bool is_required, std::string* out) {
    const json::value* value = Find(key, is_required);
    if (value == nullptr) return;
    if (!value->is_string()) return Reject(key, "IP:port");
    *out = std::string(value->get_string());
    if (out->empty() && !is_required) return;
    if (!ParseAddress(*out)) Reject(key, "IP:port");
  }

  void Addresses(std::string_view key, std::vector<std::string>* out) {
    const json::value* value = Find(key, false);
    if (value == nullptr || value->is_null()) return;
    if (!value->is_array()) return Reject(key, "a list of IP:port");
    for (const json::value& entry : value->get_array()) {
      if (!entry.is_string() || !ParseAddress(std::string(entry.get_string()))) {
        return Reject(key, "a list of IP:port");
      }
      out->emplace_back(entry.get_string());
    }
  }

  /// @param unit unit of the number in the file.
  void Duration(std::string_view key, milliseconds unit, milliseconds minimum, milliseconds* out) {
    const json::value* value = Find(key, false);
    if (value == nullptr) return;
    const auto number = ToNumber(*value);
    const std::string allowed =
        "a duration from " + std::to_string(minimum.count()) + " ms to one day";
    if (!number || *number < 0 ||
        *number * static_cast<double>(unit.count()) > static_cast<double>(kMaxDuration.count())) {
      return Reject(key, allowed);
    }
    const milliseconds duration(std::llround(*number * static_cast<double>(unit.count())));
    if (duration < minimum) return Reject(key, allowed);
    *out = duration;
  }

  void Share(std::string_view key, std::uint32_t* milli) {
    const json::value* value = Find(key, false);
    if (value == nullptr) return;
    const auto number = ToNumber(*value);
    if (!number || *number <= 0 || *number > kMaxShare) return Reject(key, "above 0, at most 64");
    *milli = std::max(1U, static_cast<std::uint32_t>(std::lround(*number * 1000.0)));
  }

  void Bandwidth(std::string_view key, std::uint32_t* mbps) {
    const json::value* value = Find(key, false);
    if (value == nullptr) return;
    const auto number = ToNumber(*value);
    if (!number || *number <= 0 || *number > kMaxLinkMbps) {
      return Reject(key, "above 0, at most " + std::to_string(kMaxLinkMbps));
    }
    *mbps = std::max(1U, static_cast<std::uint32_t>(std::lround(*number)));
  }

  /// A whole number. @param minimum, maximum allowed values.
  void Whole(std::string_view key, std::uint32_t minimum, std::uint32_t maximum,
             std::uint32_t* out) {
    const json::value* value = Find(key, false);
    if (value == nullptr) return;
    const auto number = ToNumber(*value);
    if (!number || *number < minimum || *number > maximum || *number != std::floor(*number)) {
      return Reject(
          key, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    *out = static_cast<std::uint32_t>(*number);
  }

  void OneOf(std::string_view key, const std::set<std::string>& allowed, std::string* out) {
    const json::value* value = Find(key, false);
    if (value == nullptr) return;
    if (value->is_string() && allowed.contains(std::string(value->get_string()))) {
      *out = std::string(value->get_string());
      return;
    }
    std::string names;
    for (const std::string& name : allowed) names.append(names.empty() ? "" : ", ").append(name);
    Reject(key, names);
  }

  Result<void> Finish() {
    for (const auto& [key, value] : m_object) {
      if (!m_read_keys.contains(std::string(key)))
        RecordError(std::string(key), "is not a known setting");
    }
    if (m_error.empty()) return Success();
    return Error{schema::CODE_SETTINGS_INVALID, m_error};
  }

 private:
  static std::optional<double> ToNumber(const json::value& value) {
    if (value.is_double()) return value.get_double();
    if (value.is_int64()) return static_cast<double>(value.get_int64());
    return std::nullopt;
  }

  const json::value* Find(std::string_view key, bool is_required) {
    m_read_keys.insert(std::string(key));
    const json::value* value = m_object.if_contains(key);
    if (value == nullptr && is_required) RecordError(std::string(key), "is missing");
    return value;
  }

  void Reject(std::string_view key, const std::string& allowed) {
    RecordError(std::string(key),
                "is " + json::serialize(m_object.at(key)) + "; allowed: " + allowed);
  }

  void RecordError(const std::string& key, const std::string& what) {
    if (m_error.empty()) m_error = m_source + ": " + key + " " + what;
  }

  const json::object& m_object;
  std::string m_source;
  std::set<std::string> m_read_keys;
  std::string m_error;
};

}  // namespace

Result<NodeFile> ParseNodeSettings(const std::string& text, const std::string& source) {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  boost::system::error_code error;
  const json::value value = json::parse(text, error, {}, options);
  if (error || !value.is_object()) {
    return Error{schema::CODE_SETTINGS_UNREADABLE,
                 source + ": " + (error ? error.message() : std::string("not a JSON object"))};
  }
  NodeFile file;
  NodeSettings& node = file.node;
  FieldReader fields(value.get_object(), source);
  fields.Name("instance", &node.instance);
  fields.Name("failure_domain", &node.failure_domain);
  fields.Name("region", &node.region);
  fields.Address("ingress_address", true, &node.ingress_address);
  fields.Address("readiness_address", false, &node.readiness_address);
  fields.Address("link_address", true, &node.link_address);
  fields.Address("link_advertised_address", false, &node.link_advertised_address);
  if (node.link_advertised_address.empty()) node.link_advertised_address = node.link_address;
  fields.Address("metrics_address", false, &node.metrics_address);
  fields.Addresses("seeds", &node.seeds);
  fields.Share("processor_share", &node.strength_milli);
  fields.Bandwidth("link_mbps", &node.link_mbps);
  fields.OneOf("log_level", {"debug", "info", "warn", "error"}, &node.log_level);
  fields.Duration("max_lease_ms", milliseconds(1), kMinLease, &node.max_lease);
  fields.Duration("worker_drain_ms", milliseconds(1), milliseconds(1000), &node.worker_drain);
  fields.Duration("gang_time_ms", milliseconds(1), milliseconds(1), &node.gang_time);
  fields.Duration("keep_finished_s", milliseconds(1000), milliseconds(0), &node.keep_finished);
  fields.Duration("drain_time_s", milliseconds(1000), milliseconds(0), &node.drain_time);
  fields.Whole("memory_mb", 1, kMaxMemoryMb, &node.limits.memory_mb);
  fields.Whole("max_descriptors", 1, kMaxDescriptors, &node.limits.max_descriptors);
  fields.Whole("connection_budget_mb", 1, kMaxMemoryMb, &node.limits.connection_budget_mb);
  fields.Whole("answer_budget_mb", 1, kMaxMemoryMb, &node.limits.answer_budget_mb);
  fields.Whole("link_budget_mb", 1, kMaxMemoryMb, &node.limits.link_budget_mb);
  fields.Whole("job_budget_mb", 1, kMaxMemoryMb, &node.limits.job_budget_mb);
  fields.Whole("max_answer_mb", 1, kMaxMemoryMb, &node.limits.max_answer_mb);
  fields.Whole("max_caller_connections", 1, kMaxDescriptors, &node.limits.max_caller_connections);
  fields.Whole("max_service_connections", 1, kMaxDescriptors, &node.limits.max_service_connections);
  fields.Whole("max_links", 1, kMaxDescriptors, &node.limits.max_links);
  fields.Duration("slow_connection_ms", milliseconds(1), milliseconds(1),
                  &node.limits.slow_connection);
  fields.Address("store_address", true, &file.store_address);
  fields.Address("advice_address", false, &file.advice_address);
  BOOST_OUTCOME_TRY(fields.Finish());
  return file;
}

Result<NodeFile> LoadNodeSettings(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  if (!in || !(text << in.rdbuf())) {
    return Error{schema::CODE_SETTINGS_UNREADABLE, path + " cannot be read"};
  }
  return ParseNodeSettings(text.str(), path);
}

}  // namespace citronsill
