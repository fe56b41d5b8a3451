/// What each customer has running, what it may have, and which of its jobs are within its share.
/// Pure: no clock, no calls.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/customers.h"
#include "cell/types.h"

namespace citronsill {

/// Index of a customer in a ledger; `kNoCustomer` for jobs that belong to none.
using CustomerIndex = std::uint32_t;
inline constexpr CustomerIndex kNoCustomer = 0;

/// An amount of room without a limit: above any sum of tasks, and far from an overflow.
inline constexpr std::int64_t kUnlimitedRoom = INT64_MAX / 4;

/// Accounts for the customers of one scheduler.
///
/// Matters when customers together ask for more than there is, or one of them sends many times its
/// usual: what a customer sends within its share does not wait behind what others send beyond
/// theirs, and nobody takes more than its limit, however much is free.
class CustomerLedger {
 public:
  /// Counts for reports.
  struct Usage {
    std::string name;
    Resources running;  ///< Of all runs that have not certainly ended.
    Resources limit;    ///< 0 for no limit.
    std::uint64_t runs = 0;
    std::uint64_t jobs_within = 0;  ///< Jobs accepted within and beyond its share.
    std::uint64_t jobs_beyond = 0;
  };

  CustomerLedger();

  /// Applies a configuration. A customer that it does not name any more keeps its last limit, which
  /// its accepted jobs still have to observe.
  void SetCustomers(const CustomerDirectory& customers);

  /// @returns the index of the customer, `kNoCustomer` for an empty name.
  CustomerIndex IndexOf(const std::string& name);

  /// A run of the customer was assigned to a worker.
  void Add(CustomerIndex customer, const Resources& size);
  /// A run has certainly ended, or certainly never begins.
  void Remove(CustomerIndex customer, const Resources& size);

  /// @returns what each customer may start, by its index; negative below a limit that was lowered.
  /// Empty if no customer has a limit.
  [[nodiscard]] std::vector<Resources> Room() const;

  /// @returns whether `count` tasks of this size may run at the same time if the customer runs
  /// nothing else.
  [[nodiscard]] bool CanEverRun(CustomerIndex customer, const Resources& size,
                                std::uint32_t count) const;

  /// Counts an accepted job.
  /// @param at when it was accepted; not before the last one.
  /// @returns whether it is within the customer's share.
  bool CountJob(CustomerIndex customer, SteadyTime at);

  /// @returns whether the customer's next job would be within its share.
  [[nodiscard]] bool IsWithinShare(CustomerIndex customer, SteadyTime at) const;

  /// @returns how long until a further job of the customer is within its share.
  [[nodiscard]] milliseconds TimeToShare(CustomerIndex customer, SteadyTime at) const;

  /// @returns the customers with the most running work, at most `max_count`.
  [[nodiscard]] std::vector<Usage> Report(std::size_t max_count) const;

 private:
  struct Account {
    std::string name;
    Resources limit;
    double weight = 0.0;  // Jobs per second within its share; 0 for no bound.
    Resources running;
    std::uint64_t runs = 0;
    double tokens = 0.0;  // Jobs that are within its share at `tokens_at`.
    SteadyTime tokens_at{};
    std::uint64_t jobs_within = 0;
    std::uint64_t jobs_beyond = 0;
  };

  [[nodiscard]] static double MaxTokens(const Account& account);
  [[nodiscard]] static double TokensAt(const Account& account, SteadyTime at);

  std::vector<Account> m_accounts;  // By index; the first one is that of `kNoCustomer`.
  std::unordered_map<std::string, CustomerIndex> m_index;
  bool m_has_limits = false;
};

}  // namespace citronsill
