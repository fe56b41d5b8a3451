/// Validates JSON text field by field against the schema and reports the full path of invalid
/// fields.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "citronsill/result.h"

namespace google::protobuf {
class Descriptor;
}

namespace citronsill {

/// A field that does not match the schema.
struct FieldError {
  schema::Code code{};  ///< CODE_MALFORMED, CODE_UNKNOWN_FIELD or CODE_INVALID_FIELD.
  /// For example "classes[2].default_size.processors"; empty if malformed; only the key itself if a
  /// key is repeated.
  std::string path;
  std::string value;    ///< JSON text, truncated; "given twice" if a key is repeated.
  std::string allowed;  ///< Description of the allowed values, for messages.
};

/// Options for reading JSON text.
struct FieldRules {
  bool allow_comments = false;
  bool allow_unknown = false;  ///< Skips fields that the schema does not have.
};

/// Validates `json` against `descriptor`: unknown and repeated keys, types, ranges, durations, enum
/// names, nesting depth and UTF-8.
/// @param plain gets the JSON text without comments; may be null.
/// @returns the errors in the order of the text; only one if the text is malformed or a key is
/// repeated.
std::vector<FieldError> CheckFields(std::string_view json,
                                    const google::protobuf::Descriptor& descriptor,
                                    const FieldRules& rules, std::string* plain);

/// @returns "path is value; allowed: ..." with the code of `field_error`.
Error ToError(const FieldError& field_error);

}  // namespace citronsill
