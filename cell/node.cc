#include "cell/node.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "cell/claim.h"
#include "cell/config_push.h"
#include "cell/follower.h"
#include "cell/job.h"
#include "cell/limits.h"
#include "cell/log.h"
#include "cell/metrics.h"
#include "cell/overload.h"
#include "cell/relay.h"
#include "cell/succession.h"
#include "net.h"

namespace citronsill {
struct Node::Impl : std::enable_shared_from_this<Impl> {
  Impl(Runtime& node_runtime, TimerService& service, NodeSettings node_settings,
       PlatformServices services, ConnectionLimitsPtr limits)
      : runtime(node_runtime),
        timers(service),
        settings(std::move(node_settings)),
        platform(std::move(services)),
        connection_limits(std::move(limits)),
        incarnation(RandomId()),
        started_unix_ms(std::chrono::duration_cast<milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count()) {}

  Runtime& runtime;
  TimerService& timers;
  NodeSettings settings;
  PlatformServices platform;
  ConnectionLimitsPtr connection_limits;
  std::uint64_t incarnation;
  std::int64_t started_unix_ms;
  std::unique_ptr<RelayedStore> store;
  std::unique_ptr<LinkService> links;
  std::vector<LinkPtr> seed_links;
  std::vector<std::unique_ptr<Shard>> shards;
  std::unique_ptr<TableFollower> config_follower;
  CellConfigPtr config;
  bool config_is_from_peer = false;
  std::function<void(const CellConfig&)> on_config;
  TimerId tick_timer;
  TimerId gauge_timer;
  TimerId loop_probe_timer;
  LoopMeter loop_meter{kLoopProbePeriod, BootNow(), ProcessorTime()};
  LoopLoad loop_load;
  OverloadDetector overload;
  Succession succession{BootNow, [this] { return GatherSuccessors(); }};
  ConfigPushes config_pushes{BootNow};
  bool draining = false;
  SteadyTime began = BootNow();
  SteadyTime last_seed_attempt{};
  std::function<void()> on_drained;

  Result<void> Begin() {
    store = std::make_unique<RelayedStore>(
        platform.store.get(), BootNow, StoreProbe(platform.config_row),
        [this] { return OpenLinks(); }, DelayThrough(timers));
    BOOST_OUTCOME_TRY(links, LinkService::Create(runtime, timers, settings.link_address,
                                                 MakeHello(), MakeHooks(), MakeLinkLimits()));
    FollowConfig();
    AddShard("s0");
    gauge_timer = timers.Every(kLoadReportPeriod, [weak = weak_from_this()](SteadyTime) {
      const auto self = weak.lock();
      if (!self) return;
      self->SetGauges();
      self->CheckLoad();
    });
    loop_probe_timer = timers.Every(kLoopProbePeriod, [weak = weak_from_this()](SteadyTime) {
      if (const auto self = weak.lock()) {
        NodeMetrics::Get().ObserveLoopLag(self->loop_meter.OnProbe(BootNow()));
      }
    });
    tick_timer = timers.Every(kNodeTick, [weak = weak_from_this()](SteadyTime) {
      if (const auto self = weak.lock()) self->Tick();
    });
    return Success();
  }

  std::vector<LinkPtr> OpenLinks() {
    std::vector<LinkPtr> open_links;
    links->ForEach([&open_links](const LinkPtr& link) { open_links.push_back(link); });
    return open_links;
  }

  void End() {
    timers.Cancel(tick_timer);
    timers.Cancel(gauge_timer);
    timers.Cancel(loop_probe_timer);
    config_follower.reset();
    shards.clear();
  }

  [[nodiscard]] bool MayLead() const { return !draining && config != nullptr; }

  [[nodiscard]] std::uint32_t Strength() const {
    return SchedulingStrength(settings.strength_milli, settings.link_mbps);
  }

  [[nodiscard]] schema::Hello MakeHello() const {
    schema::Hello hello;
    hello.set_instance(settings.instance);
    hello.set_incarnation(incarnation);
    hello.set_address(settings.link_advertised_address);
    hello.set_failure_domain(settings.failure_domain);
    hello.set_strength_milli(Strength());
    hello.set_lane(static_cast<bool>(platform.ask_advice));
    hello.set_started_unix_ms(started_unix_ms);
    hello.set_gives_support(true);
    return hello;
  }

