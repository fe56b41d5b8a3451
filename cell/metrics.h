/// Counters and latency histograms of a node, in the Prometheus text format. All label sets are
/// bounded.
#pragma once

#include <functional>
#include <string>

#include "cell/fleet.h"
#include "cell/types.h"
#include "citronsill/result.h"

namespace citronsill {

/// Kinds of calls of callers.
enum class CallKind { kSubmit, kCancel, kState, kWaiting };

/// Parts of a job's way whose time is measured.
enum class Stage {
  kAccept,  ///< From the arrival at the scheduler until the job is in the store.
  kStart,   ///< From the arrival at the scheduler until the first task is known to run.
  kShow,    ///< From the report of the last end until callers are told of it.
};

/// One set a process.
class NodeMetrics {
 public:
  static NodeMetrics& Get();

  /// A call of a caller got its final answer.
  void CountCall(CallKind kind, schema::Code code, milliseconds elapsed);
  void ObserveStage(Stage stage, milliseconds elapsed);
  void CountStart(StartVerdict verdict);
  void CountEnd(RunEnd end);
  void CountVoid(VoidReason reason);
  /// A transaction is in the store. @param attempts times that it was sent.
  void CountCommit(milliseconds elapsed, std::uint32_t attempts);
  void CountAdvice(bool answered, milliseconds elapsed);
  void CountTakeover();
  /// A job has become final. @param state one of a fixed set.
  void CountFinal(const char* state);
  /// A periodic timer fired late by this much.
  void ObserveLoopLag(milliseconds lag);
  /// A caller's connection ended without a whole answer. @param reason one of a fixed set.
  void CountCut(const char* reason);
  /// Tasks that one check found held back. @param reason one of a fixed set.
  void SetHeldTasks(const char* reason, std::uint32_t tasks);
  void CountHeldSuppressed(std::uint32_t tasks);
  /// Sets a gauge without labels. @param name one of a fixed set.
  void SetGauge(const std::string& name, double value);

  [[nodiscard]] std::string Text() const;

 private:
  NodeMetrics();
  ~NodeMetrics();
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citronsill
