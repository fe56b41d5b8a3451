#include "cell/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace citronsill {
namespace {

// Minimum weight of the newest run: about the last 50 runs count.
constexpr double kMinWeight = 0.02;
// Minimum number of runs for a usable mean and variance.
constexpr std::uint64_t kEnoughRuns = 5;
// Added to variances, so that a few equal values do not count as certainty.
constexpr double kVarianceFloor = 0.01;

}  // namespace

void RunTimeEstimator::Moments::Add(double value) {
  ++count;
  const double weight = std::max(kMinWeight, 1.0 / static_cast<double>(count));
  const double difference = value - mean;
  mean += weight * difference;
  variance = (1.0 - weight) * (variance + weight * difference * difference);
}

void RunTimeEstimator::Add(milliseconds actual, milliseconds declared) {
  const double log_actual = std::log(std::max(1.0, static_cast<double>(actual.count())));
  m_actual.Add(log_actual);
  if (declared.count() > 0) m_error.Add(log_actual - std::log(declared.count()));
}

milliseconds RunTimeEstimator::Expect(milliseconds declared) const {
  if (m_actual.count < kEnoughRuns) {
    if (declared.count() > 0 || m_actual.count == 0) return declared;
  }
  double estimate = m_actual.mean;
  if (declared.count() > 0 && m_error.count >= kEnoughRuns) {
    const double from_declared = std::log(declared.count()) + m_error.mean;
    const double queue_weight = m_error.variance + kVarianceFloor;
    const double declared_weight = m_actual.variance + kVarianceFloor;
    estimate = (m_actual.mean * queue_weight + from_declared * declared_weight) /
               (queue_weight + declared_weight);
  }
  return milliseconds(std::llround(std::exp(estimate)));
}

}  // namespace citronsill