  void AddShard(const std::string& name) {
    ShardDeps deps;
    deps.runtime = &runtime;
    deps.timers = &timers;
    deps.store = store.get();
    deps.platform = &platform;
    deps.settings = &settings;
    deps.self.set_instance(settings.instance);
    deps.self.set_incarnation(incarnation);
    deps.self.set_address(settings.link_advertised_address);
    deps.connect = [this](const std::string& address) { return links->Connect(address); };
    deps.for_each_link = [this](const std::function<void(const LinkPtr&)>& visit) {
      links->ForEach(visit);
    };
    deps.may_claim = [this] { return MayLead(); };
    deps.loop_load = [this] { return loop_load; };
    deps.supporters = [this] { return succession.Supporters(); };
    deps.config = [this] { return config; };
    shards.push_back(Shard::Create(name, std::move(deps)));
  }

  Shard& ShardOf(const std::string& job) { return *shards[StableHash(job) % shards.size()]; }

  Shard* FindShard(const std::string& name) {
    for (const auto& shard : shards) {
      if (shard->Name() == name) return shard.get();
    }
    return nullptr;
  }

  // ---- Configuration

  void FollowConfig() {
    FollowerHooks follower_hooks;
    follower_hooks.on_snapshot = [this](const std::vector<Row>& rows) {
      for (const Row& row : rows) ApplyConfigRow(row);
    };
    follower_hooks.on_change = [this](const Row& row) { ApplyConfigRow(row); };
    follower_hooks.after = DelayThrough(timers);
    config_follower = TableFollower::Create(store.get(), platform.config_row.table,
                                            platform.config_row.part, std::move(follower_hooks));
  }

  void ApplyConfigRow(const Row& row) {
    if (row.key.key != platform.config_row.key || row.removed) return;
    if (config && config->text == row.value) return;
    ApplyConfig(platform.read_config(row.value), "");
  }

  // Ignores configurations that are not newer than the current one.
  // @param peer instance that sent it, empty when it was read from the store.
  void ApplyConfig(Result<CellConfigPtr> read, const std::string& peer) {
    const char* source = peer.empty() ? "store" : "peer";
    if (!read) {
      Log(LogLevel::kError, "config-rejected")
          .Field("source", source)
          .Field("peer", peer)
          .Field("reason", read.error());
      return;
    }
    if (config && read.value()->version <= config->version) return;
    const std::uint64_t previous = config ? config->version : 0;
    config = std::move(read).value();
    config_pushes.OnChange();
    config_is_from_peer = !peer.empty();
    const FollowerStatus status = ConfigStatus();
    Log(LogLevel::kInfo, "config")
        .Field("version", config->version)
        .Field("source", source)
        .Field("bytes", config->text.size())
        .Field("queues", config->queues.size())
        .Field("customers", config->customers->Customers().size())
        .Field("keys", config->customers->KeyCount())
        .Field("previous", previous)
        .Field("peer", peer)
        .Field("store_call", status.call)
        .Field("store_call_ms", status.call_age)
        .Field("store_age_ms", status.age);
    if (on_config) on_config(*config);
  }

  // The first snapshot arrives before `config_follower` is set if the store answers at once.
  [[nodiscard]] FollowerStatus ConfigStatus() const {
    return config_follower ? config_follower->Status() : FollowerStatus{};
  }

  // ---- Links

  LinkLimits MakeLinkLimits() {
    LinkLimits limits;
    if (!connection_limits) return limits;
    limits.max_accepted = connection_limits->limits.max_links;
    limits.budget = connection_limits->links;
    limits.max_queued_bytes = connection_limits->limits.link_bytes;
    limits.listen = connection_limits->limits.link_listen;
    limits.on_limit = connection_limits->Reporter("link");
    return limits;
  }

  LinkHooks MakeHooks() {
    LinkHooks hooks;
    hooks.on_open = [this](const LinkPtr& link) {
      for (const auto& shard : shards) shard->OnLinkOpen(link);
    };
    hooks.on_closed = [this](const LinkPtr& link, const std::string& reason) {
      std::erase(seed_links, link);
      succession.Forget(link.get());
      config_pushes.Forget(link.get());
      for (const auto& shard : shards) shard->OnLinkClosed(link, reason);
    };
    hooks.on_message = [this](const LinkPtr& link, const schema::LinkMessage& message) {
      OnMessage(link, message);
    };
    hooks.on_ping = [this](const LinkPtr& link, const schema::Ping& ping) { OnPing(link, ping); };
    hooks.make_ping = [this](const LinkPtr& link) { return MakePing(link); };
    return hooks;
  }

