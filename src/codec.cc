#include "citronsill/codec.h"

#include <google/protobuf/util/time_util.h>

#include "internal.h"

namespace citronsill {
namespace {

using google::protobuf::util::TimeUtil;

// The nesting of JSON is checked before parsing, because the parser recurses on its input.
bool IsTooDeep(std::string_view json) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < json.size(); ++i) {
    const char c = json[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
      continue;
    }
    if (c == '"') in_string = true;
    if (c == '{' || c == '[') ++depth;
    if (c == '}' || c == ']') --depth;
    if (depth > kMaxJsonDepth) return true;
  }
  return false;
}

schema::Code ParseErrorCode(const std::string& message) {
  if (message.find("Cannot find field") != std::string::npos) return schema::CODE_UNKNOWN_FIELD;
  const bool is_value = message.find("invalid value") != std::string::npos ||
                        message.find("INVALID_ARGUMENT:(") != std::string::npos;
  return is_value ? schema::CODE_INVALID_FIELD : schema::CODE_MALFORMED;
}

}  // namespace

std::string ToJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string json;
  if (!google::protobuf::util::MessageToJsonString(message, &json, options).ok()) json = "{}";
  return json;
}

Result<void> FromJson(std::string_view json, UnknownFields unknown,
                      google::protobuf::Message* message) {
  if (IsTooDeep(json)) {
    return Error{schema::CODE_MALFORMED,
                 "JSON is nested deeper than " + std::to_string(kMaxJsonDepth) + " levels"};
  }
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = unknown == UnknownFields::kIgnore;
  const auto status = google::protobuf::util::JsonStringToMessage(
      google::protobuf::StringPiece(json.data(), json.size()), message, options);
  if (!status.ok()) {
    const std::string text(status.message());
    return Error{ParseErrorCode(text), text};
  }
  return Success();
}

std::chrono::milliseconds ToMilliseconds(const google::protobuf::Duration& duration) {
  return std::chrono::milliseconds(TimeUtil::DurationToMilliseconds(duration));
}

void SetDuration(std::chrono::milliseconds value, google::protobuf::Duration* duration) {
  *duration = TimeUtil::MillisecondsToDuration(value.count());
}

std::int64_t UnixMilliseconds(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

}  // namespace citronsill
