#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "citronsill/codec.h"
#include "citronsill/gossip.h"
#include "schema/citronsill.pb.h"

namespace citronsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

schema::MemberState MakeState(const std::string& id, std::uint64_t incarnation,
                              std::int64_t started, std::uint64_t heartbeat) {
  schema::MemberState state;
  state.set_id(id);
  state.set_incarnation(incarnation);
  state.set_started_unix_ms(started);
  state.set_heartbeat(heartbeat);
  state.set_peer_address(id + ":1");
  return state;
}

std::unique_ptr<Membership> MakeMembership(const MembershipOptions& options = {}) {
  return Membership::Create(MakeState("self", 1, 1, 0), options).value();
}

const SteadyTime kStart{std::chrono::hours(1)};

// Guards against an old entry, still in circulation, that replaces that of the restarted process.
TEST_CASE("membership: an older incarnation does not replace a newer one") {
  const auto members = MakeMembership();
  members->Merge({MakeState("a", 70, 1000, 5)}, kStart);
  members->Merge({MakeState("a", 60, 2000, 1)}, kStart);
  CHECK(members->Find("a")->incarnation() == 60);
  members->Merge({MakeState("a", 70, 1000, 900)}, kStart);
  CHECK(members->Find("a")->incarnation() == 60);
}

// Guards against a restarted instance that nobody accepts because its clock was set back.
TEST_CASE("membership: an incarnation with an earlier start is accepted once the other is silent") {
  const auto members = MakeMembership();
  members->Merge({MakeState("a", 70, 2000, 5)}, kStart);
  members->Merge({MakeState("a", 70, 2000, 6)}, kStart);
  members->Merge({MakeState("a", 60, 1000, 1)}, kStart + seconds(1));
  members->Merge({MakeState("a", 60, 1000, 2)}, kStart + seconds(1));
  CHECK(members->Find("a")->incarnation() == 70);
  members->Merge({MakeState("a", 60, 1000, 3)}, kStart + seconds(3));
  CHECK(members->Find("a")->incarnation() == 70);
  members->Merge({MakeState("a", 60, 1000, 4)}, kStart + seconds(3));
  CHECK(members->Find("a")->incarnation() == 60);
  // Others still pass on the former entry, whose counter no longer rises.
  members->Merge({MakeState("a", 70, 2000, 6)}, kStart + seconds(3));
  members->Merge({MakeState("a", 70, 2000, 6)}, kStart + seconds(9));
  CHECK(members->Find("a")->incarnation() == 60);
}

// Guards against a process that was paused itself and then suspects all other members.
TEST_CASE("membership: the own pause does not count as silence of the others") {
  const auto members = MakeMembership();
  members->Heartbeat({}, kStart);
  members->Merge({MakeState("a", 1, 1, 1)}, kStart);
  members->Merge({MakeState("a", 1, 1, 2)}, kStart);
  members->Heartbeat({}, kStart + seconds(10));
  CHECK(members->IsLive("a", kStart + seconds(10)));
  for (int i = 1; i <= 6; ++i) members->Heartbeat({}, kStart + seconds(10) + i * milliseconds(500));
  CHECK_FALSE(members->IsLive("a", kStart + seconds(13)));
}

// Guards against dead members whose entries circulate forever, and against memory that grows with
// the number of all past members.
TEST_CASE("membership: dead members are forgotten and their number is bounded") {
  MembershipOptions options;
  options.max_members = 10;
  const auto members = MakeMembership(options);
  members->Merge({MakeState("dead", 1, 1, 9)}, kStart);
  CHECK_FALSE(members->IsLive("dead", kStart));
  CHECK(members->Digest(kStart + seconds(29)).size() == 2);
  CHECK(members->Digest(kStart + seconds(31)).size() == 1);
  members->Merge({}, kStart + seconds(61));
  CHECK_FALSE(members->Find("dead"));
  for (int i = 0; i < 100; ++i) {
    members->Merge({MakeState("x" + std::to_string(i), 1, 1, 1)}, kStart + seconds(62));
  }
  CHECK(members->Digest(kStart + seconds(62)).size() <= 10);
}