  schema::Ping MakePing(const LinkPtr& link) {
    schema::Ping ping;
    if (config) ping.set_config_version(config->version);
    ping.set_reaches_store(store->OwnPathWorks());
    ping.set_receives_config(ConfigStatus().is_arriving);
    ping.set_may_lead(MayLead());
    for (const auto& shard : shards) {
      shard->AddToPing(link, &ping);
      if (shard->IsLeader()) ping.add_shards(shard->Name());
    }
    if (ping.shards().empty()) {
      // The other side decides: it knows whether this instance is one of its successors.
      const std::uint32_t period_ms = link->LastPing().period_ms();
      ping.set_period_ms(period_ms > 0 ? period_ms : kPingPeriod.count());
      return ping;
    }
    ping.set_period_ms(succession.PingPeriod(link->Peer().instance()).count());
    if (const std::vector<std::string>* const list = succession.ListFor(link.get()); list) {
      for (const std::string& instance : *list) ping.add_heirs(instance);
    }
    return ping;
  }

  std::vector<Successor> GatherSuccessors() {
    std::vector<Successor> successors;
    links->ForEach([&](const LinkPtr& link) {
      const schema::Hello& peer = link->Peer();
      if (!link->LastPing().may_lead()) return;
      successors.push_back({peer.instance(), peer.strength_milli(), peer.started_unix_ms(),
                            peer.incarnation(), peer.gives_support()});
    });
    return successors;
  }

  void OnPing(const LinkPtr& link, const schema::Ping& ping) {
    if (config && ping.config_version() < config->version) {
      // To a peer that has none yet, an old configuration would bring withdrawn keys back.
      const bool may_be_old = ping.config_version() == 0 && !store->OwnPathWorks();
      const ConfigPushes::Peer peer{ping.reaches_store(), ping.receives_config(), may_be_old};
      if (config_pushes.IsDue(link.get(), config->version, peer)) {
        schema::LinkMessage message;
        *message.mutable_config() = MakeConfigPush(*config);
        Log(LogLevel::kInfo, "config-sent")
            .Field("peer", link->Peer().instance())
            .Field("version", config->version)
            .Field("bytes", message.config().text().size())
            .Field("peer_version", ping.config_version())
            .Field("peer_reaches_store", ping.reaches_store());
        link->Send(std::move(message));
      }
    }
    for (const auto& shard : shards) shard->OnPing(link, ping);
  }

  void OnMessage(const LinkPtr& link, const schema::LinkMessage& message) {
    if (message.has_config()) {
      if (config && message.config().version() <= config->version) {
        Log(LogLevel::kInfo, "config-not-needed")
            .Field("peer", link->Peer().instance())
            .Field("version", message.config().version())
            .Field("bytes", message.config().text().size())
            .Field("current", config->version);
        return;
      }
      return ApplyConfig(ReadConfigPush(platform.read_config, message.config()),
                         link->Peer().instance());
    }
    if (message.has_advice()) return ServeAdvice(platform.ask_advice, link, message);
    if (message.has_store()) return store->Serve(link, message);
    Shard* shard = nullptr;
    if (message.has_submit()) shard = &ShardOf(message.submit().spec().id());
    if (message.has_cancel()) shard = &ShardOf(message.cancel().id());
    if (message.has_state()) shard = &ShardOf(message.state().id());
    if (message.has_waiting()) shard = FindShard(message.waiting().shard());
    if (shard != nullptr && shard->Serve(link, message)) return;
    schema::LinkMessage reply;
    reply.mutable_reply()->set_code(schema::CODE_NOT_OWNER);
    link->Answer(message, std::move(reply));
  }

