#include "citronsill/router.h"

#include "citronsill/convert.h"
#include "internal.h"

namespace citronsill {
namespace {

constexpr std::chrono::milliseconds kUpdateRetryPeriod{300};
constexpr std::chrono::milliseconds kMaxUpdateRetryPeriod{5000};

// Number of accepted tasks that are remembered, also after their end, so that a repeated handover
// does not start a task a second time.
constexpr std::size_t kMaxRememberedTasks = 20000;

TaskEvent ToEvent(const schema::TaskUpdate& update) {
  TaskEvent event;
  event.task = ToKey(update.task());
  event.worker = update.worker();
  event.worker_incarnation = update.worker_incarnation();
  event.ended = update.end() != schema::TASK_END_NONE || update.not_started() || update.lost();
  event.outcome = update.not_started() ? TaskOutcome::kNotStarted
                  : update.lost()      ? TaskOutcome::kLost
                                       : ToOutcome(update.end());
  event.will_retry = update.again();
  event.result = update.result();
  return event;
}

schema::TaskUpdate ToUpdate(const TaskEvent& event) {
  schema::TaskUpdate update;
  *update.mutable_task() = ToRef(event.task);
  update.set_worker(event.worker);
  update.set_worker_incarnation(event.worker_incarnation);
  update.set_again(event.will_retry);
  update.set_result(event.result);
  if (!event.ended) return update;
  update.set_not_started(event.outcome == TaskOutcome::kNotStarted);
  update.set_lost(event.outcome == TaskOutcome::kLost);
  if (!update.not_started() && !update.lost()) update.set_end(ToTaskEnd(event.outcome));
  return update;
}

bool MustNotRunTwice(const JobSpec& job) { return job.exclusive || !job.idempotent; }

TaskKey FirstTask(const JobSpec& job) { return {job.id, job.first_index, job.first_attempt}; }

}  // namespace

struct TaskRouter::Impl : std::enable_shared_from_this<Impl> {
  // Tasks of one request that were accepted from other instances.
  struct AcceptedRequest {
    TaskJob job;
    std::set<TaskKey> tasks;
    std::set<TaskKey> waiting;  // Those of `tasks` that were not started.
  };

  // A task that was handed to another instance and whose request has its home here.
  struct Placed {
    JobSpec job;
    std::string instance;
    std::uint64_t incarnation = 0;
  };

  Impl(TimerService& timer_service, const RouterOptions& router_options, RouterHooks router_hooks)
      : timers(timer_service), options(router_options), hooks(std::move(router_hooks)) {}

  TimerService& timers;
  RouterOptions options;
  RouterHooks hooks;
  mutable std::mutex mutex;
  std::map<std::string, AcceptedRequest> accepted_requests;
  std::set<TaskKey> remembered;
  std::deque<TaskKey> remembered_order;
  std::map<std::pair<std::string, std::uint32_t>, Placed> placed;
  std::atomic<bool> draining{false};

  // ---- Events ----

  void OnEvent(const TaskEvent& event, const std::function<void()>& done) {
    if (hooks.is_home(event.task.request_id) &&
        hooks.notify_home(event, done) != schema::CODE_NOT_OWNER) {
      return;
    }
    SendUpdate(event, done, kUpdateRetryPeriod);
  }

  void SendUpdate(const TaskEvent& event, const std::function<void()>& done,
                  std::chrono::milliseconds retry_delay) {
    auto address = hooks.home_address(event.task.request_id);
    if (!address) return RetryUpdate(event, done, retry_delay);
    hooks.call(
        address.value(), "task_update", ToJson(ToUpdate(event)),
        [weak = weak_from_this(), event, done, retry_delay](const Result<std::string>& result) {
          auto self = weak.lock();
          if (!self) return;
          schema::Ack ack;
          const bool accepted = result && FromJson(result.value(), UnknownFields::kIgnore, &ack) &&
                                ack.code() == schema::CODE_OK;
          if (!accepted) return self->RetryUpdate(event, done, retry_delay);
          if (event.ended && !event.will_retry) self->Forget(event.task);
          done();
        });
  }

  void RetryUpdate(const TaskEvent& event, const std::function<void()>& done,
                   std::chrono::milliseconds retry_delay) {
    timers.After(retry_delay, [weak = weak_from_this(), event, done, retry_delay](SteadyTime) {
      auto self = weak.lock();
      if (!self) return;
      // The next owner of the worker reports on the tasks that the worker knows. Neither knows a
      // task that was never started, so the home has to query it.
      if (!event.worker.empty() && !self->hooks.owns_worker(event.worker)) {
        TaskEvent released = event;
        released.ended = false;
        return self->SendReleased(released, retry_delay);
      }
      if (self->hooks.is_home(event.task.request_id) &&
          self->hooks.notify_home(event, done) != schema::CODE_NOT_OWNER) {
        return;
      }
      self->SendUpdate(event, done, std::min(2 * retry_delay, kMaxUpdateRetryPeriod));
    });
  }

