#include "citronsill/tableguard.h"

#include <random>

#include "internal.h"

namespace citronsill {
namespace {

// Upper limit of the unused retry budget, in reads.
constexpr double kMaxRetryCredit = 10;

struct Call {
  bool commit = false;
  bool ended = false;  // The caller has got, or is about to get, its answer.
  bool sent = false;   // An attempt is in progress at the table.
  bool probe = false;
  bool retried = false;
  unsigned attempt = 0;
  SteadyTime deadline;
  SteadyTime retry_at;                                     // When a retry is due.
  std::function<void(const std::shared_ptr<Call>&)> send;  // Starts an attempt.
  std::function<void(const Error&)> fail;                  // Answers the caller.
};

using CallPtr = std::shared_ptr<Call>;

double DefaultRandom() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(generator);
}

class Guard : public TableGuard, public std::enable_shared_from_this<Guard> {
 public:
  Guard(Table& table, const TableGuardOptions& options, TableGuardHooks hooks)
      : m_table(table), m_options(options), m_hooks(std::move(hooks)) {}

  void Read(std::string key, std::function<void(Result<schema::TableRow>)> done) override {
    Start<schema::TableRow>(
        false, [this, key = std::move(key)](auto answer) { m_table.Read(key, std::move(answer)); },
        std::move(done));
  }

  void Scan(std::string prefix,
            std::function<void(Result<std::vector<schema::TableRow>>)> done) override {
    Start<std::vector<schema::TableRow>>(
        false,
        [this, prefix = std::move(prefix)](auto answer) {
          m_table.Scan(prefix, std::move(answer));
        },
        std::move(done));
  }

  void Commit(schema::TableTransaction transaction,
              std::function<void(Result<schema::TableCommitResult>)> done) override {
    Start<schema::TableCommitResult>(
        true,
        [this, transaction = std::move(transaction)](auto answer) {
          m_table.Commit(transaction, std::move(answer));
        },
        std::move(done));
  }

  void Tick() override {
    std::vector<CallPtr> expired;
    {
      std::lock_guard lock(m_mutex);
      TakeExpired(expired);
      MoveDueRetries();
    }
    for (const CallPtr& call : expired) {
      if (call->sent && call->commit) {
        call->fail(Error{schema::CODE_COMMIT_UNKNOWN, "no answer from the table in time"});
      } else {
        call->fail(Error{schema::CODE_TABLE_UNAVAILABLE, "no answer from the table in time"});
      }
    }
    ProcessWaiting();
  }

  [[nodiscard]] TableGuardCounts Counts() const override {
    std::lock_guard lock(m_mutex);
    TableGuardCounts counts = m_counts;
    counts.in_flight = m_in_flight.size();
    counts.waiting = m_waiting.size();
    counts.state = m_state;
    return counts;
  }

 private:
  enum class AnswerAction { kDeliver, kDrop, kRetry };

  template <class T, class Send>
  void Start(bool commit, Send send, std::function<void(Result<T>)> done) {
    auto call = std::make_shared<Call>();
    call->commit = commit;
    call->deadline = m_hooks.now() + m_options.deadline;
    call->fail = [done](const Error& error) { done(error); };
    call->send = [this, send = std::move(send), done](const CallPtr& self) {
      const unsigned attempt = self->attempt;
      send([guard = shared_from_this(), self, attempt, done](Result<T> result) {
        guard->template OnAnswer<T>(self, attempt, std::move(result), done);
      });
    };
    Submit(call);
  }

  template <class T>
  void OnAnswer(const CallPtr& call, unsigned attempt, Result<T> result,
                const std::function<void(Result<T>)>& done) {
    const AnswerAction action = EndAttempt(call, attempt, result.has_value());
    if (action == AnswerAction::kDeliver) {
      if (result) {
        done(std::move(result));
      } else {
        done(Classify(*call, result.error()));
      }
    }
    ProcessWaiting();
  }

