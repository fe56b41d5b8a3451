/// Predicts the run times of the tasks of a queue from past runs, and learns how far their declared
/// estimates can be trusted.
#pragma once

#include "cell/types.h"

namespace citronsill {

/// Run times of one queue. Statistics are kept on a logarithmic scale, because run times and the
/// errors of their estimates vary by factors.
class RunTimeEstimator {
 public:
  /// Adds a run that succeeded.
  /// @param declared estimate declared for the task; 0 for none.
  void Add(milliseconds actual, milliseconds declared);

  /// @param declared estimate declared for the task; 0 for none.
  /// @returns the expected run time of a task: its declared estimate, corrected by the mean error
  /// of estimates, and the mean of the queue, each weighted by its precision so far. While the
  /// queue has too few runs, it is the declared estimate, or the mean if there is none (0 without
  /// any run); while it has enough runs, but too few with an estimate, it is the mean.
  [[nodiscard]] milliseconds Expect(milliseconds declared) const;

  /// @returns the number of runs that were added.
  [[nodiscard]] std::uint64_t Count() const { return m_actual.count; }

 private:
  // Moving mean and variance.
  struct Moments {
    double mean = 0.0;
    double variance = 0.0;
    std::uint64_t count = 0;
    void Add(double value);
  };

  Moments m_actual;  // Logarithm of run times in milliseconds.
  Moments m_error;   // Logarithm of actual over declared run time.
};

}  // namespace citronsill
