#include "citronsill/timer.h"

#include "internal.h"

namespace citronsill {

struct TimerService::Impl : std::enable_shared_from_this<Impl> {
  struct Subscription {
    explicit Subscription(asio::io_context& context) : timer(context) {}
    asio::steady_timer timer;
    std::chrono::milliseconds period{0};
    std::function<void(SteadyTime)> handler;
    bool cancelled = false;
  };

  explicit Impl(asio::io_context& io) : context(io) {}

  asio::io_context& context;
  std::mutex mutex;
  std::uint64_t next_id = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<Subscription>> subscriptions;

  TimerId Add(std::chrono::milliseconds delay, std::chrono::milliseconds period,
              std::function<void(SteadyTime)> handler) {
    auto subscription = std::make_shared<Subscription>(context);
    subscription->period = period;
    subscription->handler = std::move(handler);
    std::uint64_t id = 0;
    {
      std::lock_guard lock(mutex);
      id = next_id++;
      subscriptions.emplace(id, subscription);
      subscription->timer.expires_after(delay);
      Wait(id, subscription);
    }
    return TimerId{id};
  }

  // Requires the mutex.
  void Wait(std::uint64_t id, const std::shared_ptr<Subscription>& subscription) {
    subscription->timer.async_wait(
        [weak = weak_from_this(), id, subscription](boost::system::error_code error) {
          if (auto self = weak.lock(); self && !error) self->Fire(id, subscription);
        });
  }

  void Fire(std::uint64_t id, const std::shared_ptr<Subscription>& subscription) {
    {
      std::lock_guard lock(mutex);
      if (subscription->cancelled) return;
    }
    subscription->handler(std::chrono::steady_clock::now());
    std::lock_guard lock(mutex);
    if (subscription->cancelled) return;
    if (subscription->period.count() == 0) {
      subscriptions.erase(id);
      return;
    }
    subscription->timer.expires_after(subscription->period);
    Wait(id, subscription);
  }

  void Cancel(std::uint64_t id) {
    std::lock_guard lock(mutex);
    const auto found = subscriptions.find(id);
    if (found == subscriptions.end()) return;
    found->second->cancelled = true;
    found->second->timer.cancel();
    subscriptions.erase(found);
  }
};

Result<std::unique_ptr<TimerService>> TimerService::Create(Runtime& runtime) {
  return std::unique_ptr<TimerService>(new TimerService(runtime));
}

TimerService::TimerService(Runtime& runtime) : m_impl(std::make_shared<Impl>(runtime.Context())) {}

TimerService::~TimerService() {
  std::lock_guard lock(m_impl->mutex);
  for (auto& [id, subscription] : m_impl->subscriptions) subscription->cancelled = true;
}

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