  Error Classify(const Call& call, const Error& error) {
    if (!call.commit || error.code == schema::CODE_TABLE_UNAVAILABLE) {
      return Error{schema::CODE_TABLE_UNAVAILABLE, error.message};
    }
    std::lock_guard lock(m_mutex);
    ++m_counts.unknown_commits;
    return Error{schema::CODE_COMMIT_UNKNOWN, error.message};
  }

  void Submit(const CallPtr& call) {
    const char* refusal = nullptr;
    {
      std::lock_guard lock(m_mutex);
      ++m_counts.calls;
      m_retry_credit = std::min(kMaxRetryCredit, m_retry_credit + m_options.retry_ratio);
      if (m_state == BreakerState::kOpen && !MayProbe()) {
        ++m_counts.refused_open;
        refusal = "the circuit breaker of the table is open";
      } else if (m_waiting.size() >= m_options.max_waiting) {
        ++m_counts.refused_full;
        refusal = "too many calls wait for the table";
      } else {
        m_waiting.push_back(call);
      }
    }
    if (refusal != nullptr) {
      return call->fail(Error{schema::CODE_TABLE_UNAVAILABLE, refusal});
    }
    ProcessWaiting();
  }

  // Sends waiting calls up to the concurrency limit, or refuses them when the breaker has opened.
  void ProcessWaiting() {
    for (const CallPtr& call : TakeRefused()) {
      call->fail(Error{schema::CODE_TABLE_UNAVAILABLE, "the circuit breaker of the table is open"});
    }
    while (const CallPtr call = TakeNext()) call->send(call);
  }

  std::vector<CallPtr> TakeRefused() {
    std::lock_guard lock(m_mutex);
    if (m_state != BreakerState::kOpen || MayProbe()) return {};
    std::vector<CallPtr> refused(m_waiting.begin(), m_waiting.end());
    m_waiting.clear();
    m_counts.refused_open += refused.size();
    for (const CallPtr& call : refused) call->ended = true;
    return refused;
  }

  CallPtr TakeNext() {
    std::lock_guard lock(m_mutex);
    if (m_waiting.empty() || m_in_flight.size() >= ConcurrencyLimit()) return nullptr;
    if (m_state == BreakerState::kOpen && !MayProbe()) return nullptr;
    CallPtr call = m_waiting.front();
    m_waiting.pop_front();
    call->probe = m_state == BreakerState::kOpen;
    if (call->probe) {
      m_probing = true;
      ++m_counts.probes;
    }
    call->sent = true;
    ++call->attempt;
    ++m_counts.sent;
    m_in_flight.insert(call);
    return call;
  }

  // Requires the mutex.
  std::size_t ConcurrencyLimit() const {
    if (m_state == BreakerState::kOpen) return m_options.max_concurrent;
    return m_state == BreakerState::kRamping ? m_ramp_limit : m_options.max_concurrent;
  }

  // Requires the mutex.
  bool MayProbe() const { return !m_probing && m_hooks.now() >= m_next_probe; }

  AnswerAction EndAttempt(const CallPtr& call, unsigned attempt, bool succeeded) {
    std::lock_guard lock(m_mutex);
    if (call->ended || call->attempt != attempt) {
      ++m_counts.late;
      return AnswerAction::kDrop;
    }
    m_in_flight.erase(call);
    call->sent = false;
    succeeded ? ++m_counts.succeeded : ++m_counts.failed;
    UpdateBreaker(call->probe, succeeded);
    if (!succeeded && MayRetry(*call)) {
      m_retry_credit -= 1;
      ++m_counts.retried;
      call->retried = true;
      call->retry_at = m_hooks.now() + Jittered(m_options.retry_delay);
      m_retries.push_back(call);
      return AnswerAction::kRetry;
    }
    call->ended = true;
    return AnswerAction::kDeliver;
  }

  // Requires the mutex.
  bool MayRetry(const Call& call) const {
    return !call.commit && !call.retried && m_state == BreakerState::kClosed && m_retry_credit >= 1;
  }

