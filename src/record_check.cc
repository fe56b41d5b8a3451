#include <nlohmann/json.hpp>

#include "citronsill/fields.h"
#include "citronsill/records.h"
#include "citronsill/settings.h"
#include "internal.h"

namespace citronsill {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kMaxRecordsPerApply = 256;
constexpr std::size_t kMaxApplyBytes = 384U << 10U;
constexpr double kMaxQuotaProcessors = 1e9;

Error Invalid(const std::string& path, const std::string& value, const std::string& allowed) {
  return Error{schema::CODE_INVALID_FIELD, path + " is " + value + "; allowed: " + allowed};
}

// A record of schema version 1 may not use fields that version 2 added.
Result<void> CheckVersionedFields(const schema::Record& record) {
  if (record.schema_version() >= 2) return Success();
  const char* field = nullptr;
  if (record.limit().max_waiting() != 0) field = "limit.max_waiting";
  if (!record.target().reason().empty()) field = "target.reason";
  if (field == nullptr) return Success();
  return Error{schema::CODE_UNKNOWN_FIELD,
               std::string(field) + " needs schema_version 2; the record has schema_version 1"};
}

Result<void> CheckContent(const schema::Record& record) {
  if (record.kind() == "work_class") {
    schema::WorkClass work_class = record.work_class();
    if (!work_class.name().empty() && work_class.name() != record.name()) {
      return Invalid("work_class.name", "\"" + work_class.name() + "\"", "the name of the record");
    }
    work_class.set_name(record.name());
    return CheckWorkClass("work_class", work_class);
  }
  if (record.kind() == "limit") {
    const double processors = record.limit().quota().processors();
    if (!(processors >= 0.0 && processors <= kMaxQuotaProcessors)) {
      return Invalid("limit.quota.processors", fmt::format("{}", processors), "0 to 1000000000");
    }
    return Success();
  }
  if (!ParseAddress(record.target().address())) {
    return Invalid("target.address", "\"" + record.target().address() + "\"", "IP:port");
  }
  return Success();
}

Result<void> CheckShape(const schema::Record& record) {
  const std::array<std::pair<const char*, bool>, 3> kinds{{
      {"work_class", record.has_work_class()},
      {"limit", record.has_limit()},
      {"target", record.has_target()},
  }};
  bool known = false;
  for (const auto& [kind, present] : kinds) {
    const bool is_this_kind = record.kind() == kind;
    known = known || is_this_kind;
    if (present && (!is_this_kind || record.erase())) {
      return Invalid(kind, "present", "only the content named like the kind, none with erase");
    }
    if (is_this_kind && !present && !record.erase()) return Invalid(kind, "missing", "the content");
  }
  if (!known) return Invalid("kind", "\"" + record.kind() + "\"", "work_class, limit, target");
  if (!IsName(record.name())) {
    return Invalid("name", "\"" + record.name() + "\"", "1 to 128 of a-z, 0-9, '-', '_', '.'");
  }
  return Success();
}

// The version decides which fields are known, so it is read before all others.
Result<std::uint32_t> ReadVersion(std::string_view json, std::uint32_t max_version) {
  FieldRules rules;
  rules.allow_unknown = true;
  const auto faults = CheckFields(json, *schema::Record::descriptor(), rules, nullptr);
  if (!faults.empty()) return ToError(faults.front());
  schema::Record record;
  BOOST_OUTCOME_TRY(FromJson(json, UnknownFields::kIgnore, &record));
  const std::uint32_t version = record.schema_version();
  if (version >= 1 && version <= max_version) return version;
  return Error{schema::CODE_UNKNOWN_VERSION, "schema_version is " + std::to_string(version) +
                                                 "; this instance knows 1 to " +
                                                 std::to_string(max_version)};
}

Result<schema::StoredRecord> ParseOne(const Json& json, std::size_t index,
                                      std::uint32_t max_version) {
  const std::string text = json.dump();
  auto record = ParseRecord(text, max_version);
  if (!record) {
    return Error{record.error().code,
                 "records[" + std::to_string(index) + "]." + record.error().message};
  }
  schema::StoredRecord stored;
  stored.set_schema_version(record.value().schema_version());
  stored.set_kind(record.value().kind());
  stored.set_name(record.value().name());
  stored.set_content(text);
  stored.set_erased(record.value().erase());
  return stored;
}

Result<void> CheckApply(const schema::ApplyRequest& request) {
  const auto is_short = [](const std::string& text) {
    return !text.empty() && text.size() <= kMaxNameBytes;
  };
  if (!is_short(request.apply_id())) {
    return Invalid("apply_id", "\"" + request.apply_id() + "\"", "1 to 128 bytes");
  }
  if (!is_short(request.author())) {
    return Invalid("author", "\"" + request.author() + "\"", "1 to 128 bytes");
  }
  std::set<std::pair<std::string, std::string>> seen;
  std::size_t size = 0;
  for (const schema::StoredRecord& record : request.records()) {
    size += record.content().size();
    if (size > kMaxApplyBytes) {
      return Error{schema::CODE_TOO_LARGE, "the records of one apply have more than " +
                                               std::to_string(kMaxApplyBytes) +
                                               " bytes; apply them in parts"};
    }
    if (seen.emplace(record.kind(), record.name()).second) continue;
    return Invalid("records", "more than one " + record.kind() + " " + record.name(),
                   "one record of each kind and name");
  }
  return Success();
}

}  // namespace

