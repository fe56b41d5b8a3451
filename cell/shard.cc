#include "cell/shard.h"

#include <algorithm>
#include <list>
#include <map>

#include "cell/claim.h"
#include "cell/follower.h"
#include "cell/job_memory.h"
#include "cell/limits.h"
#include "cell/log.h"
#include "cell/metrics.h"

namespace citronsill {

namespace {

// Instances with at least half a core (`kFullStrengthMilli`) claim at once, weaker ones later.
milliseconds DefaultClaimDelay(std::uint32_t strength_milli) {
  const std::uint32_t shortfall_milli =
      kFullStrengthMilli - std::min(kFullStrengthMilli, strength_milli);
  return kMaxClaimDelay * shortfall_milli / kFullStrengthMilli;
}

CallKind KindOf(const schema::LinkMessage& message) {
  if (message.has_submit()) return CallKind::kSubmit;
  if (message.has_cancel()) return CallKind::kCancel;
  return message.has_state() ? CallKind::kState : CallKind::kWaiting;
}

}  // namespace

struct Shard::Impl : std::enable_shared_from_this<Impl> {
  struct PendingCall {
    schema::LinkMessage message;
    SteadyTime arrived;
    SteadyTime deadline;
    CallDone done;
    std::size_t bytes = 0;  // Memory of the message.
    bool was_sent = false;  // Sent to a scheduler, which may have carried it out.
    bool in_flight = false;
  };
  using PendingPtr = std::shared_ptr<PendingCall>;

  Impl(std::string shard, ShardDeps shard_deps)
      : name(std::move(shard)),
        deps(std::move(shard_deps)),
        claimer(name, deps.self,
                DefaultClaimDelay(
                    SchedulingStrength(deps.settings->strength_milli, deps.settings->link_mbps)),
                MakeHooks()) {}

  std::string name;
  ShardDeps deps;
  Claimer claimer;
  std::unique_ptr<TableFollower> follower;
  std::unique_ptr<Leader> leader;
  LinkPtr owner_link;
  SteadyTime next_connect{};
  OwnerLinkState link_state;
  SteadyTime last_served{};
  bool releasing = false;
  SteadyTime answers_until = SteadyTime::max();
  TimerId tick_timer;
  std::list<PendingPtr> pending;
  std::size_t pending_bytes = 0;                               // Memory of their messages.
  std::map<const Link*, schema::SupportGrant> support_grants;  // For the next ping on the link.

  ClaimHooks MakeHooks() {
    ClaimHooks hooks;
    hooks.now = BootNow;
    hooks.read_rows = [this] { ReadRows(); };
    hooks.write_rows = [this](const schema::OwnerRow& owner, const schema::HeadRow& head,
                              std::uint64_t owner_version, std::uint64_t head_version) {
      WriteRows(owner, head, owner_version, head_version);
    };
    hooks.on_gained = [this](const schema::OwnerRow& owner, const schema::HeadRow& head,
                             std::uint64_t version) { OnShardGained(owner, head, version); };
    return hooks;
  }

  void Begin() {
    FollowerHooks follower_hooks;
    follower_hooks.on_snapshot = [this](const std::vector<Row>& rows) {
      if (rows.empty()) claimer.OnOwner({}, 0);
      for (const Row& row : rows) ApplyOwnerRow(row);
    };
    follower_hooks.on_change = [this](const Row& row) { ApplyOwnerRow(row); };
    follower_hooks.after = DelayThrough(*deps.timers);
    follower = TableFollower::Create(deps.store, kOwnerTable, name, std::move(follower_hooks));
    tick_timer = deps.timers->Every(kShardTick, [weak = weak_from_this()](SteadyTime) {
      if (const auto self = weak.lock()) self->Tick();
    });
  }

  void End() {
    deps.timers->Cancel(tick_timer);
    follower.reset();
    leader.reset();
  }

  // ---- Ownership