// A cell of instances that exchange gossip, in model time.
struct GossipCell {
  struct Node {
    std::unique_ptr<Membership> membership;
    std::unique_ptr<GossipExchange> gossip;
    std::vector<schema::PartitionOwner> owners;
    bool running = true;
    schema::MemberState load;
  };

  SteadyTime now = kStart;
  std::map<std::string, Node> nodes;
  // Directions in which no message arrives: sender, receiver.
  std::set<std::pair<std::string, std::string>> blocked;
  std::mt19937_64 random{7};

  static std::string Name(unsigned i) { return "horseshoe-" + std::to_string(100 + i); }

  void Add(unsigned i) {
    const std::string address = "127.0.0.1:" + std::to_string(21040 + i);
    Node& node = nodes[address];
    schema::MemberState self = MakeState(Name(i), random(), 1796354000000 + i, 0);
    self.set_peer_address(address);
    self.set_failure_domain("domain-" + std::to_string(i % 4));
    node.membership = Membership::Create(self, {}).value();
    GossipHooks hooks;
    hooks.call = [this, address](const std::string& to, const std::string& params,
                                 const std::function<void(Result<std::string>)>& done) {
      const auto found = nodes.find(to);
      const bool reached =
          found != nodes.end() && found->second.running && blocked.count({address, to}) == 0;
      auto answer =
          reached ? found->second.gossip->Handle(params) : Error{schema::CODE_TIMEOUT, "no answer"};
      if (blocked.count({to, address}) != 0) answer = Error{schema::CODE_TIMEOUT, "no answer"};
      done(std::move(answer));
    };
    hooks.listed_addresses = [this] {
      std::vector<std::string> addresses;
      for (const auto& [other, state] : nodes) addresses.push_back(other);
      return addresses;
    };
    hooks.load = [&node] { return node.load; };
    hooks.owners = [&node] { return node.owners; };
    hooks.merge_owners = [&node](const std::vector<schema::PartitionOwner>& owners) {
      if (node.owners.empty()) node.owners = owners;
      for (std::size_t p = 0; p < owners.size(); ++p) {
        if (owners[p].epoch() > node.owners[p].epoch()) node.owners[p] = owners[p];
      }
    };
    hooks.now = [this] { return now; };
    node.gossip = GossipExchange::Create(*node.membership, {address, i}, std::move(hooks)).value();
  }

  explicit GossipCell(unsigned count) {
    for (unsigned i = 0; i < count; ++i) Add(i);
    for (std::uint32_t p = 0; p < 64; ++p) {
      for (auto& [address, node] : nodes) {
        schema::PartitionOwner owner;
        owner.set_partition(p);
        owner.set_epoch(3);
        owner.set_owner(Name(p % count));
        owner.set_incarnation(p % count + 0x123456789abcdefULL);
        node.owners.push_back(owner);
      }
    }
  }

  // Ticks every running instance once in each period of 500 ms.
  void Run(milliseconds time, const std::function<void()>& check = {}) {
    for (const SteadyTime end = now + time; now < end; now += milliseconds(500)) {
      for (auto& [address, node] : nodes) {
        if (!node.running) continue;
        node.load.set_free_slots(static_cast<std::uint32_t>(random() % 60));
        node.load.set_waiting(static_cast<std::uint32_t>(random() % 200));
        node.gossip->Tick();
      }
      if (check) check();
    }
  }

  std::uint64_t Bytes() const {
    std::uint64_t bytes = 0;
    for (const auto& [address, node] : nodes) {
      bytes += node.gossip->Counts().bytes_sent + node.gossip->Counts().bytes_received;
    }
    return bytes;
  }

  std::uint64_t Messages() const {
    std::uint64_t messages = 0;
    for (const auto& [address, node] : nodes) messages += node.gossip->Counts().messages_sent;
    return messages;
  }
};

// Approximate size of the JSON-RPC envelope and the length field of a frame.
constexpr double kEnvelopeBytes = 64;

