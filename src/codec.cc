#include "citronsill/codec.h"

#include <google/protobuf/util/time_util.h>

#include "internal.h"

namespace citronsill {
namespace {

using google::protobuf::util::TimeUtil;

// Nesting is checked before parsing, because the parser recurses on its input.
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

// @returns the length of the UTF-8 character at the start of `text`, or 0 if it is invalid, as are
// overlong forms, surrogates and values above U+10FFFF.
std::size_t Utf8Length(std::string_view text) {
  const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
  const unsigned char first = byte(0);
  if (first < 0x80U) return 1;
  const std::size_t length = first >= 0xF0U ? 4 : first >= 0xE0U ? 3 : 2;
  if (first < 0xC2U || first > 0xF4U || text.size() < length) return 0;
  for (std::size_t i = 1; i < length; ++i) {
    if ((byte(i) & 0xC0U) != 0x80U) return 0;
  }
  const bool overlong = (first == 0xE0U && byte(1) < 0xA0U) || (first == 0xF0U && byte(1) < 0x90U);
  const bool surrogate = first == 0xEDU && byte(1) >= 0xA0U;
  const bool too_high = first == 0xF4U && byte(1) >= 0x90U;
  return overlong || surrogate || too_high ? 0 : length;
}

bool IsUtf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t length = Utf8Length(text);
    if (length == 0) return false;
    text.remove_prefix(length);
  }
  return true;
}

// Derives the code from the text of the parser's message.
schema::Code ParseErrorCode(const std::string& message) {
  if (message.find("Cannot find field") != std::string::npos) return schema::CODE_UNKNOWN_FIELD;
  const bool is_value_error = message.find("invalid value") != std::string::npos ||
                              message.find("exceeds the range") != std::string::npos ||
                              message.find("INVALID_ARGUMENT:(") != std::string::npos;
  return is_value_error ? schema::CODE_INVALID_FIELD : schema::CODE_MALFORMED;
}

}  // namespace

std::string ToJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string json;
  if (!google::protobuf::util::MessageToJsonString(message, &json, options).ok()) json = "{}";
  return json;
}

Result<void> CheckJsonText(std::string_view json) {
  if (!IsUtf8(json)) return Error{schema::CODE_MALFORMED, "the text is not valid UTF-8"};
  if (IsTooDeep(json)) {
    return Error{schema::CODE_MALFORMED,
                 "JSON is nested deeper than " + std::to_string(kMaxJsonDepth) + " levels"};
  }
  return Success();
}

Result<void> FromJson(std::string_view json, UnknownFields unknown,
                      google::protobuf::Message* message) {
  BOOST_OUTCOME_TRY(CheckJsonText(json));
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = unknown == UnknownFields::kIgnore;
  const auto status = google::protobuf::util::JsonStringToMessage(
      google::protobuf::StringPiece(json.data(), json.size()), message, options);
  if (!status.ok()) {
    // The further lines of the message quote the input, possibly cut within a character.
    const std::string text(status.message());
    return Error{ParseErrorCode(text), text.substr(0, text.find('\n'))};
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
