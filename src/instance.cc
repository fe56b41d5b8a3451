#include "instance_state.h"

namespace citronsill {
namespace {

constexpr std::chrono::milliseconds kAccessRefreshPeriod{2000};

constexpr std::chrono::milliseconds kCheckPlacedPeriod{1000};

constexpr std::chrono::milliseconds kTableGuardPeriod{100};

}  // namespace

Result<void> Instance::Impl::Build() {
  incarnation = RandomId();
  BOOST_OUTCOME_TRY(timers, TimerService::Create(runtime));
  BOOST_OUTCOME_TRY(BuildAccessAndMetrics());
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
  RegisterPeerMethods();
  peer_server->Start();
  SubscribeTimers();
  return Success();
}

Result<void> Instance::Impl::BuildMembership() {
  schema::MemberState self;
  self.set_id(settings.instance_id());
  self.set_incarnation(incarnation);
  self.set_peer_address(AdvertisedAddress());
  self.set_failure_domain(settings.failure_domain());
  self.set_started_unix_ms(UnixMilliseconds(std::chrono::system_clock::now()));
  BOOST_OUTCOME_TRY(membership, Membership::Create(self, MembershipOptions{}));
  return Success();
}

Result<void> Instance::Impl::BuildOwnership() {
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
    // This instance owns nothing anymore; the process keeps running for its operator to inspect.
    spdlog::critical("event=instance_superseded reason=\"the id was started again elsewhere\"");
  };
  hooks.live_members = [this] { return membership->LiveMembers(Now()); };
  BOOST_OUTCOME_TRY(ownership, Ownership::Create(*table, self, options, std::move(hooks)));
  return Success();
}

DelayFunction Instance::Impl::MakeDelay() {
  return [this](std::chrono::milliseconds delay, std::function<void()> work) {
    timers->After(delay, [work = std::move(work)](SteadyTime) { work(); });
  };
}

