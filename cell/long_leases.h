/// Records for the next scheduler of a shard on which workers leases may be longer than `kLease`.
///
/// A worker that has restarted under its id may execute calls to its earlier incarnation. The lease
/// end in such a call can be far in the future on the new clock, so the worker grants the longest
/// lease. Only the scheduler that saw the restart knows.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/shard_rows.h"
#include "cell/types.h"

namespace citronsill {

struct LongLease {
  std::uint32_t worker = 0;  ///< `LeaseKey` of its id.
  SteadyTime end;            ///< When all leases on it have expired.
};

/// @returns the longest duration on this machine's clock that corresponds to a duration on a
/// worker's clock, plus the lease margin.
milliseconds LongestLocalTime(milliseconds worker_time);

/// @returns the key of a worker in the row of long leases.
std::uint32_t LeaseKey(const std::string& worker);

/// Writes the row of long leases of one shard.
class LongLeasesWriter {
 public:
  LongLeasesWriter(std::string shard, Clock now);

  /// To be called once after loading a shard. @param is_stored whether the store has the row.
  void OnLoaded(bool is_stored) { m_is_stored = is_stored; }

  /// Adds the row, or its removal, to a transaction if the stored one is out of date. A lease has
  /// to be recorded no later than the assignments to its worker. The row holds remaining times, so
  /// it is also rewritten every `kLongLeasesPeriod`.
  void Append(const std::vector<LongLease>& leases, WriteBatch* batch);

  /// The store has refused the last transaction.
  void OnRefused() { m_recorded.clear(); }

 private:
  [[nodiscard]] bool IsRecorded(const LongLease& lease) const;

  std::string m_shard;
  Clock m_now;
  bool m_is_stored = false;
  std::unordered_map<std::uint32_t, SteadyTime> m_recorded;  // Lease ends in the last row.
  SteadyTime m_written{};
};

}  // namespace citronsill
