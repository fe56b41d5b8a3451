/// Modules of an instance and the connections between them. Private to src/instance*.cc.
#pragma once

#include "citronsill/access.h"
#include "citronsill/api.h"
#include "citronsill/convert.h"
#include "citronsill/directory.h"
#include "citronsill/dispatcher.h"
#include "citronsill/entry.h"
#include "citronsill/gossip.h"
#include "citronsill/home.h"
#include "citronsill/http.h"
#include "citronsill/instance.h"
#include "citronsill/journal.h"
#include "citronsill/ledger.h"
#include "citronsill/membership.h"
#include "citronsill/metrics.h"
#include "citronsill/objects.h"
#include "citronsill/operators.h"
#include "citronsill/ownership.h"
#include "citronsill/peer.h"
#include "citronsill/query.h"
#include "citronsill/roster.h"
#include "citronsill/router.h"
#include "citronsill/table.h"
#include "citronsill/tableguard.h"
#include "citronsill/timer.h"
#include "internal.h"

namespace citronsill {

/// Parses a peer's answer.
template <class Message>
Result<Message> ParseMessage(const Result<std::string>& json) {
  if (!json) return json.error();
  Message message;
  BOOST_OUTCOME_TRY(FromJson(json.value(), UnknownFields::kIgnore, &message));
  return message;
}

struct Instance::Impl : std::enable_shared_from_this<Impl> {
  Impl(Runtime& process_runtime, schema::Settings instance_settings)
      : runtime(process_runtime), settings(std::move(instance_settings)) {}

  Runtime& runtime;
  schema::Settings settings;
  std::uint64_t incarnation = 0;
  std::unique_ptr<TimerService> timers;
  std::unique_ptr<Metrics> metrics;
  std::unique_ptr<AccessControl> access;
  std::unique_ptr<Table> table_client;
  std::shared_ptr<TableGuard> table;
  std::unique_ptr<ObjectStore> objects;
  std::unique_ptr<InstanceDirectory> directory;
  std::unique_ptr<PeerServer> peer_server;
  std::unique_ptr<MeteredPeerClient> peer_client;
  std::unique_ptr<Membership> membership;
  std::unique_ptr<Ownership> ownership;
  std::unique_ptr<GossipExchange> gossip;
  std::unique_ptr<Journal> journal;
  std::unique_ptr<Ledger> ledger;
  std::unique_ptr<Dispatcher> dispatcher;
  std::unique_ptr<TaskRouter> router;
  std::unique_ptr<TaskQuerier> query;
  Roster roster;
  std::unique_ptr<Operators> operators;
  std::unique_ptr<Home> home;
  std::unique_ptr<Entry> entry;
  std::unique_ptr<Api> api;
  std::unique_ptr<HttpServer> api_server;
  std::vector<TimerId> subscriptions;

  std::mutex mutex;
  std::atomic<bool> draining{false};
  SteadyTime drained_since = SteadyTime::max();  // Time since which nothing is in progress.
  std::function<void()> on_drain_request;

  static SteadyTime Now() { return std::chrono::steady_clock::now(); }

  const std::string& AdvertisedAddress() const;

  PartitionId Partition(const std::string& id) const;

  Result<void> Build();

  Result<void> BuildMembership();

  Result<void> BuildOwnership();

  DelayFunction MakeDelay();

  Result<void> BuildGossip();

  Result<void> BuildJournal();

  Result<void> BuildDispatcher();

  Result<void> BuildRouter();

  Result<void> BuildQuery();

  schema::TaskQueryResult AnswerQuery(const TaskKey& task, const std::string& worker,
                                      std::uint64_t worker_incarnation);

  std::vector<schema::MemberState> Peers() const;

  // Access control and metrics.
  Result<void> BuildAccessAndMetrics();

  Result<void> BuildOperators();

  // A record replaces the class of the same name from the settings.
  std::optional<schema::WorkClass> FindClass(const std::string& name);

  // Delays the start while ownership is uncertain after a pause of the process.
  void BeforeStart(const Action& action, std::uint64_t worker_incarnation,
                   const std::function<void(bool)>& proceed);

  Result<void> BuildHome();

  Result<void> BuildEntry();

  Result<void> BuildApi();

  // Registers a peer method that takes and returns schema messages.
  template <class Input, class Output>
  void Register(const std::string& method, std::function<Result<Output>(const Input&)> handler) {
    peer_server->Handle(method, [handler](const std::string& params) -> Result<std::string> {
      Input input;
      BOOST_OUTCOME_TRY(FromJson(params, UnknownFields::kIgnore, &input));
      BOOST_OUTCOME_TRY(const auto output, handler(input));
      return ToJson(output);
    });
  }

  void RegisterPeerMethods();

  void SubscribeTimers();

  void TickTable() { table->Tick(); }
  void RefreshAccess() { access->Refresh(); }

  // Ownership waits until the records are known. Without them, requests would run under the classes
  // of the settings, which records may have replaced.
  void TickOwnership();

  void OffloadTasks() { router->Offload(); }
  void CheckPlacedTasks() { router->CheckPlaced(); }

  void TickGossip();

  void RefreshDirectory();

  // Gives every live instance an equal share of a team's quota, rounded up, so that no message is
  // needed before a start.
  void RefreshQuotas();

  void RefreshWorkers();

  // @returns the address of the owner of a request's partition; empty for this instance.
  Result<std::string> OwnerAddress(const std::string& id);

  void Forward(const schema::Forward& forward, std::function<void(Result<schema::Ack>)> done);

  // @param retries number of retries so far.
  void Deliver(const Waiter& waiter, std::shared_ptr<const schema::Answer> answer, int retries);

  // @param method "status" or "cancel", as for `AskOwner`.
  Result<schema::Answer> AnswerLocally(const std::string& id, const std::string& method);

  void AskOwner(const std::string& id, const std::string& method,
                std::function<void(Result<schema::Answer>)> done);

  bool IsReady() const;

  void StartDraining();

  void CheckDrained(const std::function<void()>& done);
};

}  // namespace citronsill
