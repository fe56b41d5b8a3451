/// Operator interface of an instance: records, reports, metrics and the log level, with the peer
/// methods that it uses.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronsill/dispatcher.h"
#include "citronsill/engine.h"
#include "citronsill/http.h"
#include "citronsill/metrics.h"
#include "citronsill/peer.h"
#include "citronsill/records.h"
#include "citronsill/result.h"
#include "citronsill/table.h"
#include "citronsill/timer.h"

namespace citronsill {

/// An instance that a report should cover.
struct ExpectedInstance {
  std::string id;
  std::string address;
};

/// @returns the other instances known from gossip or the platform's directory, including those that
/// do not answer, but without those that left on purpose.
/// @param known all entries of gossip. @param live those heard from recently.
std::vector<ExpectedInstance> ExpectedPeers(const schema::Directory& list,
                                            const std::vector<schema::MemberState>& known,
                                            const std::vector<schema::MemberState>& live,
                                            const std::string& self);

/// @returns the workers of the platform's directory after the target records are applied, which
/// add, drain or remove workers. Epochs are 0.
std::vector<OwnedWorker> ApplyTargetRecords(const schema::Directory& list, const Records& records);

struct OperatorsHooks {
  /// Calls a peer method with a deadline.
  std::function<void(const std::string& address, const std::string& method, std::string params,
                     std::function<void(Result<std::string>)> done)>
      call;
  /// @returns all other known instances, including those that do not answer.
  std::function<std::vector<ExpectedInstance>()> peers;
  std::function<EngineStats()> stats;
  std::function<bool()> is_table_up;
  std::function<bool()> is_draining;
  /// @returns the number of workers in the platform's directory, if it was read.
  std::function<std::optional<std::uint32_t>()> listed_workers;
  /// Called when the records have changed.
  std::function<void()> on_records;
};

struct OperatorsOptions {
  std::string instance;
  std::string cell;
  std::string peer_address;
};

/// Serves the operator interface of an instance. Thread-safe.
class Operators {
 public:
  static Result<std::unique_ptr<Operators>> Create(TimerService& timers, Table& table,
                                                   Metrics& metrics,
                                                   const OperatorsOptions& options,
                                                   OperatorsHooks hooks);
  ~Operators();

  /// Registers the peer methods `records` and `report`.
  void Register(PeerServer& server);

  /// Starts reading records from the table and evaluating alerts.
  void Start();

  /// Handles /v1/records, /v1/report, /v1/log-level and /metrics.
  /// @param key_name name of the access key.
  /// @returns false if path and method are none of these; `reply` is then not called.
  bool Handle(const HttpRequest& request, const std::string& key_name, const HttpReply& reply);

  /// Counts an answer to a caller.
  void OnAnswer(const std::string& work_class, schema::Code code,
                std::chrono::steady_clock::duration elapsed);

  Records& GetRecords();

 private:
  struct Impl;
  explicit Operators(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