  // Reports a task on a released worker to the home. A start may have been in progress at the
  // release, so that the next owner of the worker does not know the task.
  void SendReleased(const TaskEvent& event, std::chrono::milliseconds retry_delay) {
    if (hooks.is_home(event.task.request_id)) return HandleReleased(event);
    const auto resend = [weak = weak_from_this(), event, retry_delay](SteadyTime) {
      if (auto self = weak.lock()) {
        self->SendReleased(event, std::min(2 * retry_delay, kMaxUpdateRetryPeriod));
      }
    };
    auto address = hooks.home_address(event.task.request_id);
    if (!address) {
      timers.After(retry_delay, resend);
      return;
    }
    schema::TaskUpdate update = ToUpdate(event);
    update.set_released(true);
    hooks.call(address.value(), "task_update", ToJson(update),
               [weak = weak_from_this(), resend, retry_delay](const Result<std::string>& result) {
                 auto self = weak.lock();
                 schema::Ack ack;
                 const bool accepted = result &&
                                       FromJson(result.value(), UnknownFields::kIgnore, &ack) &&
                                       ack.code() == schema::CODE_OK;
                 if (self && !accepted) self->timers.After(retry_delay, resend);
               });
  }

  void HandleReleased(const TaskEvent& event) {
    hooks.notify_home(event, [] {});  // Tells which worker has the task.
    hooks.investigate(event.task);
  }

  schema::Ack OnTaskUpdate(const schema::TaskUpdate& update) {
    schema::Ack ack;
    const TaskEvent event = ToEvent(update);
    if (!hooks.is_home(event.task.request_id)) {
      ack.set_code(schema::CODE_NOT_OWNER);
      return ack;
    }
    if (update.released()) {
      HandleReleased(event);
      return ack;
    }
    if (event.ended) {
      std::lock_guard lock(mutex);
      const auto found = placed.find({event.task.request_id, event.task.index});
      if (found != placed.end() && !event.will_retry) placed.erase(found);
    }
    auto done = std::make_shared<std::atomic<bool>>(false);
    ack.set_code(hooks.notify_home(event, [done] { *done = true; }));
    if (ack.code() == schema::CODE_OK && !*done) {
      ack.set_code(schema::CODE_TIMEOUT);
      ack.set_message("the end of the task is not yet durable");
    }
    return ack;
  }

  // ---- Tasks accepted from other instances ----

  schema::PlaceResult OnPlace(const schema::Place& place) {
    schema::PlaceResult result;
    const TaskKey task = ToKey(place.task());
    JobSpec job = MakeJob(task.request_id, place.request(), place.work_class());
    job.task_count = 1;
    job.all_at_once = false;
    job.first_index = task.index;
    job.first_attempt = task.attempt;
    const SteadyTime now = std::chrono::steady_clock::now();
    if (place.has_deadline_left()) job.deadline = now + ToMilliseconds(place.deadline_left());
    if (MustNotRunTwice(job)) {
      const SteadyTime latest = now + options.place_validity;
      job.deadline = job.deadline ? std::min(*job.deadline, latest) : latest;
      job.max_attempts = 1;  // The home decides whether another attempt follows.
    }
    if (draining) {
      result.set_code(schema::CODE_DRAINING);
      return result;
    }
    if (!Remember(task, place, job)) return WithFreeSlots(result);
    const Admission admission = hooks.submit(job);
    result.set_code(admission.code);
    result.set_message(admission.message);
    if (admission.code != schema::CODE_OK) Forget(task, true);
    return WithFreeSlots(result);
  }

  schema::PlaceResult WithFreeSlots(schema::PlaceResult result) const {
    result.set_free_slots(hooks.stats().free_slots);
    return result;
  }

  // Records a task from another instance. @returns false if the task was accepted before.
  bool Remember(const TaskKey& task, const schema::Place& place, const JobSpec& job) {
    std::lock_guard lock(mutex);
    if (!remembered.insert(task).second) return false;
    remembered_order.push_back(task);
    if (remembered_order.size() > kMaxRememberedTasks) {
      remembered.erase(remembered_order.front());
      remembered_order.pop_front();
    }
    AcceptedRequest& entry = accepted_requests[task.request_id];
    entry.job.request = std::make_shared<schema::Request>(place.request());
    entry.job.idempotent = job.idempotent;
    entry.job.exclusive = job.exclusive;
    entry.job.interactive = job.policy == SchedulingPolicy::kInteractive;
    entry.tasks.insert(task);
    entry.waiting.insert(task);
    return true;
  }