Result<schema::Record> ParseRecord(std::string_view json, std::uint32_t max_version) {
  BOOST_OUTCOME_TRY(ReadVersion(json, max_version));
  const auto faults = CheckFields(json, *schema::Record::descriptor(), FieldRules{}, nullptr);
  if (!faults.empty()) return ToError(faults.front());
  schema::Record record;
  BOOST_OUTCOME_TRY(FromJson(json, UnknownFields::kReject, &record));
  BOOST_OUTCOME_TRY(CheckShape(record));
  BOOST_OUTCOME_TRY(CheckVersionedFields(record));
  if (!record.erase()) {
    BOOST_OUTCOME_TRY(CheckContent(record));
  }
  return record;
}

Result<schema::ApplyRequest> ParseApply(std::string_view json, std::uint32_t max_version) {
  // The records are checked one by one below, against the schema version of each.
  FieldRules rules;
  rules.allow_unknown = true;
  std::string plain;
  const auto faults = CheckFields(json, *schema::RecordSet::descriptor(), rules, &plain);
  if (!faults.empty() && faults.front().code == schema::CODE_MALFORMED) {
    return ToError(faults.front());
  }
  Json body = Json::parse(plain, nullptr, false);
  if (!body.is_object()) return Error{schema::CODE_MALFORMED, "allowed: an object { ... }"};
  const auto found = body.find("records");
  if (found == body.end() || !found->is_array() || found->empty() ||
      found->size() > kMaxRecordsPerApply) {
    return Invalid("records", "missing, not a list or of the wrong size",
                   "a list of 1 to 256 records");
  }
  const Json records = *found;
  body.erase("records");
  if (!body.contains("base_revision")) {
    return Invalid("base_revision", "missing", "the revision that the change is based on");
  }
  const std::string rest = body.dump();
  const auto rest_faults =
      CheckFields(rest, *schema::ApplyRequest::descriptor(), FieldRules{}, nullptr);
  if (!rest_faults.empty()) return ToError(rest_faults.front());
  schema::ApplyRequest request;
  BOOST_OUTCOME_TRY(FromJson(rest, UnknownFields::kReject, &request));
  for (std::size_t i = 0; i < records.size(); ++i) {
    BOOST_OUTCOME_TRY(auto record, ParseOne(records[i], i, max_version));
    *request.add_records() = std::move(record);
  }
  BOOST_OUTCOME_TRY(CheckApply(request));
  return request;
}

}  // namespace citronsill
