// Outcomes that callers take as a loss (an unknown job, or no answer) record what the scheduler and
// the instance that took the call knew at that time.
#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <map>

#include "cell/leader.h"
#include "cell/shard.h"

namespace citronsill {
namespace {

using std::chrono::seconds;

// A store in memory that can refuse all calls or leave reads of jobs unanswered.
class StubStore : public RowStore {
 public:
  explicit StubStore(Runtime& runtime) : m_runtime(runtime) {}

  std::atomic<bool> refuses{false};
  std::atomic<bool> ignores_job_reads{false};

  void Commit(RowTransaction transaction, milliseconds,
              std::function<void(Result<CommitOutcome>)> done) override {
    m_runtime.Post([this, transaction = std::move(transaction), done = std::move(done)] {
      if (refuses) return done(Error{schema::CODE_TABLE_UNAVAILABLE, "down"});
      ++m_version;
      for (const Row& row : transaction.writes) {
        m_rows[row.key] = Row{row.key, row.value, m_version, false};
      }
      done(CommitOutcome{true, m_version, {}});
    });
  }
  void Read(RowRange range, milliseconds, std::function<void(Result<RowPage>)> done) override {
    if (ignores_job_reads && range.table == kJobTable) return;
    m_runtime.Post([this, range = std::move(range), done = std::move(done)] {
      if (refuses) return done(Error{schema::CODE_TABLE_UNAVAILABLE, "down"});
      RowPage page;
      page.version = m_version;
      for (const auto& [key, row] : m_rows) {
        if (key.table == range.table && key.part == range.part) page.rows.push_back(row);
      }
      done(std::move(page));
    });
  }
  void Follow(std::string, std::uint64_t, milliseconds,
              std::function<void(Result<RowPage>)>) override {}

 private:
  Runtime& m_runtime;
  std::uint64_t m_version = 0;
  std::map<RowKey, Row> m_rows;
};

// A shard of one instance with its own event loop.
struct ShardFixture {
  ShardFixture()
      : runtime(std::move(Runtime::Create(1).value())),
        timers(std::move(TimerService::Create(*runtime).value())),
        store(*runtime) {
    settings.instance = "n-0";
    runtime->Start();
  }
  ~ShardFixture() {
    OnLoop([this] { shard.reset(); });
    runtime->Stop();
  }
  ShardFixture(const ShardFixture&) = delete;
  ShardFixture& operator=(const ShardFixture&) = delete;

