#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "citronsill/ownership.h"

namespace citronsill {
namespace {

std::vector<std::string> MakeMembers(unsigned count) {
  std::vector<std::string> members;
  for (unsigned i = 0; i < count; ++i) members.push_back("instance-" + std::to_string(i));
  return members;
}

// Guards against an instance that owns far more partitions than the others.
TEST_CASE("partitions are spread evenly") {
  for (const unsigned count : {1U, 2U, 7U, 8U, 30U}) {
    const auto members = MakeMembers(count);
    std::vector<unsigned> load(count, 0);
    for (const std::size_t owner : AssignPartitions(members, 64)) ++load[owner];
    CHECK(*std::max_element(load.begin(), load.end()) <= (64 + count - 1) / count);
  }
}

// Guards against a failure of one instance that also moves the partitions of the others.
TEST_CASE("the loss of one member moves few other partitions") {
  auto members = MakeMembers(8);
  const auto before = AssignPartitions(members, 64);
  const std::string removed = members[3];
  const auto all = members;
  members.erase(members.begin() + 3);
  const auto after = AssignPartitions(members, 64);
  unsigned moved = 0;
  for (unsigned p = 0; p < 64; ++p) {
    if (all[before[p]] != removed && all[before[p]] != members[after[p]]) ++moved;
  }
  CHECK(moved <= 16);
}

// Guards against a join or leave that moves many more partitions than the share of that member.
TEST_CASE("a join or leave moves less than twice the minimum") {
  for (const unsigned count : {2U, 8U, 30U}) {
    unsigned moved = 0;
    unsigned minimum = 0;
    for (unsigned trial = 0; trial < 40; ++trial) {
      std::vector<std::string> members;
      for (unsigned i = 0; i <= count; ++i) {
        members.push_back("cell-" + std::to_string(trial) + "-" + std::to_string(100 + i));
      }
      const auto with = AssignPartitions(members, 64);
      const std::string last = members.back();
      const auto all = members;
      members.pop_back();
      const auto without = AssignPartitions(members, 64);
      for (unsigned p = 0; p < 64; ++p) {
        moved += all[with[p]] != members[without[p]] ? 1 : 0;
        minimum += all[with[p]] == last ? 1 : 0;
      }
    }
    MESSAGE(count, " members: ", moved / 40.0, " moved, minimum ", minimum / 40.0);
    CHECK(moved < 2 * minimum);
  }
}

}  // namespace
}  // namespace citronsill
