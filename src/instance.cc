#include "citronsill/instance.h"

#include "citronsill/access.h"
#include "citronsill/api.h"
#include "citronsill/convert.h"
#include "citronsill/directory.h"
#include "citronsill/dispatcher.h"
#include "citronsill/entry.h"
#include "citronsill/gossip.h"
#include "citronsill/home.h"
#include "citronsill/http.h"
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
namespace {

// An entry instance that cannot be reached for this many tries has failed; its caller asks again.
constexpr int kMaxDeliverTries = 20;
constexpr std::chrono::milliseconds kDrainCheckPeriod{200};
// With nothing in progress, a draining instance waits this long for others to take its partitions.
// They cannot while the table is down, or when it is the last instance.
constexpr std::chrono::milliseconds kHandOverTimeout{10000};
constexpr std::chrono::milliseconds kAccessPeriod{2000};
constexpr std::chrono::milliseconds kCheckPlacedPeriod{1000};
constexpr std::chrono::milliseconds kDoubtRetryPeriod{100};
constexpr std::chrono::milliseconds kTableGuardPeriod{100};

schema::TaskKnowledge ToSchema(TaskKnowledge knowledge) {
  switch (knowledge) {
    case TaskKnowledge::kRunning:
      return schema::KNOWLEDGE_RUNNING;
    case TaskKnowledge::kEnded:
      return schema::KNOWLEDGE_ENDED;
    case TaskKnowledge::kNeverStarted:
      return schema::KNOWLEDGE_NEVER_STARTED;
    case TaskKnowledge::kLost:
      return schema::KNOWLEDGE_LOST;
    default:
      return schema::KNOWLEDGE_UNKNOWN;
  }
}

template <class Message>
Result<Message> ParseMessage(const Result<std::string>& json) {
  if (!json) return json.error();
  Message message;
  BOOST_OUTCOME_TRY(FromJson(json.value(), UnknownFields::kIgnore, &message));
  return message;
}

}  // namespace

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
  SteadyTime drained_since = SteadyTime::max();  // Since when nothing is in progress.
  std::function<void()> on_drain_request;

  static SteadyTime Now() { return std::chrono::steady_clock::now(); }

  const std::string& AdvertisedAddress() const {
    return settings.peer_advertise_address().empty() ? settings.peer_address()
                                                     : settings.peer_advertise_address();
  }

  PartitionId Partition(const std::string& id) const {
    return PartitionOf(id, settings.partition_count());
  }

  Result<void> Build() {
    incarnation = RandomId();
    BOOST_OUTCOME_TRY(timers, TimerService::Create(runtime));
    BOOST_OUTCOME_TRY(BuildObservation());
    BOOST_OUTCOME_TRY(auto http_table, CreateHttpTable(runtime, settings.table_address()));
    table_client = CreateMeteredTable(std::move(http_table), *metrics);
    BOOST_OUTCOME_TRY(table, TableGuard::Create(*table_client, TableGuardOptions{}, {}));
    if (!settings.objects_address().empty()) {
      BOOST_OUTCOME_TRY(objects, CreateHttpObjects(runtime, settings.objects_address()));
    }
    BOOST_OUTCOME_TRY(directory, CreateHttpDirectory(runtime, settings.directory_address()));
    BOOST_OUTCOME_TRY(peer_server, PeerServer::Create(runtime, settings.peer_address()));
    BOOST_OUTCOME_TRY(auto client, PeerClient::Create(runtime));
    peer_client = std::make_unique<MeteredPeerClient>(std::move(client), *metrics);
    BOOST_OUTCOME_TRY(ledger, Ledger::Create(kMaxFinishedRequests));
    BOOST_OUTCOME_TRY(BuildMembership());
    BOOST_OUTCOME_TRY(BuildOwnership());
    BOOST_OUTCOME_TRY(BuildGossip());
    BOOST_OUTCOME_TRY(BuildJournal());
    BOOST_OUTCOME_TRY(BuildRouter());
    BOOST_OUTCOME_TRY(BuildQuery());
    BOOST_OUTCOME_TRY(BuildDispatcher());
    BOOST_OUTCOME_TRY(BuildOperators());
    BOOST_OUTCOME_TRY(BuildHome());
    BOOST_OUTCOME_TRY(BuildEntry());
    BOOST_OUTCOME_TRY(BuildApi());
    RegisterMethods();
    peer_server->Start();
    Subscribe();
    return Success();
  }

  Result<void> BuildMembership() {
    schema::MemberState self;
    self.set_id(settings.instance_id());
    self.set_incarnation(incarnation);
    self.set_peer_address(AdvertisedAddress());
    self.set_failure_domain(settings.failure_domain());
    self.set_started_unix_ms(UnixMilliseconds(std::chrono::system_clock::now()));
    BOOST_OUTCOME_TRY(membership, Membership::Create(self, MembershipOptions{}));
    return Success();
  }

  Result<void> BuildOwnership() {
    schema::InstanceRow self;
    self.set_id(settings.instance_id());
    self.set_incarnation(incarnation);
    self.set_peer_address(AdvertisedAddress());
    self.set_api_address(settings.api_address());
    self.set_failure_domain(settings.failure_domain());
    OwnershipOptions options;
    options.partition_count = settings.partition_count();
    options.owner_timeout = ToMilliseconds(settings.owner_timeout());
    OwnershipHooks hooks;
    hooks.on_gained = [this](PartitionId partition, std::uint64_t epoch,
                             const std::vector<std::string>& streams) {
      spdlog::info("event=partition_gained partition={} epoch={}", partition.value, epoch);
      home->OnGained(partition, streams);
      RefreshWorkers();
    };
    hooks.on_lost = [this](PartitionId partition) {
      spdlog::info("event=partition_lost partition={}", partition.value);
      home->OnLost(partition);
      RefreshWorkers();
    };
    hooks.on_confirmed = [this] { RefreshWorkers(); };
    hooks.on_superseded = [] {
      // Nothing is owned any more; the process is left for its operator to look at.
      spdlog::critical("event=instance_superseded reason=\"the id was started again elsewhere\"");
    };
    hooks.live_members = [this] { return membership->LiveMembers(Now()); };
    BOOST_OUTCOME_TRY(ownership, Ownership::Create(*table, self, options, std::move(hooks)));
    return Success();
  }

  Delay MakeDelay() {
    return [this](std::chrono::milliseconds delay, std::function<void()> work) {
      timers->After(delay, [work = std::move(work)](SteadyTime) { work(); });
    };
  }

  Result<void> BuildGossip() {
    GossipOptions options;
    options.peer_address = AdvertisedAddress();
    options.seed = incarnation;
    GossipHooks hooks;
    hooks.call = [this](const std::string& address, std::string params,
                        std::function<void(Result<std::string>)> done) {
      peer_client->Call(address, "gossip", std::move(params), kPeerTimeout, std::move(done));
    };
    hooks.listed_addresses = [this] { return roster.InstanceAddresses(); };
    hooks.load = [this] {
      const EngineStats stats = dispatcher->Stats();
      schema::MemberState load;
      load.set_leaving(draining);
      load.set_free_slots(stats.free_slots);
      SetResources(stats.largest, load.mutable_largest());
      load.set_waiting(static_cast<std::uint32_t>(stats.waiting_jobs));
      load.set_record_revision(operators->GetRecords().Revision().revision());
      return load;
    };
    hooks.owners = [this] { return ownership->Owners(); };
    hooks.merge_owners = [this](const std::vector<schema::PartitionOwner>& owners) {
      ownership->MergeOwners(owners);
    };
    BOOST_OUTCOME_TRY(gossip, GossipExchange::Create(*membership, options, std::move(hooks)));
    return Success();
  }

  Result<void> BuildJournal() {
    JournalOptions options;
    options.stream = settings.instance_id() + "." + Hex64(incarnation);
    options.interval = ToMilliseconds(settings.journal_interval());
    options.max_batch_entries = kMaxJournalBatchEntries;
    JournalHooks hooks;
    hooks.owned = [this](PartitionId partition) -> std::optional<OwnedPartition> {
      const auto epoch = ownership->OwnedEpoch(partition);
      const auto version = ownership->OwnedVersion(partition);
      if (!epoch || !version || ownership->OwnedEpoch(partition) != epoch) return std::nullopt;
      return OwnedPartition{*epoch, *version};
    };
    hooks.on_fenced = [this](PartitionId partition) { ownership->OnFenced(partition); };
    hooks.after = MakeDelay();
    BOOST_OUTCOME_TRY(journal, Journal::Create(*table, objects.get(), options, std::move(hooks)));
    return Success();
  }

  Result<void> BuildDispatcher() {
    DispatcherOptions options;
    options.instance = settings.instance_id();
    options.task_lease = ToMilliseconds(settings.task_lease());
    options.sync_wait = kWorkerSyncWait;
    options.idle_wait = kIdleWorkerSyncWait;
    DispatcherHooks hooks;
    hooks.before_start = [this](const Action& action, std::uint64_t incarnation_of_worker,
                                const std::function<void(bool)>& go) {
      BeforeStart(action, incarnation_of_worker, go);
    };
    hooks.on_event = [this](const TaskEvent& event, const std::function<void()>& done) {
      router->OnEvent(event, done);
    };
    hooks.on_give_up = [this](const Action& action) { router->OnGiveUp(action); };
    hooks.on_released = [this](const std::vector<TaskEvent>& events) {
      router->OnReleased(events);
    };
    hooks.on_stale_epoch = [this](const std::string& worker) {
      ownership->OnFenced(Partition(worker));
    };
    hooks.find_job = [this](const std::string& id) { return router->FindJob(id); };
    EngineOptions engine_options;
    engine_options.seed = incarnation;
    engine_options.max_waiting_jobs = kMaxPendingRequests;
    BOOST_OUTCOME_TRY(dispatcher, Dispatcher::Create(runtime, *timers, HttpWorkerLinks(runtime),
                                                     options, engine_options, std::move(hooks)));
    return Success();
  }

  Result<void> BuildRouter() {
    RouterOptions options;
    options.instance = settings.instance_id();
    RouterHooks hooks;
    hooks.is_home = [this](const std::string& id) {
      return ownership->OwnedEpoch(Partition(id)).has_value();
    };
    hooks.owns_worker = [this](const std::string& worker) {
      return !ownership->IsCertain() || ownership->OwnedEpoch(Partition(worker)).has_value();
    };
    hooks.home_address = [this](const std::string& id) { return OwnerAddress(id); };
    hooks.peers = [this] { return Peers(); };
    hooks.call = [this](const std::string& address, const std::string& method, std::string params,
                        std::function<void(Result<std::string>)> done) {
      peer_client->Call(address, method, std::move(params), kPeerTimeout, std::move(done));
    };
    hooks.submit = [this](const JobSpec& job) { return dispatcher->Submit(job); };
    hooks.take_waiting = [this](std::size_t max) { return dispatcher->TakeWaiting(max); };
    hooks.stats = [this] { return dispatcher->Stats(); };
    hooks.to_home = [this](TaskEvent event, const std::function<void()>& done) {
      event.worker = WorkerRef(event.worker, event.worker_incarnation);
      return home->OnTaskEvent(event, done);
    };
    hooks.before_start = [this](Action action, std::uint64_t worker_incarnation,
                                const std::function<void(bool)>& go) {
      action.worker = WorkerRef(action.worker, worker_incarnation);
      home->BeforeStart(action, go);
    };
    hooks.find_home_job = [this](const std::string& id) { return home->FindJob(id); };
    hooks.give_up = [this](const Action& action) { home->OnGiveUp(action); };
    hooks.find_class = [this](const std::string& name) { return FindClass(name); };
    hooks.investigate = [this](const TaskKey& task) { home->Investigate(task); };
    BOOST_OUTCOME_TRY(router, TaskRouter::Create(*timers, options, std::move(hooks)));
    return Success();
  }

  Result<void> BuildQuery() {
    TaskQuerierOptions options;
    options.partition_count = settings.partition_count();
    TaskQuerierHooks hooks;
    hooks.owner_address = [this](const std::string& worker) { return OwnerAddress(worker); };
    hooks.peer_addresses = [this] {
      std::vector<std::string> addresses;
      for (const schema::MemberState& peer : Peers()) addresses.push_back(peer.peer_address());
      return addresses;
    };
    hooks.call = [this](const std::string& address, const std::string& method, std::string params,
                        std::function<void(Result<std::string>)> done) {
      peer_client->Call(address, method, std::move(params), kPeerTimeout, std::move(done));
    };
    hooks.ask_self = [this](const TaskKey& task, const std::string& worker,
                            std::uint64_t worker_incarnation) {
      return AnswerQuery(task, worker, worker_incarnation);
    };
    hooks.now = [] { return Now(); };
    BOOST_OUTCOME_TRY(query, TaskQuerier::Create(options, std::move(hooks)));
    return Success();
  }

  schema::TaskQueryResult AnswerQuery(const TaskKey& task, const std::string& worker,
                                      std::uint64_t worker_incarnation) {
    schema::TaskQueryResult result;
    for (const PartitionId partition : ownership->Owned()) result.add_partitions(partition.value);
    if (!roster.HasList()) return result;  // Some of the own workers may not be known yet.
    if (!worker.empty() && !ownership->OwnedEpoch(Partition(worker))) return result;
    result.set_knowledge(router->IsWaiting(task)
                             ? schema::KNOWLEDGE_RUNNING
                             : ToSchema(dispatcher->Query(task, worker, worker_incarnation)));
    return result;
  }

  std::vector<schema::MemberState> Peers() const {
    std::vector<schema::MemberState> peers = membership->Live(Now());
    std::erase_if(peers, [this](const schema::MemberState& member) {
      return member.id() == settings.instance_id();
    });
    return peers;
  }

  // Access keys and metrics.
  Result<void> BuildObservation() {
    BOOST_OUTCOME_TRY(access, AccessControl::Create(settings.access_keys_file()));
    MetricsHooks hooks;
    hooks.is_known_class = [this](const std::string& name) { return FindClass(name).has_value(); };
    BOOST_OUTCOME_TRY(metrics, Metrics::Create(std::move(hooks)));
    return Success();
  }

  Result<void> BuildOperators() {
    OperatorsOptions options;
    options.instance = settings.instance_id();
    options.cell = settings.cell();
    options.peer_address = AdvertisedAddress();
    OperatorsHooks hooks;
    hooks.call = [this](const std::string& address, const std::string& method, std::string params,
                        std::function<void(Result<std::string>)> done) {
      peer_client->Call(address, method, std::move(params), kPeerTimeout, std::move(done));
    };
    hooks.peers = [this] {
      return ExpectedPeers(roster.List(), membership->Digest(Now()), membership->Live(Now()),
                           settings.instance_id());
    };
    hooks.stats = [this] { return dispatcher->Stats(); };
    hooks.is_table_up = [this] { return ownership->IsTableUp(); };
    hooks.is_draining = [this] { return draining.load(); };
    hooks.listed_workers = [this]() -> std::optional<std::uint32_t> {
      const schema::Directory list = roster.List();
      if (list.workers().empty()) return std::nullopt;
      return static_cast<std::uint32_t>(MarkWorkers(list, operators->GetRecords()).size());
    };
    hooks.on_records = [this] {
      runtime.Post([weak = weak_from_this()] {
        if (auto self = weak.lock()) self->RefreshWorkers();
        if (auto self = weak.lock()) self->RefreshQuotas();
      });
    };
    BOOST_OUTCOME_TRY(operators,
                      Operators::Create(*timers, *table, *metrics, options, std::move(hooks)));
    return Success();
  }

  // A record replaces the class of the same name in the settings.
  std::optional<schema::WorkClass> FindClass(const std::string& name) {
    if (auto recorded = operators->GetRecords().FindClass(name)) return recorded;
    for (const schema::WorkClass& work_class : settings.classes()) {
      if (work_class.name() == name) return work_class;
    }
    return std::nullopt;
  }

  // Starts wait while ownership is in doubt after a pause.
  void BeforeStart(const Action& action, std::uint64_t worker_incarnation,
                   const std::function<void(bool)>& go) {
    if (ownership->IsCertain()) return router->BeforeStart(action, worker_incarnation, go);
    timers->After(kDoubtRetryPeriod,
                  [weak = weak_from_this(), action, worker_incarnation, go](SteadyTime) {
                    if (auto self = weak.lock()) {
                      self->BeforeStart(action, worker_incarnation, go);
                    }
                  });
  }

  Result<void> BuildHome() {
    HomeOptions options;
    options.partition_count = settings.partition_count();
    HomeHooks hooks;
    hooks.owned_epoch = [this](PartitionId partition) { return ownership->OwnedEpoch(partition); };
    hooks.after = MakeDelay();
    hooks.deliver = [this](const Waiter& waiter, std::shared_ptr<const schema::Answer> answer) {
      Deliver(waiter, std::move(answer), 0);
    };
    hooks.submit = [this](const JobSpec& job) { return dispatcher->Submit(job); };
    hooks.cancel = [this](const std::string& id) { return dispatcher->Cancel(id); };
    hooks.find_class = [this](const std::string& name) { return FindClass(name); };
    hooks.query_task = [this](const TaskKey& task, const std::string& worker,
                              std::function<void(Result<TaskKnowledge>)> done) {
      query->Ask(task, worker, std::move(done));
    };
    hooks.retire_streams = [this](PartitionId partition, const std::vector<std::string>& streams) {
      ownership->RetireStreams(partition, streams);
    };
    hooks.is_removed = [this](const std::string& worker) {
      return roster.IsRemoved(ParseWorkerRef(worker).first);
    };
    BOOST_OUTCOME_TRY(home, Home::Create(*ledger, *journal, options, std::move(hooks)));
    return Success();
  }

  Result<void> BuildEntry() {
    EntryOptions options;
    options.instance = settings.instance_id();
    options.peer_address = AdvertisedAddress();
    options.default_deadline = ToMilliseconds(settings.default_deadline());
    EntryHooks hooks;
    hooks.forward = [this](const schema::Forward& forward,
                           std::function<void(Result<schema::Ack>)> done) {
      Forward(forward, std::move(done));
    };
    hooks.owner = [this](const std::string& id) {
      const auto owner = ownership->OwnerOf(Partition(id));
      return owner ? owner->owner() : std::string();
    };
    BOOST_OUTCOME_TRY(entry, Entry::Create(*timers, options, std::move(hooks)));
    return Success();
  }

  Result<void> BuildApi() {
    ApiHooks hooks;
    hooks.submit = [this](schema::Request request, std::function<void(schema::Answer)> done) {
      entry->Submit(std::move(request), std::move(done));
    };
    hooks.status = [this](const std::string& id, std::function<void(Result<schema::Answer>)> done) {
      AskOwner(id, "status", std::move(done));
    };
    hooks.cancel = [this](const std::string& id, std::function<void(Result<schema::Answer>)> done) {
      AskOwner(id, "cancel", std::move(done));
    };
    hooks.is_ready = [this] { return IsReady(); };
    hooks.drain = [this] {
      StartDraining();
      if (on_drain_request) on_drain_request();
    };
    hooks.authorize = [this](const std::string& authorization, schema::Role needed) {
      return access->Authorize(authorization, needed);
    };
    hooks.operate = [this](const HttpRequest& request, const std::string& who,
                           const HttpReply& reply) {
      return operators->Handle(request, who, reply);
    };
    hooks.on_answer = [this](const std::string& work_class, schema::Code code,
                             std::chrono::steady_clock::duration elapsed) {
      operators->OnAnswer(work_class, code, elapsed);
    };
    BOOST_OUTCOME_TRY(api, Api::Create(std::move(hooks)));
    HttpServerOptions options;
    options.address = settings.api_address();
    options.tls_certificate_file = settings.tls_certificate_file();
    options.tls_key_file = settings.tls_key_file();
    BOOST_OUTCOME_TRY(
        api_server, HttpServer::Create(runtime, options,
                                       [this](const HttpRequest& request, const HttpReply& reply) {
                                         api->Handle(request, reply);
                                       }));
    return Success();
  }

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

  void RegisterMethods() {
    operators->Register(*peer_server);
    peer_server->Handle("gossip",
                        [this](const std::string& params) { return gossip->Handle(params); });
    Register<schema::Forward, schema::Ack>(
        "forward", [this](const schema::Forward& forward) -> Result<schema::Ack> {
          return home->OnForward(forward);
        });
    Register<schema::Deliver, schema::Ack>(
        "deliver", [this](const schema::Deliver& deliver) -> Result<schema::Ack> {
          entry->OnDeliver(deliver);
          return schema::Ack();
        });
    Register<schema::Place, schema::PlaceResult>(
        "place", [this](const schema::Place& place) -> Result<schema::PlaceResult> {
          return router->OnPlace(place);
        });
    Register<schema::TaskQuery, schema::TaskQueryResult>(
        "task_query", [this](const schema::TaskQuery& asked) -> Result<schema::TaskQueryResult> {
          return AnswerQuery(ToKey(asked.task()), asked.worker(), asked.worker_incarnation());
        });
    Register<schema::TaskUpdate, schema::Ack>(
        "task_update", [this](const schema::TaskUpdate& update) -> Result<schema::Ack> {
          return router->OnTaskUpdate(update);
        });
    for (const char* method : {"status", "cancel"}) {
      Register<schema::RequestId, schema::Answer>(
          method,
          [this, method](const schema::RequestId& id) { return AnswerLocally(id.id(), method); });
    }
  }

  void Subscribe() {
    const auto every = [this](std::chrono::milliseconds period, void (Impl::*member)()) {
      subscriptions.push_back(timers->Every(period, [weak = weak_from_this(), member](SteadyTime) {
        if (auto self = weak.lock()) (*self.*member)();
      }));
    };
    every(kGossipPeriod, &Impl::TickGossip);
    every(kAccessPeriod, &Impl::RefreshAccess);
    every(kOwnershipPeriod, &Impl::TickOwnership);
    every(kTableGuardPeriod, &Impl::TickTable);
    every(kDirectoryPeriod, &Impl::RefreshDirectory);
    every(kDispatchPeriod, &Impl::OffloadTasks);
    every(kCheckPlacedPeriod, &Impl::CheckPlacedTasks);
    runtime.Post([self = shared_from_this()] { self->RefreshDirectory(); });
    operators->Start();
  }

  void TickTable() { table->Tick(); }
  void RefreshAccess() { access->Refresh(); }

  // Without records, requests would run under the classes of the settings, which records may have
  // replaced long ago.
  void TickOwnership() {
    if (operators->GetRecords().IsKnown()) ownership->Tick(Now());
  }

  void OffloadTasks() { router->Offload(); }
  void CheckPlacedTasks() { router->CheckPlaced(); }

  void TickGossip() {
    gossip->Tick();
    std::vector<Resources> largest;
    for (const schema::MemberState& peer : Peers()) {
      largest.push_back(ToResources(peer.largest()));
    }
    dispatcher->SetOtherShapes(std::move(largest));
    // A member that has failed may have the highest revision, but cannot be asked for it.
    for (const schema::MemberState& peer : Peers()) {
      operators->GetRecords().OnHeard(peer.peer_address(), peer.record_revision(), Now());
    }
  }

  void RefreshDirectory() {
    directory->List([weak = weak_from_this()](const Result<schema::Directory>& list) {
      auto self = weak.lock();
      if (!self || !list) return;
      for (const std::string& worker : self->roster.Update(list.value())) {
        if (self->ownership->OwnedEpoch(self->Partition(worker))) {
          self->dispatcher->RemoveWorker(worker);
        }
      }
      self->RefreshWorkers();
      self->RefreshQuotas();
    });
  }

  // Every live instance gets an even share of a team's quota, rounded up, so that no message is
  // needed before a start.
  void RefreshQuotas() {
    const auto live = static_cast<std::int64_t>(Peers().size() + 1);
    const auto share = [live](std::int64_t whole) { return (whole + live - 1) / live; };
    for (const auto& [team, limit] : operators->GetRecords().Limits()) {
      const Resources quota = ToResources(limit.quota());
      dispatcher->SetQuota(
          team, {share(quota.processors_milli), share(quota.memory_mb), share(quota.accelerators)});
    }
  }

  void RefreshWorkers() {
    // After a pause the rows are read again first; `on_confirmed` calls this then.
    if (!ownership->IsCertain()) return;
    std::vector<OwnedWorker> workers;
    for (OwnedWorker& worker : MarkWorkers(roster.List(), operators->GetRecords())) {
      const auto epoch = ownership->OwnedEpoch(Partition(worker.id));
      if (!epoch) continue;
      worker.epoch = *epoch;
      workers.push_back(std::move(worker));
    }
    dispatcher->SetWorkers(workers);
  }

  // Finds the address of the owner of a request's partition; empty for this instance.
  Result<std::string> OwnerAddress(const std::string& id) {
    const PartitionId partition = Partition(id);
    if (ownership->OwnedEpoch(partition)) return std::string();
    const auto owner = ownership->OwnerOf(partition);
    if (!owner || owner->owner() == settings.instance_id()) {
      return Error{schema::CODE_NO_OWNER, "the partition has no owner at the moment"};
    }
    const auto member = membership->Find(owner->owner());
    if (!member || !membership->IsLive(owner->owner(), Now())) {
      return Error{schema::CODE_NO_OWNER, "the owner " + owner->owner() + " does not answer"};
    }
    return member->peer_address();
  }

  void Forward(const schema::Forward& forward, std::function<void(Result<schema::Ack>)> done) {
    auto address = OwnerAddress(forward.id());
    if (!address) return done(address.error());
    if (address.value().empty()) return done(home->OnForward(forward));
    peer_client->Call(
        address.value(), "forward", ToJson(forward), kPeerTimeout,
        [done](const Result<std::string>& result) { done(ParseMessage<schema::Ack>(result)); });
  }

  void Deliver(const Waiter& waiter, std::shared_ptr<const schema::Answer> answer, int tries) {
    if (waiter.instance.empty()) return;
    auto message = std::make_shared<schema::Deliver>();
    *message->mutable_answer() = *answer;
    message->mutable_answer()->set_home(settings.instance_id());
    message->set_submission(waiter.submission);
    if (waiter.instance == settings.instance_id()) {
      runtime.Post([self = shared_from_this(), message] { self->entry->OnDeliver(*message); });
      return;
    }
    peer_client->Call(
        waiter.address, "deliver", ToJson(*message), kPeerTimeout,
        [weak = weak_from_this(), waiter, answer, tries](const Result<std::string>& result) {
          auto self = weak.lock();
          if (!self || result || tries >= kMaxDeliverTries) return;
          self->timers->After(kDeliverRetryPeriod, [weak, waiter, answer, tries](SteadyTime) {
            if (auto again = weak.lock()) again->Deliver(waiter, answer, tries + 1);
          });
        });
  }

  Result<schema::Answer> AnswerLocally(const std::string& id, const std::string& method) {
    if (method == "cancel") {
      BOOST_OUTCOME_TRY(home->Cancel(id));
    }
    if (!home->Serves(Partition(id))) {
      return Error{schema::CODE_NOT_OWNER, "the partition is not served here at the moment"};
    }
    if (auto answer = home->Status(id)) return std::move(*answer);
    return Error{schema::CODE_NOT_FOUND, "no request " + id};
  }

  void AskOwner(const std::string& id, const std::string& method,
                std::function<void(Result<schema::Answer>)> done) {
    auto address = OwnerAddress(id);
    if (!address) return done(address.error());
    if (address.value().empty()) return done(AnswerLocally(id, method));
    schema::RequestId message;
    message.set_id(id);
    peer_client->Call(
        address.value(), method, ToJson(message), kPeerTimeout,
        [done](const Result<std::string>& result) { done(ParseMessage<schema::Answer>(result)); });
  }

  bool IsReady() const {
    return !draining && operators->GetRecords().IsKnown() && !ownership->Owners().empty();
  }

  void StartDraining() {
    if (draining.exchange(true)) return;
    entry->Drain();
    router->Drain();
    ownership->Leave();
  }

  void CheckDrained(const std::function<void()>& done) {
    const bool idle =
        entry->Waiting() == 0 && ledger->Pending() == 0 && dispatcher->Stats().running_tasks == 0;
    drained_since = idle ? std::min(drained_since, Now()) : SteadyTime::max();
    if (idle && ownership->Owned().empty()) return done();
    if (idle && Now() - drained_since > kHandOverTimeout) {
      spdlog::warn("event=hand_over_timeout partitions={}", ownership->Owned().size());
      return done();
    }
    timers->After(kDrainCheckPeriod,
                  [self = shared_from_this(), done](SteadyTime) { self->CheckDrained(done); });
  }
};

Result<std::unique_ptr<Instance>> Instance::Create(Runtime& runtime,
                                                   const schema::Settings& settings) {
  auto impl = std::make_shared<Impl>(runtime, settings);
  BOOST_OUTCOME_TRY(impl->Build());
  return std::unique_ptr<Instance>(new Instance(std::move(impl)));
}

Instance::Instance(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Instance::~Instance() {
  for (const TimerId id : m_impl->subscriptions) m_impl->timers->Cancel(id);
}

void Instance::OnDrainRequest(std::function<void()> handler) {
  m_impl->on_drain_request = std::move(handler);
}

void Instance::Drain(std::function<void()> done) {
  m_impl->StartDraining();
  m_impl->CheckDrained(done);
}

}  // namespace citronsill
