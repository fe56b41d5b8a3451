/// Checks JSON text field by field against the schema, with the full path of the first bad field.
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
struct FieldFault {
  schema::Code code{};  ///< CODE_MALFORMED, CODE_UNKNOWN_FIELD or CODE_INVALID_FIELD.
  std::string path;     ///< For example "classes[2].default_size.processors"; empty for the text.
  std::string value;    ///< JSON text, shortened.
  std::string allowed;
};

/// How JSON text is read.
struct FieldRules {
  bool allow_comments = false;
  bool allow_unknown = false;  ///< Fields that the schema does not have are skipped.
};

/// Checks `json` against `descriptor`: unknown and repeated keys, types, ranges, durations, names
/// of enumerations, depth and UTF-8.
/// @param plain gets the text without comments; may be null.
/// @returns faults in the order of the text, one at most for CODE_MALFORMED.
std::vector<FieldFault> CheckFields(std::string_view json,
                                    const google::protobuf::Descriptor& descriptor,
                                    const FieldRules& rules, std::string* plain);

/// @returns "path is value; allowed: ..." as an error with the fault's code.
Error ToError(const FieldFault& fault);

}  // namespace citronsill
