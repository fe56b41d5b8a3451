#include "citronsill/entry.h"

#include "citronsill/ledger.h"
#include "internal.h"

namespace citronsill {
namespace {

constexpr std::chrono::hours kMaxDeadline{24 * 7};

Error Invalid(const std::string& field, const std::string& allowed) {
  return Error{schema::CODE_INVALID_FIELD, field + " must be " + allowed};
}

}  // namespace

Result<void> CheckRequest(const schema::Request& request) {
  if (request.work_class().empty() || request.work_class().size() > kMaxNameBytes) {
    return Invalid("work_class", "a name of 1 to 128 bytes");
  }
  if (request.team().empty() || request.team().size() > kMaxNameBytes) {
    return Invalid("team", "a name of 1 to 128 bytes");
  }
  if (request.key().size() > kMaxKeyBytes) return Invalid("key", "at most 256 bytes long");
  if (request.payload().size() > kMaxPayloadBytes) {
    return Invalid("payload", "at most 262144 bytes long");
  }
  if (request.task_count() > kMaxTaskCount) return Invalid("task_count", "at most 1024");
  const double processors = request.size().processors();
  if (!(processors >= 0.0 && processors <= 1e6)) {
    return Invalid("size.processors", "0 to 1000000");
  }
  if (request.size().memory_mb() > 1ULL << 40U) return Invalid("size.memory_mb", "at most 2^40");
  if (request.has_run_time() && ToMilliseconds(request.run_time()).count() < 0) {
    return Invalid("run_time", "not negative");
  }
  if (request.has_deadline()) {
    const auto deadline = ToMilliseconds(request.deadline());
    if (deadline.count() <= 0 || deadline > kMaxDeadline) {
      return Invalid("deadline", "more than 0s and at most 604800s");
    }
  }
  return Success();
}

struct Entry::Impl : std::enable_shared_from_this<Impl> {
  struct Waiting {
    schema::Forward forward;
    SteadyTime deadline;
    std::vector<Done> done;
    std::set<std::string> homes;  // Instances that received the request, or may have.
  };

  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<std::string, Waiting> waiting;
  };

  Impl(TimerService& timer_service, EntryOptions entry_options, EntryHooks entry_hooks)
      : timers(timer_service), options(std::move(entry_options)), hooks(std::move(entry_hooks)) {}

  TimerService& timers;
  EntryOptions options;
  EntryHooks hooks;
  std::array<Shard, kStateShards> shards;
  std::atomic<std::size_t> count{0};
  std::atomic<bool> draining{false};

  Shard& ShardOf(const std::string& id) {
    return shards[std::hash<std::string>{}(id) % shards.size()];
  }

  schema::Answer Refusal(schema::Code code, const std::string& message) const {
    schema::Answer answer;
    answer.set_state(schema::STATE_REFUSED);
    answer.set_code(code);
    answer.set_message(message);
    answer.set_not_run(true);
    answer.set_entry(options.instance);
    SetDuration(std::chrono::seconds(1), answer.mutable_retry_after());
    return answer;
  }

  void Submit(schema::Request request, Done done) {
    if (draining) return done(Refusal(schema::CODE_DRAINING, "the instance is shutting down"));
    if (count >= options.max_waiting) {
      return done(
          Refusal(schema::CODE_OVERLOADED, "too many requests are waiting on this instance"));
    }
    if (request.key().empty()) request.set_key(Hex64(RandomId()) + Hex64(RandomId()));
    const std::string id = RequestIdOf(request.team(), request.key());
    const auto deadline =
        request.has_deadline() ? ToMilliseconds(request.deadline()) : options.default_deadline;
    {
      Shard& shard = ShardOf(id);
      std::lock_guard lock(shard.mutex);
      Waiting& waiting = shard.waiting[id];
      if (waiting.done.empty()) {
        ++count;
        waiting.forward.set_id(id);
        waiting.forward.set_submission(RandomId() | 1U);  // 0 means none.
        waiting.forward.set_entry_id(options.instance);
        waiting.forward.set_entry_address(options.peer_address);
        waiting.deadline = std::chrono::steady_clock::now() + deadline;
      }
      *waiting.forward.mutable_request() = std::move(request);
      waiting.done.push_back(std::move(done));
    }
    timers.After(deadline, [weak = weak_from_this(), id](SteadyTime now) {
      if (auto self = weak.lock()) self->Expire(id, now);
    });
    Send(id);
  }