  void ApplyOwnerRow(const Row& row) {
    schema::OwnerRow owner;
    if (row.removed || !owner.ParseFromString(row.value)) return;
    const std::uint64_t term = claimer.Owner().term();
    claimer.OnOwner(owner, row.version);
    OwnerMayHaveChanged(term);
  }

  void OwnerMayHaveChanged(std::uint64_t earlier_term) {
    if (claimer.Owner().term() == earlier_term) return;
    if (leader && !claimer.IsOwn()) StopLeader();
    if (owner_link &&
        (claimer.IsOwn() || owner_link->Peer().incarnation() != claimer.Owner().incarnation())) {
      const LinkPtr link = std::move(owner_link);
      owner_link.reset();
      link->Close("the shard has another scheduler");
    }
    link_state = {};
    link_state.heard = BootNow();
    next_connect = {};
    Tick();
  }

  void ReadRows() {
    // The two rows are in different tables and need two reads. The claim is conditional on the
    // versions of both.
    auto rows = std::make_shared<std::vector<Row>>();
    deps.store->Read(RowRange{kOwnerTable, name, "", "", 1}, kStoreReadTimeout,
                     [this, weak = weak_from_this(), rows](Result<RowPage> owner) {
                       const auto self = weak.lock();
                       if (!self) return;
                       if (!owner) return claimer.OnRows(owner.error());
                       *rows = std::move(owner.value().rows);
                       deps.store->Read(RowRange{kHeadTable, name, "", "", 1}, kStoreReadTimeout,
                                        [this, weak, rows](Result<RowPage> head) {
                                          const auto alive = weak.lock();
                                          if (!alive) return;
                                          if (!head) return claimer.OnRows(head.error());
                                          for (Row& row : head.value().rows)
                                            rows->push_back(std::move(row));
                                          const std::uint64_t term = claimer.Owner().term();
                                          claimer.OnRows(std::move(*rows));
                                          OwnerMayHaveChanged(term);
                                        });
                     });
  }

  void WriteRows(const schema::OwnerRow& owner, const schema::HeadRow& head,
                 std::uint64_t owner_version, std::uint64_t head_version) {
    const RowKey owner_key{kOwnerTable, name, kShardRowKey};
    const RowKey head_key{kHeadTable, name, kShardRowKey};
    RowTransaction transaction;
    transaction.conditions = {{owner_key, owner_version}, {head_key, head_version}};
    transaction.writes = {Row{owner_key, owner.SerializeAsString()},
                          Row{head_key, head.SerializeAsString()}};
    deps.store->Commit(std::move(transaction), kStoreReadTimeout,
                       [this, weak = weak_from_this()](const Result<CommitOutcome>& result) {
                         const auto self = weak.lock();
                         if (!self) return;
                         const std::uint64_t term = claimer.Owner().term();
                         claimer.OnClaimed(result);
                         OwnerMayHaveChanged(term);
                       });
  }

  void OnShardGained(const schema::OwnerRow& owner, const schema::HeadRow& head,
                     std::uint64_t version) {
    if (leader) return;
    if (releasing) return ReleaseUnwanted(owner, head, version);
    Log(LogLevel::kInfo, "shard-gained")
        .Field("shard", name)
        .Field("term", owner.term())
        .Field("earlier_denied", link_state.has_denied)
        .Field("earlier_may_lead_ms", TimePassedOn(owner));
    NodeMetrics::Get().CountTakeover();
    LeaderOptions options;
    options.shard = name;
    options.owner = owner;
    options.head = head;
    options.version = version;
    options.claim_sent = claimer.ClaimSent();
    LeaderHooks hooks;
    hooks.on_lost = [this] { StopLeader(); };
    hooks.loop_load = deps.loop_load;
    hooks.supporters = deps.supporters;
    hooks.config = deps.config;
    leader = Leader::Create(*deps.runtime, *deps.timers, deps.store, *deps.platform, *deps.settings,
                            std::move(options), std::move(hooks));
    deps.for_each_link([this](const LinkPtr& link) {
      if (link->Peer().lane()) leader->AddAdviceLink(link);
    });
    SendPending();
  }

