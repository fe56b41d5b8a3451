/// Counters, gauges and latency histograms of a node, in the Prometheus text format. The number of
/// label values is bounded.
#pragma once

#include <functional>
#include <string>

#include "cell/fleet.h"
#include "cell/types.h"
#include "citronsill/result.h"

namespace citronsill {

/// Kinds of caller requests.
enum class CallKind { kSubmit, kCancel, kState, kWaiting };

/// Stages of a job whose duration is measured.
enum class Stage {
  kAccept,   ///< From the arrival at the scheduler until the job is in the store.
  kStart,    ///< From the arrival at the scheduler until the first task is known to run.
  kPublish,  ///< From the report of the last end of a run until callers can see the final state.
};

/// Metrics of this process; a singleton.
class NodeMetrics {
 public:
  static NodeMetrics& Get();

  /// A caller's request got its final answer.
  void CountCall(CallKind kind, schema::Code code, milliseconds elapsed);
  void ObserveStage(Stage stage, milliseconds elapsed);
  void CountStart(StartVerdict verdict);
  void CountEnd(RunEnd end);
  void CountVoid(VoidReason reason);
  /// A transaction is in the store. @param attempts number of times that it was sent.
  void CountCommit(milliseconds elapsed, std::uint32_t attempts);
  void CountAdvice(bool answered, milliseconds elapsed);
  void CountTakeover();
  /// A store call through another instance has ended, or is taking long. @param result one of
  /// "served", "failed" and "overdue".
  void CountRelay(const char* result);
  /// New jobs were refused for want of the store. @param reason "silent" or "late".
  void CountStoreRefusals(const char* reason, std::size_t jobs);
  /// A new job was refused for want of room. @param reason see `RoomVerdictName`.
  void CountRoomRefusal(const char* reason);
  /// A job has reached a final state. @param state one of a fixed set.
  void CountFinal(const char* state);
  /// A periodic timer fired late by this much.
  void ObserveLoopLag(milliseconds lag);
  /// An exception escaped from a handler of the event loop. @param handler one of a fixed set.
  void CountHandlerFailure(const std::string& handler);
  /// A caller's connection ended without a complete response. @param reason one of a fixed set.
  void CountAbort(const char* reason);
  /// A client or a called server exceeded a limit. @param party, limit each one of a fixed set.
  void CountLimit(const char* party, const std::string& limit);
  /// Sets the number of held tasks (ready but not running for `kHeldAfter`) that one check found
  /// for a reason. @param reason one of a fixed set.
  void SetHeldTasks(const char* reason, std::uint32_t tasks);
  /// Log lines about held tasks were left out. @param tasks number of them.
  void CountHeldSuppressed(std::uint32_t tasks);
  /// Sets a gauge without labels. @param name one of a fixed set, without the prefix `citronsill_`.
  void SetGauge(const std::string& name, double value);

  /// @returns all metrics in the Prometheus text format.
  [[nodiscard]] std::string Text() const;

 private:
  NodeMetrics();
  ~NodeMetrics();
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
