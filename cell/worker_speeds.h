/// Learns how fast each worker runs tasks, compared with the usual worker of the cell. Pure: no
/// clock, no input or output.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

#include "cell/types.h"

namespace citronsill {

/// Speeds of the workers of a cell, each learnt from the last runs on it.
///
/// A run says how its worker compares with the others: by how much it took longer or shorter than
/// its reference, the run time that is expected on a worker of usual speed. The median of the last
/// runs is not moved by a few stragglers. A speed differs from 1.0 only when the median exceeds the
/// usual scatter of such medians, so that nothing changes in a cell of even workers.
class WorkerSpeeds {
 public:
  WorkerSpeeds();

  /// One incarnation of a worker.
  struct WorkerKey {
    std::uint32_t slot = 0;
    std::uint32_t incarnation = 0;
  };

  /// A speed that has changed.
  struct Change {
    double before = 1.0;
    double after = 1.0;
    std::size_t runs = 0;  ///< Number of runs that it was learnt from.

    /// @returns whether it changed by more than `kReportedSpeedChange`.
    [[nodiscard]] bool IsLarge() const;
  };

  /// Adds a run that succeeded. The first run on a later incarnation of a worker discards those on
  /// earlier ones: it may be of another kind.
  /// @param actual run time.
  /// @param reference run time that is expected on a worker of usual speed. Ignored if it is 0.
  Change Add(WorkerKey worker, milliseconds actual, milliseconds reference);

  /// @returns the speed of the worker: 1.0 for the usual one, or while too few runs have ended on
  /// it, and 0.5 for a worker on which tasks take twice as long.
  [[nodiscard]] double SpeedOf(WorkerKey worker) const;

  /// Removes what is known of workers that have left.
  /// @param is_known whether there still is a worker with this slot.
  void ForgetUnless(const std::function<bool(std::uint32_t slot)>& is_known);

  /// @returns whether any worker has a speed other than 1.0.
  [[nodiscard]] bool AreUneven() const { return m_slow + m_fast > 0; }
  /// @returns the number of workers that are slower (faster) than usual.
  [[nodiscard]] std::size_t SlowWorkers() const { return m_slow; }
  [[nodiscard]] std::size_t FastWorkers() const { return m_fast; }

 private:
  // Number of runs of a worker that count, of some ten seconds under load: an odd number. More
  // would keep a worker slow for long after it has recovered.
  static constexpr std::size_t kRuns = 21;

  struct Record {
    std::uint32_t incarnation = 0;
    std::array<float, kRuns> log_ratios{};  // Of actual run time to reference, the last ones.
    std::uint32_t added = 0;
    double speed = 1.0;
  };

  [[nodiscard]] static double Median(const Record& record);
  void FindUsual();
  void CountSpeed(double speed, int change);

  std::unordered_map<std::uint32_t, Record> m_workers;  // By slot.
  // Mean absolute difference of a ratio from the median of its worker, over all workers.
  double m_scatter;
  double m_usual = 0.0;  // Median of the medians of all workers.
  std::uint64_t m_runs = 0;
  std::size_t m_slow = 0;
  std::size_t m_fast = 0;
};

/// Run times of the tasks of one step that have ended, from which the references of these runs are
/// derived. The tasks of a step are alike, whatever durations were declared for them.
class StepRuns {
 public:
  struct Run {
    WorkerSpeeds::WorkerKey worker;
    milliseconds actual{0};
    milliseconds normal{0};  ///< Run time that a worker of usual speed would have needed.
  };

  /// Adds a run that succeeded. Of a wide step only the first `kMaxRuns` count.
  /// @param speed speed of its worker.
  void Add(WorkerSpeeds::WorkerKey worker, milliseconds actual, double speed);

  [[nodiscard]] std::span<const Run> Runs() const { return m_runs; }

  /// @param expected run time that is expected of the step from earlier ones on a worker of usual
  /// speed; 0 if that is not known.
  /// @returns the run time that is expected on a worker of usual speed: the median of the runs and
  /// of `expected`; with fewer than `kEnoughRuns` runs, `expected`.
  [[nodiscard]] milliseconds Reference(milliseconds expected) const;

 private:
  static constexpr std::size_t kMaxRuns = 64;
  // The median of fewer runs mostly tells about these runs themselves.
  static constexpr std::size_t kEnoughRuns = 3;
  std::vector<Run> m_runs;
};

/// @returns the duration on a worker of this speed of what takes `usual` on the usual worker.
milliseconds AtSpeed(milliseconds usual, double speed);

}  // namespace citronsill
