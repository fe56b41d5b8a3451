/// Model time for tests: an event queue, processes that can be paused or killed, and a table whose
/// calls take time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "citronsill/journal.h"
#include "standin_table.h"

namespace citronsill {

using std::chrono::milliseconds;

class ModelTime {
 public:
  explicit ModelTime(std::uint64_t seed) : m_random(seed) {}

  [[nodiscard]] SteadyTime Now() const { return m_now; }
  [[nodiscard]] std::int64_t UnixMs() const {
    return 1'700'000'000'000 +
           std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
  }

  void After(milliseconds delay, std::function<void()> work) {
    m_events.emplace(std::pair(m_now + delay, m_next_sequence++), std::move(work));
  }

  void Run(milliseconds time) {
    const SteadyTime end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first.first <= end) {
      auto event = m_events.extract(m_events.begin());
      m_now = event.key().first;
      event.mapped()();
    }
    m_now = end;
  }

  /// @returns a number from 0 to `max`, inclusive.
  int RandomUpTo(int max) {
    return static_cast<int>(m_random() % (static_cast<std::uint64_t>(max) + 1));
  }

 private:
  SteadyTime m_now{std::chrono::hours(1)};
  std::uint64_t m_next_sequence = 0;
  std::map<std::pair<SteadyTime, std::uint64_t>, std::function<void()>> m_events;
  std::mt19937_64 m_random;
};

/// One process. Its work is deferred while it is paused and dropped once it was killed.
class ModelProcess : public std::enable_shared_from_this<ModelProcess> {
 public:
  explicit ModelProcess(ModelTime& time) : m_time(time) {}

  void RunOrDefer(const std::function<void()>& work) {
    if (m_dead) return;
    if (m_paused) {
      m_deferred.push_back(work);
    } else {
      work();
    }
  }

  DelayFunction MakeDelay() {
    return [self = shared_from_this()](milliseconds delay, std::function<void()> work) {
      self->m_time.After(delay, [self, work = std::move(work)] { self->RunOrDefer(work); });
    };
  }

  void Pause() { m_paused = true; }
  void Kill() { m_dead = true; }
  [[nodiscard]] bool IsDead() const { return m_dead; }
  [[nodiscard]] bool IsUp() const { return !m_dead && !m_paused; }

  void Resume() {
    m_paused = false;
    for (const auto& work : std::exchange(m_deferred, {})) RunOrDefer(work);
  }

 private:
  ModelTime& m_time;
  bool m_dead = false;
  bool m_paused = false;
  std::vector<std::function<void()>> m_deferred;
};

/// One process's client of the table. A commit may take effect after its caller was told that the
/// outcome is unknown.
class ModelTable : public Table {
 public:
  ModelTable(ModelTime& time, StandinTable& table, std::shared_ptr<ModelProcess> process)
      : m_time(time), m_table(table), m_process(std::move(process)) {}

  void Read(std::string key, std::function<void(Result<schema::TableRow>)> done) override {
    Call([this, key, done] {
      m_table.Read(key, [this, done](const auto& result) { Answer(done, result); });
    });
  }

  void Scan(std::string prefix,
            std::function<void(Result<std::vector<schema::TableRow>>)> done) override {
    Call([this, prefix, done] {
      m_table.Scan(prefix, [this, done](const auto& result) { Answer(done, result); });
    });
  }

  void Commit(schema::TableTransaction transaction,
              std::function<void(Result<schema::TableCommitResult>)> done) override {
    if (m_table.Fault() == TableFault::kLoseAnswers && m_time.RandomUpTo(3) == 0) {
      m_time.After(milliseconds(m_time.RandomUpTo(400)),
                   [this, transaction] { m_table.Commit(transaction, [](const auto&) {}); });
      return Answer(done, Result<schema::TableCommitResult>(
                              Error{schema::CODE_COMMIT_UNKNOWN, "the answer was lost"}));
    }
    Call([this, transaction, done] {
      m_table.Commit(transaction, [this, done](const auto& result) { Answer(done, result); });
    });
  }

 private:
  void Call(std::function<void()> work) {
    m_time.After(milliseconds(1 + m_time.RandomUpTo(10)), std::move(work));
  }

  template <class T>
  void Answer(const std::function<void(Result<T>)>& done, const Result<T>& result) {
    m_time.After(milliseconds(1 + m_time.RandomUpTo(5)), [process = m_process, done, result] {
      process->RunOrDefer([done, result] { done(result); });
    });
  }

  ModelTime& m_time;
  StandinTable& m_table;
  std::shared_ptr<ModelProcess> m_process;
};

}  // namespace citronsill
