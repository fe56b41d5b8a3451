/// Keeps an exception that a handler lets escape from ending the process.
#pragma once

#include <exception>
#include <functional>
#include <string_view>
#include <utility>

namespace citronsill {

/// Called with the kind of the handler that failed and the text of the exception.
using FailureHandler = std::function<void(std::string_view handler, std::string_view reason)>;

/// Sets what `RunGuarded` calls from now on; by default, it writes a line to standard error. To be
/// called before threads are started.
void SetFailureHandler(FailureHandler handler);

/// Reports an exception that escaped from a handler.
void ReportFailure(std::string_view handler, std::string_view reason);

/// Runs one handler of the event loop.
/// @param handler kind of the handler, one of a fixed set.
/// @returns whether it returned without an exception; a failure is reported.
template <class Action>
bool RunGuarded(std::string_view handler, Action&& action) {
  try {
    std::forward<Action>(action)();
    return true;
  } catch (const std::exception& error) {
    ReportFailure(handler, error.what());
  } catch (...) {
    ReportFailure(handler, "an exception of unknown type");
  }
  return false;
}

}  // namespace citronsill
