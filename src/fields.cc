#include "citronsill/fields.h"

#include <google/protobuf/descriptor.h>

#include <cmath>
#include <nlohmann/json.hpp>

#include "internal.h"

namespace citronsill {
namespace {

using Json = nlohmann::ordered_json;
using google::protobuf::Descriptor;
using google::protobuf::EnumDescriptor;
using google::protobuf::FieldDescriptor;

constexpr std::size_t kMaxShownBytes = 80;
constexpr std::string_view kDurationName = "google.protobuf.Duration";
constexpr double kMaxDurationSeconds = 315576000000.0;  // Largest value of a protobuf Duration.

std::string Shorten(std::string text) {
  if (text.size() <= kMaxShownBytes) return text;
  std::size_t end = kMaxShownBytes;
  // A cut within a character would make the message invalid UTF-8.
  while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) --end;
  return text.substr(0, end) + "...";
}

// Parser callback that finds what the parsed value does not show: deep nesting and repeated keys.
struct ParseObserver {
  bool too_deep = false;
  std::string repeated_key;
  std::vector<std::set<std::string>> keys;

  bool operator()(int depth, Json::parse_event_t event, Json& parsed) {
    if (depth > kMaxJsonDepth) too_deep = true;
    if (event == Json::parse_event_t::object_start) keys.emplace_back();
    if (event == Json::parse_event_t::object_end && !keys.empty()) keys.pop_back();
    if (event == Json::parse_event_t::key && !keys.empty()) {
      const auto& key = parsed.get_ref<const std::string&>();
      if (!keys.back().insert(key).second && repeated_key.empty()) repeated_key = key;
    }
    return !too_deep;
  }
};

class Checker {
 public:
  explicit Checker(const FieldRules& rules) : m_rules(rules) {}

  void CheckMessage(const Json& json, const Descriptor& descriptor, const std::string& path) {
    if (!json.is_object()) return AddInvalid(path, json, "an object { ... }");
    for (const auto& [key, value] : json.items()) {
      std::string child_path = path;
      if (!path.empty()) child_path += ".";
      child_path += key;
      const FieldDescriptor* field = descriptor.FindFieldByName(key);
      if (field == nullptr) {
        if (!m_rules.allow_unknown) AddUnknown(child_path, value, descriptor);
        continue;
      }
      CheckField(value, *field, child_path);
    }
  }

  std::vector<FieldError> TakeErrors() { return std::move(m_errors); }

 private:
  void CheckField(const Json& json, const FieldDescriptor& field, const std::string& path) {
    if (!field.is_repeated()) return CheckValue(json, field, path);
    if (!json.is_array()) return AddInvalid(path, json, "a list [ ... ]");
    for (std::size_t i = 0; i < json.size(); ++i) {
      CheckValue(json[i], field, path + "[" + std::to_string(i) + "]");
    }
  }

  void CheckValue(const Json& json, const FieldDescriptor& field, const std::string& path) {
    switch (field.cpp_type()) {
      case FieldDescriptor::CPPTYPE_MESSAGE:
        if (field.message_type()->full_name() == kDurationName) return CheckDuration(json, path);
        return CheckMessage(json, *field.message_type(), path);
      case FieldDescriptor::CPPTYPE_ENUM:
        return CheckEnum(json, *field.enum_type(), path);
      case FieldDescriptor::CPPTYPE_STRING:
        if (!json.is_string()) AddInvalid(path, json, "a string in quotes");
        return;
      case FieldDescriptor::CPPTYPE_BOOL:
        if (!json.is_boolean()) AddInvalid(path, json, "true or false");
        return;
      case FieldDescriptor::CPPTYPE_DOUBLE:
        if (!json.is_number() || !std::isfinite(json.get<double>()))
          AddInvalid(path, json, "a number");
        return;
      case FieldDescriptor::CPPTYPE_UINT32:
        return CheckUnsigned(json, UINT32_MAX, path);
      case FieldDescriptor::CPPTYPE_UINT64:
        return CheckUnsigned(json, UINT64_MAX, path);
      default:
        if (!json.is_number_integer()) AddInvalid(path, json, "a whole number");
    }
  }

