#include "customers.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>
#include <utility>

namespace citronsill::soak {
namespace {

// Limits leave room for the largest gang, of 7.8 processors; 48 are there in all.
constexpr std::int64_t kMinLimitMilli = 9000;
constexpr std::int64_t kMaxLimitMilli = 24000;
constexpr std::int64_t kLimitMemoryMb = 9000;
constexpr std::int64_t kMaxWeight = 4;  // Jobs per second within the share of a customer.
constexpr double kUnlimitedShare = 0.25;
constexpr double kLimitChangeShare = 0.5;

// Calls a function with the amounts of each kind of resource.
template <class Visit>
bool AllOf(const Resources& limit, const Resources& running, const Resources& size, Visit visit) {
  return visit(limit.processors_milli, running.processors_milli, size.processors_milli) &&
         visit(limit.memory_mb, running.memory_mb, size.memory_mb);
}

}  // namespace

Customers::Customers(std::uint64_t seed, int count, SteadyTime now) : m_random(seed) {
  for (int i = 0; i < count; ++i) {
    const std::string name = fmt::format("customer-{}", i);
    Customer& customer = m_customers[name];
    customer.weight = static_cast<int>(m_random.Between(1, kMaxWeight));
    customer.limits.push_back({RandomLimit()});
    for (int key = 0; key < 3; ++key) AddKey(name, now);
  }
}

Resources Customers::RandomLimit() {
  if (m_random.Chance(kUnlimitedShare)) return {};
  return {m_random.Between(kMinLimitMilli, kMaxLimitMilli),
          m_random.Chance(0.5) ? 0 : kLimitMemoryMb, 0};
}

void Customers::AddKey(const std::string& customer, SteadyTime now) {
  m_keys[fmt::format("key-{}-{:x}", ++m_last_key, m_random.Between(0, INT32_MAX))] = {customer,
                                                                                      now};
}

void Customers::SetLimit(Customer* customer, Resources limit, SteadyTime now) {
  customer->limits.back().replaced_at = now;
  customer->limits.push_back({limit});
}

void Customers::Change(SteadyTime now) {
  const std::string name = Draw();
  const std::vector<std::string> in_force = KeysWhere(name, true, true);
  const std::vector<std::string> withdrawn = KeysWhere(name, true, false);
  const auto pick = [this](const std::vector<std::string>& keys) {
    const auto last = static_cast<std::int64_t>(keys.size()) - 1;
    return keys[static_cast<std::size_t>(m_random.Between(0, last))];
  };
  if (in_force.size() > 1 && m_random.Chance(0.6)) {  // A customer keeps one.
    m_keys[pick(in_force)].until = now;
  } else if (!withdrawn.empty() && m_random.Chance(0.5)) {
    m_keys[pick(withdrawn)] = {name, now};
  } else {
    AddKey(name, now);
  }
  if (m_random.Chance(kLimitChangeShare)) SetLimit(&m_customers[name], RandomLimit(), now);
}

void Customers::LiftLimits(SteadyTime now) {
  for (auto& [name, customer] : m_customers) SetLimit(&customer, {}, now);
}

std::string Customers::ConfigField() const {
  std::string text;
  for (const auto& [name, customer] : m_customers) {
    const Resources& limit = customer.limits.back().limit;
    fmt::format_to(std::back_inserter(text),
                   R"({}{{"name":"{}","weight":{},"cap":{{"cpu":{},"memMb":{}}},"keys":[)",
                   text.empty() ? "" : ",", name, customer.weight, limit.processors_milli,
                   limit.memory_mb);
    const char* comma = "";
    for (const std::string& key : KeysWhere(name, true, true)) {
      fmt::format_to(std::back_inserter(text), R"({}"{}")", std::exchange(comma, ","), key);
    }
    text.append("]}");
  }
  return R"(,"tenants":[)" + text + "]";
}

std::string Customers::Draw() {
  const auto last = static_cast<std::int64_t>(m_customers.size()) - 1;
  return std::next(m_customers.begin(), m_random.Between(0, last))->first;
}

std::vector<std::string> Customers::KeysWhere(const std::string& customer, bool is_own,
                                              bool in_force) const {
  std::vector<std::string> keys;
  for (const auto& [key, times] : m_keys) {
    const bool matches = (times.customer == customer) == is_own && !times.until == in_force;
    if (matches) keys.push_back(key);
  }
  return keys;
}

Customers::Key Customers::DrawKey(const std::string& customer, KeyKind kind) {
  std::vector<std::string> keys;
  if (kind == KeyKind::kNone) return {};
  if (kind == KeyKind::kOwn) keys = KeysWhere(customer, true, true);
  if (kind == KeyKind::kWithdrawn) keys = KeysWhere(customer, true, false);
  if (kind == KeyKind::kOfOther) keys = KeysWhere(customer, false, true);
  if (keys.empty()) {
    return {KeyKind::kNeverHeld, fmt::format("never-{:x}", m_random.Between(0, INT32_MAX))};
  }
  const auto last = static_cast<std::int64_t>(keys.size()) - 1;
  return {kind, keys[static_cast<std::size_t>(m_random.Between(0, last))]};
}

Customers::Key Customers::DrawWrongKey(const std::string& customer) {
  // Withdrawn keys are what may go wrong most easily.
  constexpr std::array kKinds = {KeyKind::kWithdrawn, KeyKind::kWithdrawn, KeyKind::kNeverHeld,
                                 KeyKind::kNone, KeyKind::kOfOther};
  return DrawKey(customer, kKinds[static_cast<std::size_t>(m_random.Between(0, 4))]);
}

bool Customers::CountsForSure(const std::string& key, SteadyTime now) const {
  const auto found = m_keys.find(key);
  return found != m_keys.end() && !found->second.until && now >= found->second.since + kChangeTime;
}

bool Customers::IsGoneForSure(const std::string& key, SteadyTime now) const {
  const auto found = m_keys.find(key);
  return found == m_keys.end() ||
         (found->second.until && now >= *found->second.until + kChangeTime);
}

void Customers::RetireLimits(SteadyTime now, SteadyTime disrupted_until) {
  if (now < disrupted_until + kContactTime) return;
  for (auto& [name, customer] : m_customers) {
    std::erase_if(customer.limits, [now](const Limit& limit) {
      return limit.replaced_at && now >= *limit.replaced_at + kChangeTime;
    });
  }
}

bool Customers::IsOver(const std::string& customer, Resources running, Resources size) const {
  const auto& limits = m_customers.at(customer).limits;
  return std::none_of(limits.begin(), limits.end(), [&](const Limit& limit) {
    return AllOf(limit.limit, running, size,
                 [](std::int64_t most, std::int64_t used, std::int64_t task) {
                   return most == 0 || used <= most + most / 10 + task;
                 });
  });
}

bool Customers::IsUnderHalf(const std::string& customer, Resources running) const {
  const auto& limits = m_customers.at(customer).limits;
  return std::all_of(limits.begin(), limits.end(), [&](const Limit& limit) {
    return AllOf(limit.limit, running, {}, [](std::int64_t most, std::int64_t used, std::int64_t) {
      return most == 0 || 2 * used <= most;
    });
  });
}

}  // namespace citronsill::soak