  void Forget(const TaskKey& task, bool may_be_placed_again = false) {
    std::lock_guard lock(mutex);
    if (may_be_placed_again) remembered.erase(task);
    const auto found = accepted_requests.find(task.request_id);
    if (found == accepted_requests.end()) return;
    // All attempts of a task have the same index.
    const auto same_index = [&](const TaskKey& other) { return other.index == task.index; };
    std::erase_if(found->second.tasks, same_index);
    std::erase_if(found->second.waiting, same_index);
    if (found->second.tasks.empty()) accepted_requests.erase(found);
  }

  void OnGiveUp(const Action& action) {
    std::vector<TaskKey> tasks;
    {
      std::lock_guard lock(mutex);
      if (const auto found = accepted_requests.find(action.task.request_id);
          found != accepted_requests.end()) {
        tasks.assign(found->second.tasks.begin(), found->second.tasks.end());
      }
    }
    if (tasks.empty()) return hooks.give_up(action);
    for (const TaskKey& task : tasks) {
      TaskEvent event;
      event.task = task;
      event.ended = true;
      event.outcome = TaskOutcome::kNotStarted;
      event.result = action.message;
      OnEvent(event, [] {});
    }
  }

  // ---- Tasks handed to other instances ----

  void Offload() {
    const EngineStats stats = hooks.stats();
    if (stats.waiting_jobs == 0 || draining) return;
    std::vector<schema::MemberState> peers = hooks.peers();
    std::erase_if(peers, [](const schema::MemberState& peer) {
      return peer.leaving() || peer.free_slots() == 0;
    });
    std::size_t total_free_slots = 0;
    for (const schema::MemberState& peer : peers) total_free_slots += peer.free_slots();
    if (total_free_slots == 0) return;
    const std::size_t max = std::min(total_free_slots, options.max_tasks_per_round);
    for (const JobSpec& job : hooks.withdraw_waiting(max)) {
      // A peer whose workers are all too small for the task counts as full.
      const auto usable_slots = [&](const schema::MemberState& peer) {
        return ToResources(peer.largest()).Covers(job.size) ? peer.free_slots() : 0;
      };
      auto best = std::max_element(peers.begin(), peers.end(), [&](const auto& a, const auto& b) {
        return usable_slots(a) < usable_slots(b);
      });
      if (!hooks.is_home(job.id) || usable_slots(*best) == 0) {
        Resubmit(job);
        continue;
      }
      best->set_free_slots(best->free_slots() - 1);
      PrepareToPlace(job, *best);
    }
  }

  void Resubmit(const JobSpec& job) {
    const Admission admission = hooks.submit(job);
    if (admission.code == schema::CODE_OK) return;
    Action action;
    action.kind = ActionKind::kGiveUp;
    action.task = FirstTask(job);
    action.code = admission.code;
    action.message = admission.message;
    action.retry_after = admission.retry_after;
    OnGiveUp(action);
  }

  void PrepareToPlace(const JobSpec& job, const schema::MemberState& peer) {
    Action action;
    action.task = FirstTask(job);
    action.size = job.size;
    hooks.before_start(action, 0, [self = shared_from_this(), job, peer](bool proceed) {
      if (!proceed) return self->StartNextAttempt(job, TaskOutcome::kNotStarted);
      {
        std::lock_guard lock(self->mutex);
        self->placed[{job.id, job.first_index}] = {job, peer.id(), peer.incarnation()};
      }
      self->Place(job, peer.peer_address());
    });
  }

