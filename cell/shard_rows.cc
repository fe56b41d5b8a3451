#include "cell/shard_rows.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "cell/limits.h"
#include "cell/log.h"
#include "net.h"

namespace citronsill {
namespace {

// The newest records of one job.
struct Records {
  std::uint64_t job_version = 0;
  schema::JobRow job;
  std::uint64_t progress_version = 0;
  schema::ProgressRow progress;
  std::map<std::uint32_t, std::pair<std::uint64_t, schema::ProgressRow>> parts;  // And versions.
  std::uint64_t finished_version = 0;
  schema::FinishedRow finished;
  std::uint64_t finished_pack = 0;
  RowPlaces places;
};

template <class Message>
bool ReadRow(const Row& row, Message* message) {
  if (message->ParseFromString(row.value)) return true;
  Log(LogLevel::kError, "row-unreadable")
      .Field("table", row.key.table)
      .Field("key", row.key.key)
      .Field("version", row.version);
  return false;
}

// Replaces an older record.
template <class Message>
bool Update(std::uint64_t version, Message&& message, std::uint64_t* known_version,
            std::remove_cvref_t<Message>* known) {
  if (version < *known_version) return false;
  *known_version = version;
  *known = std::forward<Message>(message);
  return true;
}

void ApplyPack(const Row& row, std::uint64_t pack, schema::PackRow* content,
               std::map<std::string, Records>* jobs) {
  for (schema::PackedJob& record : *content->mutable_jobs()) {
    Records& job = (*jobs)[record.id()];
    if (record.has_job() &&
        Update(row.version, std::move(*record.mutable_job()), &job.job_version, &job.job)) {
      job.places.job_pack = pack;
    }
    if (record.has_progress() && Update(row.version, std::move(*record.mutable_progress()),
                                        &job.progress_version, &job.progress)) {
      job.places.progress_pack = pack;
    }
    if (record.has_finished() && Update(row.version, std::move(*record.mutable_finished()),
                                        &job.finished_version, &job.finished)) {
      job.finished_pack = pack;
    }
  }
}

std::optional<std::uint64_t> PackNumber(const std::string& key) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(key.data(), key.data() + key.size(), number, 16);
  if (error != std::errc() || end != key.data() + key.size() || number == 0) return std::nullopt;
  return number;
}

constexpr char kPartSeparator = '.';

struct ProgressRowName {
  std::string job;
  std::uint32_t part = 0;
};

std::optional<ProgressRowName> ParseProgressKey(const std::string& key) {
  const std::size_t separator = key.find(kPartSeparator);
  if (separator == std::string::npos) return ProgressRowName{key, 0};
  std::uint32_t part = 0;
  const char* const last = key.data() + key.size();
  const auto [end, error] = std::from_chars(key.data() + separator + 1, last, part);
  if (error != std::errc() || end != last || part == 0) return std::nullopt;
  return ProgressRowName{key.substr(0, separator), part};
}

void LogMissing(const std::string& id, std::uint32_t part, const Records& job) {
  Log(LogLevel::kError, "progress-incomplete")
      .Field("job", id)
      .Field("part", part)
      .Field("parts", job.progress.parts())
      .Field("version", job.progress_version);
}

// Adds the steps in the further rows of the progress to the first one.
Completeness JoinParts(const std::string& id, Records* job) {
  const bool is_first_lost =
      std::any_of(job->parts.begin(), job->parts.end(), [job](const auto& entry) {
        const std::uint64_t version = entry.second.first;
        return version > job->progress_version && version >= job->job_version;
      });
  if (is_first_lost) {
    LogMissing(id, 0, *job);
    return Completeness::kLost;
  }
  // Progress that is older than the job is that of an earlier job with its id.
  if (job->progress_version < job->job_version) return Completeness::kComplete;
  Completeness completeness =
      job->progress.runs_unknown() ? Completeness::kRunsUnknown : Completeness::kComplete;
  for (std::uint32_t part = 1; part <= job->progress.parts(); ++part) {
    const auto found = job->parts.find(part);
    if (found == job->parts.end() || found->second.first != job->progress_version) {
      LogMissing(id, part, *job);
      completeness = job->progress.live_occurrences().empty() ? Completeness::kLost
                                                              : Completeness::kRunsUnknown;
      continue;
    }
    for (schema::StepRow& step : *found->second.second.mutable_steps()) {
      *job->progress.add_steps() = std::move(step);
    }
  }
  return completeness;
}

void ReadLeases(const Row& row, std::unordered_map<std::uint32_t, milliseconds>* leases) {
  schema::LongLeasesRow stored;
  if (!ReadRow(row, &stored)) return;
  const int count = std::min(stored.workers_size(), stored.left_ms_size());
  for (int i = 0; i < count; ++i) {
    milliseconds& left = (*leases)[stored.workers(i)];
    left = std::max(left, milliseconds(stored.left_ms(i)));
  }
}

}  // namespace