  void SetGauges() {
    NodeMetrics& metrics = NodeMetrics::Get();
    std::size_t open_links = 0;
    links->ForEach([&open_links](const LinkPtr&) { ++open_links; });
    metrics.SetGauge("links", static_cast<double>(open_links));
    metrics.SetGauge("config_version", config ? static_cast<double>(config->version) : 0.0);
    metrics.SetGauge("config_from_peer", config_is_from_peer ? 1.0 : 0.0);
    const FollowerStatus status = ConfigStatus();
    metrics.SetGauge("config_store_age_seconds", static_cast<double>(status.age.count()) / 1000);
    metrics.SetGauge("config_store_call_seconds",
                     static_cast<double>(status.call_age.count()) / 1000);
    metrics.SetGauge("config_store_failures", status.failures);
    metrics.SetGauge("store_reachable", store->OwnPathWorks() ? 1.0 : 0.0);
    metrics.SetGauge("log_lines_dropped", static_cast<double>(DroppedLogLines()));
    std::size_t led_shards = 0;
    for (const auto& shard : shards) led_shards += shard->IsLeader() ? 1 : 0;
    metrics.SetGauge("shards_led", static_cast<double>(led_shards));
  }

  void CheckLoad() {
    const SteadyTime now = BootNow();
    loop_load = loop_meter.EndWindow(now, ProcessorTime(), settings.strength_milli);
    NodeMetrics& metrics = NodeMetrics::Get();
    metrics.SetGauge("loop_lag_max_seconds", static_cast<double>(loop_load.lag_max.count()) / 1000);
    metrics.SetGauge("processor_percent", loop_load.processor_percent);
    const OverloadChange change = overload.OnWindow(loop_load, now);
    metrics.SetGauge("overloaded", overload.IsOverloaded() ? 1.0 : 0.0);
    if (change == OverloadChange::kNone) return;
    const bool has_ended = change == OverloadChange::kEnded;
    const LoopLoad& worst = overload.Worst();
    Log(has_ended ? LogLevel::kInfo : LogLevel::kWarn, has_ended ? "overload-over" : "overloaded")
        .Field("for_ms", std::chrono::duration_cast<milliseconds>(now - overload.Since()))
        .Field("lag_exceeds", worst.lag_max > kLoopLagLimit)
        .Field("processor_exceeds", worst.processor_percent > kProcessorPercentLimit)
        .Field("loop_lag_ms", loop_load.lag_max)
        .Field("processor_percent", loop_load.processor_percent)
        .Field("worst_lag_ms", worst.lag_max)
        .Field("worst_processor_percent", worst.processor_percent)
        .Field("strength_milli", settings.strength_milli)
        .Field("leads", std::any_of(shards.begin(), shards.end(),
                                    [](const auto& shard) { return shard->IsLeader(); }));
  }

  // Hands the shards over to a much stronger instance. This corrects the case that all strong
  // instances were unavailable for a moment and a weak one became the scheduler of more work than
  // it can handle.
  void HandOverToStronger() {
    if (draining) return;
    std::uint32_t strongest = 0;
    links->ForEach([&strongest](const LinkPtr& link) {
      if (!link->LastPing().may_lead() || !link->LastPing().reaches_store()) return;
      strongest = std::max(strongest, link->Peer().strength_milli());
    });
    const std::uint32_t own = Strength();
    if (std::min(strongest, kFullStrengthMilli) < own * kHandOverFactor) {
      stronger_since.reset();
      return;
    }
    if (!stronger_since) stronger_since = BootNow();
    if (BootNow() < *stronger_since + kHandOverAfter) return;
    for (const auto& shard : shards) shard->HandOver();
  }

  std::optional<SteadyTime> stronger_since;  // Since when a much stronger instance is available.

