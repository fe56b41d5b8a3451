// Fault soak: runs real instances as processes on loopback and simulates the platform and the
// callers in this process. Injects faults by relays and signals, and checks during the run what
// callers and workers observe. Prints "ok NAME" or "not ok NAME" for each seed, with the
// violations.
#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "callers.h"
#include "config_check.h"
#include "faults.h"
#include "processes.h"
#include "waiting.h"

namespace options = boost::program_options;

namespace citronsill::soak {
namespace {

// Time for the instances to start and find their scheduler before the traffic begins.
constexpr milliseconds kWarmUpTime{2500};
// After the last fault, the cell has to serve again within 12 s, and every job has to be known and
// running 14 s after that: bounds from the platform's specification.
constexpr milliseconds kSettleTime{26000};
// Time to settle after faults that end long after the traffic, such as rolling restarts of large
// cells.
constexpr milliseconds kLateFaultSettleTime{14000};
// Longest time of long tasks for which the settle times are enough.
constexpr milliseconds kUsualLongTime{9000};
constexpr milliseconds kCheckPeriod{100};
// Instances can reach one another again after this time without a disruption.
constexpr milliseconds kReconnectTime{3000};
// A cancellation is acknowledged within 4 s of the last disruption and visible 3 s later.
constexpr milliseconds kCancelTimeout{7000};
// Share of its processor that a permanently slow instance gets, in thousandths. The platform gives
// its instances 0.12 to 0.5 of a processor.
constexpr std::int64_t kMinSlowShare = 120;
constexpr std::int64_t kMaxSlowShare = 250;
// Factor on the job rate outside of periods with faults. It leaves free capacity, without which
// waiting tasks are not checked.
constexpr double kCalmRateFactor = 0.35;
// Number of violations printed; the report lists all of them.
constexpr std::size_t kMaxPrintedViolations = 8;

struct SoakOptions {
  std::uint64_t seed = 1;
  int seconds = 15;
  int instances = 4;
  int workers = 6;
  int callers = 1;
  double jobs_per_second = 8.0;
  double share = 1.0;       // Share of its processor that each instance gets.
  int slow = -1;            // Number of slow instances; below 0: one in half of the seeds.
  double unusual = 0.0;     // Share of jobs after which an unusual one is submitted.
  double long_tasks = 0.0;  // Share of short and batch tasks that take 6 s to `max_long_ms`.
  int max_long_ms = 9000;
  int customers = 0;        // Number of customers; without any, calls need no key.
  int routes = 0;           // Queues that no caller uses.
  int max_lease_ms = 6000;  // Longest lease that workers grant.
  bool plain = false;       // No long-running or scheduled jobs and no calm periods.
  std::string program;
  std::string directory;
  int base_port = 0;
  std::set<std::string> only;
  bool keep = false;  // Also keep the settings and logs of seeds that passed.
};

class Soak {
 public:
  explicit Soak(SoakOptions options) : m_options(std::move(options)) {}

  // @returns the violations, empty when the seed passed.
  std::vector<std::string> Run() {
    if (auto begun = Begin(); !begun) return {Describe(begun.error())};
    m_runtime->OnTerminate([this](int) {
      m_interrupted = true;
      m_platform->history.violations.emplace_back("interrupted");
      m_runtime->Stop();
    });
    m_runtime->Run();
    return m_platform->history.violations;
  }

  [[nodiscard]] bool WasInterrupted() const { return m_interrupted; }
  [[nodiscard]] const std::vector<std::string>& FaultLog() const { return m_faults->Log(); }

