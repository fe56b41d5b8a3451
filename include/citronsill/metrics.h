/// Metrics in the Prometheus text format. The number of label values is bounded.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "citronsill/peer.h"
#include "citronsill/result.h"
#include "citronsill/table.h"

namespace citronsill {

struct MetricsHooks {
  /// @returns whether a work class is known; answers for other classes are counted as "other".
  std::function<bool(const std::string& work_class)> is_known_class;
};

/// Thread-safe.
class Metrics {
 public:
  static Result<std::unique_ptr<Metrics>> Create(MetricsHooks hooks);
  ~Metrics();

  /// Counts an answer to a caller.
  void CountRequest(const std::string& work_class, schema::Code code,
                    std::chrono::steady_clock::duration elapsed);

  /// @returns the label of a work class: its name, or "other" if it is not known.
  [[nodiscard]] std::string ClassLabel(const std::string& work_class) const;

  /// @param operation "read", "scan" or "commit".
  void CountTableCall(const std::string& operation, schema::Code code);

  /// @param method one of the registered peer methods.
  void CountPeerCall(const std::string& method, schema::Code code);

  /// Sets a gauge without labels. @param name without the prefix "citronsill_", for example
  /// "waiting_jobs".
  void SetGauge(const std::string& name, double value);

  /// @returns all metrics in the Prometheus text format.
  [[nodiscard]] std::string Text() const;

 private:
  struct Impl;
  explicit Metrics(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

/// @returns a table that forwards to `table` and counts the calls.
std::unique_ptr<Table> CreateMeteredTable(std::unique_ptr<Table> table, Metrics& metrics);

/// A peer client that counts its calls.
class MeteredPeerClient {
 public:
  MeteredPeerClient(std::unique_ptr<PeerClient> client, Metrics& metrics);

  /// See `PeerClient::Call`.
  void Call(const std::string& address, const std::string& method, std::string params,
            std::chrono::milliseconds timeout, std::function<void(Result<std::string>)> done);

 private:
  std::unique_ptr<PeerClient> m_client;
  Metrics& m_metrics;
};

}  // namespace citronsill
