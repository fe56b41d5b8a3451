// Tests which connections are closed when those of a process hold too much, and how the limits
// follow from the machine. Guards against a process that its clients end by memory or descriptors,
// and against closing the wrong ones.
#include "citronsill/connection_budget.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

#include "cell/connection_limits.h"
#include "cell/node_settings.h"

namespace citronsill {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kIdleBytes = 10;
constexpr SteadyTime kStart{std::chrono::hours(1)};

// Connections of one budget, by name, and the evictions in their order.
struct Connections {
  explicit Connections(std::size_t max_bytes, std::size_t max_connections = 100)
      : budget(std::make_shared<ConnectionBudget>(ConnectionBudgetLimits{max_bytes, 2000ms})) {
    group->max_connections = max_connections;
  }

  bool Join(const std::string& name) {
    auto share = budget->Join(group, kIdleBytes, now, [this, name](const Eviction& eviction) {
      evicted.push_back(name + " " + EvictionReasonName(eviction.reason) +
                        (eviction.at_once ? " at once" : ""));
      // As a server does: a connection that is closed leaves the budget.
      if (eviction.at_once) shares.erase(name);
    });
    if (!share) return false;
    shares[name] = std::move(share);
    return true;
  }

  bool Set(const std::string& name, ConnectionState state, std::size_t bytes) {
    return shares.at(name)->Set(state, bytes, now);
  }

  std::shared_ptr<ConnectionBudget> budget;
  std::shared_ptr<ConnectionGroup> group = std::make_shared<ConnectionGroup>();
  std::map<std::string, std::unique_ptr<ConnectionBudget::Share>> shares;
  std::vector<std::string> evicted;
  SteadyTime now = kStart;
};

using Evicted = std::vector<std::string>;

TEST_CASE("connection budget: idle, then slow, then unfinished requests make room") {
  Connections connections(200);
  for (const char* name : {"idle", "slow", "answering"}) REQUIRE(connections.Join(name));
  REQUIRE(connections.Set("slow", ConnectionState::kReading, 50));
  REQUIRE(connections.Set("answering", ConnectionState::kAnswering, 60));
  connections.now += 3s;
  for (const char* name : {"small", "large", "new"}) REQUIRE(connections.Join(name));
  REQUIRE(connections.Set("small", ConnectionState::kReading, 15));
  REQUIRE(connections.Set("large", ConnectionState::kReading, 55));
  CHECK(connections.budget->Bytes() == 200);
  CHECK(connections.evicted.empty());
  REQUIRE(connections.Set("new", ConnectionState::kReading, 20));
  CHECK(connections.evicted == Evicted{"idle idle at once"});
  REQUIRE(connections.Set("new", ConnectionState::kReading, 30));
  CHECK(connections.evicted.back() == "slow slow");
  // What was refused before goes first, then the request that holds most.
  REQUIRE(connections.Set("new", ConnectionState::kReading, 51));
  REQUIRE(connections.Set("new", ConnectionState::kReading, 71) == false);
  CHECK(connections.evicted == Evicted{"idle idle at once", "slow slow", "slow refused at once"});
}

TEST_CASE("connection budget: of unfinished requests the one that holds most is refused") {
  Connections connections(200);
  for (const char* name : {"small", "large"}) REQUIRE(connections.Join(name));
  REQUIRE(connections.Set("large", ConnectionState::kReading, 180));
  REQUIRE(connections.Set("small", ConnectionState::kReading, 30));
  CHECK(connections.evicted == Evicted{"large unfinished"});
  // It is only told so, and still holds its connection.
  CHECK(connections.group->connections == 2);
  CHECK(connections.budget->Bytes() == 40);
  CHECK_FALSE(connections.Set("large", ConnectionState::kAnswering, 180));
}

TEST_CASE("connection budget: a request that is being answered is never evicted") {
  Connections connections(100, 3);
  for (const char* name : {"a", "b", "c"}) REQUIRE(connections.Join(name));
  for (const std::size_t bytes : {20, 60}) {
    for (const char* name : {"a", "b", "c"}) {
      REQUIRE(connections.Set(name, ConnectionState::kAnswering, bytes));
    }
  }
  CHECK_FALSE(connections.Join("d"));
  connections.now += 100s;
  CHECK_FALSE(connections.Join("e"));
  CHECK(connections.evicted.empty());
  CHECK(connections.budget->Bytes() == 180);
  // Answered, the connection is idle, and closed because all hold too much.
  CHECK_FALSE(connections.Set("a", ConnectionState::kIdle, kIdleBytes));
  connections.shares.erase("a");
  CHECK(connections.group->connections == 2);
}

TEST_CASE("connection budget: a request whose client has left makes room") {
  Connections connections(100, 3);
  for (const char* name : {"idle", "left", "answering"}) REQUIRE(connections.Join(name));
  REQUIRE(connections.Set("left", ConnectionState::kAnswering, 20));
  REQUIRE(connections.Set("answering", ConnectionState::kAnswering, 20));
  REQUIRE(connections.Set("left", ConnectionState::kAbandoned, 20));
  connections.now += 100s;
  REQUIRE(connections.Join("d"));
  CHECK(connections.evicted == Evicted{"left abandoned at once"});
  REQUIRE(connections.Join("e"));
  CHECK(connections.evicted.back() == "idle idle at once");
}

TEST_CASE("connection budget: a connection above the maximum replaces the longest idle one") {
  Connections connections(ConnectionBudgetLimits::kUnlimited, 3);
  for (const char* name : {"a", "b", "c"}) {
    REQUIRE(connections.Join(name));
    connections.now += 1s;
  }
  REQUIRE(connections.Set("a", ConnectionState::kAnswering, 20));
  REQUIRE(connections.Set("a", ConnectionState::kIdle, 10));
  connections.now += 5s;
  REQUIRE(connections.Join("d"));
  CHECK(connections.evicted == Evicted{"b idle at once"});
  REQUIRE(connections.Set("c", ConnectionState::kReading, 500));
  REQUIRE(connections.Join("e"));
  // A connection that is closed for its place is closed at once.
  CHECK(connections.evicted.back() == "a idle at once");
  CHECK(connections.group->connections == 3);
}

// Guards against bytes or connections that are counted twice or not at all.
TEST_CASE("connection budget: any sequence keeps the bounds and leaves nothing behind") {
  constexpr std::size_t kMaxBytes = 2000;
  constexpr std::size_t kMaxConnections = 20;
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Connections connections(kMaxBytes, kMaxConnections);
    std::map<std::string, std::size_t> answering;  // Bytes of the connections that are answered.
    for (int step = 0; step < 2000; ++step) {
      connections.now += std::chrono::milliseconds(random() % 300);
      const std::string name = std::to_string(random() % 40);
      if (!connections.shares.contains(name)) {
        connections.Join(name);
      } else if (random() % 4 == 0) {
        connections.shares.erase(name);
        answering.erase(name);
      } else {
        const auto state = static_cast<ConnectionState>(random() % 4);
        const std::size_t bytes = kIdleBytes + random() % 400;
        answering.erase(name);
        const bool fits = connections.Set(name, state, bytes);
        if (fits && state == ConnectionState::kAnswering) answering[name] = bytes;
        if (!fits && random() % 2 == 0) connections.shares.erase(name);
      }
      std::size_t answering_bytes = 0;
      for (const auto& [answered, held] : answering) {
        CHECK(connections.shares.contains(answered));  // Not evicted.
        answering_bytes += held;
      }
      CHECK(connections.group->connections <= kMaxConnections);
      CHECK(connections.budget->Bytes() >= answering_bytes);
      // Only connections that are being answered may exceed the budget, and the place of the last
      // one that was refused because of them.
      CHECK(connections.budget->Bytes() <= std::max(kMaxBytes, answering_bytes + kIdleBytes));
    }
    connections.shares.clear();
    CHECK(connections.budget->Bytes() == 0);
    CHECK(connections.group->connections == 0);
  }
}

