#include "cell/customers.h"

#include <sodium/crypto_generichash.h>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <utility>

namespace citronsill {
namespace {

constexpr std::string_view kScheme = "Bearer";

static_assert(std::tuple_size_v<KeyDigest> >= crypto_generichash_BYTES_MIN);

// @returns the key of an Authorization header, empty if it has none.
std::string_view KeyOf(std::string_view authorization) {
  const bool has_scheme =
      authorization.size() > kScheme.size() &&
      std::equal(kScheme.begin(), kScheme.end(), authorization.begin(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
      });
  if (!has_scheme || authorization[kScheme.size()] != ' ') return {};
  authorization.remove_prefix(
      std::min(authorization.find_first_not_of(' ', kScheme.size()), authorization.size()));
  return authorization.substr(0, authorization.find_last_not_of(' ') + 1);
}

}  // namespace

KeyDigest DigestOfKey(std::string_view key) {
  KeyDigest digest{};
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char*>(key.data()), key.size(), nullptr, 0);
  return digest;
}

std::size_t CustomerDirectory::DigestHash::operator()(const KeyDigest& digest) const {
  std::size_t hash = 0;
  std::memcpy(&hash, digest.data(), sizeof hash);
  return hash;
}

CustomerDirectoryPtr CustomerDirectory::Create(std::vector<Entry> entries, bool needs_keys) {
  auto directory = std::shared_ptr<CustomerDirectory>(new CustomerDirectory());
  directory->m_needs_keys = needs_keys || !entries.empty();
  directory->m_customers.reserve(entries.size());
  directory->m_by_name.reserve(entries.size());
  for (Entry& entry : entries) {
    const auto next = static_cast<std::uint32_t>(directory->m_customers.size());
    const auto [found, is_new] = directory->m_by_name.try_emplace(entry.customer.name, next);
    for (const KeyDigest& key : entry.keys) directory->m_keys.try_emplace(key, found->second);
    if (is_new) directory->m_customers.push_back(std::move(entry.customer));
  }
  return directory;
}

CustomerDirectoryPtr CustomerDirectory::WithKeys(
    const google::protobuf::RepeatedPtrField<schema::CustomerKeys>& keys) const {
  std::vector<Entry> entries;
  entries.reserve(m_customers.size());
  for (const Customer& customer : m_customers) entries.push_back({customer, {}});
  for (const schema::CustomerKeys& sent : keys) {
    const auto found = m_by_name.find(sent.customer());
    if (found == m_by_name.end()) continue;
    for (const std::string& bytes : sent.digests()) {
      KeyDigest digest{};
      if (bytes.size() != digest.size()) continue;
      std::copy(bytes.begin(), bytes.end(), digest.begin());
      entries[found->second].keys.push_back(digest);
    }
  }
  return Create(std::move(entries), m_needs_keys);
}

const Customer* CustomerDirectory::FindByKey(std::string_view key) const {
  if (m_keys.empty()) return nullptr;
  const auto found = m_keys.find(DigestOfKey(key));
  return found == m_keys.end() ? nullptr : &m_customers[found->second];
}

const Customer* CustomerDirectory::Find(const std::string& name) const {
  const auto found = m_by_name.find(name);
  return found == m_by_name.end() ? nullptr : &m_customers[found->second];
}

std::vector<schema::CustomerKeys> CustomerDirectory::Keys() const {
  std::vector<schema::CustomerKeys> keys(m_customers.size());
  for (std::size_t i = 0; i < keys.size(); ++i) keys[i].set_customer(m_customers[i].name);
  for (const auto& [digest, index] : m_keys) {
    keys[index].add_digests(reinterpret_cast<const char*>(digest.data()), digest.size());
  }
  return keys;
}

Caller FindCaller(const CustomerDirectory& customers, std::string_view authorization,
                  bool is_public) {
  if (!customers.NeedsKeys()) return {};
  const std::string_view key = KeyOf(authorization);
  const Customer* customer = key.empty() ? nullptr : customers.FindByKey(key);
  if (customer != nullptr || is_public) return {CallerVerdict::kAllowed, customer};
  return {key.empty() ? CallerVerdict::kNoKey : CallerVerdict::kUnknownKey, nullptr};
}

}  // namespace citronsill
