#include "cell/types.h"

#include <ctime>

namespace citronsill {

SteadyTime BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return SteadyTime(std::chrono::duration_cast<SteadyTime::duration>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

const char* RunEndName(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLapsed:
      return "lapsed";
    case RunEnd::kBroken:
      return "broken";
    case RunEnd::kAlone:
      return "alone";
  }
  return "unknown";
}

}  // namespace citronsill