  // Releases a shard whose claim succeeded after this instance had begun to shut down.
  void ReleaseUnwanted(schema::OwnerRow owner, schema::HeadRow head, std::uint64_t version) {
    Log(LogLevel::kInfo, "shard-given-back").Field("shard", name).Field("term", owner.term());
    owner.set_released(true);
    head.set_sequence(head.sequence() + 1);
    WriteRows(owner, head, version, version);
  }

  void StopLeader() {
    if (!leader) return;
    Log(LogLevel::kWarn, "scheduler-stopped").Field("shard", name);
    release_started = false;
    leader.reset();
    // Calls without an answer are sent to the next scheduler.
    for (const PendingPtr& call : pending) call->in_flight = false;
  }

  // ---- Link to the scheduler

  void Tick() {
    ExpirePending();
    if (leader) {
      last_served = BootNow();
      return;
    }
    link_state.is_linked = owner_link && owner_link->IsOpen();
    if (link_state.is_linked) {
      link_state.heard = owner_link->Heard();
      link_state.silence_limit =
          std::max(kOwnerLinkSilence, milliseconds(owner_link->LastPing().period_ms()) * 5 / 2);
      last_served = link_state.heard;
    }
    claimer.Tick(link_state, !releasing && deps.may_claim() && BootNow() >= claim_after);
    const bool has_owner = !claimer.Owner().address().empty() && !claimer.IsOwn();
    if (has_owner && !owner_link && BootNow() >= next_connect) {
      next_connect = BootNow() + kLinkRetry;
      connecting_since = BootNow();
      owner_link = deps.connect(claimer.Owner().address());
    }
  }

  SteadyTime connecting_since{};

  void OnLinkOpen(const LinkPtr& link) {
    if (leader && link->Peer().lane()) leader->AddAdviceLink(link);
    if (link != owner_link) return;
    link_state.is_refused = false;
    if (link->Peer().incarnation() != claimer.Owner().incarnation()) {
      Log(LogLevel::kInfo, "owner-denied")
          .Field("shard", name)
          .Field("owner", claimer.Owner().instance())
          .Field("incarnation", link->Peer().incarnation());
      link_state.has_denied = true;
      Tick();
      return;
    }
    link_state.heard = BootNow();
    Log(LogLevel::kInfo, "owner-linked")
        .Field("shard", name)
        .Field("owner", link->Peer().instance());
    SendPending();
  }

  void OnLinkClosed(const LinkPtr& link, const std::string& reason) {
    if (leader) leader->RemoveAdviceLink(link);
    support_grants.erase(link.get());
    if (link != owner_link) return;
    const bool was_open = !link->Peer().instance().empty();
    owner_link.reset();
    if (was_open) {
      Log(LogLevel::kWarn, "owner-link-lost")
          .Field("shard", name)
          .Field("owner", claimer.Owner().instance())
          .Field("reason", reason);
      next_connect = {};
    } else {
      link_state.is_refused = BootNow() < connecting_since + kConnectRefusedWithin;
    }
    Tick();
  }

  void OnPing(const LinkPtr& link, const schema::Ping& ping) {
    for (const schema::SupportRequest& request : ping.support_requests()) {
      if (request.shard() == name) GrantSupport(link, request);
    }
    for (const schema::SupportGrant& grant : ping.support_grants()) {
      if (grant.shard() == name && leader) leader->OnSupport(link->Peer().incarnation(), grant);
    }
    if (link != owner_link || ping.heirs().empty()) return;
    claimer.SetSuccessors({ping.heirs().begin(), ping.heirs().end()});
  }

  void GrantSupport(const LinkPtr& link, const schema::SupportRequest& request) {
    const bool is_owner = link->Peer().incarnation() == claimer.Owner().incarnation();
    if (leader || !is_owner || !claimer.GrantSupport(request.term())) return;
    schema::SupportGrant& grant = support_grants[link.get()];
    grant.set_shard(name);
    grant.set_term(request.term());
    grant.set_number(request.number());
  }