  [[nodiscard]] std::string Summary() const {
    const Callers::Counts& counts = m_callers->Total();
    return fmt::format(
        "{} faults, {} jobs, {} accepted, {} refused, {} cancelled, {} starts, {} calls without "
        "an answer, settled after {} ms; {} checks in calm periods, {} waits with free capacity, "
        "longest {} ms; {} times a new configuration was in force; longest stall of this process "
        "{} ms{}",
        m_faults->FaultCount(), counts.jobs, counts.accepted, counts.refused, counts.cancelled,
        m_platform->history.starts, counts.unanswered_calls, m_settled.count(),
        m_waiting->Total().calm_checks, m_waiting->Total().waits,
        m_waiting->Total().longest.count(), m_config_check->Served(),
        m_platform->disruptions.longest_stall.count(),
        m_platform->customers
            ? fmt::format(
                  "; {} calls with wrong keys, {} of them refused with 401 or 403, {} calls "
                  "refused around changes of their keys",
                  counts.wrong_keys, counts.wrong_keys_refused, counts.keys_refused)
            : "");
  }

 private:
  Result<void> Begin() {
    BOOST_OUTCOME_TRY(m_runtime, Runtime::Create(1));
    BOOST_OUTCOME_TRY(m_timers, TimerService::Create(*m_runtime));
    BOOST_OUTCOME_TRY(m_platform,
                      Platform::Create(*m_runtime, *m_timers, m_options.seed, m_options.instances,
                                       m_options.workers, milliseconds(m_options.max_lease_ms),
                                       m_options.customers));
    m_platform->idle_routes = m_options.routes;
    ProcessOptions processes{m_options.program, m_options.directory, m_options.base_port,
                             m_options.share, milliseconds(m_options.max_lease_ms)};
    BOOST_OUTCOME_TRY(m_processes,
                      Processes::Create(*m_runtime, *m_timers, m_platform.get(), processes));
    BOOST_OUTCOME_TRY(
        m_callers,
        Callers::Create(*m_runtime, m_platform.get(), *m_processes,
                        Callers::Options{m_options.callers, !m_options.plain, m_options.unusual,
                                         m_options.long_tasks, milliseconds(m_options.max_long_ms),
                                         m_options.seed}));
    BOOST_OUTCOME_TRY(m_config_check,
                      ConfigCheck::Create(*m_runtime, m_platform.get(), *m_processes));
    m_waiting = std::make_unique<WaitingCheck>(m_platform.get(), m_callers.get());
    m_faults = std::make_unique<Faults>(m_platform.get(), m_processes.get(), m_callers.get(),
                                        m_options.only, !m_options.plain, m_options.seed);
    LimitSomeInstances();
    RunChecks();
    model::Loop& loop = m_platform->loop;
    m_end = loop.Now() + kWarmUpTime + std::chrono::seconds(m_options.seconds);
    loop.After(kWarmUpTime, [this] {
      SubmitPeriodically();
      m_faults->ScheduleUntil(m_end);
    });
    loop.At(m_end, [this] {
      m_faults->Heal();
      Settle();
    });
    return Success();
  }

  // Limits `slow` instances with consecutive numbers to a share of their processor.
  void LimitSomeInstances() {
    model::Loop& loop = m_platform->loop;
    int remaining = m_options.slow;
    if (remaining < 0) remaining = !m_options.plain && loop.Chance(0.5) ? 1 : 0;
    if (remaining == 0) return;
    auto& instances = m_processes->instances;
    const auto first = loop.Between(0, static_cast<std::int64_t>(instances.size()) - 1);
    for (int i = 0; i < std::min(remaining, m_options.instances); ++i) {
      auto& instance = instances[static_cast<std::size_t>(first + i) % instances.size()];
      const auto share = static_cast<double>(loop.Between(kMinSlowShare, kMaxSlowShare)) / 1000.0;
      m_faults->LogEvent(fmt::format("n-{} has {:.0f}% of its processor during the whole run",
                                     instance->number, 100 * share));
      m_processes->SetRunShare(instance.get(), share);
    }
  }