// Guards against gossip that uses up the limit of 26 KB/s for all control traffic of a node, and
// against updates that spread too slowly for the suspicion timeout.
TEST_CASE("gossip: bytes and age of updates when every load changes in every period") {
  for (const unsigned count : {8U, 30U, 100U}) {
    GossipCell cell(count);
    const seconds time(count <= 30 ? 60 : 10);
    cell.Run(seconds(5));
    const auto bytes = cell.Bytes();
    const auto messages = cell.Messages();
    milliseconds longest_silence{0};
    std::size_t live = 0;
    unsigned false_suspicions = 0;
    unsigned silent = 0;  // Members silent for over 1 s, whose table row ownership would read.
    cell.Run(time, [&] {
      for (const auto& [address, node] : cell.nodes) {
        const auto members = node.membership->LiveMembers(cell.now);
        false_suspicions += static_cast<unsigned>(count - members.size());
        live += members.size();
        for (const LiveMember& member : members) {
          longest_silence = std::max(longest_silence, member.silence);
          silent += member.silence > milliseconds(1000) ? 1 : 0;
        }
      }
    });
    const double total = static_cast<double>(cell.Bytes() - bytes);
    // Both the sender and the receiver of a message count its bytes.
    const double envelope_bytes =
        2 * kEnvelopeBytes * static_cast<double>(cell.Messages() - messages);
    const double rate = (total + envelope_bytes) / count / static_cast<double>(time.count());
    MESSAGE(count, " members: ", rate, " bytes/s for each instance, sent and received; ",
            total / 2 / static_cast<double>(cell.Messages() - messages),
            " bytes a message; oldest ", longest_silence.count(), " ms, over 1 s ", silent,
            "; false suspicions ", false_suspicions, " of ", live);
    CHECK(rate <= (count <= 30 ? 10000 : 26000));
    CHECK(false_suspicions * 1000 <= live);
  }
}

// Guards against a member that is suspected because one direction of a single connection fails.
TEST_CASE("gossip: a member that is heard only through others stays live") {
  GossipCell cell(3);
  cell.blocked = {{"127.0.0.1:21041", "127.0.0.1:21040"}};
  cell.Run(seconds(10));
  cell.Run(seconds(30), [&] {
    CHECK(cell.nodes["127.0.0.1:21040"].membership->IsLive(GossipCell::Name(1), cell.now));
  });
}

// Guards against updates that reach only some members: the leaving flag, a failure, a new owner.
TEST_CASE("gossip: updates reach all members") {
  GossipCell cell(30);
  cell.Run(seconds(10));
  cell.nodes["127.0.0.1:21041"].load.set_leaving(true);
  cell.nodes["127.0.0.1:21042"].running = false;
  auto& owner = cell.nodes["127.0.0.1:21043"].owners[9];
  owner.set_epoch(4);
  owner.set_owner("new");
  cell.Run(seconds(5));
  for (const auto& [address, node] : cell.nodes) {
    if (!node.running) continue;
    CHECK(node.membership->Find(GossipCell::Name(1))->leaving());
    CHECK_FALSE(node.membership->IsLive(GossipCell::Name(2), cell.now));
    CHECK(node.owners[9].owner() == "new");
  }
}

// Guards against a network split whose sides do not find each other again.
TEST_CASE("gossip: members find each other again after a split of five minutes") {
  GossipCell cell(8);
  cell.Run(seconds(5));
  for (const auto& [a, left] : cell.nodes) {
    for (const auto& [b, right] : cell.nodes) {
      if ((a < "127.0.0.1:21044") != (b < "127.0.0.1:21044")) cell.blocked.insert({a, b});
    }
  }
  cell.Run(seconds(300));
  CHECK(cell.nodes["127.0.0.1:21040"].membership->Live(cell.now).size() == 4);
  cell.blocked.clear();
  cell.Run(seconds(10));
  for (const auto& [address, node] : cell.nodes) {
    CHECK(node.membership->Live(cell.now).size() == 8);
  }
}

// Guards against a damaged message that crashes the process or is accepted.
TEST_CASE("gossip: damaged messages are refused") {
  GossipCell cell(2);
  for (const char* text : {"", "{}x", "[]", "{\"data\":\"AAAA\"}", "{\"data\":5}"}) {
    CHECK_FALSE(cell.nodes.begin()->second.gossip->Handle(text));
  }
}

}  // namespace
}  // namespace citronsill
