#include "citronsill/roster.h"

#include "internal.h"

namespace citronsill {
namespace {

// Consecutive lists without a worker after which the worker counts as removed.
constexpr std::uint64_t kListsUntilRemoved = 3;

}  // namespace

struct Roster::Impl {
  mutable std::mutex mutex;
  schema::Directory directory;
  std::uint64_t list_count = 0;
  std::map<std::string, std::uint64_t> last_listed;  // Number of the last list with the worker.

  bool IsRemoved(const std::string& worker) const {
    if (list_count < kListsUntilRemoved) return false;
    const auto found = last_listed.find(worker);
    return found == last_listed.end() || list_count - found->second >= kListsUntilRemoved;
  }
};

Roster::Roster() : m_impl(std::make_unique<Impl>()) {}

Roster::~Roster() = default;

std::vector<std::string> Roster::Update(const schema::Directory& directory) {
  std::lock_guard lock(m_impl->mutex);
  m_impl->directory = directory;
  ++m_impl->list_count;
  for (const schema::DirectoryEntry& worker : directory.workers()) {
    m_impl->last_listed[worker.id()] = m_impl->list_count;
  }
  std::vector<std::string> removed;
  std::erase_if(m_impl->last_listed, [&](const auto& entry) {
    if (m_impl->list_count - entry.second < kListsUntilRemoved) return false;
    removed.push_back(entry.first);
    return true;
  });
  return removed;
}

bool Roster::HasList() const {
  std::lock_guard lock(m_impl->mutex);
  return m_impl->list_count > 0;
}

schema::Directory Roster::List() const {
  std::lock_guard lock(m_impl->mutex);
  return m_impl->directory;
}

std::vector<std::string> Roster::InstanceAddresses() const {
  std::lock_guard lock(m_impl->mutex);
  std::vector<std::string> addresses;
  for (const schema::DirectoryEntry& instance : m_impl->directory.instances()) {
    addresses.push_back(instance.address());
  }
  return addresses;
}

bool Roster::IsRemoved(const std::string& worker) const {
  std::lock_guard lock(m_impl->mutex);
  return m_impl->IsRemoved(worker);
}

}  // namespace citronsill
