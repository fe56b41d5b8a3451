/// In-memory stand-in for the table service with fault injection. Used by platform_standin over
/// HTTP and by tests directly.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "citronsill/table.h"
#include "schema/citronsill.pb.h"

namespace citronsill {

/// Fault that the table simulates.
enum class TableFault {
  kNone,
  kDown,         ///< Every call is refused and has no effect.
  kLoseAnswers,  ///< Commits take effect, but their answers are lost.
  kHoldAnswers,  ///< Calls take effect, but their answers are held until `Release`.
};

/// Thread-safe. Callbacks run on the calling thread, without the lock held.
class StandinTable : public Table {
 public:
  void SetFault(TableFault fault) {
    std::lock_guard lock(m_mutex);
    m_fault = fault;
  }

  /// Delivers the held answers in the order of their calls.
  void Release() {
    std::unique_lock lock(m_mutex);
    const auto held = std::exchange(m_held_answers, {});
    lock.unlock();
    for (const auto& answer : held) answer();
  }

  [[nodiscard]] TableFault Fault() const {
    std::lock_guard lock(m_mutex);
    return m_fault;
  }

  /// @returns the number of reads; a scan counts once for each row that it returns.
  [[nodiscard]] std::uint64_t Reads() const {
    std::lock_guard lock(m_mutex);
    return m_reads;
  }

  /// @returns the number of commits that reached the table, including those that conflicted.
  [[nodiscard]] std::uint64_t Writes() const {
    std::lock_guard lock(m_mutex);
    return m_writes;
  }

  void Read(std::string key, std::function<void(Result<schema::TableRow>)> done) override {
    std::unique_lock lock(m_mutex);
    if (m_fault == TableFault::kDown) {
      lock.unlock();
      return done(Unavailable());
    }
    ++m_reads;
    schema::TableRow row = FindRow(key);
    AnswerOrHold(lock, [done = std::move(done), row = std::move(row)] { done(row); });
  }

  void Scan(std::string prefix,
            std::function<void(Result<std::vector<schema::TableRow>>)> done) override {
    std::unique_lock lock(m_mutex);
    if (m_fault == TableFault::kDown) {
      lock.unlock();
      return done(Unavailable());
    }
    std::vector<schema::TableRow> rows;
    for (auto row = m_rows.lower_bound(prefix); row != m_rows.end(); ++row) {
      if (!row->first.starts_with(prefix)) break;
      rows.push_back(row->second);
    }
    m_reads += rows.size();
    AnswerOrHold(lock, [done = std::move(done), rows = std::move(rows)] { done(rows); });
  }

  void Commit(schema::TableTransaction transaction,
              std::function<void(Result<schema::TableCommitResult>)> done) override {
    std::unique_lock lock(m_mutex);
    if (m_fault == TableFault::kDown) {
      lock.unlock();
      return done(Unavailable());
    }
    ++m_writes;
    schema::TableCommitResult result = Apply(transaction);
    const bool lost = m_fault == TableFault::kLoseAnswers;
    AnswerOrHold(lock, [done = std::move(done), result = std::move(result), lost] {
      if (lost) return done(Error{schema::CODE_COMMIT_UNKNOWN, "the answer was lost"});
      done(result);
    });
  }

 private:
  static Error Unavailable() { return Error{schema::CODE_TABLE_UNAVAILABLE, "the table is down"}; }

  void AnswerOrHold(std::unique_lock<std::mutex>& lock, std::function<void()> answer) {
    if (m_fault == TableFault::kHoldAnswers) {
      m_held_answers.push_back(std::move(answer));
      return;
    }
    lock.unlock();
    answer();
  }

  schema::TableRow FindRow(const std::string& key) const {
    if (const auto found = m_rows.find(key); found != m_rows.end()) return found->second;
    schema::TableRow missing;
    missing.set_key(key);
    return missing;
  }

  schema::TableCommitResult Apply(const schema::TableTransaction& transaction) {
    schema::TableCommitResult result;
    for (const schema::TableCondition& condition : transaction.conditions()) {
      const schema::TableRow row = FindRow(condition.key());
      if (row.version() != condition.version()) *result.add_rows() = row;
    }
    if (result.rows_size() > 0) return result;
    result.set_committed(true);
    for (const schema::TableWrite& write : transaction.writes()) {
      if (write.erase()) {
        m_rows.erase(write.key());
        continue;
      }
      schema::TableRow& row = m_rows[write.key()];
      row.set_key(write.key());
      row.set_value(write.value());
      // All versions come from one counter, so that a recreated row never gets an earlier version.
      row.set_version(++m_last_version);
      *result.add_rows() = row;
    }
    return result;
  }

  mutable std::mutex m_mutex;
  TableFault m_fault = TableFault::kNone;
  std::map<std::string, schema::TableRow> m_rows;
  std::uint64_t m_last_version = 0;
  std::vector<std::function<void()>> m_held_answers;
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
};

}  // namespace citronsill
