/// Results and numbered errors.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>

#include "citronsill/schemafwd.h"

namespace citronsill {

/// An error with its number from the schema and a text for people.
struct Error {
  schema::Code code;
  std::string message;
};

/// A value or an `Error`. Reading the wrong one ends the process.
template <class T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// A `Result<void>` that holds success.
inline auto Success() { return boost::outcome_v2::success(); }

/// @returns the name of `code` as in docs/errors.md, for example "OVERLOADED".
std::string_view CodeName(schema::Code code);

/// @returns the HTTP status that goes with `code`.
unsigned HttpStatus(schema::Code code);

/// @returns "NAME (number): message" for logs.
std::string Describe(const Error& error);

}  // namespace citronsill
