#include "cell/refusal.h"

#include <algorithm>

namespace citronsill {
namespace {

// Tries of a caller after its first one, by the platform's sheets.
constexpr int kCallerRetries = 4;
// Sooner tries would only load instances that cannot serve them.
constexpr milliseconds kLeast{500};
// Four tries reach over the longest outages, of 9 s.
constexpr milliseconds kMost{3000};
// While no job of the queue was seen: four tries reach over most outages.
constexpr milliseconds kUnknown{1500};

}  // namespace

milliseconds RetryAfter(milliseconds objective) {
  if (objective.count() <= 0) return kUnknown;
  return std::clamp(objective * kLateFactor / kCallerRetries, kLeast, kMost);
}

}  // namespace citronsill