Result<void> Instance::Impl::BuildGossip() {
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

Result<void> Instance::Impl::BuildJournal() {
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

Result<void> Instance::Impl::BuildDispatcher() {
  DispatcherOptions options;
  options.instance = settings.instance_id();
  options.task_lease = ToMilliseconds(settings.task_lease());
  options.sync_wait = kWorkerSyncWait;
  options.idle_wait = kIdleWorkerSyncWait;
  DispatcherHooks hooks;
  hooks.before_start = [this](const Action& action, std::uint64_t incarnation_of_worker,
                              const std::function<void(bool)>& proceed) {
    BeforeStart(action, incarnation_of_worker, proceed);
  };
  hooks.on_event = [this](const TaskEvent& event, const std::function<void()>& done) {
    router->OnEvent(event, done);
  };
  hooks.on_give_up = [this](const Action& action) { router->OnGiveUp(action); };
  hooks.on_released = [this](const std::vector<TaskEvent>& events) { router->OnReleased(events); };
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

Result<void> Instance::Impl::BuildRouter() {
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
  hooks.withdraw_waiting = [this](std::size_t max) { return dispatcher->WithdrawWaiting(max); };
  hooks.stats = [this] { return dispatcher->Stats(); };
  hooks.notify_home = [this](TaskEvent event, const std::function<void()>& done) {
    event.worker = WorkerRef(event.worker, event.worker_incarnation);
    return home->OnTaskEvent(event, done);
  };
  hooks.before_start = [this](Action action, std::uint64_t worker_incarnation,
                              const std::function<void(bool)>& proceed) {
    action.worker = WorkerRef(action.worker, worker_incarnation);
    home->BeforeStart(action, proceed);
  };
  hooks.find_home_job = [this](const std::string& id) { return home->FindJob(id); };
  hooks.give_up = [this](const Action& action) { home->OnGiveUp(action); };
  hooks.find_class = [this](const std::string& name) { return FindClass(name); };
  hooks.investigate = [this](const TaskKey& task) { home->QueryTask(task); };
  BOOST_OUTCOME_TRY(router, TaskRouter::Create(*timers, options, std::move(hooks)));
  return Success();
}

Result<void> Instance::Impl::BuildQuery() {
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
  hooks.query_self = [this](const TaskKey& task, const std::string& worker,
                            std::uint64_t worker_incarnation) {
    return AnswerQuery(task, worker, worker_incarnation);
  };
  hooks.now = [] { return Now(); };
  BOOST_OUTCOME_TRY(query, TaskQuerier::Create(options, std::move(hooks)));
  return Success();
}

Result<void> Instance::Impl::BuildAccessAndMetrics() {
  BOOST_OUTCOME_TRY(access, AccessControl::Create(settings.access_keys_file()));
  MetricsHooks hooks;
  hooks.is_known_class = [this](const std::string& name) { return FindClass(name).has_value(); };
  BOOST_OUTCOME_TRY(metrics, Metrics::Create(std::move(hooks)));
  return Success();
}

Result<void> Instance::Impl::BuildOperators() {
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
    return static_cast<std::uint32_t>(ApplyTargetRecords(list, operators->GetRecords()).size());
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

Result<void> Instance::Impl::BuildHome() {
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
    query->Query(task, worker, std::move(done));
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

Result<void> Instance::Impl::BuildEntry() {
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

Result<void> Instance::Impl::BuildApi() {
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
  hooks.handle_operator_request = [this](const HttpRequest& request, const std::string& key_name,
                                         const HttpReply& reply) {
    return operators->Handle(request, key_name, reply);
  };
  hooks.on_answer = [this](const std::string& work_class, schema::Code code,
                           std::chrono::steady_clock::duration elapsed) {
    operators->OnAnswer(work_class, code, elapsed);
  };
  BOOST_OUTCOME_TRY(api, Api::Create(std::move(hooks)));
  EnableHttpTls();
  HttpServerOptions options;
  options.address = settings.api_address();
  options.reject = [](unsigned status, const Error& error) {
    schema::Answer answer;
    answer.set_state(schema::STATE_REFUSED);
    answer.set_code(error.code);
    answer.set_message(error.message);
    answer.set_not_run(true);
    HttpResponse response;
    response.status = status;
    response.body = ToJson(answer);
    return response;
  };
  options.tls_certificate_file = settings.tls_certificate_file();
  options.tls_key_file = settings.tls_key_file();
  BOOST_OUTCOME_TRY(api_server,
                    HttpServer::Create(runtime, options,
                                       [this](const HttpRequest& request, const HttpReply& reply) {
                                         api->Handle(request, reply);
                                       }));
  return Success();
}

void Instance::Impl::RegisterPeerMethods() {
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
      "task_query", [this](const schema::TaskQuery& task_query) -> Result<schema::TaskQueryResult> {
        return AnswerQuery(ToKey(task_query.task()), task_query.worker(),
                           task_query.worker_incarnation());
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

void Instance::Impl::SubscribeTimers() {
  const auto every = [this](std::chrono::milliseconds period, void (Impl::*member)()) {
    subscriptions.push_back(timers->Every(period, [weak = weak_from_this(), member](SteadyTime) {
      if (auto self = weak.lock()) (*self.*member)();
    }));
  };
  every(kGossipPeriod, &Impl::TickGossip);
  every(kAccessRefreshPeriod, &Impl::RefreshAccess);
  every(kOwnershipPeriod, &Impl::TickOwnership);
  every(kTableGuardPeriod, &Impl::TickTable);
  every(kDirectoryPeriod, &Impl::RefreshDirectory);
  every(kDispatchPeriod, &Impl::OffloadTasks);
  every(kCheckPlacedPeriod, &Impl::CheckPlacedTasks);
  runtime.Post([self = shared_from_this()] { self->RefreshDirectory(); });
  operators->Start();
}

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