  void AddToPing(const LinkPtr& link, schema::Ping* ping) {
    if (leader) {
      if (const auto request = leader->MakeSupportRequest(); request) {
        *ping->add_support_requests() = *request;
      }
    }
    if (auto grant = support_grants.extract(link.get()); !grant.empty()) {
      *ping->add_support_grants() = std::move(grant.mapped());
    }
  }

  // ---- Calls

  void Call(schema::LinkMessage message, milliseconds timeout, CallDone done) {
    auto call = std::make_shared<PendingCall>();
    call->message = std::move(message);
    call->bytes = sizeof(PendingCall) + call->message.SpaceUsedLong();
    call->arrived = BootNow();
    call->deadline = std::min(call->arrived + timeout, answers_until);
    call->done = std::move(done);
    if (!FitsRemaining(call->bytes, pending_bytes, kMaxWaitingCallBytes)) return RefuseCall(*call);
    pending.push_back(call);
    pending_bytes += call->bytes;
    SendOne(call);
  }

  // Refuses a call that was not sent. Whether an earlier call has handed in its job is not known.
  void RefuseCall(const PendingCall& call) {
    CallOutcome outcome{
        schema::CODE_NO_OWNER, "too many calls wait for the scheduler", {}, 0, kNoOwnerRetryAfter};
    outcome.entry_basis = Basis(call);
    NodeMetrics::Get().CountCall(KindOf(call.message), outcome.code, milliseconds(0));
    call.done(std::move(outcome));
  }

  void SendPending() {
    const std::list<PendingPtr> calls = pending;
    for (const PendingPtr& call : calls) SendOne(call);
  }

  void SendOne(const PendingPtr& call) {
    if (call->in_flight || !call->done) return;
    const SteadyTime now = BootNow();
    if (call->message.has_submit()) {
      call->message.mutable_submit()->set_waited_ms(
          std::chrono::duration_cast<milliseconds>(now - call->arrived).count());
      call->message.mutable_submit()->set_time_left_ms(
          std::chrono::duration_cast<milliseconds>(call->deadline - now).count());
    }
    if (leader) {
      call->in_flight = true;
      call->was_sent = true;
      leader->Handle(call->message,
                     [weak = weak_from_this(), call](const schema::CallReply& reply) {
                       if (const auto self = weak.lock()) self->OnReply(call, reply);
                     });
      return;
    }
    if (!owner_link || !owner_link->IsOpen() || link_state.has_denied) return;
    call->in_flight = true;
    call->was_sent = true;
    const auto time_left = std::chrono::duration_cast<milliseconds>(call->deadline - now);
    owner_link->Call(call->message, time_left,
                     [weak = weak_from_this(), call](const Result<schema::LinkMessage>& result) {
                       const auto self = weak.lock();
                       if (!self) return;
                       call->in_flight = false;
                       // Without a reply, the call waits for the next scheduler or its deadline.
                       if (result) self->OnReply(call, result.value().reply());
                     });
  }

  void OnReply(const PendingPtr& call, const schema::CallReply& reply) {
    call->in_flight = false;
    if (reply.code() == schema::CODE_NOT_OWNER) return;
    CallOutcome outcome{reply.code(), reply.message(), reply.state(), reply.waiting(),
                        milliseconds(reply.retry_after_ms())};
    if (reply.has_basis()) outcome.scheduler_basis = reply.basis();
    Finish(call, std::move(outcome));
  }

  void Finish(const PendingPtr& call, CallOutcome outcome) {
    if (!call->done) return;
    const CallDone done = std::move(call->done);
    call->done = nullptr;
    pending.remove(call);
    pending_bytes -= call->bytes;
    NodeMetrics::Get().CountCall(
        KindOf(call->message), outcome.code,
        std::chrono::duration_cast<milliseconds>(BootNow() - call->arrived));
    done(std::move(outcome));
  }

