#include "cell/long_leases.h"

#include <algorithm>
#include <utility>

#include "cell/limits.h"

namespace citronsill {
namespace {

constexpr const char* kLongLeasesKey = "long";

}  // namespace

milliseconds LongestLocalTime(milliseconds worker_time) {
  return std::chrono::ceil<milliseconds>(worker_time * (1.0 + kWorkerClockDrift)) + kLeaseMargin;
}

std::uint32_t LeaseKey(const std::string& worker) {
  return static_cast<std::uint32_t>(StableHash(worker));
}

LongLeasesWriter::LongLeasesWriter(std::string shard, Clock now)
    : m_shard(std::move(shard)), m_now(std::move(now)) {}

bool LongLeasesWriter::IsRecorded(const LongLease& lease) const {
  const auto found = m_recorded.find(lease.worker);
  return found != m_recorded.end() && found->second >= lease.end;
}

void LongLeasesWriter::Append(const std::vector<LongLease>& leases, WriteBatch* batch) {
  RowKey key{kLeaseTable, m_shard, kLongLeasesKey};
  if (leases.empty()) {
    if (m_is_stored) batch->removals.push_back(std::move(key));
    m_is_stored = false;
    m_recorded.clear();
    return;
  }
  const SteadyTime now = m_now();
  const bool all_recorded = std::all_of(
      leases.begin(), leases.end(), [this](const LongLease& lease) { return IsRecorded(lease); });
  if (all_recorded && now < m_written + kLongLeasesPeriod) return;
  schema::LongLeasesRow row;
  m_recorded.clear();
  for (const auto& [worker, end] : leases) {
    row.add_workers(worker);
    row.add_left_ms(static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(end - now).count()));
    SteadyTime& recorded = m_recorded[worker];
    recorded = std::max(recorded, end);
  }
  batch->writes.push_back(Row{std::move(key), row.SerializeAsString()});
  m_is_stored = true;
  m_written = now;
}

}  // namespace citronsill