TEST_CASE("connection budget: an answer that is not read makes room after a while") {
  Connections connections(1000, 2);
  for (const char* name : {"unread", "answering"}) REQUIRE(connections.Join(name));
  REQUIRE(connections.Set("answering", ConnectionState::kAnswering, 60));
  REQUIRE(connections.Set("unread", ConnectionState::kWriting, 60));
  connections.now += 1999ms;
  CHECK_FALSE(connections.Join("early"));
  connections.now += 1ms;
  CHECK(connections.Join("new"));
  CHECK(connections.evicted == Evicted{"unread unread at once"});
  connections.now += 3s;
  REQUIRE(connections.Set("new", ConnectionState::kAnswering, 60));
  CHECK_FALSE(connections.Join("newer"));
}

TEST_CASE("connection budget: slow requests go before answers that are not read") {
  Connections connections(1000, 3);
  for (const char* name : {"unread", "slow", "idle"}) REQUIRE(connections.Join(name));
  REQUIRE(connections.Set("unread", ConnectionState::kWriting, 60));
  REQUIRE(connections.Set("slow", ConnectionState::kReading, 60));
  connections.now += 3s;
  for (const char* name : {"first", "second", "third"}) REQUIRE(connections.Join(name));
  CHECK(connections.evicted ==
        Evicted{"idle idle at once", "slow slow at once", "unread unread at once"});
}

