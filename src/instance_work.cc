#include "instance_state.h"

namespace citronsill {
namespace {

// An entry instance that is still unreachable after this many retries has failed; its caller
// retries the request.
constexpr int kMaxDeliverRetries = 20;

constexpr std::chrono::milliseconds kDrainCheckPeriod{200};

// How long a draining instance with nothing in progress waits for others to take over its
// partitions. They cannot while the table is down, or if it is the last instance.
constexpr std::chrono::milliseconds kHandOverTimeout{10000};

// How often a start is retried while ownership is uncertain after a pause of the process.
constexpr std::chrono::milliseconds kUncertainOwnershipRetryPeriod{100};

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

}  // namespace

const std::string& Instance::Impl::AdvertisedAddress() const {
  return settings.peer_advertise_address().empty() ? settings.peer_address()
                                                   : settings.peer_advertise_address();
}

PartitionId Instance::Impl::Partition(const std::string& id) const {
  return PartitionOf(id, settings.partition_count());
}

schema::TaskQueryResult Instance::Impl::AnswerQuery(const TaskKey& task, const std::string& worker,
                                                    std::uint64_t worker_incarnation) {
  schema::TaskQueryResult result;
  for (const PartitionId partition : ownership->Owned()) result.add_partitions(partition.value);
  if (!roster.HasList()) return result;  // Some workers of this instance may not be known yet.
  if (!worker.empty() && !ownership->OwnedEpoch(Partition(worker))) return result;
  result.set_knowledge(router->IsWaiting(task)
                           ? schema::KNOWLEDGE_RUNNING
                           : ToSchema(dispatcher->Query(task, worker, worker_incarnation)));
  return result;
}

std::vector<schema::MemberState> Instance::Impl::Peers() const {
  std::vector<schema::MemberState> peers = membership->Live(Now());
  std::erase_if(peers, [this](const schema::MemberState& member) {
    return member.id() == settings.instance_id();
  });
  return peers;
}

std::optional<schema::WorkClass> Instance::Impl::FindClass(const std::string& name) {
  if (auto recorded = operators->GetRecords().FindClass(name)) return recorded;
  for (const schema::WorkClass& work_class : settings.classes()) {
    if (work_class.name() == name) return work_class;
  }
  return std::nullopt;
}

void Instance::Impl::BeforeStart(const Action& action, std::uint64_t worker_incarnation,
                                 const std::function<void(bool)>& proceed) {
  if (ownership->IsCertain()) return router->BeforeStart(action, worker_incarnation, proceed);
  timers->After(kUncertainOwnershipRetryPeriod,
                [weak = weak_from_this(), action, worker_incarnation, proceed](SteadyTime) {
                  if (auto self = weak.lock()) {
                    self->BeforeStart(action, worker_incarnation, proceed);
                  }
                });
}

void Instance::Impl::TickOwnership() {
  if (operators->GetRecords().HasCompleteSet()) ownership->Tick(Now());
}

void Instance::Impl::TickGossip() {
  gossip->Tick();
  std::vector<Resources> largest;
  for (const schema::MemberState& peer : Peers()) {
    largest.push_back(ToResources(peer.largest()));
  }
  dispatcher->SetLargestPeerWorkers(std::move(largest));
  // Only live members are asked: one that has failed may have the highest revision, but does not
  // answer.
  for (const schema::MemberState& peer : Peers()) {
    operators->GetRecords().OnPeerRevision(peer.peer_address(), peer.record_revision(), Now());
  }
}

void Instance::Impl::RefreshDirectory() {
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

void Instance::Impl::RefreshQuotas() {
  const auto live_instances = static_cast<std::int64_t>(Peers().size() + 1);
  const auto share = [live_instances](std::int64_t whole) {
    return (whole + live_instances - 1) / live_instances;
  };
  for (const auto& [team, limit] : operators->GetRecords().Limits()) {
    const Resources quota = ToResources(limit.quota());
    dispatcher->SetQuota(
        team, {share(quota.processors_milli), share(quota.memory_mb), share(quota.accelerators)});
  }
}

void Instance::Impl::RefreshWorkers() {
  // After a pause, ownership is confirmed first by reading the rows again; `on_confirmed` then
  // calls this.
  if (!ownership->IsCertain()) return;
  std::vector<OwnedWorker> workers;
  for (OwnedWorker& worker : ApplyTargetRecords(roster.List(), operators->GetRecords())) {
    const auto epoch = ownership->OwnedEpoch(Partition(worker.id));
    if (!epoch) continue;
    worker.epoch = *epoch;
    workers.push_back(std::move(worker));
  }
  dispatcher->SetWorkers(workers);
}

Result<std::string> Instance::Impl::OwnerAddress(const std::string& id) {
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

void Instance::Impl::Forward(const schema::Forward& forward,
                             std::function<void(Result<schema::Ack>)> done) {
  auto address = OwnerAddress(forward.id());
  if (!address) return done(address.error());
  if (address.value().empty()) return done(home->OnForward(forward));
  peer_client->Call(
      address.value(), "forward", ToJson(forward), kPeerTimeout,
      [done](const Result<std::string>& result) { done(ParseMessage<schema::Ack>(result)); });
}

void Instance::Impl::Deliver(const Waiter& waiter, std::shared_ptr<const schema::Answer> answer,
                             int retries) {
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
      [weak = weak_from_this(), waiter, answer, retries](const Result<std::string>& result) {
        auto self = weak.lock();
        if (!self || result || retries >= kMaxDeliverRetries) return;
        self->timers->After(kDeliverRetryPeriod, [weak, waiter, answer, retries](SteadyTime) {
          if (auto again = weak.lock()) again->Deliver(waiter, answer, retries + 1);
        });
      });
}

Result<schema::Answer> Instance::Impl::AnswerLocally(const std::string& id,
                                                     const std::string& method) {
  if (method == "cancel") {
    BOOST_OUTCOME_TRY(home->Cancel(id));
  }
  if (!home->IsServing(Partition(id))) {
    return Error{schema::CODE_NOT_OWNER, "the partition is not served here at the moment"};
  }
  if (auto answer = home->Status(id)) return std::move(*answer);
  return Error{schema::CODE_NOT_FOUND, "no request " + id};
}

void Instance::Impl::AskOwner(const std::string& id, const std::string& method,
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

bool Instance::Impl::IsReady() const {
  return !draining && operators->GetRecords().HasCompleteSet() && !ownership->Owners().empty();
}

void Instance::Impl::StartDraining() {
  if (draining.exchange(true)) return;
  entry->Drain();
  router->Drain();
  ownership->Leave();
}

void Instance::Impl::CheckDrained(const std::function<void()>& done) {
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

}  // namespace citronsill
