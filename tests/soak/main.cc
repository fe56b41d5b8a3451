// Fault soak: real instances as processes on loopback, stand-ins of the platform and of the callers
// in this process, faults from outside by relays and signals. Checks while it runs what callers and
// workers see. Prints "ok NAME" or "not ok NAME" a seed, with what was broken.
#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "callers.h"
#include "faults.h"
#include "processes.h"
#include "waiting.h"

namespace options = boost::program_options;

namespace citronsill::soak {
namespace {

// The instances start and find their scheduler before callers come.
constexpr milliseconds kLead{2500};
// A healthy cell has to serve again 12 s after the last fault, and every job has to be known and at
// work 14 s later: bounds of the platform's pages.
constexpr milliseconds kSettle{26000};
// The same after faults that end long after the traffic: rolling restarts of large cells.
constexpr milliseconds kFinish{14000};
constexpr milliseconds kCheckPeriod{100};
// Instances are in touch when they have been without disruption for this time.
constexpr milliseconds kContact{3000};
// Cancelling is acknowledged 4 s after the last disruption at the latest, and shown 3 s later.
constexpr milliseconds kCancelTime{7000};
// Shares of a processor in thousandths, of an instance that is set up slow: those of the platform's
// instances are 0.12 to 0.5.
constexpr std::int64_t kLeastSetUpShare = 120;
constexpr std::int64_t kMostSetUpShare = 250;
// Of the jobs in times of trouble, in a calm stretch: room is left, as the checks of waiting ask
// for.
constexpr double kCalmLoad = 0.35;
// Of what was broken; the report has all.
constexpr std::size_t kMostPrinted = 8;

struct SoakOptions {
  std::uint64_t seed = 1;
  int seconds = 15;
  int instances = 4;
  int workers = 6;
  int callers = 1;
  double jobs_per_second = 8.0;
  double share = 1.0;  // Of its processor that each instance has.
  int slow = -1;       // Instances that are set up slow; below 0: one in half of the seeds.
  bool plain = false;  // Neither jobs that last or have times nor calm stretches.
  std::string program;
  std::string directory;
  int base_port = 0;
  std::set<std::string> only;
  bool keep = false;  // Settings and logs of seeds that passed, too.
};

class Soak {
 public:
  explicit Soak(SoakOptions options) : m_options(std::move(options)) {}

  // @returns what was broken.
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

  [[nodiscard]] bool Interrupted() const { return m_interrupted; }
  [[nodiscard]] const std::vector<std::string>& FaultLog() const { return m_faults->Log(); }

  [[nodiscard]] std::string Summary() const {
    const Callers::Counts& counts = m_callers->Total();
    return fmt::format(
        "{} faults, {} jobs, {} accepted, {} refused, {} cancelled, {} starts, {} calls without "
        "an answer, settled after {} ms; {} calm looks, {} waits with room, longest {} ms; "
        "this process stood still for {} ms at most",
        m_faults->Played(), counts.jobs, counts.accepted, counts.refused, counts.cancelled,
        m_platform->history.starts, counts.unanswered_calls, m_settled.count(),
        m_waiting->Total().calm_looks, m_waiting->Total().waits, m_waiting->Total().longest.count(),
        m_platform->calm.stall.count());
  }

 private:
  Result<void> Begin() {
    BOOST_OUTCOME_TRY(m_runtime, Runtime::Create(1));
    BOOST_OUTCOME_TRY(m_timers, TimerService::Create(*m_runtime));
    BOOST_OUTCOME_TRY(m_platform, Platform::Create(*m_runtime, *m_timers, m_options.seed,
                                                   m_options.instances, m_options.workers));
    ProcessOptions processes{m_options.program, m_options.directory, m_options.base_port,
                             m_options.share};
    BOOST_OUTCOME_TRY(m_processes,
                      Processes::Create(*m_runtime, *m_timers, m_platform.get(), processes));
    BOOST_OUTCOME_TRY(m_callers,
                      Callers::Create(*m_runtime, m_platform.get(), *m_processes,
                                      Callers::Options{m_options.callers, !m_options.plain}));
    m_waiting = std::make_unique<WaitingCheck>(m_platform.get(), m_callers.get());
    m_faults = std::make_unique<Faults>(m_platform.get(), m_processes.get(), m_callers.get(),
                                        m_options.only, !m_options.plain, m_options.seed);
    SetUpSlow();
    Check();
    model::Loop& loop = m_platform->loop;
    m_end = loop.Now() + kLead + std::chrono::seconds(m_options.seconds);
    loop.After(kLead, [this] {
      Traffic();
      m_faults->PlayUntil(m_end);
    });
    loop.At(m_end, [this] {
      m_faults->Heal();
      Settle();
    });
    return Success();
  }

  void SetUpSlow() {
    model::Loop& loop = m_platform->loop;
    int left = m_options.slow;
    if (left < 0) left = !m_options.plain && loop.Chance(0.5) ? 1 : 0;
    if (left == 0) return;
    auto& instances = m_processes->instances;
    const auto first = loop.Between(0, static_cast<std::int64_t>(instances.size()) - 1);
    for (int i = 0; i < std::min(left, m_options.instances); ++i) {
      auto& instance = instances[static_cast<std::size_t>(first + i) % instances.size()];
      const auto share =
          static_cast<double>(loop.Between(kLeastSetUpShare, kMostSetUpShare)) / 1000.0;
      m_faults->Note(fmt::format("n-{} has {:.0f}% of its processor during the whole run",
                                 instance->number, 100 * share));
      m_processes->SetUpSlow(instance.get(), share);
    }
  }

