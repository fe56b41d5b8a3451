#include "processes.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <fstream>

#include "cell/commit.h"
#include "schema/cell.pb.h"

namespace citronsill::soak {
namespace {

constexpr milliseconds kWatchPeriod{20};
// A process has to exit within this time of SIGTERM, from the platform's specification.
constexpr milliseconds kTerminationGrace{6000};
constexpr int kPortsPerInstance = 10;
// Period in which a throttled process runs and is paused once. It keeps the pause below the 250 ms
// after which calls to workers and links count as failed.
constexpr std::int64_t kMinPeriodMs = 20;
constexpr std::int64_t kMaxPeriodMs = 100;

std::string LoopbackAddress(int port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

Processes::Processes(Platform* platform, ProcessOptions options)
    : m_platform(platform), m_options(std::move(options)) {}

Result<std::unique_ptr<Processes>> Processes::Create(Runtime& runtime, TimerService& timers,
                                                     Platform* platform, ProcessOptions options) {
  std::unique_ptr<Processes> created(new Processes(platform, std::move(options)));
  BOOST_OUTCOME_TRY(created->Begin(runtime, timers));
  return created;
}

Processes::~Processes() {
  for (const auto& instance : instances) {
    if (instance->pid == 0) continue;
    kill(instance->pid, SIGKILL);
    waitpid(instance->pid, nullptr, 0);
  }
}

Result<void> Processes::Begin(Runtime& runtime, TimerService& timers) {
  const auto loopback = asio::ip::make_address("127.0.0.1");
  for (std::size_t i = 0; i < m_platform->instance_services.size(); ++i) {
    instances.push_back(std::make_unique<Instance>());
    Instance* instance = instances.back().get();
    instance->number = static_cast<int>(i);
    instance->share = m_options.share;
    const int port = m_options.base_port + kPortsPerInstance * instance->number;
    int offset = 0;
    for (std::shared_ptr<Relay>* relay : {&instance->ingress, &instance->link}) {
      const auto target = static_cast<std::uint16_t>(port + offset);
      *relay = std::make_shared<Relay>(runtime.Context(), Tcp::endpoint(loopback, target));
      if (!(*relay)->Listen(Tcp::endpoint(loopback, 0))) {
        return Error{schema::CODE_PEER_UNREACHABLE, "the relay of an instance cannot listen"};
      }
      ++offset;
    }
  }
  for (const auto& instance : instances) {
    Start(instance.get());
    timers.Every(kWatchPeriod, [this, raw = instance.get()](SteadyTime) { Watch(raw); });
  }
  return Success();
}

std::vector<std::string> Processes::EntryAddresses() const {
  std::vector<std::string> entries;
  entries.reserve(instances.size());
  for (const auto& instance : instances)
    entries.push_back(LoopbackAddress(instance->ingress->Port()));
  return entries;
}

void Processes::WriteSettings(const Instance& instance) {
  const int port = m_options.base_port + kPortsPerInstance * instance.number;
  std::string seeds;
  for (int i = 0; i < 2; ++i) {
    const auto number = static_cast<std::size_t>(
        m_platform->loop.Between(0, static_cast<std::int64_t>(instances.size()) - 1));
    seeds += fmt::format("{}\"{}\"", i == 0 ? "" : ",",
                         LoopbackAddress(instances[number]->link->Port()));
  }
  const Platform::InstanceServices& services =
      *m_platform->instance_services[static_cast<std::size_t>(instance.number)];
  std::ofstream out(fmt::format("{}/n-{}.json", m_options.directory, instance.number));
  out << fmt::format(
      R"({{"instance":"n-{}","failure_domain":"a","region":"r","processor_share":{},)"
      R"("ingress_address":"{}","link_address":"{}","link_advertised_address":"{}",)"
      R"("readiness_address":"{}","metrics_address":"{}","seeds":[{}],"max_lease_ms":{},)"
      // The limits of the smallest machine of the platform. Callers within the pages' limits do not
      // meet them.
      R"("memory_mb":120,"max_descriptors":3075,)"
      R"("gang_time_ms":3000,"keep_finished_s":120,"drain_time_s":6,"store_address":"{}",)"
      R"("advice_address":"{}"}})",
      instance.number, m_options.share < 1.0 ? m_options.share : 0.5, LoopbackAddress(port),
      LoopbackAddress(port + 1), LoopbackAddress(instance.link->Port()), LoopbackAddress(port + 2),
      LoopbackAddress(port + 3), seeds, m_options.max_lease.count(), services.store.Address(),
      services.advice.Address());
}

void Processes::Start(Instance* instance) {
  WriteSettings(*instance);
  instance->frozen = false;
  instance->was_frozen = false;
  instance->killed = false;
  instance->terminate_sent_at.reset();
  const std::string settings = fmt::format("{}/n-{}.json", m_options.directory, instance->number);
  const std::string log = fmt::format("{}/n-{}.log", m_options.directory, instance->number);
  std::vector<std::string> command{m_options.program, "--settings", settings};
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (std::string& word : command) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // Closes inherited descriptors. Sockets of the relays that an instance inherited would stay open
  // when the relay closes them: the other side would see no end, and its calls would time out.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error =
      posix_spawn(&instance->pid, command[0].c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error == 0) return ApplyShare(*instance);
  instance->pid = 0;
  instance->start_at = SteadyTime::max();
  m_platform->history.violations.push_back("cannot start " + command[0] + ": " +
                                           std::strerror(error));
}

// Restarts processes that have ended and detects those that end unexpectedly or not in time.
void Processes::Watch(Instance* instance) {
  const SteadyTime now = BootNow();
  if (instance->pid == 0 || instance->terminate_sent_at || instance->frozen ||
      instance->fault_share < 1.0) {
    const bool is_planned = instance->terminate_sent_at && !instance->killed &&
                            !instance->was_frozen && instance->fault_share == 1.0;
    m_platform->RecordDisruption(m_platform->loop.Now(), is_planned);
  }
  if (instance->pid == 0) {
    if (now >= instance->start_at) Start(instance);
    return;
  }
  if (instance->terminate_sent_at && !instance->was_frozen && !instance->killed &&
      now > *instance->terminate_sent_at + kTerminationGrace) {
    m_platform->history.violations.push_back(
        fmt::format("n-{} did not exit in time after SIGTERM", instance->number));
    Kill(instance, milliseconds(500));
  }
  int status = 0;
  if (!m_throttle.Reap(instance->pid, &status)) return;
  instance->pid = 0;
  const bool is_expected = instance->killed || (instance->terminate_sent_at && WIFEXITED(status) &&
                                                WEXITSTATUS(status) == 0);
  if (is_expected) return;
  m_platform->history.violations.push_back(
      fmt::format("n-{} exited unexpectedly, wait status {}", instance->number, status));
  instance->start_at = now;
}

Processes::Instance* Processes::Scheduler() {
  for (const Row& row : m_platform->store.Read(kOwnerTable, "s0").rows) {
    schema::OwnerRow owner;
    if (!owner.ParseFromString(row.value)) continue;
    for (const auto& instance : instances) {
      if (owner.instance() == fmt::format("n-{}", instance->number)) return instance.get();
    }
  }
  return nullptr;
}

void Processes::Kill(Instance* instance, milliseconds downtime) {
  if (instance->pid == 0) return;
  instance->killed = true;
  instance->start_at = BootNow() + downtime;
  kill(instance->pid, SIGKILL);
}

void Processes::Terminate(Instance* instance, milliseconds downtime) {
  if (instance->pid == 0 || instance->terminate_sent_at) return;
  instance->terminate_sent_at = BootNow();
  instance->terminated_at = m_platform->loop.Now();
  instance->was_frozen = instance->frozen;
  instance->start_at = BootNow() + downtime;
  kill(instance->pid, SIGTERM);
}

void Processes::Freeze(Instance* instance) {
  if (instance->pid == 0) return;
  instance->frozen = true;
  instance->was_frozen = true;
  m_throttle.Remove(instance->pid);
  kill(instance->pid, SIGSTOP);
}

void Processes::Thaw(Instance* instance) {
  if (instance->pid == 0 || !instance->frozen) return;
  instance->frozen = false;
  kill(instance->pid, SIGCONT);
  ApplyShare(*instance);
}

void Processes::SetFaultShare(Instance* instance, double share) {
  instance->fault_share = share;
  ApplyShare(*instance);
}

void Processes::SetRunShare(Instance* instance, double share) {
  instance->share = share;
  ApplyShare(*instance);
}

void Processes::ApplyShare(const Instance& instance) {
  if (instance.pid == 0 || instance.frozen) return;
  const double share = std::min(instance.share, instance.fault_share);
  if (share >= 1.0) return m_throttle.Remove(instance.pid);
  m_throttle.Set(instance.pid, share, m_platform->loop.Delay(kMinPeriodMs, kMaxPeriodMs));
}

void Processes::Reload(Instance* instance) {
  if (instance->pid == 0) return;
  WriteSettings(*instance);
  instance->reloaded_at = m_platform->loop.Now();
  kill(instance->pid, SIGHUP);
}

}  // namespace citronsill::soak