StoredShard ResolveRows(const ShardRows& rows) {
  StoredShard shard;
  shard.has_lease_row = !rows.leases.empty();
  for (const Row& row : rows.leases) ReadLeases(row, &shard.long_leases);
  std::map<std::string, Records> jobs;
  for (const Row& row : rows.packs) {
    const auto number = PackNumber(row.key.key);
    schema::PackRow content;
    if (!number || !ReadRow(row, &content)) continue;
    shard.packs.push_back(*number);
    ApplyPack(row, *number, &content, &jobs);
  }
  for (const Row& row : rows.jobs) {
    schema::JobRow stored;
    if (!ReadRow(row, &stored)) continue;
    Records& job = jobs[row.key.key];
    job.places.has_job_row = true;
    if (Update(row.version, std::move(stored), &job.job_version, &job.job)) {
      job.places.job_pack = 0;
    }
  }
  for (const Row& row : rows.progress) {
    schema::ProgressRow stored;
    if (!ReadRow(row, &stored)) continue;
    const auto name = ParseProgressKey(row.key.key);
    if (!name) continue;
    Records& job = jobs[name->job];
    if (name->part > 0) {
      job.places.progress_parts = std::max(job.places.progress_parts, name->part);
      job.parts[name->part] = {row.version, std::move(stored)};
      continue;
    }
    job.places.has_progress_row = true;
    if (Update(row.version, std::move(stored), &job.progress_version, &job.progress)) {
      job.places.progress_pack = 0;
    }
  }
  for (const Row& row : rows.finished) {
    schema::FinishedRow stored;
    if (!ReadRow(row, &stored)) continue;
    Records& job = jobs[row.key.key];
    if (Update(row.version, std::move(stored), &job.finished_version, &job.finished)) {
      job.finished_pack = 0;
    }
  }
  for (auto& [id, job] : jobs) {
    // A record of an earlier job with this id may be left in a pack.
    if (job.finished_version > 0 && job.finished_version >= job.job_version) {
      shard.finished[id] = {job.finished.state(), job.finished.finished_unix_ms(),
                            job.finished_pack, job.places, job.finished.customer()};
      continue;
    }
    if (job.job_version == 0) continue;
    const Completeness completeness = JoinParts(id, &job);
    StoredJob stored{std::move(job.job), std::nullopt, job.places, completeness};
    if (job.progress_version >= job.job_version) {
      stored.progress = std::move(job.progress);
    } else {
      stored.places.progress_pack = 0;
    }
    shard.jobs.push_back(std::move(stored));
  }
  return shard;
}

RowKey ProgressKey(const std::string& shard, const std::string& job, std::uint32_t part) {
  return {kProgressTable, shard, part == 0 ? job : job + kPartSeparator + std::to_string(part)};
}

RowKey PackKey(const std::string& shard, std::uint64_t pack) {
  return {kPackTable, shard, Hex64(pack)};
}

void PackRegister::Hold(std::uint64_t pack) {
  if (const auto found = m_packs.find(pack); found != m_packs.end()) ++found->second.current;
}

void PackRegister::Release(std::uint64_t pack) {
  const auto found = m_packs.find(pack);
  if (found == m_packs.end() || found->second.current == 0) return;
  if (--found->second.current == 0) RemoveLater(PackKey(m_shard, pack));
}

void PackRegister::ReleaseEmpty() {
  for (const auto& [number, pack] : m_packs) {
    if (pack.current == 0) RemoveLater(PackKey(m_shard, number));
  }
}

bool PackRegister::IsOld(std::uint64_t pack) const {
  const auto found = m_packs.find(pack);
  return found != m_packs.end() && m_now() > found->second.since + kMaxPackAge;
}

void PackRegister::RemoveLater(RowKey key) {
  const auto [entry, is_new] = m_removal_numbers.try_emplace(std::move(key), m_last_removal + 1);
  if (is_new) m_removals.emplace(++m_last_removal, Removal{entry->first, m_now()});
}

void PackRegister::CancelRemoval(RemovalNumbers::iterator entry) {
  if (entry == m_removal_numbers.end()) return;
  m_removals.erase(entry->second);
  m_removal_numbers.erase(entry);
}

void PackRegister::KeepRowsOf(const std::string& job) {
  for (auto entry = m_removal_numbers.begin(); entry != m_removal_numbers.end();) {
    const auto current = entry++;
    const auto name = ParseProgressKey(current->first.key);
    const bool is_pack = current->first.table == kPackTable;
    if (!is_pack && name && name->job == job) CancelRemoval(current);
  }
}

milliseconds PackRegister::OldestRemoval() const {
  if (m_removals.empty()) return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(m_now() - m_removals.begin()->second.since);
}

void PackRegister::CancelRemovals(const WriteBatch& batch) {
  if (m_removals.empty()) return;
  for (const Row& row : batch.writes) CancelRemoval(m_removal_numbers.find(row.key));
  for (const RowKey& key : batch.removals) CancelRemoval(m_removal_numbers.find(key));
}

void PackRegister::AppendRemovals(std::size_t max_entries, WriteBatch* batch) {
  while (!m_removals.empty() && batch->Entries() < max_entries) {
    RowKey key = std::move(m_removals.begin()->second.key);
    CancelRemoval(m_removal_numbers.find(key));
    if (key.table == kPackTable) {
      if (const auto number = PackNumber(key.key); number) m_packs.erase(*number);
    }
    batch->removals.push_back(std::move(key));
  }
}

PackWriter::PackWriter(std::string shard, PackRegister* packs,
                       std::function<std::uint64_t()> next_number, WriteBatch* batch)
    : m_shard(std::move(shard)),
      m_packs(packs),
      m_next_number(std::move(next_number)),
      m_batch(batch) {}

std::uint64_t PackWriter::Add(schema::PackedJob record) {
  const std::size_t bytes = record.ByteSizeLong();
  if (m_number != 0 && m_row_bytes + bytes > kMaxPackBytes) Finish();
  if (m_number == 0) {
    m_number = m_next_number();
    m_packs->Add(m_number);
  }
  m_packs->Hold(m_number);
  m_row_bytes += bytes;
  m_bytes += bytes;
  *m_row.add_jobs() = std::move(record);
  return m_number;
}

void PackWriter::Finish() {
  if (m_number == 0) return;
  m_batch->writes.push_back(Row{PackKey(m_shard, m_number), m_row.SerializeAsString()});
  m_row.Clear();
  m_number = 0;
  m_row_bytes = 0;
}

}  // namespace citronsill