  // Checks waiting tasks periodically and adds new violations to the fault log.
  void RunChecks() {
    m_waiting->CheckAll();
    m_config_check->CheckAll();
    if (m_platform->customers) {
      m_platform->customers->RetireLimits(m_platform->loop.Now(),
                                          m_platform->disruptions.any_until);
      m_callers->SendWrongKey();
    }
    const auto& violations = m_platform->history.violations;
    for (; m_logged_violations < violations.size(); ++m_logged_violations)
      m_faults->LogEvent("violation: " + violations[m_logged_violations]);
    for (const std::string& note : m_platform->pending_log_lines) m_faults->LogEvent(note);
    m_platform->pending_log_lines.clear();
    m_platform->loop.After(kCheckPeriod, [this] { RunChecks(); });
  }

  // Submits one job and schedules the next submission.
  void SubmitPeriodically() {
    model::Loop& loop = m_platform->loop;
    if (loop.Now() >= m_end) return;
    m_callers->Submit();
    const double rate =
        m_options.jobs_per_second * (m_faults->IsFaultPeriod() ? 1.0 : kCalmRateFactor);
    const auto gap = static_cast<std::int64_t>(1000.0 / rate);
    loop.After(loop.Delay(gap / 2, gap * 3 / 2), [this] { SubmitPeriodically(); });
  }

  // Waits until every job has its outcome and all long-running jobs run, cancels the latter, then
  // polls all jobs once more.
  void Settle() {
    model::Loop& loop = m_platform->loop;
    m_settled = std::chrono::duration_cast<milliseconds>(loop.Now() - m_end);
    // Faults may end after `m_end`; until then the instances need not answer.
    const bool is_reachable = loop.Now() >= m_platform->disruptions.any_until + kReconnectTime;
    // A batch job may have two steps of long tasks, which start again after a fault.
    const milliseconds longer =
        2 * std::max(milliseconds(m_options.max_long_ms) - kUsualLongTime, milliseconds(0));
    const SteadyTime until =
        std::max(m_end + kSettleTime, m_platform->disruptions.any_until + kLateFaultSettleTime) +
        longer;
    if ((!m_callers->AllServed() || !is_reachable) && loop.Now() < until) {
      loop.After(kCheckPeriod, [this] { Settle(); });
      return;
    }
    for (const std::string& open : m_callers->UnservedJobs()) {
      m_platform->history.violations.push_back("no outcome: " + open);
    }
    m_callers->CancelLongRunning();
    AwaitCancelled(loop.Now() + kCancelTimeout);
  }

  void AwaitCancelled(SteadyTime until) {
    model::Loop& loop = m_platform->loop;
    if (!m_callers->AllEnded() && loop.Now() < until) {
      loop.After(kCheckPeriod, [this, until] { AwaitCancelled(until); });
      return;
    }
    if (m_callers->UnservedJobs().empty() && !m_callers->AllEnded()) {
      m_platform->history.violations.emplace_back(
          "not all long-running jobs ended in time after they were cancelled");
    }
    m_callers->VerifyFinalStates([this](std::size_t missing) {
      if (missing > 0) {
        m_platform->history.violations.push_back(
            fmt::format("{} ended jobs are not known or not answered", missing));
      }
      m_runtime->Stop();
    });
  }

