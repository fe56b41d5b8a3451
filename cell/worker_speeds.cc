#include "cell/worker_speeds.h"

#include <algorithm>
#include <cmath>

namespace citronsill {
namespace {

// Change of a speed, as a factor, from which on it is reported.
constexpr double kReportedSpeedChange = 1.2;
// Number of runs from which on a median counts: fewer can be stragglers by chance.
constexpr std::uint32_t kEnoughRuns = 5;
// A speed counts as unusual when the median differs from the usual one by this many standard
// errors: one in 700 workers of usual speed then has another one for a while. It counts as usual
// again below half of that.
constexpr double kUnusualErrors = 3.0;
constexpr double kUsualErrors = 1.5;
// Smaller differences from the usual speed are not worth another placement.
constexpr double kMinDifference = 0.14;
// A worker that stands still has no speed; stalls are handled elsewhere.
constexpr double kMinSpeed = 0.1;
constexpr double kMaxSpeed = 10.0;
// Number of runs after which the usual worker is found again.
constexpr std::uint64_t kUsualPeriod = 64;
// Until that many runs it is found after each, as it changes with each worker that is added.
constexpr std::uint64_t kFirstRuns = 256;
// Number of workers from which on there is one in the middle.
constexpr std::size_t kEnoughWorkers = 3;
// Scatter of single runs that is assumed at first: run times of alike tasks differ by half.
constexpr double kInitialScatter = 0.4;
// Weight of a run in the scatter: about the last 500 runs count.
constexpr double kScatterWeight = 0.002;
// Standard error of a median of n values of a normal distribution: this, times their mean absolute
// difference, divided by the root of n.
constexpr double kMedianError = 1.57;

double LogRatio(milliseconds numerator, milliseconds denominator) {
  const auto count = [](milliseconds time) {
    return std::max(1.0, static_cast<double>(time.count()));
  };
  return std::log(count(numerator) / count(denominator));
}

// Median of a list that is not empty; of an even number of values, the mean of the middle ones.
template <class Value>
Value MedianOf(std::vector<Value> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  if (values.size() % 2 == 1) return *middle;
  return (*std::max_element(values.begin(), middle) + *middle) / 2;
}

}  // namespace

bool WorkerSpeeds::Change::IsLarge() const {
  return std::max(before, after) > kReportedSpeedChange * std::min(before, after);
}

WorkerSpeeds::WorkerSpeeds() : m_scatter(kInitialScatter) {}

double WorkerSpeeds::Median(const Record& record) {
  const std::size_t count = std::min<std::size_t>(record.added, kRuns);
  return MedianOf(std::vector<double>(
      record.log_ratios.begin(), record.log_ratios.begin() + static_cast<std::ptrdiff_t>(count)));
}

// References are learnt from runs on workers of all speeds, so that they may be off by the same
// factor for all workers. The usual worker is the one in the middle.
void WorkerSpeeds::FindUsual() {
  std::vector<double> medians;
  for (const auto& [slot, record] : m_workers) {
    if (record.added >= kEnoughRuns) medians.push_back(Median(record));
  }
  m_usual = medians.size() < kEnoughWorkers ? 0.0 : MedianOf(std::move(medians));
}

void WorkerSpeeds::CountSpeed(double speed, int change) {
  if (speed < 1.0) m_slow += static_cast<std::size_t>(change);
  if (speed > 1.0) m_fast += static_cast<std::size_t>(change);
}

WorkerSpeeds::Change WorkerSpeeds::Add(WorkerKey worker, milliseconds actual,
                                       milliseconds reference) {
  if (reference <= milliseconds(0)) return {};
  Record& record = m_workers[worker.slot];
  if (worker.incarnation < record.incarnation) return {};
  if (worker.incarnation > record.incarnation) {
    CountSpeed(record.speed, -1);
    record = {};
    record.incarnation = worker.incarnation;
  }
  const double log_ratio = LogRatio(actual, reference);
  record.log_ratios[record.added++ % kRuns] = static_cast<float>(log_ratio);
  Change change{record.speed, record.speed, record.added};
  if (record.added < kEnoughRuns) return change;
  const std::uint64_t period = m_runs < kFirstRuns ? 1 : kUsualPeriod;
  if (m_runs++ % period == 0) FindUsual();
  const double median = Median(record) - m_usual;
  m_scatter += kScatterWeight * (std::abs(log_ratio - m_usual - median) - m_scatter);
  const double counted = std::min<double>(record.added, kRuns);
  const double error = kMedianError * m_scatter / std::sqrt(counted);
  const double errors = record.speed == 1.0 ? kUnusualErrors : kUsualErrors;
  const bool is_unusual = std::abs(median) > std::max(kMinDifference, errors * error);
  const double speed = is_unusual ? std::clamp(std::exp(-median), kMinSpeed, kMaxSpeed) : 1.0;
  CountSpeed(record.speed, -1);
  CountSpeed(speed, 1);
  record.speed = change.after = speed;
  return change;
}

double WorkerSpeeds::SpeedOf(WorkerKey worker) const {
  const auto found = m_workers.find(worker.slot);
  const bool is_known = found != m_workers.end() && found->second.incarnation == worker.incarnation;
  return is_known ? found->second.speed : 1.0;
}

void WorkerSpeeds::ForgetUnless(const std::function<bool(std::uint32_t)>& is_known) {
  std::erase_if(m_workers, [&](const auto& entry) {
    const auto& [slot, record] = entry;
    if (is_known(slot)) return false;
    CountSpeed(record.speed, -1);
    return true;
  });
}

void StepRuns::Add(WorkerSpeeds::WorkerKey worker, milliseconds actual, double speed) {
  if (m_runs.size() >= kMaxRuns) return;
  const auto normal = std::llround(static_cast<double>(actual.count()) * speed);
  m_runs.push_back({worker, actual, milliseconds(normal)});
}

milliseconds StepRuns::Reference(milliseconds expected) const {
  if (m_runs.size() < kEnoughRuns) return expected;
  std::vector<std::int64_t> times;
  for (const Run& run : m_runs) times.push_back(run.normal.count());
  if (expected > milliseconds(0)) times.push_back(expected.count());
  return milliseconds(MedianOf(std::move(times)));
}

milliseconds AtSpeed(milliseconds usual, double speed) {
  return milliseconds(std::llround(static_cast<double>(usual.count()) / speed));
}

}  // namespace citronsill