// Guards against limits that let the connections of a small machine take more than it has, or that
// refuse callers inside the limits of the pages.
TEST_CASE("connection limits: what a machine allows leaves room for the process") {
  struct Machine {
    std::uint32_t memory_mb;
    std::uint32_t descriptors;
  };
  for (const Machine& machine :
       {Machine{120, 3075}, {160, 4100}, {260, 4100}, {400, 10250}, {512, 8192}, {4096, 65536}}) {
    CAPTURE(machine.memory_mb);
    LimitSettings settings;
    settings.memory_mb = machine.memory_mb;
    settings.max_descriptors = machine.descriptors;
    const ProcessLimits limits = WorkOutLimits(settings);
    const auto pending = [](const ListenOptions& listen) {
      return listen.max_pending * listen.MaxUnreadBytes();
    };
    // What the system holds for accepted connections is part of the budgets.
    const std::size_t total = limits.connection_bytes + limits.answer_bytes + limits.link_bytes +
                              pending(limits.caller_listen) + 2 * pending(limits.service_listen) +
                              pending(limits.link_listen);
    const std::size_t memory = std::size_t{machine.memory_mb} << 20U;
    // The scheduler of a grown cell takes 95 MB, and any instance may become the scheduler.
    CHECK(total + (95U << 20U) <= memory);
    // 500 idle callers and 20 bodies of 262,144 bytes at a time are inside the limits.
    const std::size_t idle_bytes = kHttpConnectionBytes + limits.caller_listen.MaxUnreadBytes();
    CHECK(limits.caller_listen.receive_buffer_bytes > 0);
    CHECK(500 * idle_bytes + std::size_t{20} * 262144 <= limits.connection_bytes);
    CHECK(limits.max_caller_connections >= 900);
    CHECK(limits.max_links >= 300);
    // A link without a message takes 18 KiB. The cell with the smallest machines has 32 instances
    // without spare ones, the largest cell 147.
    CHECK(limits.link_listen.receive_buffer_bytes > 0);
    const std::size_t link_bytes = (18U << 10U) + limits.link_listen.MaxUnreadBytes();
    CHECK(limits.link_bytes >= (machine.memory_mb >= 160 ? 300 : 100) * link_bytes);
    // Three full pages of the store at a time.
    CHECK(limits.answer_bytes >= std::size_t{3} * (2U << 20U));
    CHECK(limits.max_caller_connections + limits.max_links + 2 * limits.max_service_connections <
          machine.descriptors - 200);
  }
}

// Guards against connections without a common limit where the settings do not say what the machine
// has.
TEST_CASE("connection limits: without settings memory is that of the smallest machine") {
  const ProcessLimits limits = WorkOutLimits(LimitSettings{});
  LimitSettings smallest;
  smallest.memory_mb = 120;
  const ProcessLimits expected = WorkOutLimits(smallest);
  CHECK(limits.connection_bytes == expected.connection_bytes);
  CHECK(limits.answer_bytes == expected.answer_bytes);
  CHECK(limits.link_bytes == expected.link_bytes);
  CHECK(limits.caller_listen.receive_buffer_bytes == expected.caller_listen.receive_buffer_bytes);
  CHECK(limits.connection_bytes + limits.answer_bytes + limits.link_bytes <= 24U << 20U);
  CHECK(limits.max_links == ConnectionBudgetLimits::kUnlimited);
  CHECK(limits.max_caller_connections == kMaxHttpConnections);
  CHECK(limits.max_answer_bytes == 16U << 20U);
  CHECK(limits.max_service_connections == 64);
}

TEST_CASE("connection limits: settings are read, and refused outside their range") {
  const std::string text =
      R"({"instance":"n","failure_domain":"a","region":"r","ingress_address":"127.0.0.1:1",)"
      R"("link_address":"127.0.0.1:2","store_address":"127.0.0.1:3")";
  const auto file = ParseNodeSettings(
      text + R"(,"memory_mb":120,"max_descriptors":3075,"connection_budget_mb":7,"max_links":5,)"
             R"("max_caller_connections":33,"slow_connection_ms":500,"job_budget_mb":9})",
      "test");
  REQUIRE(file);
  const ProcessLimits limits = WorkOutLimits(file.value().node.limits);
  CHECK(limits.connection_bytes == 7U << 20U);
  CHECK(limits.max_links == 5);
  CHECK(limits.max_caller_connections == 33);
  CHECK(file.value().node.limits.slow_connection == 500ms);
  CHECK(file.value().node.limits.job_budget_mb == 9);
  for (const char* wrong :
       {R"("memory_mb":0)", R"("memory_mb":1.5)", R"("max_descriptors":"many")",
        R"("max_answer_mb":-1)", R"("slow_connection_ms":0)", R"("job_budget_mb":0)"}) {
    CAPTURE(wrong);
    CHECK_FALSE(ParseNodeSettings(text + "," + wrong + "}", "test"));
  }
}

}  // namespace
}  // namespace citronsill
