// Customers of the configuration, whose keys come and go and whose limits change, and the times
// from which callers and workers may see that.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "../cell/loop.h"
#include "cell/types.h"

namespace citronsill::soak {

class Customers {
 public:
  // A change has to be in force within this time: a bound from the platform's rules.
  static constexpr milliseconds kChangeTime{2000};
  // Instances are held to that when they have not been disrupted for this long.
  static constexpr milliseconds kContactTime{3000};

  // The keys that a call may carry.
  enum class KeyKind { kOwn, kWithdrawn, kNeverHeld, kNone, kOfOther };
  struct Key {
    KeyKind kind = KeyKind::kNone;
    std::string text;  // Empty for no key.
  };

  Customers(std::uint64_t seed, int count, SteadyTime now);

  // Withdraws a key, adds one or returns a withdrawn one, and sometimes changes a limit. To be
  // followed by a new configuration at once.
  void Change(SteadyTime now);
  // Ends all limits, so that all that waits can run.
  void LiftLimits(SteadyTime now);
  // @returns the customers as a field of the configuration.
  [[nodiscard]] std::string ConfigField() const;

  // @returns the name of a random customer.
  std::string Draw();
  // @returns a random key of the kind for a job of the customer; one of kind kNeverHeld if there is
  // none.
  Key DrawKey(const std::string& customer, KeyKind kind);
  // @returns a key of any kind but the customer's own ones.
  Key DrawWrongKey(const std::string& customer);
  // @returns whether the key has been in the configuration for longer than the bound.
  [[nodiscard]] bool CountsForSure(const std::string& key, SteadyTime now) const;
  // @returns whether the key has been out of the configuration for longer than the bound.
  [[nodiscard]] bool IsGoneForSure(const std::string& key, SteadyTime now) const;

  // Limits that are replaced may stay in force until the bound has passed and nothing has been
  // disrupted for a while. To be called periodically.
  void RetireLimits(SteadyTime now, SteadyTime disrupted_until);
  // @returns whether `running`, with a start of a task of this size, is above the limits of the
  // customer that may be in force, by a tenth and one task.
  [[nodiscard]] bool IsOver(const std::string& customer, Resources running, Resources size) const;
  // @returns whether `running` is at most half of all limits of the customer that may be in force.
  [[nodiscard]] bool IsUnderHalf(const std::string& customer, Resources running) const;

 private:
  struct Limit {
    Resources limit;                          // 0 for none.
    std::optional<SteadyTime> replaced_at{};  // Empty for the newest one.
  };
  struct Customer {
    int weight = 1;
    std::vector<Limit> limits;  // Those that may be in force; the last one is the newest.
  };
  // A key is in the configuration from `since` until `until`.
  struct KeyTimes {
    std::string customer;
    SteadyTime since{};
    std::optional<SteadyTime> until{};
  };

  void AddKey(const std::string& customer, SteadyTime now);
  void SetLimit(Customer* customer, Resources limit, SteadyTime now);
  Resources RandomLimit();
  std::vector<std::string> KeysWhere(const std::string& customer, bool is_own, bool in_force) const;

  model::Loop m_random;  // Random numbers only.
  std::map<std::string, Customer> m_customers;
  std::map<std::string, KeyTimes> m_keys;
  std::uint64_t m_last_key = 0;
};

}  // namespace citronsill::soak