  void Send(const std::string& id) {
    schema::Forward forward;
    {
      Shard& shard = ShardOf(id);
      std::lock_guard lock(shard.mutex);
      const auto found = shard.waiting.find(id);
      if (found == shard.waiting.end()) return;
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          found->second.deadline - std::chrono::steady_clock::now());
      if (left.count() <= 0) return;
      forward = found->second.forward;
      SetDuration(left, forward.mutable_deadline_left());
    }
    const std::string owner = hooks.owner(id);
    hooks.forward(forward, [weak = weak_from_this(), id, owner](Result<schema::Ack> ack) {
      if (auto self = weak.lock()) self->OnAck(id, owner, ack);
    });
  }

  // Forwards a request repeatedly even if it was received, because its home may have failed since.
  void OnAck(const std::string& id, const std::string& owner, const Result<schema::Ack>& ack) {
    const bool received = ack && ack.value().code() == schema::CODE_OK;
    const bool not_received = ack ? ack.value().code() == schema::CODE_NOT_OWNER
                                  : ack.error().code == schema::CODE_NO_OWNER ||
                                        ack.error().code == schema::CODE_PEER_UNREACHABLE;
    {
      Shard& shard = ShardOf(id);
      std::lock_guard lock(shard.mutex);
      const auto found = shard.waiting.find(id);
      if (found == shard.waiting.end()) return;
      if (!not_received) found->second.homes.insert(owner);
    }
    timers.After(received ? 5 * options.retry_period : options.retry_period,
                 [weak = weak_from_this(), id](SteadyTime) {
                   if (auto self = weak.lock()) self->Send(id);
                 });
  }

  void Expire(const std::string& id, SteadyTime now) {
    Shard& shard = ShardOf(id);
    Waiting waiting;
    {
      std::lock_guard lock(shard.mutex);
      const auto found = shard.waiting.find(id);
      if (found == shard.waiting.end() || found->second.deadline > now) return;
      waiting = std::move(found->second);
      shard.waiting.erase(found);
    }
    --count;
    const schema::Answer answer = waiting.homes.empty() ? NotRun(id) : UnknownOutcome(id);
    for (const Done& done : waiting.done) done(answer);
  }

  schema::Answer NotRun(const std::string& id) const {
    schema::Answer answer =
        Refusal(schema::CODE_NOT_RUN, "no owner was reached before the deadline");
    answer.set_id(id);
    return answer;
  }

  schema::Answer UnknownOutcome(const std::string& id) const {
    schema::Answer answer;
    answer.set_id(id);
    answer.set_state(schema::STATE_UNKNOWN);
    answer.set_code(schema::CODE_OUTCOME_UNKNOWN);
    answer.set_message("no definite answer before the deadline; query the request by id");
    answer.set_location("/v1/requests/" + id);
    answer.set_entry(options.instance);
    return answer;
  }

  void OnDeliver(const schema::Deliver& deliver) {
    const std::string& id = deliver.answer().id();
    Shard& shard = ShardOf(id);
    Waiting waiting;
    {
      std::lock_guard lock(shard.mutex);
      const auto found = shard.waiting.find(id);
      if (found == shard.waiting.end()) return;
      const std::uint64_t submission = found->second.forward.submission();
      if (deliver.submission() != 0 && deliver.submission() != submission) return;
      waiting = std::move(found->second);
      shard.waiting.erase(found);
    }
    --count;
    schema::Answer answer = deliver.answer();
    // A home does not know what an earlier home did with the request.
    if (answer.not_run() && waiting.homes.size() > 1) answer = UnknownOutcome(id);
    answer.set_entry(options.instance);
    for (const Done& done : waiting.done) done(answer);
  }
};

Result<std::unique_ptr<Entry>> Entry::Create(TimerService& timers, const EntryOptions& options,
                                             EntryHooks hooks) {
  return std::unique_ptr<Entry>(
      new Entry(std::make_shared<Impl>(timers, options, std::move(hooks))));
}

Entry::Entry(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Entry::~Entry() = default;

void Entry::Submit(schema::Request request, Done done) {
  m_impl->Submit(std::move(request), std::move(done));
}

void Entry::OnDeliver(const schema::Deliver& deliver) { m_impl->OnDeliver(deliver); }

void Entry::Drain() { m_impl->draining = true; }

std::size_t Entry::Waiting() const { return m_impl->count; }

}  // namespace citronsill
