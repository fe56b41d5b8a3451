/// Learns how long the tasks of a queue run, and how far their declared estimates can be trusted.
#pragma once

#include "cell/types.h"

namespace citronsill {

/// Run times of one queue, on a logarithmic scale: they and the errors of their estimates spread by
/// factors.
class RunTimes {
 public:
  /// A run ended done.
  /// @param declared estimate of the task; 0 when there was none.
  void Add(milliseconds actual, milliseconds declared);

  /// @returns the expected run time of a task: its estimate and the mean of the queue, each
  /// weighted by how little it was off so far.
  [[nodiscard]] milliseconds Expect(milliseconds declared) const;

 private:
  // Moving mean and variance.
  struct Moments {
    double mean = 0.0;
    double variance = 0.0;
    std::uint64_t count = 0;
    void Add(double value);
  };

  Moments m_actual;  // Of the logarithm of run times.
  Moments m_error;   // Of the logarithm of actual over declared.
};

}  // namespace citronsill