  void Tick() {
    store->Tick();
    const bool is_cut_off = std::none_of(shards.begin(), shards.end(), [](const auto& shard) {
      return shard->IsServed(kSeedsAfter);
    });
    // Neither the store nor a scheduler can be reached: connect to the seeds, through which the
    // store may be reachable.
    if (is_cut_off && seed_links.empty() && BootNow() > began + kSeedsAfter &&
        BootNow() > last_seed_attempt + kSeedsAfter) {
      last_seed_attempt = BootNow();
      for (const std::string& seed : settings.seeds) {
        if (seed != settings.link_address) seed_links.push_back(links->Connect(seed));
      }
    }
    HandOverToStronger();
    if (!draining || !on_drained) return;
    for (const auto& shard : shards) {
      if (shard->IsLeader() || shard->PendingCalls() > 0) return;
    }
    const auto done = std::move(on_drained);
    on_drained = nullptr;
    done();
  }
};

Result<std::unique_ptr<Node>> Node::Create(Runtime& runtime, TimerService& timers,
                                           NodeSettings settings, PlatformServices platform,
                                           ConnectionLimitsPtr limits) {
  auto impl = std::make_shared<Impl>(runtime, timers, std::move(settings), std::move(platform),
                                     std::move(limits));
  BOOST_OUTCOME_TRY(impl->Begin());
  return std::unique_ptr<Node>(new Node(std::move(impl)));
}

Node::Node(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Node::~Node() { m_impl->End(); }

CellConfigPtr Node::Config() const { return m_impl->config; }

bool Node::IsConfigCurrent() const {
  const auto& follower = m_impl->config_follower;
  return m_impl->config && follower && BootNow() <= follower->CurrentAsOf() + kMaxConfigAge;
}

void Node::OnConfig(std::function<void(const CellConfig&)> handler) {
  m_impl->on_config = std::move(handler);
  if (m_impl->config) m_impl->on_config(*m_impl->config);
}

void Node::Submit(schema::JobSpec spec, milliseconds timeout, CallDone done) {
  // An invalid job may be too large for a message to the scheduler, so it is not passed on.
  NormalizeJob(&spec);
  if (auto checked = ValidateJob(spec); !checked) {
    CallOutcome outcome;
    outcome.code = checked.error().code;
    outcome.message = checked.error().message;
    return done(std::move(outcome));
  }
  Shard& shard = m_impl->ShardOf(spec.id());
  schema::LinkMessage message;
  *message.mutable_submit()->mutable_spec() = std::move(spec);
  shard.Call(std::move(message), timeout, std::move(done));
}

void Node::Cancel(const std::string& id, const std::string& customer, milliseconds timeout,
                  CallDone done) {
  schema::LinkMessage message;
  message.mutable_cancel()->set_id(id);
  message.mutable_cancel()->set_customer(customer);
  m_impl->ShardOf(id).Call(std::move(message), timeout, std::move(done));
}

void Node::State(const std::string& id, const std::string& customer, milliseconds timeout,
                 CallDone done) {
  schema::LinkMessage message;
  message.mutable_state()->set_id(id);
  message.mutable_state()->set_customer(customer);
  m_impl->ShardOf(id).Call(std::move(message), timeout, std::move(done));
}

void Node::QueryWaitingJobCount(const std::string& queue, milliseconds timeout, CallDone done) {
  // Adds up the numbers of all shards. If one shard fails, the whole call fails.
  struct Sum {
    std::size_t pending_shards = 0;
    CallOutcome outcome;
    CallDone done;
  };
  auto sum = std::make_shared<Sum>();
  sum->pending_shards = m_impl->shards.size();
  sum->done = std::move(done);
  for (const auto& shard : m_impl->shards) {
    schema::LinkMessage message;
    message.mutable_waiting()->set_queue(queue);
    message.mutable_waiting()->set_shard(shard->Name());
    shard->Call(std::move(message), timeout, [sum](CallOutcome outcome) {
      outcome.waiting += sum->outcome.waiting;
      if (sum->outcome.code == schema::CODE_OK) sum->outcome = std::move(outcome);
      if (--sum->pending_shards == 0) sum->done(std::move(sum->outcome));
    });
  }
}

bool Node::IsReady() const {
  if (m_impl->draining || !m_impl->config) return false;
  return std::all_of(m_impl->shards.begin(), m_impl->shards.end(),
                     [](const auto& shard) { return shard->IsServed(kReadyGrace); });
}

void Node::Drain(std::function<void()> done) {
  m_impl->draining = true;
  m_impl->on_drained = std::move(done);
  const SteadyTime until =
      BootNow() + m_impl->settings.drain_time - kDrainReserve - kDrainAnswerReserve;
  for (const auto& shard : m_impl->shards) shard->Release(until);
}

void Node::Reload(const NodeSettings& settings) {
  // The instance name and the addresses cannot change while the process runs.
  m_impl->settings.seeds = settings.seeds;
  m_impl->settings.strength_milli = settings.strength_milli;
  m_impl->settings.link_mbps = settings.link_mbps;
  m_impl->settings.max_lease = settings.max_lease;
  m_impl->settings.gang_time = settings.gang_time;
  m_impl->settings.keep_finished = settings.keep_finished;
  m_impl->settings.drain_time = settings.drain_time;
}

}  // namespace citronsill
