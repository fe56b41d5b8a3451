#include "cell/customer_ledger.h"

#include <algorithm>
#include <cmath>

#include "cell/limits.h"

namespace citronsill {
namespace {

bool HasLimit(const Resources& limit) {
  return limit.processors_milli > 0 || limit.memory_mb > 0 || limit.accelerators > 0;
}

std::int64_t Left(std::int64_t limit, std::int64_t used) {
  return limit > 0 ? limit - used : kUnlimitedRoom;
}

}  // namespace

CustomerLedger::CustomerLedger() : m_accounts(1) {}

void CustomerLedger::SetCustomers(const CustomerDirectory& customers) {
  for (const Customer& customer : customers.Customers()) {
    Account& account = m_accounts[IndexOf(customer.name)];
    account.limit = customer.limit;
    account.weight = customer.weight;
  }
  m_has_limits = std::any_of(m_accounts.begin(), m_accounts.end(),
                             [](const Account& account) { return HasLimit(account.limit); });
}

CustomerIndex CustomerLedger::IndexOf(const std::string& name) {
  if (name.empty()) return kNoCustomer;
  const auto next = static_cast<CustomerIndex>(m_accounts.size());
  const auto [place, is_new] = m_index.try_emplace(name, next);
  if (is_new) {
    m_accounts.emplace_back();
    m_accounts.back().name = name;
  }
  return place->second;
}

void CustomerLedger::Add(CustomerIndex customer, const Resources& size) {
  m_accounts[customer].running += size;
  ++m_accounts[customer].runs;
}

void CustomerLedger::Remove(CustomerIndex customer, const Resources& size) {
  m_accounts[customer].running -= size;
  --m_accounts[customer].runs;
}

std::vector<Resources> CustomerLedger::Room() const {
  std::vector<Resources> room;
  if (!m_has_limits) return room;
  room.reserve(m_accounts.size());
  for (const Account& account : m_accounts) {
    room.push_back({Left(account.limit.processors_milli, account.running.processors_milli),
                    Left(account.limit.memory_mb, account.running.memory_mb),
                    Left(account.limit.accelerators, account.running.accelerators)});
  }
  return room;
}

bool CustomerLedger::CanEverRun(CustomerIndex customer, const Resources& size,
                                std::uint32_t count) const {
  const Resources& limit = m_accounts[customer].limit;
  const auto fits = [count](std::int64_t limit_of_one, std::int64_t need) {
    return limit_of_one <= 0 || need <= limit_of_one / count;
  };
  return count == 0 ||
         (fits(limit.processors_milli, size.processors_milli) &&
          fits(limit.memory_mb, size.memory_mb) && fits(limit.accelerators, size.accelerators));
}

double CustomerLedger::MaxTokens(const Account& account) {
  return kShareBurst + account.weight * std::chrono::duration<double>(kShareWindow).count();
}

double CustomerLedger::TokensAt(const Account& account, SteadyTime at) {
  const std::chrono::duration<double> elapsed = at - account.tokens_at;
  return std::min(MaxTokens(account),
                  account.tokens + std::max(0.0, elapsed.count()) * account.weight);
}

bool CustomerLedger::IsWithinShare(CustomerIndex customer, SteadyTime at) const {
  const Account& account = m_accounts[customer];
  return account.weight <= 0.0 || TokensAt(account, at) >= 1.0;
}

bool CustomerLedger::CountJob(CustomerIndex customer, SteadyTime at) {
  Account& account = m_accounts[customer];
  const bool is_within = IsWithinShare(customer, at);
  ++(is_within ? account.jobs_within : account.jobs_beyond);
  if (account.weight <= 0.0) return true;
  account.tokens = TokensAt(account, at) - (is_within ? 1.0 : 0.0);
  account.tokens_at = std::max(account.tokens_at, at);
  return is_within;
}

milliseconds CustomerLedger::TimeToShare(CustomerIndex customer, SteadyTime at) const {
  const Account& account = m_accounts[customer];
  if (IsWithinShare(customer, at)) return milliseconds(0);
  const double seconds = (1.0 - TokensAt(account, at)) / account.weight;
  return milliseconds(std::llround(std::ceil(seconds * 1000.0)));
}

std::vector<CustomerLedger::Usage> CustomerLedger::Report(std::size_t max_count) const {
  std::vector<const Account*> accounts;
  for (const Account& account : m_accounts) {
    if (!account.name.empty()) accounts.push_back(&account);
  }
  const std::size_t count = std::min(max_count, accounts.size());
  std::partial_sort(accounts.begin(), accounts.begin() + static_cast<std::ptrdiff_t>(count),
                    accounts.end(), [](const Account* a, const Account* b) {
                      return a->running.processors_milli > b->running.processors_milli;
                    });
  std::vector<Usage> usage;
  for (std::size_t i = 0; i < count; ++i) {
    const Account& account = *accounts[i];
    usage.push_back({account.name, account.running, account.limit, account.runs,
                     account.jobs_within, account.jobs_beyond});
  }
  return usage;
}

}  // namespace citronsill
