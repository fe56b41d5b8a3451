#include "citronsill/operators.h"
#include "internal.h"

namespace citronsill {

std::vector<ExpectedInstance> ExpectedPeers(const schema::Directory& list,
                                            const std::vector<schema::MemberState>& known,
                                            const std::vector<schema::MemberState>& live,
                                            const std::string& self) {
  std::set<std::string> heard;
  for (const schema::MemberState& member : live) heard.insert(member.id());
  std::map<std::string, std::string> addresses;
  for (const schema::DirectoryEntry& instance : list.instances()) {
    if (!instance.leaving()) addresses[instance.id()] = instance.address();
  }
  for (const schema::MemberState& member : known) {
    addresses[member.id()] = member.peer_address();
    if (member.leaving() && !heard.contains(member.id())) addresses.erase(member.id());
  }
  addresses.erase(self);
  std::vector<ExpectedInstance> peers;
  peers.reserve(addresses.size());
  for (const auto& [id, address] : addresses) peers.push_back({id, address});
  return peers;
}

std::vector<OwnedWorker> ApplyTargetRecords(const schema::Directory& list, const Records& records) {
  std::map<std::string, OwnedWorker> workers;
  for (const schema::DirectoryEntry& worker : list.workers()) {
    workers[worker.id()] = {worker.id(), worker.address(), 0, worker.leaving()};
  }
  for (const auto& [id, target] : records.Targets()) {
    if (target.mark() == schema::TARGET_MARK_REMOVED) {
      workers.erase(id);
      continue;
    }
    OwnedWorker& worker = workers[id];
    worker.id = id;
    worker.address = target.address();
    worker.leaving = worker.leaving || target.mark() == schema::TARGET_MARK_DRAIN;
  }
  std::vector<OwnedWorker> result;
  result.reserve(workers.size());
  for (auto& [id, worker] : workers) result.push_back(std::move(worker));
  return result;
}

}  // namespace citronsill