  void CheckUnsigned(const Json& json, std::uint64_t max_value, const std::string& path) {
    if (json.is_number_unsigned() && json.get<std::uint64_t>() <= max_value) return;
    AddInvalid(path, json, "a whole number from 0 to " + std::to_string(max_value));
  }

  void CheckDuration(const Json& json, const std::string& path) {
    const auto is_duration = [](const std::string& text) {
      if (text.size() < 2 || text.size() > 32 || text.back() != 's') return false;
      const std::string number = text.substr(0, text.size() - 1);
      const std::size_t dot = number.find('.');
      const std::string fraction = dot == std::string::npos ? "0" : number.substr(dot + 1);
      const std::string whole = number.substr(0, dot);
      constexpr std::string_view kDigits = "0123456789";
      return !whole.empty() && whole.find_first_not_of(kDigits) == std::string::npos &&
             !fraction.empty() && fraction.size() <= 9 &&
             fraction.find_first_not_of(kDigits) == std::string::npos &&
             std::strtod(whole.c_str(), nullptr) <= kMaxDurationSeconds;
    };
    if (json.is_string() && is_duration(json.get<std::string>())) return;
    AddInvalid(path, json, R"(a duration in seconds with the unit, as in "30s" or "0.010s")");
  }

  void CheckEnum(const Json& json, const EnumDescriptor& type, const std::string& path) {
    if (json.is_string() && type.FindValueByName(json.get<std::string>()) != nullptr) return;
    std::string names;
    for (int i = 0; i < type.value_count(); ++i) {
      names += (i == 0 ? "" : ", ") + type.value(i)->name();
    }
    AddInvalid(path, json, names);
  }

  void AddInvalid(const std::string& path, const Json& json, const std::string& allowed) {
    m_errors.push_back({schema::CODE_INVALID_FIELD, Shorten(path), Shorten(json.dump()), allowed});
  }

  void AddUnknown(const std::string& path, const Json& json, const Descriptor& descriptor) {
    std::string names;
    for (int i = 0; i < descriptor.field_count(); ++i) {
      names += (i == 0 ? "" : ", ") + descriptor.field(i)->name();
    }
    m_errors.push_back(
        {schema::CODE_UNKNOWN_FIELD, Shorten(path), Shorten(json.dump()), "the keys " + names});
  }

  FieldRules m_rules;
  std::vector<FieldError> m_errors;
};

FieldError Malformed(const std::string& allowed) {
  return FieldError{schema::CODE_MALFORMED, "", "", allowed};
}

}  // namespace

std::vector<FieldError> CheckFields(std::string_view json, const Descriptor& descriptor,
                                    const FieldRules& rules, std::string* plain) {
  if (json.size() > kMaxHttpBodyBytes) {
    return {Malformed("at most " + std::to_string(kMaxHttpBodyBytes) + " bytes of JSON")};
  }
  ParseObserver observer;
  const Json parsed = Json::parse(json, std::ref(observer), false, rules.allow_comments);
  if (observer.too_deep) {
    return {Malformed("JSON nested at most " + std::to_string(kMaxJsonDepth) + " levels deep")};
  }
  if (parsed.is_discarded()) {
    return {Malformed(rules.allow_comments ? "JSON with comments, in UTF-8" : "JSON in UTF-8")};
  }
  if (!observer.repeated_key.empty()) {
    return {FieldError{schema::CODE_INVALID_FIELD, Shorten(observer.repeated_key), "given twice",
                       "each key once"}};
  }
  if (plain != nullptr) *plain = parsed.dump();
  Checker checker(rules);
  checker.CheckMessage(parsed, descriptor, "");
  return checker.TakeErrors();
}

Error ToError(const FieldError& field_error) {
  if (field_error.path.empty()) return Error{field_error.code, "allowed: " + field_error.allowed};
  return Error{field_error.code,
               field_error.path + " is " + field_error.value + "; allowed: " + field_error.allowed};
}

}  // namespace citronsill
