#include "citronsill/guard.h"

#include <iostream>

namespace citronsill {
namespace {

FailureHandler& CurrentHandler() {
  static FailureHandler handler = [](std::string_view kind, std::string_view reason) {
    std::cerr << "a " << kind << " handler failed: " << reason << '\n';
  };
  return handler;
}

}  // namespace

void SetFailureHandler(FailureHandler handler) { CurrentHandler() = std::move(handler); }

void ReportFailure(std::string_view handler, std::string_view reason) {
  CurrentHandler()(handler, reason);
}

}  // namespace citronsill
