#include "citronsill/access.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <sys/stat.h>

#include <fstream>
#include <sstream>

#include "citronsill/fields.h"
#include "citronsill/log.h"
#include "internal.h"

namespace citronsill {
namespace {

constexpr std::string_view kAuthorizationScheme = "Bearer ";
// 16 characters of base64 hold 96 random bits, which cannot be guessed over the network.
constexpr std::size_t kMinKeyBytes = 16;
constexpr std::size_t kMaxAccessKeyBytes = 1024;

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

// Digests have the same length for all keys, so that a comparison does not reveal the length.
Digest Hash(std::string_view key) {
  Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
  return digest;
}

struct Key {
  std::string name;
  schema::Role role = schema::ROLE_NONE;
  Digest digest{};
};

Result<std::vector<Key>> ParseKeys(const std::string& path, std::string_view text) {
  FieldRules rules;
  rules.allow_comments = true;
  std::string plain;
  const auto errors = CheckFields(text, *schema::AccessKeys::descriptor(), rules, &plain);
  if (!errors.empty()) {
    // The message omits the value, because it may be a key.
    return Error{
        schema::CODE_SETTINGS_INVALID,
        path + ": " + errors.front().path + " is invalid; allowed: " + errors.front().allowed};
  }
  schema::AccessKeys parsed;
  if (!FromJson(plain, UnknownFields::kReject, &parsed)) {
    return Error{schema::CODE_SETTINGS_INVALID, path + ": not a list of access keys"};
  }
  std::vector<Key> keys;
  for (int i = 0; i < parsed.keys_size(); ++i) {
    const schema::AccessKey& key = parsed.keys(i);
    const bool is_valid_length =
        key.key().size() >= kMinKeyBytes && key.key().size() <= kMaxAccessKeyBytes;
    if (key.name().empty() || key.role() == schema::ROLE_NONE || !is_valid_length) {
      return Error{schema::CODE_SETTINGS_INVALID,
                   path + ": keys[" + std::to_string(i) +
                       "] is invalid; allowed: a name, a role, and a key of 16 to 1024 characters"};
    }
    keys.push_back({key.name(), key.role(), Hash(key.key())});
  }
  return keys;
}

Result<std::vector<Key>> ReadKeys(const std::string& path) {
  std::ifstream file(path);
  if (!file) return Error{schema::CODE_SETTINGS_UNREADABLE, path + ": cannot be opened"};
  std::stringstream text;
  text << file.rdbuf();
  return ParseKeys(path, text.str());
}

// @returns inode, size and modification time, which change when the file is replaced or rewritten;
// empty if the file cannot be examined.
std::string FileVersion(const std::string& path) {
  struct stat info {};
  if (stat(path.c_str(), &info) != 0) return "";
  return fmt::format("{}.{}.{}.{}", info.st_ino, info.st_size, info.st_mtim.tv_sec,
                     info.st_mtim.tv_nsec);
}

}  // namespace

struct AccessControl::Impl {
  std::string path;
  mutable std::shared_mutex mutex;
  std::vector<Key> keys;
  std::string file_version;
};

Result<std::unique_ptr<AccessControl>> AccessControl::Create(const std::string& path) {
  auto impl = std::make_unique<Impl>();
  impl->path = path;
  if (!path.empty()) {
    impl->file_version = FileVersion(path);
    BOOST_OUTCOME_TRY(impl->keys, ReadKeys(path));
  }
  return std::unique_ptr<AccessControl>(new AccessControl(std::move(impl)));
}

AccessControl::AccessControl(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

AccessControl::~AccessControl() = default;

Result<std::string> AccessControl::Authorize(const std::string& authorization,
                                             schema::Role needed) const {
  if (m_impl->path.empty() || needed == schema::ROLE_NONE) return std::string("anyone");
  if (!authorization.starts_with(kAuthorizationScheme)) {
    return Error{schema::CODE_UNAUTHENTICATED,
                 "the header \"Authorization: Bearer KEY\" is needed"};
  }
  const Digest digest = Hash(std::string_view(authorization).substr(kAuthorizationScheme.size()));
  std::shared_lock lock(m_impl->mutex);
  const Key* found = nullptr;
  for (const Key& key : m_impl->keys) {
    if (CRYPTO_memcmp(key.digest.data(), digest.data(), digest.size()) == 0) found = &key;
  }
  if (found == nullptr) return Error{schema::CODE_UNAUTHENTICATED, "the access key is not known"};
  if (found->role < needed) {
    return Error{schema::CODE_FORBIDDEN, "the access key " + found->name + " is not an operator's"};
  }
  return found->name;
}

void AccessControl::Refresh() {
  if (m_impl->path.empty()) return;
  const std::string file_version = FileVersion(m_impl->path);
  {
    std::shared_lock lock(m_impl->mutex);
    if (file_version == m_impl->file_version) return;
  }
  auto keys = ReadKeys(m_impl->path);
  std::unique_lock lock(m_impl->mutex);
  m_impl->file_version = file_version;
  if (!keys) {
    spdlog::error("event=access_keys_rejected reason={}", LogText(Describe(keys.error())));
    return;
  }
  m_impl->keys = std::move(keys).value();
  spdlog::info("event=access_keys_read count={}", m_impl->keys.size());
}

}  // namespace citronsill
