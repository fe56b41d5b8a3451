#include "citronsill/learner.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>
#include <limits>
#include <unordered_map>
#include <utility>
#include <vector>

namespace citronsill {
namespace {

namespace histogram = boost::histogram;

// Bins of the ratio of used to declared size, and of the run time in ms. Adjacent bins differ by
// about 5% in size and by about 10% in run time.
constexpr unsigned kUsageRatioBins = 128;
constexpr double kMinUsageRatio = 1.0 / 64;
constexpr double kMaxUsageRatio = 16.0;
constexpr unsigned kRunTimeBins = 192;
constexpr double kMinRunTimeMs = 1.0;
constexpr double kMaxRunTimeMs = 1e8;

// All weights are halved after every so many samples, so
// that the estimate follows a class whose work changes.
constexpr std::uint32_t kSamplesPerHalving = 256;

/// Histogram on a logarithmic scale in which recent samples weigh more.
class Distribution {
 public:
  Distribution(unsigned bins, double min_value, double max_value)
      : m_bins(MakeBins(bins, min_value, max_value)) {}

  static Distribution OfUsageRatios() { return {kUsageRatioBins, kMinUsageRatio, kMaxUsageRatio}; }
  static Distribution OfRunTimes() { return {kRunTimeBins, kMinRunTimeMs, kMaxRunTimeMs}; }

  void Add(double value) {
    const Axis& axis = m_bins.axis();
    m_bins(std::clamp(value, axis.value(0), axis.value(axis.size() - 0.5)));
    m_weight += 1.0;
    if (++m_samples % kSamplesPerHalving == 0) {
      m_bins *= 0.5;
      m_weight *= 0.5;
    }
  }

  [[nodiscard]] std::uint64_t Samples() const { return m_samples; }

  /// @returns the upper edge of the bin that holds the quantile.
  [[nodiscard]] double Quantile(double quantile) const {
    const Axis& axis = m_bins.axis();
    double weight_up_to_bin = 0.0;
    for (int bin = 0; bin < axis.size(); ++bin) {
      weight_up_to_bin += m_bins.at(bin);
      if (weight_up_to_bin >= quantile * m_weight) return axis.value(bin + 1);
    }
    return axis.value(axis.size());
  }

  /// @returns the weighted fraction of samples in bins that lie entirely at or above `value`.
  [[nodiscard]] double FractionAtOrAbove(double value) const {
    const Axis& axis = m_bins.axis();
    double above = 0.0;
    for (int bin = axis.size() - 1; bin >= 0 && axis.value(bin) >= value; --bin) {
      above += m_bins.at(bin);
    }
    return m_weight > 0 ? above / m_weight : 0.0;
  }

 private:
  using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
  using Bins =
      histogram::histogram<std::tuple<Axis>, histogram::storage_adaptor<std::vector<double>>>;

  static Bins MakeBins(unsigned bins, double min_value, double max_value) {
    return histogram::make_histogram_with(std::vector<double>(), Axis(bins, min_value, max_value));
  }

  Bins m_bins;
  double m_weight = 0.0;
  std::uint64_t m_samples = 0;
};

struct WorkClass {
  Distribution processors = Distribution::OfUsageRatios();  ///< Ratio of used to declared.
  Distribution memory = Distribution::OfUsageRatios();      ///< Ratio of used to declared.
  Distribution run_time = Distribution::OfRunTimes();
};

double Milliseconds(std::chrono::milliseconds time) { return static_cast<double>(time.count()); }

void AddUsageRatio(Distribution& ratios, std::int64_t declared, std::int64_t used) {
  if (declared > 0) ratios.Add(static_cast<double>(used) / static_cast<double>(declared));
}

}  // namespace

struct Learner::Impl {
  LearnerOptions options;
  std::unordered_map<std::string, WorkClass> classes;
  Distribution all_run_times = Distribution::OfRunTimes();

  WorkClass* FindOrAdd(const std::string& name) {
    if (const auto found = classes.find(name); found != classes.end()) return &found->second;
    if (classes.size() >= options.max_work_classes) return nullptr;
    return &classes[name];
  }

  [[nodiscard]] std::int64_t LearnedSize(const Distribution& ratios, std::int64_t declared) const {
    if (ratios.Samples() < options.min_samples) return declared;
    const double factor = std::clamp(ratios.Quantile(options.size_quantile),
                                     options.min_size_factor, options.max_size_factor);
    return static_cast<std::int64_t>(std::ceil(static_cast<double>(declared) * factor));
  }

  [[nodiscard]] std::chrono::milliseconds LearnedRunTime(const Distribution& run_times,
                                                         std::chrono::milliseconds declared) const {
    if (run_times.Samples() < options.min_samples) return declared;
    double learned = run_times.Quantile(0.5);
    if (declared.count() > 0) {
      learned = std::clamp(learned, Milliseconds(declared) / options.max_run_time_factor,
                           Milliseconds(declared) * options.max_run_time_factor);
    }
    return std::chrono::milliseconds(std::llround(learned));
  }

  /// @returns the run time in ms at which a run counts
  /// as long; infinite until enough runs were seen.
  [[nodiscard]] double StragglerThresholdMs() const {
    if (all_run_times.Samples() < options.min_samples) {
      return std::numeric_limits<double>::infinity();
    }
    return options.straggler_factor * all_run_times.Quantile(0.5);
  }
};

Learner::Learner(const LearnerOptions& options) : m_impl(std::make_unique<Impl>()) {
  m_impl->options = options;
}

Learner::~Learner() = default;

void Learner::Observe(const std::string& work_class, const Resources& declared,
                      const Resources& used, std::chrono::milliseconds run_time) {
  m_impl->all_run_times.Add(Milliseconds(run_time));
  WorkClass* entry = m_impl->FindOrAdd(work_class);
  if (entry == nullptr) return;
  entry->run_time.Add(Milliseconds(run_time));
  if (used.processors_milli <= 0 && used.memory_mb <= 0) return;
  AddUsageRatio(entry->processors, declared.processors_milli, used.processors_milli);
  AddUsageRatio(entry->memory, declared.memory_mb, used.memory_mb);
}

LearnedEstimate Learner::Estimate(const std::string& work_class, const Resources& declared,
                                  std::chrono::milliseconds run_time) const {
  LearnedEstimate estimate{declared, run_time, false};
  const double straggler_threshold_ms = m_impl->StragglerThresholdMs();
  const auto found = m_impl->classes.find(work_class);
  if (found != m_impl->classes.end()) {
    const WorkClass& entry = found->second;
    estimate.size.processors_milli =
        m_impl->LearnedSize(entry.processors, declared.processors_milli);
    estimate.size.memory_mb = m_impl->LearnedSize(entry.memory, declared.memory_mb);
    estimate.run_time = m_impl->LearnedRunTime(entry.run_time, run_time);
    estimate.likely_straggler =
        entry.run_time.Samples() >= m_impl->options.min_samples &&
        entry.run_time.FractionAtOrAbove(straggler_threshold_ms) >= m_impl->options.straggler_share;
  }
  if (Milliseconds(estimate.run_time) >= straggler_threshold_ms) estimate.likely_straggler = true;
  return estimate;
}

}  // namespace citronsill
