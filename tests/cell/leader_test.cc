// Tests the start of a scheduler, with real timers.
#include "cell/leader.h"

#include <doctest/doctest.h>

#include <future>
#include <thread>

#include "cell/settings.h"
#include "cell/store.h"
#include "loop.h"
#include "schema/codes.pb.h"
#include "store.h"

namespace citronsill {
namespace {

using namespace std::chrono_literals;

// A store in real time that answers nothing until some time after its creation.
class StoreSilentAtFirst : public RowStore {
 public:
  StoreSilentAtFirst(TimerService& timers, milliseconds silence)
      : m_timers(timers), m_silent_until(BootNow() + silence) {}

  model::Loop loop{1};  // Not run.
  model::Store rows{loop};

  void Commit(RowTransaction transaction, milliseconds timeout,
              std::function<void(Result<CommitOutcome>)> done) override {
    Answer(timeout, [this, transaction, done](bool is_answered) {
      if (!is_answered) return done(Error{schema::CODE_COMMIT_UNKNOWN, "no answer"});
      done(rows.Apply(transaction));
    });
  }
  void Read(RowRange range, milliseconds timeout,
            std::function<void(Result<RowPage>)> done) override {
    Answer(timeout, [this, range, done](bool is_answered) {
      if (!is_answered) return done(Error{schema::CODE_TABLE_UNAVAILABLE, "no answer"});
      done(rows.Read(range.table, range.part));
    });
  }
  void Follow(std::string /*table*/, std::uint64_t /*after*/, milliseconds wait,
              std::function<void(Result<RowPage>)> done) override {
    m_timers.After(wait, [done](SteadyTime) { done(RowPage{}); });
  }

 private:
  void Answer(milliseconds timeout, const std::function<void(bool)>& done) {
    const bool is_silent = BootNow() < m_silent_until;
    m_timers.After(is_silent ? timeout : 5ms, [done, is_silent](SteadyTime) { done(!is_silent); });
  }

  TimerService& m_timers;
  SteadyTime m_silent_until;
};

// Guards against a takeover during an outage that ends as late after it as a read may take.
TEST_CASE("leader: a shard is loaded soon after a silent outage of the store") {
  constexpr milliseconds kSilence = 3400ms;
  constexpr milliseconds kLoadedWithin = 2000ms;  // The time for a change of the configuration.
  const auto runtime = std::move(Runtime::Create(1).value());
  const auto timers = std::move(TimerService::Create(*runtime).value());
  PlatformServices platform;
  platform.worker_table = {"servers", "", ""};
  platform.read_worker = [](const Row&) { return std::nullopt; };
  const NodeSettings settings;
  StoreSilentAtFirst store(*timers, kSilence);
  LeaderOptions options;
  options.shard = "s0";
  options.owner.set_term(2);
  options.head.set_term(2);
  options.claim_sent = BootNow();
  RowTransaction claim;
  claim.writes = {Row{{kOwnerTable, "s0", kShardRowKey}, options.owner.SerializeAsString()},
                  Row{{kHeadTable, "s0", kShardRowKey}, options.head.SerializeAsString()}};
  options.version = store.rows.Apply(claim).version;
  std::unique_ptr<Leader> leader;
  std::promise<milliseconds> loaded_after;
  runtime->Start();
  runtime->Post([&] {
    LeaderHooks hooks;
    hooks.on_lost = [] {};
    hooks.loop_load = [] { return LoopLoad{}; };
    leader =
        Leader::Create(*runtime, *timers, &store, platform, settings, options, std::move(hooks));
  });
  const SteadyTime began = BootNow();
  timers->Every(10ms, [&, reported = false](SteadyTime) mutable {
    if (reported || !leader || !leader->IsLoaded()) return;
    reported = true;
    loaded_after.set_value(std::chrono::duration_cast<milliseconds>(BootNow() - began));
  });
  auto loaded = loaded_after.get_future();
  const bool is_loaded = loaded.wait_for(20s) == std::future_status::ready;
  CHECK(is_loaded);
  if (is_loaded) CHECK(loaded.get() <= kSilence + kLoadedWithin);
  runtime->Stop();
  leader.reset();
}

}  // namespace
}  // namespace citronsill
