/// Customers of a configuration and their keys. A key is only kept as a digest, so that it cannot
/// reach a log, a row or another instance.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cell/types.h"
#include "citronsill/result.h"
#include "schema/cell.pb.h"

namespace citronsill {

/// Digest of a customer's key.
using KeyDigest = std::array<std::uint8_t, 16>;

/// @returns the BLAKE2b digest of a key.
KeyDigest DigestOfKey(std::string_view key);

/// One customer of the configuration.
struct Customer {
  std::string name;
  /// Its share when there is too little room: jobs per second that count as within its share.
  double weight = 0.0;
  /// Resources that its tasks may take on all workers together; 0 for no limit.
  Resources limit;
};

/// The customers of one configuration. Immutable.
class CustomerDirectory {
 public:
  /// A customer and the digests of its keys.
  struct Entry {
    Customer customer;
    std::vector<KeyDigest> keys;
  };

  /// @param entries a key that several customers have belongs to the first of them. Entries of one
  /// name are one customer with the keys of all of them, and the weight and limit of the first.
  /// @param needs_keys whether calls need a key even if there is no entry, because none of the
  /// configuration's customers could be read.
  static std::shared_ptr<const CustomerDirectory> Create(std::vector<Entry> entries,
                                                         bool needs_keys = false);

  /// @returns a directory of the same customers with the keys that another instance has sent.
  [[nodiscard]] std::shared_ptr<const CustomerDirectory> WithKeys(
      const google::protobuf::RepeatedPtrField<schema::CustomerKeys>& keys) const;

  /// @returns the customer that has the key, null for an unknown key.
  [[nodiscard]] const Customer* FindByKey(std::string_view key) const;

  /// @returns the customer, null if there is none of this name.
  [[nodiscard]] const Customer* Find(const std::string& name) const;

  [[nodiscard]] const std::vector<Customer>& Customers() const { return m_customers; }

  /// @returns whether there are no customers.
  [[nodiscard]] bool IsEmpty() const { return m_customers.empty(); }

  /// @returns whether calls need the key of a customer.
  [[nodiscard]] bool NeedsKeys() const { return m_needs_keys; }

  [[nodiscard]] std::size_t KeyCount() const { return m_keys.size(); }

  /// @returns the digests of all keys, to be sent to other instances.
  [[nodiscard]] std::vector<schema::CustomerKeys> Keys() const;

 private:
  struct DigestHash {
    std::size_t operator()(const KeyDigest& digest) const;
  };

  CustomerDirectory() = default;

  bool m_needs_keys = false;
  std::vector<Customer> m_customers;
  std::unordered_map<std::string, std::uint32_t> m_by_name;         // Index in `m_customers`.
  std::unordered_map<KeyDigest, std::uint32_t, DigestHash> m_keys;  // The same, by key.
};
using CustomerDirectoryPtr = std::shared_ptr<const CustomerDirectory>;

/// Who may make a call, by its key.
enum class CallerVerdict {
  kAllowed,
  kNoKey,       ///< The call needs a key and has none.
  kUnknownKey,  ///< No customer of the configuration has this key.
};

struct Caller {
  CallerVerdict verdict = CallerVerdict::kAllowed;
  /// Customer of the key; null without customers, and for a call without a known key to a public
  /// queue.
  const Customer* customer = nullptr;
};

/// @param authorization value of the header of the call: "Bearer KEY".
/// @param is_public whether calls to the queue need no key.
Caller FindCaller(const CustomerDirectory& customers, std::string_view authorization,
                  bool is_public);

}  // namespace citronsill
