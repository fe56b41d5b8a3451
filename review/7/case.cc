// The removal of a row that was replaced waits in a queue, the row is written again meanwhile, and
// the removal deletes what is live. Checks that no task runs twice when the scheduler is killed.
#include "../stand-ins-2/world.h"

namespace review {
namespace {

constexpr const char* kJob = "5c0e7a21d94b36f8";
// Ends at the store's outage: the store is down for 3.3 s ("platform_down": 4.5 s in the site
// file).
constexpr int kShortJobs = 1500;
constexpr milliseconds kFirstStart{27000};  // After the job was submitted.
constexpr milliseconds kInterval{8000};
constexpr milliseconds kDownFrom{4500};  // These times count from the first start.
constexpr milliseconds kShortJobsEnd{4600};
constexpr milliseconds kDownUntil{7800};
constexpr std::size_t kTasks = 1190;

// Tasks of the job, by occurrence and step: ID.K.STEP.INDEX.
Behavior BehaviorOf(const std::string& task, const std::string& spec) {
  if (task.rfind(kJob, 0) != 0) return Behavior::Of(spec);
  Behavior behavior;
  behavior.duration = milliseconds(5700);
  const bool is_second = task.find(".1.", std::strlen(kJob)) == std::strlen(kJob);
  const bool is_last_step = task.find(".2.", std::strlen(kJob) + 2) == std::strlen(kJob) + 2;
  if (is_second) behavior.duration = milliseconds(is_last_step ? 150 : 90000);
  return behavior;
}

// Jobs of one task each, which end at the same time.
void SubmitShortJobs(World& world, std::int64_t end_unix_ms) {
  std::atomic<int> next{0};
  std::atomic<int> accepted{0};
  constexpr int kClients = 8;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&] {
      for (int i = next++; i < kShortJobs; i = next++) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", 0x1000 + i);
        const std::string body =
            R"({"spec":"ms=)" + std::to_string(end_unix_ms - UnixMs()) +
            R"( how=done","steps":[{"count":1,"cpu":20,"memMb":10,"estimateMs":5000}]})";
        const Node& node = *world.nodes[static_cast<std::size_t>(i) % world.nodes.size()];
        const auto answer = Send(node.Ingress(), "POST", std::string("/batch/") + id, World::kHost,
                                 body, milliseconds(3000));
        if (answer && answer->status == 200) ++accepted;
        Pause(milliseconds(80));
      }
    });
  }
  for (std::thread& client : clients) client.join();
  world.record.Line(std::to_string(accepted) + " short jobs are accepted");
}

void SleepUntil(std::int64_t unix_ms) {
  while (UnixMs() < unix_ms) Pause(milliseconds(2));
}

void Play(World& world) {
  std::atomic<bool> is_down{false};
  world.store.before = [&is_down](const Request&) { return !is_down; };
  WorkerOptions options;
  options.behavior = BehaviorOf;
  world.AddWorkers(8, options);
  world.Configure({{"batch"}});
  world.StartNodes(4);
  const std::int64_t start = UnixMs() + kFirstStart.count();
  world.Submit("batch", kJob,
               R"({"spec":"a scheduled job","steps":[)"
               R"({"count":560,"cpu":50,"memMb":10,"estimateMs":5700},)"
               R"({"count":560,"cpu":50,"memMb":10,"estimateMs":5700},)"
               R"({"count":70,"cpu":50,"memMb":10,"estimateMs":5700}],"maxRuns":2,"startTimeMs":)" +
                   std::to_string(start) + R"(,"intervalMs":)" + std::to_string(kInterval.count()) +
                   "}");
  SubmitShortJobs(world, start + kShortJobsEnd.count());
  SleepUntil(start + kDownFrom.count());
  if (HasTrouble()) {
    world.record.Line("the store is down: it answers 503");
    is_down = true;
  }
  SleepUntil(start + kDownUntil.count());
  is_down = false;
  world.record.Line("the store serves");
  const std::string second = std::string(kJob) + ".1.";
  if (!World::Await(milliseconds(15000),
                    [&] { return world.history.Of(second).size() >= kTasks; })) {
    world.CannotRun("the second occurrence does not run");
  }
  Pause(milliseconds(4000));
  const bool is_there = world.store.Has("progress", "s0", std::string(kJob) + ".1");
  world.record.Line(std::string("the second row of the job's progress is ") +
                    (is_there ? "there" : "missing"));
  if (HasTrouble()) {
    Node* const leader = world.Leader();
    if (leader == nullptr) world.CannotRun("there is no scheduler");
    world.record.Line("the scheduler, " + leader->Name() + ", is killed");
    leader->Kill();
  }
  Pause(milliseconds(8000));
  const std::lock_guard lock(world.history.mutex);
  const std::string count = std::to_string(world.history.broken.size());
  world.Finish(
      world.history.broken.empty() ? "" : count + " times, first " + world.history.broken.front());
}

}  // namespace
}  // namespace review

int main(int, char** argv) {
  review::World world(argv[1], argv[2], argv[3]);
  review::Play(world);
}
