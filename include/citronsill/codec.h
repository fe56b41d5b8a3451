/// JSON text of schema messages, with numbered errors for bad input.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "citronsill/result.h"
#include "citronsill/types.h"

namespace google::protobuf {
class Duration;
class Message;
}  // namespace google::protobuf

namespace citronsill {

/// How unknown fields are treated.
enum class UnknownFields { kReject, kIgnore };

/// @returns JSON text with the field names of the schema.
std::string ToJson(const google::protobuf::Message& message);

/// Checks what a parser may not survive or pass on: nesting deeper than `kMaxJsonDepth`, bad UTF-8.
/// @returns CODE_MALFORMED.
Result<void> CheckJsonText(std::string_view json);

/// Parses JSON text into `message`.
/// @returns CODE_MALFORMED for bad JSON, bad UTF-8 or deep nesting; CODE_UNKNOWN_FIELD;
/// CODE_INVALID_FIELD for a wrong type or range.
Result<void> FromJson(std::string_view json, UnknownFields unknown,
                      google::protobuf::Message* message);

std::chrono::milliseconds ToMilliseconds(const google::protobuf::Duration& duration);
void SetDuration(std::chrono::milliseconds value, google::protobuf::Duration* duration);

/// @returns milliseconds since the Unix epoch.
std::int64_t UnixMilliseconds(WallTime time);

}  // namespace citronsill
