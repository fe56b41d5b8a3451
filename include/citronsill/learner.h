/// Actual sizes and run times of work classes, learned from what their runs used. Declared values
/// are often far off.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "citronsill/types.h"

namespace citronsill {

struct LearnerOptions {
  /// Runs of a class before its learned values are used.
  std::uint32_t min_samples = 20;
  /// Share of runs that the learned size covers; too small a size slows down all tasks of a worker.
  double size_quantile = 0.95;
  /// A learned size stays within these multiples of the declared one.
  double min_size_factor = 0.5;
  double max_size_factor = 2.0;
  /// A learned run time is at most this many times longer or shorter than the declared one.
  double max_run_time_factor = 8.0;
  /// A run is long when it takes this many times the median of all runs.
  double straggler_factor = 10.0;
  /// Share of long runs from which on all runs of a class are likely stragglers.
  double straggler_share = 0.25;
  /// Classes that are learned; further ones keep their declared values.
  std::uint32_t max_work_classes = 1024;
};

struct LearnedEstimate {
  Resources size;
  std::chrono::milliseconds run_time{0};
  bool likely_straggler = false;
};

/// Not thread-safe. Pure: run times are passed in.
class Learner {
 public:
  explicit Learner(const LearnerOptions& options = {});
  ~Learner();

  /// Records one finished run.
  /// @param declared size of the run; `used` is the most that its worker reported. Reports lag: a
  /// short run may end before the first one, and `used` is then all zero and teaches no size.
  void Observe(const std::string& work_class, const Resources& declared, const Resources& used,
               std::chrono::milliseconds run_time);

  /// @returns the declared values as far as too few runs were seen. Accelerators are always as
  /// declared, because a task gets whole ones. A declared run time of 0 means unknown and does not
  /// bound the learned one.
  [[nodiscard]] LearnedEstimate Estimate(const std::string& work_class, const Resources& declared,
                                         std::chrono::milliseconds run_time) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
