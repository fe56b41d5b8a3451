/// Results and errors with codes.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>

#include "citronsill/schemafwd.h"

namespace citronsill {

/// An error code of the schema and a human-readable message.
struct Error {
  schema::Code code;
  std::string message;
};

/// A value or an `Error`. Accessing the one that it does not hold terminates the process.
template <class T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// A `Result<void>` that holds success.
inline auto Success() { return boost::outcome_v2::success(); }

/// @returns the name of `code` as in docs/errors.md, for example "OVERLOADED".
std::string_view CodeName(schema::Code code);

/// @returns the HTTP status for `code`.
unsigned HttpStatus(schema::Code code);

/// @returns "NAME (number): message" for logs.
std::string Describe(const Error& error);

}  // namespace citronsill
