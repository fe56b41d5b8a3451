// Tests what callers are answered while the store is slow, with real timers.
#include <doctest/doctest.h>

#include <atomic>
#include <future>

#include "cell/leader.h"
#include "cell/shard.h"
#include "loop.h"
#include "store.h"

namespace citronsill {
namespace {

using namespace std::chrono_literals;

// A store in real time that takes the same time for each call.
class DelayedStore : public RowStore {
 public:
  explicit DelayedStore(TimerService& timers) : m_timers(timers) {}

  model::Loop loop{1};  // Not run.
  model::Store rows{loop};
  std::atomic<milliseconds> delay{5ms};

  void Commit(RowTransaction transaction, milliseconds timeout,
              std::function<void(Result<CommitOutcome>)> done) override {
    m_timers.After(delay, [this, transaction = std::move(transaction), done](SteadyTime) {
      done(rows.Apply(transaction));
    });
    static_cast<void>(timeout);
  }
  void Read(RowRange range, milliseconds, std::function<void(Result<RowPage>)> done) override {
    m_timers.After(delay, [this, range = std::move(range), done](SteadyTime) {
      done(rows.Read(range.table, range.part));
    });
  }
  void Follow(std::string, std::uint64_t, milliseconds wait,
              std::function<void(Result<RowPage>)> done) override {
    m_timers.After(wait, [done](SteadyTime) { done(RowPage{}); });
  }

 private:
  TimerService& m_timers;
};

struct CallAnswer {
  CallOutcome outcome;
  milliseconds took{0};
};

// A cell of one instance with its own event loop.
struct SlowCell {
  SlowCell()
      : runtime(std::move(Runtime::Create(1).value())),
        timers(std::move(TimerService::Create(*runtime).value())),
        store(*timers) {
    settings.instance = "n-0";
    platform.read_worker = [](const Row&) { return std::nullopt; };
    runtime->Start();
    OnLoop([this] {
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
    });
  }
  ~SlowCell() {
    OnLoop([this] { shard.reset(); });
    runtime->Stop();
  }
  SlowCell(const SlowCell&) = delete;
  SlowCell& operator=(const SlowCell&) = delete;

  void OnLoop(const std::function<void()>& action) const {
    std::promise<void> done;
    runtime->Post([&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }

  std::future<CallAnswer> Submit(const std::string& id, milliseconds timeout) {
    schema::LinkMessage message;
    schema::JobSpec* spec = message.mutable_submit()->mutable_spec();
    spec->set_id(id);
    spec->mutable_queue()->set_name("queue");
    schema::StepSpec* step = spec->add_steps();
    step->set_task_count(1);
    step->mutable_size()->set_processors_milli(100);
    step->mutable_size()->set_memory_mb(64);
    auto answer = std::make_shared<std::promise<CallAnswer>>();
    std::future<CallAnswer> future = answer->get_future();
    OnLoop([&] {
      shard->Call(message, timeout, [answer, sent = BootNow()](CallOutcome outcome) {
        const auto took = std::chrono::duration_cast<milliseconds>(BootNow() - sent);
        answer->set_value({std::move(outcome), took});
      });
    });
    return future;
  }

  // @returns whether a row of the store tells of the job.
  [[nodiscard]] bool IsStored(const std::string& id) {
    bool is_stored = false;
    OnLoop([&] {
      for (const char* table : {kJobTable, kPackTable}) {
        for (const Row& row : store.rows.Read(table, "s0").rows) {
          is_stored |= row.value.find(id) != std::string::npos;
        }
      }
    });
    return is_stored;
  }

  std::unique_ptr<Runtime> runtime;
  std::unique_ptr<TimerService> timers;
  DelayedStore store;
  PlatformServices platform;
  NodeSettings settings;
  std::unique_ptr<Shard> shard;
};

// Guards against jobs that wait for a slow store until their callers' deadline, after which callers
// cannot try again (shams-billing-grown trouble-2), and against refusing those with time left.
TEST_CASE("slow store: a job is refused at once if it cannot be stored in time") {
  SlowCell cell;
  REQUIRE(cell.Submit("00000000000000a0", 5000ms).get().outcome.code == schema::CODE_OK);
  cell.store.delay = 400ms;
  std::this_thread::sleep_for(2000ms);
  const CallAnswer late = cell.Submit("00000000000000a1", 300ms).get();
  CHECK(late.outcome.code == schema::CODE_TABLE_UNAVAILABLE);
  CHECK(late.outcome.retry_after > 0ms);
  CHECK(late.took < 200ms);
  CHECK(cell.Submit("00000000000000a2", 3000ms).get().outcome.code == schema::CODE_OK);
  std::this_thread::sleep_for(1000ms);
  CHECK_FALSE(cell.IsStored("00000000000000a1"));
  CHECK(cell.IsStored("00000000000000a2"));
}

// Guards against refusing a job that a transaction carries, which may be stored later, and against
// leaving the others without a definite answer.
TEST_CASE("slow store: jobs that no transaction carries are refused before their deadline") {
  SlowCell cell;
  REQUIRE(cell.Submit("00000000000000b0", 5000ms).get().outcome.code == schema::CODE_OK);
  cell.store.delay = 2000ms;
  std::future<CallAnswer> carried = cell.Submit("00000000000000b1", 600ms);
  std::this_thread::sleep_for(150ms);
  std::future<CallAnswer> waiting = cell.Submit("00000000000000b2", 600ms);
  const CallAnswer refused = waiting.get();
  CHECK(refused.outcome.code == schema::CODE_TABLE_UNAVAILABLE);
  CHECK(refused.took < 550ms);
  CHECK(carried.get().outcome.code == schema::CODE_OUTCOME_UNKNOWN);
  std::this_thread::sleep_for(4000ms);
  CHECK(cell.IsStored("00000000000000b1"));
  CHECK_FALSE(cell.IsStored("00000000000000b2"));
}

}  // namespace
}  // namespace citronsill
