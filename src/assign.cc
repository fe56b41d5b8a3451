#include <xxhash.h>

#include "citronsill/ownership.h"
#include "internal.h"

namespace citronsill {

PartitionId PartitionOf(std::string_view id, std::uint32_t partition_count) {
  const std::uint64_t hash = XXH64(id.data(), id.size(), 0);
  return PartitionId{static_cast<std::uint32_t>(hash % partition_count)};
}

std::vector<std::size_t> AssignPartitions(const std::vector<std::string>& members,
                                          std::uint32_t partition_count) {
  std::vector<std::size_t> owners(partition_count, 0);
  if (members.empty()) return owners;
  const std::size_t limit = (partition_count + members.size() - 1) / members.size();
  std::vector<std::size_t> load(members.size(), 0);
  for (std::uint32_t partition = 0; partition < partition_count; ++partition) {
    // Rendezvous hashing with a bound on the load: the member with the highest hash that has room.
    std::optional<std::pair<std::uint64_t, std::size_t>> best;
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (load[i] >= limit) continue;
      const std::uint64_t hash = XXH64(members[i].data(), members[i].size(), partition + 1);
      if (!best || hash > best->first) best = {hash, i};
    }
    owners[partition] = best->second;
    ++load[best->second];
  }
  return owners;
}

}  // namespace citronsill