  // Requires the mutex. Updates the state of the breaker after the end of an attempt.
  void UpdateBreaker(bool probe, bool succeeded) {
    if (probe) m_probing = false;
    if (succeeded) {
      m_failures = 0;
      if (m_state == BreakerState::kOpen && probe) {
        m_state = BreakerState::kRamping;
        m_ramp_limit = 1;
      } else if (m_state == BreakerState::kRamping && ++m_ramp_limit >= m_options.max_concurrent) {
        m_state = BreakerState::kClosed;
        m_probe_wait = m_options.first_probe;
      }
      return;
    }
    ++m_failures;
    const bool opens =
        m_state == BreakerState::kRamping || (m_state == BreakerState::kOpen && probe) ||
        (m_state == BreakerState::kClosed && m_failures >= m_options.open_after_failures);
    if (opens) Open();
  }

  // Requires the mutex.
  void Open() {
    if (m_state != BreakerState::kOpen) ++m_counts.opened;
    m_state = BreakerState::kOpen;
    m_next_probe = m_hooks.now() + Jittered(m_probe_wait);
    m_probe_wait = std::min(2 * m_probe_wait, m_options.longest_probe);
  }

  // @returns 0.5 to 1.5 times `mean`.
  std::chrono::milliseconds Jittered(std::chrono::milliseconds mean) const {
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(mean.count()) * (0.5 + m_hooks.random())));
  }

  // Requires the mutex.
  void TakeExpired(std::vector<CallPtr>& expired) {
    const SteadyTime now = m_hooks.now();
    const auto is_expired = [&](const CallPtr& call) { return call->deadline <= now; };
    for (const CallPtr& call : m_in_flight) {
      if (!is_expired(call)) continue;
      expired.push_back(call);
      ++m_counts.timed_out;
      if (call->commit) ++m_counts.unknown_commits;
    }
    for (const CallPtr& call : expired) {
      m_in_flight.erase(call);
      UpdateBreaker(call->probe, false);
    }
    for (auto* queue : {&m_waiting, &m_retries}) {
      std::copy_if(queue->begin(), queue->end(), std::back_inserter(expired), is_expired);
      std::erase_if(*queue, is_expired);
    }
    for (const CallPtr& call : expired) call->ended = true;
  }

  // Requires the mutex.
  void MoveDueRetries() {
    const SteadyTime now = m_hooks.now();
    const auto is_due = [&](const CallPtr& call) { return call->retry_at <= now; };
    std::copy_if(m_retries.begin(), m_retries.end(), std::back_inserter(m_waiting), is_due);
    std::erase_if(m_retries, is_due);
  }

  Table& m_table;
  TableGuardOptions m_options;
  TableGuardHooks m_hooks;
  mutable std::mutex m_mutex;
  TableGuardCounts m_counts;
  BreakerState m_state = BreakerState::kClosed;
  unsigned m_failures = 0;       // Consecutive failures.
  bool m_probing = false;        // A probe is in flight.
  std::size_t m_ramp_limit = 1;  // Concurrency limit in the state kRamping.
  SteadyTime m_next_probe;
  std::chrono::milliseconds m_probe_wait = m_options.first_probe;
  double m_retry_credit = 0;
  std::deque<CallPtr> m_waiting;
  std::deque<CallPtr> m_retries;
  std::set<CallPtr> m_in_flight;
};

}  // namespace

Result<std::shared_ptr<TableGuard>> TableGuard::Create(Table& table,
                                                       const TableGuardOptions& options,
                                                       TableGuardHooks hooks) {
  if (options.max_concurrent < 1 || options.deadline.count() <= 0) {
    return Error{schema::CODE_INVALID_FIELD, "max_concurrent and deadline must be positive"};
  }
  if (!hooks.now) hooks.now = [] { return std::chrono::steady_clock::now(); };
  if (!hooks.random) hooks.random = DefaultRandom;
  return std::shared_ptr<TableGuard>(std::make_shared<Guard>(table, options, std::move(hooks)));
}

}  // namespace citronsill
