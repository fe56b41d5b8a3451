// The scheduler's machine and a worker are lost for good at the same moment. Checks that the
// lasting task of that worker runs again in time.
#include "../stand-ins-2/world.h"

namespace review {
namespace {

constexpr const char* kJob = "5c0e7a21d94b36f8";
constexpr milliseconds kAfterLastRun{6000};  // From then on the rule holds for a lasting task...
constexpr milliseconds kHeld{3000};          // ...that does not run for this long.

void Play(World& world) {
  world.AddWorkers(8);
  world.Configure({{"batch"}});
  world.StartNodes(4);
  world.Submit("batch", kJob,
               R"({"spec":"ms=0","steps":[{"count":1,"cpu":2000,"memMb":1024,"estimateMs":1000,)"
               R"("longRunning":true}]})");
  if (!World::Await(milliseconds(5000), [&] { return world.history.Of(kJob).size() == 1; })) {
    world.CannotRun("the task does not start");
  }
  Pause(milliseconds(5000));
  if (!HasTrouble()) {
    Pause(milliseconds(20000));
    const auto runs = world.history.Of(kJob);
    world.Finish(runs.size() == 1 && !runs.front().ended ? "" : "the task has ended");
  }
  Node* const leader = world.Leader();
  if (leader == nullptr) world.CannotRun("there is no scheduler");
  world.record.Line("machine of " + leader->Name() + ", the scheduler, is lost for good");
  leader->Kill();
  world.FindWorker(world.history.Of(kJob).front().worker)->Crash();
  const milliseconds ended = world.record.Now();
  World::Await(milliseconds(30000), [&] { return world.history.Of(kJob).size() > 1; });
  const milliseconds away = world.record.Now() - ended;
  const std::string text = "the lasting task was away for " + std::to_string(away.count()) + " ms";
  world.record.Line(text);
  world.Finish(away > kAfterLastRun + kHeld ? text : "");
}

}  // namespace
}  // namespace review

int main(int, char** argv) {
  review::World world(argv[1], argv[2], argv[3]);
  review::Play(world);
}
