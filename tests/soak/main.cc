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

namespace options = boost::program_options;

namespace citronsill::soak {
namespace {

// The instances start and find their scheduler before callers come.
constexpr milliseconds kLead{2500};
// A healthy cell has to serve again 12 s after the last fault, and every job has to be known and at
// work 14 s later: bounds of the platform's pages.
constexpr milliseconds kSettle{26000};
constexpr milliseconds kCheckPeriod{100};
// Of what was broken; the report has all.
constexpr std::size_t kMostPrinted = 8;

struct SoakOptions {
  std::uint64_t seed = 1;
  int seconds = 15;
  int instances = 4;
  int workers = 6;
  double jobs_per_second = 8.0;
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
    for (const std::string& open : m_callers->Open()) {
      m_platform->history.violations.push_back("no outcome: " + open);
    }
    return m_platform->history.violations;
  }

  [[nodiscard]] bool Interrupted() const { return m_interrupted; }
  [[nodiscard]] const std::vector<std::string>& FaultLog() const { return m_faults->Log(); }

  [[nodiscard]] std::string Summary() const {
    const Callers::Counts& counts = m_callers->Total();
    return fmt::format(
        "{} faults, {} jobs, {} accepted, {} refused, {} cancelled, {} starts, {} calls without "
        "an answer, settled after {} ms",
        m_faults->Log().size(), counts.jobs, counts.accepted, counts.refused, counts.cancelled,
        m_platform->history.starts, counts.unanswered_calls, m_settled.count());
  }

 private:
  Result<void> Begin() {
    BOOST_OUTCOME_TRY(m_runtime, Runtime::Create(1));
    BOOST_OUTCOME_TRY(m_timers, TimerService::Create(*m_runtime));
    BOOST_OUTCOME_TRY(m_platform, Platform::Create(*m_runtime, *m_timers, m_options.seed,
                                                   m_options.instances, m_options.workers));
    ProcessOptions processes{m_options.program, m_options.directory, m_options.base_port};
    BOOST_OUTCOME_TRY(m_processes,
                      Processes::Create(*m_runtime, *m_timers, m_platform.get(), processes));
    BOOST_OUTCOME_TRY(m_callers,
                      Callers::Create(*m_runtime, m_platform.get(), m_processes->Entries()));
    m_faults = std::make_unique<Faults>(m_platform.get(), m_processes.get(), m_callers.get(),
                                        m_options.only);
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

  void Traffic() {
    model::Loop& loop = m_platform->loop;
    if (loop.Now() >= m_end) return;
    m_callers->Submit();
    const auto gap = static_cast<std::int64_t>(1000.0 / m_options.jobs_per_second);
    loop.After(loop.Delay(gap / 2, gap * 3 / 2), [this] { Traffic(); });
  }

  // Waits until every job has its outcome, then asks for all of them once more.
  void Settle() {
    model::Loop& loop = m_platform->loop;
    m_settled = std::chrono::duration_cast<milliseconds>(loop.Now() - m_end);
    if (!m_callers->AllEnded() && m_settled < kSettle) {
      loop.After(kCheckPeriod, [this] { Settle(); });
      return;
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
  add("rate", options::value(&soak.jobs_per_second)->default_value(8.0), "jobs a second");
  add("node", options::value(&soak.program)->default_value("build/citronsill_node"), "program");
  add("directory", options::value(&soak.directory)->default_value("/tmp/citronsill-soak"),
      "for settings and logs; those of seeds that failed stay");
  add("port", options::value(&soak.base_port)->default_value(14000), "first of 200 free ports");
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