  SoakOptions m_options;
  std::unique_ptr<Runtime> m_runtime;
  std::unique_ptr<TimerService> m_timers;
  std::unique_ptr<Platform> m_platform;
  std::unique_ptr<Processes> m_processes;
  std::unique_ptr<Callers> m_callers;
  std::unique_ptr<Faults> m_faults;
  std::unique_ptr<WaitingCheck> m_waiting;
  std::unique_ptr<ConfigCheck> m_config_check;
  std::size_t m_logged_violations = 0;  // Number of violations that are in the fault log.
  SteadyTime m_end;                     // When submissions and new faults end.
  milliseconds m_settled{0};   // From `m_end` until every job was served or the wait ended.
  bool m_interrupted = false;  // Set by a signal; no further seed is run.
};

bool RunSeed(SoakOptions options, bool* interrupted) {
  options.directory += fmt::format("/{}", options.seed);
  std::filesystem::create_directories(options.directory);
  Soak soak(options);
  const std::vector<std::string> violations = soak.Run();
  *interrupted = soak.WasInterrupted();
  std::cout << fmt::format("{} soak: seed {}\n", violations.empty() ? "ok" : "not ok", options.seed)
            << "# " << soak.Summary() << std::endl;
  if (violations.empty() && !options.keep) {
    std::filesystem::remove_all(options.directory);
    return true;
  }
  std::ofstream report(options.directory + "/report.txt");
  for (const std::string& line : soak.FaultLog()) report << line << '\n';
  for (const std::string& line : violations) report << "violation: " << line << '\n';
  for (std::size_t i = 0; i < std::min(violations.size(), kMaxPrintedViolations); ++i) {
    std::cout << "# violation: " << violations[i] << '\n';
  }
  std::cout << "# faults and logs: " << options.directory << std::endl;
  return violations.empty();
}

int Main(int argc, char** argv) {
  SoakOptions soak;
  int seeds = 1;
  std::vector<std::string> only;
  options::options_description description("citronsill_soak: fault injection into real instances");
  auto add = description.add_options();
  add("help", "show this text and the names of the faults");
  add("seed", options::value(&soak.seed)->default_value(1), "first seed");
  add("seeds", options::value(&seeds)->default_value(1), "number of seeds, one after the other");
  add("seconds", options::value(&soak.seconds)->default_value(15),
      "time with faults for each seed");
  add("instances", options::value(&soak.instances)->default_value(4), "number of instances");
  add("workers", options::value(&soak.workers)->default_value(6), "number of workers");
  add("callers", options::value(&soak.callers)->default_value(1),
      "number of callers, each with its own connections");
  add("share", options::value(&soak.share)->default_value(1.0),
      "share of its processor that each instance gets");
  add("slow", options::value(&soak.slow)->default_value(-1),
      "instances with 12 to 25% of their processor; -1: one in half of the seeds");
  add("unusual", options::value(&soak.unusual)->default_value(0.0),
      "share of jobs after which an unusual one is submitted as well");
  add("long", options::value(&soak.long_tasks)->default_value(0.0),
      "share of short and batch tasks that take 6 s to the time of --max-long");
  add("max-long", options::value(&soak.max_long_ms)->default_value(9000),
      "longest time that long tasks take, in milliseconds");
  add("customers", options::value(&soak.customers)->default_value(0),
      "customers with keys, weights and limits; changed by the fault \"customers\"");
  add("routes", options::value(&soak.routes)->default_value(0),
      "queues that no caller uses, in each changed configuration");
  add("max-lease", options::value(&soak.max_lease_ms)->default_value(6000),
      "longest lease that workers grant, in milliseconds");
  add("plain", options::bool_switch(&soak.plain),
      "no long-running or scheduled jobs and no calm periods");
  add("rate", options::value(&soak.jobs_per_second)->default_value(8.0), "jobs per second");
  add("node", options::value(&soak.program)->default_value("build/citronsill_node"), "program");
  add("directory", options::value(&soak.directory)->default_value("/tmp/citronsill-soak"),
      "folder for settings and logs; those of failed seeds are kept");
  add("port", options::value(&soak.base_port)->default_value(14000),
      "first port; ten free ports are needed for each instance");
  add("keep", options::bool_switch(&soak.keep), "keep settings and logs of all seeds");
  add("faults", options::value(&only)->multitoken(), "inject only these faults");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "citronsill_soak: " << error.what() << '\n';
    return 2;
  }
  if (values.contains("help")) {
    std::cout << description;
    for (const std::string& name : Faults::Names()) std::cout << "  " << name << '\n';
    return 0;
  }
  soak.only = {only.begin(), only.end()};
  bool all_passed = true;
  bool interrupted = false;
  for (int i = 0; i < seeds && !interrupted; ++i) {
    all_passed = RunSeed(soak, &interrupted) && all_passed;
    ++soak.seed;
  }
  return all_passed ? 0 : 1;
}

}  // namespace
}  // namespace citronsill::soak

int main(int argc, char** argv) { return citronsill::soak::Main(argc, argv); }