  // Notes in the log of faults what was broken since the last look.
  void Check() {
    m_waiting->Look();
    const auto& broken = m_platform->history.violations;
    for (; m_noted < broken.size(); ++m_noted) m_faults->Note("broken: " + broken[m_noted]);
    for (const std::string& note : m_platform->notes) m_faults->Note(note);
    m_platform->notes.clear();
    m_platform->loop.After(kCheckPeriod, [this] { Check(); });
  }

  void Traffic() {
    model::Loop& loop = m_platform->loop;
    if (loop.Now() >= m_end) return;
    m_callers->Submit();
    const double rate = m_options.jobs_per_second * (m_faults->IsTrouble() ? 1.0 : kCalmLoad);
    const auto gap = static_cast<std::int64_t>(1000.0 / rate);
    loop.After(loop.Delay(gap / 2, gap * 3 / 2), [this] { Traffic(); });
  }

  // Waits until every job has its outcome and what lasts is at work, cancels that, then asks for
  // all jobs once more.
  void Settle() {
    model::Loop& loop = m_platform->loop;
    m_settled = std::chrono::duration_cast<milliseconds>(loop.Now() - m_end);
    // Faults that last may end after `m_end`; no answer is owed while they do.
    const bool is_in_touch = loop.Now() >= m_platform->calm.disturbed + kContact;
    const SteadyTime until = std::max(m_end + kSettle, m_platform->calm.disturbed + kFinish);
    if ((!m_callers->AllServed() || !is_in_touch) && loop.Now() < until) {
      loop.After(kCheckPeriod, [this] { Settle(); });
      return;
    }
    for (const std::string& open : m_callers->Open()) {
      m_platform->history.violations.push_back("no outcome: " + open);
    }
    m_callers->CancelLasting();
    AwaitCancelled(loop.Now() + kCancelTime);
  }

  void AwaitCancelled(SteadyTime until) {
    model::Loop& loop = m_platform->loop;
    if (!m_callers->AllEnded() && loop.Now() < until) {
      loop.After(kCheckPeriod, [this, until] { AwaitCancelled(until); });
      return;
    }
    if (m_callers->Open().empty() && !m_callers->AllEnded()) {
      m_platform->history.violations.emplace_back("cancelling of lasting jobs takes too long");
    }
    m_callers->AskAgain([this](std::size_t missing) {
      if (missing > 0) {
        m_platform->history.violations.push_back(
            fmt::format("{} ended jobs are not known or got no answer", missing));
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
  std::size_t m_noted = 0;  // Of what was broken, in the log of faults.
  SteadyTime m_end;
  milliseconds m_settled{0};
  bool m_interrupted = false;  // By a signal: no further seed is run.
};

bool RunSeed(SoakOptions options, bool* interrupted) {
  options.directory += fmt::format("/{}", options.seed);
  std::filesystem::create_directories(options.directory);
  Soak soak(options);
  const std::vector<std::string> broken = soak.Run();
  *interrupted = soak.Interrupted();
  std::cout << fmt::format("{} soak: seed {}\n", broken.empty() ? "ok" : "not ok", options.seed)
            << "# " << soak.Summary() << std::endl;
  if (broken.empty() && !options.keep) {
    std::filesystem::remove_all(options.directory);
    return true;
  }
  std::ofstream report(options.directory + "/report.txt");
  for (const std::string& line : soak.FaultLog()) report << line << '\n';
  for (const std::string& line : broken) report << "broken: " << line << '\n';
  for (std::size_t i = 0; i < std::min(broken.size(), kMostPrinted); ++i) {
    std::cout << "# broken: " << broken[i] << '\n';
  }
  std::cout << "# faults and logs: " << options.directory << std::endl;
  return broken.empty();
}

int Main(int argc, char** argv) {
  SoakOptions soak;
  int seeds = 1;
  std::vector<std::string> only;
  options::options_description description("citronsill_soak: faults against real instances");
  auto add = description.add_options();
  add("help", "show this text and the names of the faults");
  add("seed", options::value(&soak.seed)->default_value(1), "first seed");
  add("seeds", options::value(&seeds)->default_value(1), "number of seeds, one after the other");
  add("seconds", options::value(&soak.seconds)->default_value(15), "time with faults, a seed");
  add("instances", options::value(&soak.instances)->default_value(4), "");
  add("workers", options::value(&soak.workers)->default_value(6), "");
  add("callers", options::value(&soak.callers)->default_value(1),
      "callers with connections of their own");
  add("share", options::value(&soak.share)->default_value(1.0),
      "of its processor that each instance has");
  add("slow", options::value(&soak.slow)->default_value(-1),
      "instances with 12 to 25% of their processor; -1: one in half of the seeds");
  add("plain", options::bool_switch(&soak.plain),
      "neither jobs that last or have times nor calm stretches");
  add("rate", options::value(&soak.jobs_per_second)->default_value(8.0), "jobs a second");
  add("node", options::value(&soak.program)->default_value("build/citronsill_node"), "program");
  add("directory", options::value(&soak.directory)->default_value("/tmp/citronsill-soak"),
      "for settings and logs; those of seeds that failed stay");
  add("port", options::value(&soak.base_port)->default_value(14000),
      "first free port of ten for each instance");
  add("keep", options::bool_switch(&soak.keep), "keep settings and logs of all seeds");
  add("faults", options::value(&only)->multitoken(), "only these");
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