  void Place(const JobSpec& job, const std::string& address) {
    const auto home_job = hooks.find_home_job(job.id);
    const auto work_class = hooks.find_class(job.work_class);
    if (!home_job || !work_class) return;
    schema::Place place;
    *place.mutable_task() = ToRef(FirstTask(job));
    *place.mutable_request() = *home_job->request;
    *place.mutable_work_class() = *work_class;
    place.set_home_id(options.instance);
    if (job.deadline) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          *job.deadline - std::chrono::steady_clock::now());
      SetDuration(std::max(left, std::chrono::milliseconds(1)), place.mutable_deadline_left());
    }
    hooks.call(address, "place", ToJson(place),
               [weak = weak_from_this(), job](const Result<std::string>& result) {
                 if (auto self = weak.lock()) self->OnPlaced(job, result);
               });
  }

  void OnPlaced(const JobSpec& job, const Result<std::string>& json) {
    schema::PlaceResult result;
    if (json && FromJson(json.value(), UnknownFields::kIgnore, &result)) {
      if (result.code() == schema::CODE_OK) return;
      if (ErasePlaced(job)) StartNextAttempt(job, TaskOutcome::kNotStarted);
      return;
    }
    const bool unsent = !json && json.error().code == schema::CODE_PEER_UNREACHABLE;
    if (unsent) {
      if (ErasePlaced(job)) StartNextAttempt(job, TaskOutcome::kNotStarted);
      return;
    }
    HandleUnknownPlacement(job);
  }

  bool ErasePlaced(const JobSpec& job) {
    std::lock_guard lock(mutex);
    return placed.erase({job.id, job.first_index}) > 0;
  }

  // Handles a handover after which it is not known whether the other instance accepted or ran the
  // task.
  void HandleUnknownPlacement(const JobSpec& job) {
    if (!ErasePlaced(job)) return;
    if (MustNotRunTwice(job)) return hooks.investigate(FirstTask(job));
    StartNextAttempt(job, TaskOutcome::kLost);
  }

  // Ends the attempt at the home before the next one starts: a request with an open attempt cannot
  // be ended when the next one is rejected.
  void StartNextAttempt(const JobSpec& job, TaskOutcome outcome) {
    TaskEvent event;
    event.task = FirstTask(job);
    event.ended = true;
    event.outcome = outcome;
    event.will_retry = true;
    hooks.notify_home(event, [] {});
    JobSpec next = job;
    ++next.first_attempt;
    Resubmit(next);
  }

  void CheckPlaced() {
    std::map<std::string, std::uint64_t> live_incarnations;
    for (const schema::MemberState& peer : hooks.peers())
      live_incarnations[peer.id()] = peer.incarnation();
    std::vector<JobSpec> lost;
    {
      std::lock_guard lock(mutex);
      for (const auto& [key, entry] : placed) {
        const auto found = live_incarnations.find(entry.instance);
        if (found == live_incarnations.end() || found->second != entry.incarnation)
          lost.push_back(entry.job);
      }
    }
    for (const JobSpec& job : lost) HandleUnknownPlacement(job);
  }
};

Result<std::unique_ptr<TaskRouter>> TaskRouter::Create(TimerService& timers,
                                                       const RouterOptions& options,
                                                       RouterHooks hooks) {
  return std::unique_ptr<TaskRouter>(
      new TaskRouter(std::make_shared<Impl>(timers, options, std::move(hooks))));
}

TaskRouter::TaskRouter(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

TaskRouter::~TaskRouter() = default;

void TaskRouter::BeforeStart(const Action& start, std::uint64_t worker_incarnation,
                             std::function<void(bool)> proceed) {
  bool is_accepted = false;
  {
    std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->accepted_requests.find(start.task.request_id);
    is_accepted = found != m_impl->accepted_requests.end();
    if (is_accepted) {
      found->second.tasks.insert(start.task);
      found->second.waiting.erase(start.task);
    }
  }
  // The home recorded the assignment before it handed over the task.
  if (is_accepted) return proceed(true);
  m_impl->hooks.before_start(start, worker_incarnation, std::move(proceed));
}

void TaskRouter::OnEvent(const TaskEvent& event, std::function<void()> done) {
  m_impl->OnEvent(event, done);
}

void TaskRouter::OnGiveUp(const Action& action) { m_impl->OnGiveUp(action); }

std::optional<TaskJob> TaskRouter::FindJob(const std::string& request_id) const {
  {
    std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->accepted_requests.find(request_id);
    if (found != m_impl->accepted_requests.end()) return found->second.job;
  }
  return m_impl->hooks.find_home_job(request_id);
}

schema::PlaceResult TaskRouter::OnPlace(const schema::Place& place) {
  return m_impl->OnPlace(place);
}

schema::Ack TaskRouter::OnTaskUpdate(const schema::TaskUpdate& update) {
  return m_impl->OnTaskUpdate(update);
}

void TaskRouter::OnReleased(const std::vector<TaskEvent>& events) {
  for (const TaskEvent& event : events) {
    m_impl->Forget(event.task);
    m_impl->SendReleased(event, kUpdateRetryPeriod);
  }
}

bool TaskRouter::IsWaiting(const TaskKey& task) const {
  std::lock_guard lock(m_impl->mutex);
  const auto found = m_impl->accepted_requests.find(task.request_id);
  return found != m_impl->accepted_requests.end() && found->second.waiting.contains(task);
}

void TaskRouter::Offload() { m_impl->Offload(); }

void TaskRouter::CheckPlaced() { m_impl->CheckPlaced(); }

void TaskRouter::Drain() { m_impl->draining = true; }

}  // namespace citronsill
