/// Learns the actual sizes and run times of work classes from
/// finished runs, because declared values are often far off.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "citronsill/types.h"

namespace citronsill {

struct LearnerOptions {
  /// Number of runs of a class before its learned values are used.
  std::uint32_t min_samples = 20;
  /// Fraction of runs that the learned size covers; too
  /// small a size slows down all tasks on a worker.
  double size_quantile = 0.95;
  /// Bounds of a learned size, as multiples of the declared one.
  double min_size_factor = 0.5;
  double max_size_factor = 2.0;
  /// A learned run time is at most this many times longer or shorter than the declared one.
  double max_run_time_factor = 8.0;
  /// A run is long when it takes this many times the median of all runs.
  double straggler_factor = 10.0;
  /// Fraction of long runs at which all runs of a class count as likely stragglers.
  double straggler_share = 0.25;
  /// Maximum number of classes that are learned; further ones keep their declared values.
  std::uint32_t max_work_classes = 1024;
};

/// Expected values of one task.
struct LearnedEstimate {
  Resources size;
  std::chrono::milliseconds run_time{0};
  bool likely_straggler = false;  ///< Whether the task is likely to run for long.
};

/// Not thread-safe. Reads no clock: run times are passed in.
class Learner {
 public:
  explicit Learner(const LearnerOptions& options = {});
  ~Learner();

  /// Records one finished run.
  /// @param declared size of the run.
  /// @param used maximum usage that its worker reported. Reports lag, so a short run may end before
  /// the first one: `used` is then all zero, and no size is learned from the run.
  void Observe(const std::string& work_class, const Resources& declared, const Resources& used,
               std::chrono::milliseconds run_time);

  /// @returns the learned values, or the declared ones as long as too few runs were seen.
  /// Accelerators are always as declared, because a task gets whole ones. A declared run time of 0
  /// means unknown and does not bound the learned one.
  [[nodiscard]] LearnedEstimate Estimate(const std::string& work_class, const Resources& declared,
                                         std::chrono::milliseconds run_time) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
