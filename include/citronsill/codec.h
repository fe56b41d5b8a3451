/// Conversion between schema messages and JSON, with error codes for invalid input.
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

/// How the parser treats unknown fields.
enum class UnknownFields { kReject, kIgnore };

/// @returns JSON text with the field names of the schema.
std::string ToJson(const google::protobuf::Message& message);

/// Rejects text that a parser may crash on or pass through: nesting deeper than `kMaxJsonDepth`,
/// and invalid UTF-8.
/// @returns CODE_MALFORMED.
Result<void> CheckJsonText(std::string_view json);

/// Parses JSON text into `message`.
/// @returns CODE_MALFORMED for invalid JSON, invalid UTF-8 or nesting that is too deep;
/// CODE_UNKNOWN_FIELD; CODE_INVALID_FIELD for a wrong type or a value out of range.
Result<void> FromJson(std::string_view json, UnknownFields unknown,
                      google::protobuf::Message* message);

std::chrono::milliseconds ToMilliseconds(const google::protobuf::Duration& duration);
void SetDuration(std::chrono::milliseconds value, google::protobuf::Duration* duration);

/// @returns milliseconds since the Unix epoch.
std::int64_t UnixMilliseconds(WallTime time);

}  // namespace citronsill