  [[nodiscard]] EntryBasis Basis(const PendingCall& call) const {
    const schema::OwnerRow& owner = claimer.Owner();
    return {owner.instance(),
            owner.term(),
            leader != nullptr,
            leader && leader->IsLoaded(),
            owner_link && owner_link->IsOpen(),
            call.was_sent};
  }

  void ExpirePending() {
    const SteadyTime now = BootNow();
    const std::list<PendingPtr> calls = pending;
    for (const PendingPtr& call : calls) {
      if (now >= call->deadline) {
        const auto code = call->was_sent ? schema::CODE_OUTCOME_UNKNOWN : schema::CODE_NO_OWNER;
        CallOutcome outcome{
            code, "the scheduler did not answer in time", {}, 0, kNoOwnerRetryAfter};
        outcome.entry_basis = Basis(*call);
        Finish(call, std::move(outcome));
      } else if (!call->in_flight) {
        SendOne(call);
      }
    }
  }

  bool Serve(const LinkPtr& link, const schema::LinkMessage& message) {
    if (!leader) return false;
    schema::LinkMessage envelope;
    envelope.set_call(message.call());
    leader->Handle(message, [link, envelope](schema::CallReply reply) {
      schema::LinkMessage out;
      *out.mutable_reply() = std::move(reply);
      link->Answer(envelope, std::move(out));
    });
    return true;
  }

  void Release(SteadyTime until) {
    releasing = true;
    answers_until = until;
    for (const PendingPtr& call : pending) call->deadline = std::min(call->deadline, until);
    StartRelease("shutdown");
  }

  void HandOver() {
    if (!leader || !leader->IsReadyToHandOver() || releasing || release_started) return;
    claim_after = BootNow() + kClaimAfterHandOver;
    StartRelease("stronger instance");
  }

  bool release_started = false;
  // After a hand-over, the shard is not claimed before this time, so that others can claim it
  // first.
  SteadyTime claim_after{};

  void StartRelease(const char* reason) {
    if (!leader || release_started) return;
    release_started = true;
    Log(LogLevel::kInfo, "shard-releasing").Field("shard", name).Field("reason", reason);
    leader->Release([weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self) return;
      Log(LogLevel::kInfo, "shard-released").Field("shard", self->name);
      self->deps.runtime->Post([weak] {
        if (const auto later = weak.lock()) later->StopLeader();
      });
    });
  }
};

std::unique_ptr<Shard> Shard::Create(std::string name, ShardDeps deps) {
  auto impl = std::make_shared<Impl>(std::move(name), std::move(deps));
  impl->Begin();
  return std::unique_ptr<Shard>(new Shard(std::move(impl)));
}

Shard::Shard(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}
Shard::~Shard() { m_impl->End(); }
const std::string& Shard::Name() const { return m_impl->name; }
void Shard::Call(schema::LinkMessage message, milliseconds timeout, CallDone done) {
  m_impl->Call(std::move(message), timeout, std::move(done));
}
bool Shard::Serve(const LinkPtr& link, const schema::LinkMessage& message) {
  return m_impl->Serve(link, message);
}
void Shard::OnLinkOpen(const LinkPtr& link) { m_impl->OnLinkOpen(link); }
void Shard::OnLinkClosed(const LinkPtr& link, const std::string& reason) {
  m_impl->OnLinkClosed(link, reason);
}
void Shard::OnPing(const LinkPtr& link, const schema::Ping& ping) { m_impl->OnPing(link, ping); }
void Shard::AddToPing(const LinkPtr& link, schema::Ping* ping) { m_impl->AddToPing(link, ping); }
bool Shard::IsLeader() const { return m_impl->leader != nullptr; }
bool Shard::IsServed(milliseconds grace) const {
  return m_impl->last_served != SteadyTime{} && BootNow() <= m_impl->last_served + grace;
}
std::size_t Shard::PendingCalls() const { return m_impl->pending.size(); }
void Shard::HandOver() { m_impl->HandOver(); }
void Shard::Release(SteadyTime answers_until) { m_impl->Release(answers_until); }

}  // namespace citronsill