  void OnLoop(const std::function<void()>& action) const {
    std::promise<void> done;
    runtime->Post([&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }

  // To be called on the event loop.
  void MakeShard() {
    ShardDeps deps;
    deps.runtime = runtime.get();
    deps.timers = timers.get();
    deps.store = &store;
    deps.platform = &platform;
    deps.settings = &settings;
    deps.self.set_instance("n-0");
    deps.self.set_incarnation(7);
    deps.self.set_address("127.0.0.1:1");
    deps.connect = [](const std::string&) { return LinkPtr(); };
    deps.for_each_link = [](const std::function<void(const LinkPtr&)>&) {};
    deps.may_claim = [] { return true; };
    shard = Shard::Create("s0", std::move(deps));
  }

  // Queries the state of a job that does not exist.
  CallOutcome QueryUnknownJob(milliseconds timeout) {
    std::promise<CallOutcome> answer;
    OnLoop([&] {
      MakeShard();
      schema::LinkMessage message;
      message.mutable_state()->set_id("00000000000000aa");
      shard->Call(message, timeout,
                  [&](CallOutcome result) { answer.set_value(std::move(result)); });
    });
    return answer.get_future().get();
  }

  std::unique_ptr<Runtime> runtime;
  std::unique_ptr<TimerService> timers;
  StubStore store;
  PlatformServices platform;
  NodeSettings settings;
  std::unique_ptr<Shard> shard;
};

// Guards against a "not found" answer that does not tell whether the scheduler had lost its shard
// or had loaded nothing.
TEST_CASE("outcome: the answer for an unknown job says what the scheduler knew") {
  ShardFixture fixture;
  const CallOutcome outcome = fixture.QueryUnknownJob(seconds(8));
  REQUIRE(outcome.code == schema::CODE_NOT_FOUND);
  REQUIRE(outcome.scheduler_basis.has_value());
  CHECK_FALSE(outcome.entry_basis.has_value());
  CHECK(outcome.scheduler_basis->instance() == "n-0");
  CHECK(outcome.scheduler_basis->term() == 1);
  CHECK(outcome.scheduler_basis->jobs() == 0);
  CHECK(outcome.scheduler_basis->loaded());
  // The answer waits for a transaction, so the last commit is at most as old as the time of a
  // claim.
  CHECK(outcome.scheduler_basis->confirmed_ms_ago() < kMaxOwnerSilence.count());
}

// Guards against a missing answer whose log line does not distinguish a missing scheduler from a
// slow one.
TEST_CASE("outcome: no answer, because no scheduler was found") {
  ShardFixture fixture;
  fixture.store.refuses = true;
  const CallOutcome outcome = fixture.QueryUnknownJob(milliseconds(300));
  CHECK(outcome.code == schema::CODE_NO_OWNER);
  CHECK_FALSE(outcome.scheduler_basis.has_value());
  REQUIRE(outcome.entry_basis.has_value());
  CHECK(outcome.entry_basis->owner.empty());
  CHECK_FALSE(outcome.entry_basis->is_owner);
  CHECK_FALSE(outcome.entry_basis->is_linked);
  CHECK_FALSE(outcome.entry_basis->was_sent);
}

// Guards against callers that end a process with jobs for which no scheduler can be found.
TEST_CASE("outcome: calls that wait for a scheduler are limited in memory") {
  constexpr std::size_t kLargeBytes = 40U << 10;
  constexpr std::size_t kCalls = 2 * kMaxWaitingCallBytes / kLargeBytes;
  ShardFixture fixture;
  fixture.store.refuses = true;
  std::vector<schema::Code> refused;
  std::size_t waiting = 0;
  bool is_small_refused = false;
  fixture.OnLoop([&] {
    fixture.MakeShard();
    schema::LinkMessage message;
    message.mutable_submit()->mutable_spec()->set_payload(std::string(kLargeBytes, 'x'));
    for (std::size_t i = 0; i < kCalls; ++i) {
      fixture.shard->Call(message, seconds(60),
                          [&](const CallOutcome& outcome) { refused.push_back(outcome.code); });
    }
    waiting = fixture.shard->PendingCalls();
    schema::LinkMessage small;
    small.mutable_state()->set_id("00000000000000aa");
    fixture.shard->Call(small, seconds(60), [&](const CallOutcome&) { is_small_refused = true; });
  });
  CHECK(waiting > kMaxWaitingCallBytes / kLargeBytes / 2);
  CHECK(waiting < kMaxWaitingCallBytes / kLargeBytes);
  CHECK(waiting + refused.size() == kCalls);
  // An earlier call may have handed in the job, so the answer must not say that it never runs.
  for (const schema::Code code : refused) CHECK(code == schema::CODE_NO_OWNER);
  CHECK_FALSE(is_small_refused);
}

TEST_CASE("outcome: no answer, because the scheduler has not loaded its shard") {
  ShardFixture fixture;
  fixture.store.ignores_job_reads = true;
  const CallOutcome outcome = fixture.QueryUnknownJob(seconds(4));
  CHECK(outcome.code == schema::CODE_OUTCOME_UNKNOWN);
  REQUIRE(outcome.entry_basis.has_value());
  CHECK(outcome.entry_basis->owner == "n-0");
  CHECK(outcome.entry_basis->term == 1);
  CHECK(outcome.entry_basis->is_owner);
  CHECK_FALSE(outcome.entry_basis->is_loaded);
  CHECK(outcome.entry_basis->was_sent);
}

}  // namespace
}  // namespace citronsill
