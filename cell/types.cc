#include "cell/types.h"

#include <ctime>
#include <random>

namespace citronsill {

SteadyTime BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return SteadyTime(std::chrono::duration_cast<SteadyTime::duration>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

RandomHook MakeRandomSource() { return std::minstd_rand(std::random_device{}()); }

// 64-bit FNV-1a.
std::uint64_t StableHash(std::string_view text) {
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return hash;
}

milliseconds TransferTime(std::size_t bytes, std::uint32_t link_mbps) {
  constexpr std::size_t kBytesPerMsAndMbps = 125;
  if (link_mbps == 0) return milliseconds(0);
  return milliseconds(bytes / (kBytesPerMsAndMbps * link_mbps));
}

const char* RunEndName(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLeaseExpired:
      return "lapsed";
    case RunEnd::kGangMemberEnded:
      return "broken";
    case RunEnd::kGangIncomplete:
      return "alone";
  }
  return "unknown";
}

}  // namespace citronsill
