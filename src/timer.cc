#include "citronsill/timer.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "citronsill/guard.h"
#include "net.h"

namespace citronsill {
namespace {

// Subscriptions that are due within this time of a wake-up are called early, so that they share it.
constexpr std::chrono::milliseconds kSlack{1};

}  // namespace

// All subscriptions share one timer of the event loop, which is set for the earliest of them.
struct TimerService::Impl : std::enable_shared_from_this<Impl> {
  struct Subscription {
    std::uint64_t id = 0;
    SteadyTime due;
    std::chrono::milliseconds period{0};
    std::function<void(SteadyTime)> handler;
  };

  explicit Impl(asio::io_context& context) : timer(context) {}

  std::mutex mutex;
  asio::steady_timer timer;
  SteadyTime timer_expiry = SteadyTime::max();  // max() if `timer` is not set.
  std::uint64_t next_id = 1;
  std::multimap<SteadyTime, std::shared_ptr<Subscription>> queue;
  std::unordered_map<std::uint64_t, std::shared_ptr<Subscription>> subscriptions;

  TimerId Add(std::chrono::milliseconds delay, std::chrono::milliseconds period,
              std::function<void(SteadyTime)> handler) {
    auto subscription = std::make_shared<Subscription>();
    subscription->due = std::chrono::steady_clock::now() + delay;
    subscription->period = period;
    subscription->handler = std::move(handler);
    std::lock_guard lock(mutex);
    subscription->id = next_id++;
    subscriptions.emplace(subscription->id, subscription);
    queue.emplace(subscription->due, subscription);
    Arm();
    return TimerId{subscription->id};
  }

  // Requires the mutex.
  void Arm() {
    if (queue.empty()) return;
    const SteadyTime earliest = queue.begin()->first;
    if (timer_expiry <= earliest) return;
    timer_expiry = earliest;
    timer.expires_at(earliest);
    timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
      if (auto self = weak.lock(); self && !error) self->Fire();
    });
  }

  void Fire() {
    const SteadyTime now = std::chrono::steady_clock::now();
    for (const auto& subscription : TakeDue(now)) {
      {
        std::lock_guard lock(mutex);
        if (!subscriptions.contains(subscription->id)) continue;
        if (subscription->period.count() == 0) subscriptions.erase(subscription->id);
      }
      RunGuarded("timer", [&] { subscription->handler(now); });
      if (subscription->period.count() == 0) continue;
      std::lock_guard lock(mutex);
      if (!subscriptions.contains(subscription->id)) continue;
      subscription->due = std::chrono::steady_clock::now() + subscription->period;
      queue.emplace(subscription->due, subscription);
    }
    std::lock_guard lock(mutex);
    Arm();
  }

  std::vector<std::shared_ptr<Subscription>> TakeDue(SteadyTime now) {
    std::lock_guard lock(mutex);
    timer_expiry = SteadyTime::max();
    std::vector<std::shared_ptr<Subscription>> due;
    const auto end = queue.upper_bound(now + kSlack);
    for (auto it = queue.begin(); it != end; ++it) due.push_back(std::move(it->second));
    queue.erase(queue.begin(), end);
    return due;
  }

  void Cancel(std::uint64_t id) {
    std::lock_guard lock(mutex);
    const auto found = subscriptions.find(id);
    if (found == subscriptions.end()) return;
    const auto [first, last] = queue.equal_range(found->second->due);
    for (auto it = first; it != last; ++it) {
      if (it->second != found->second) continue;
      queue.erase(it);
      break;
    }
    subscriptions.erase(found);
  }

  void CancelAll() {
    std::lock_guard lock(mutex);
    queue.clear();
    subscriptions.clear();
  }
};

Result<std::unique_ptr<TimerService>> TimerService::Create(Runtime& runtime) {
  return std::unique_ptr<TimerService>(new TimerService(runtime));
}

TimerService::TimerService(Runtime& runtime) : m_impl(std::make_shared<Impl>(runtime.Context())) {}

TimerService::~TimerService() { m_impl->CancelAll(); }

TimerId TimerService::Every(std::chrono::milliseconds period,
                            std::function<void(SteadyTime)> handler) {
  return m_impl->Add(period, period, std::move(handler));
}

TimerId TimerService::After(std::chrono::milliseconds delay,
                            std::function<void(SteadyTime)> handler) {
  return m_impl->Add(delay, std::chrono::milliseconds(0), std::move(handler));
}

void TimerService::Cancel(TimerId id) { m_impl->Cancel(id.value); }

}  // namespace citronsill
