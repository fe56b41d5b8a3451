// Tests that a configuration of megabytes reaches an instance with a weak link in time.
#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "cell/follower.h"
#include "cell/limits.h"
#include "cell/relay.h"
#include "cell/succession.h"
#include "follower_view.h"
#include "narrow_link.h"

namespace citronsill {
namespace {

using namespace model;

constexpr double kBytesPerMs = 1250;  // 10 Mbit/s.

// @returns the text of a configuration: its version, and routes as the operator writes them.
std::string Text(std::uint64_t version, int routes) {
  constexpr std::size_t kRouteBytes = 195;
  return std::to_string(version) + " " +
         std::string(static_cast<std::size_t>(routes) * kRouteBytes, 'r');
}

std::uint64_t VersionOf(const std::string& text) { return std::stoull(text); }

// An instance with a link of 10 Mbit/s and the scheduler, which has each change within 30 ms.
class WeakInstance {
 public:
  WeakInstance(Loop& loop, int first_ping_ms) : m_loop(loop), link(loop, kBytesPerMs) {
    FollowerHooks hooks;
    hooks.now = [&loop] { return loop.Now(); };
    hooks.after = [&loop](milliseconds delay, std::function<void()> action) {
      loop.After(delay, std::move(action));
    };
    hooks.random = [&loop] { return static_cast<std::uint32_t>(loop.Between(0, 1 << 30)); };
    hooks.on_change = [this](const Row& row) { Apply(VersionOf(row.value)); };
    hooks.on_snapshot = [change = hooks.on_change](const std::vector<Row>& rows) {
      for (const Row& row : rows) change(row);
    };
    follower = TableFollower::Create(&relayed, "op", "", std::move(hooks));
    Tick();
    loop.After(milliseconds(first_ping_ms), [this] { Ping(); });
  }

  // The operator writes a configuration. @returns its size.
  std::size_t Put(std::uint64_t version, int routes) {
    std::string text = Text(version, routes);
    const std::size_t bytes = text.size();
    CHECK(Write(rows, text));
    m_loop.After(milliseconds(30), [this, version, bytes] {
      m_scheduler_version = version;
      m_scheduler_bytes = bytes;
      m_pushes.OnChange();
    });
    return Base64Bytes(bytes);
  }

  // Runs until the instance has a version. @returns how long that took.
  milliseconds TimeUntilVersion(std::uint64_t wanted, milliseconds limit) {
    const SteadyTime begin = m_loop.Now();
    while (version < wanted && m_loop.Now() < begin + limit) m_loop.RunFor(milliseconds(1));
    return std::chrono::duration_cast<milliseconds>(m_loop.Now() - begin);
  }

 private:
  Loop& m_loop;

 public:
  Store rows{m_loop};
  NarrowLink link;
  NarrowStore store{m_loop, rows, link};
  RelayedStore relayed{&store, [this] { return m_loop.Now(); }, StoreProbe({"op", "", "config"}),
                       [] { return std::vector<LinkPtr>{}; }};
  std::unique_ptr<TableFollower> follower;
  std::uint64_t version = 0;

 private:
  void Apply(std::uint64_t received) { version = std::max(version, received); }

  void Tick() {
    relayed.Tick();
    m_loop.After(kNodeTick, [this] { Tick(); });
  }

  // A ping of the instance arrives at the scheduler, as `Node` handles it.
  void Ping() {
    m_loop.After(kUnlistedPingPeriod, [this] { Ping(); });
    if (version >= m_scheduler_version) return;
    const bool is_receiving = follower->Status().is_arriving;
    if (!m_pushes.IsDue(this, m_scheduler_version, {relayed.OwnPathWorks(), is_receiving})) return;
    link.Transfer(m_scheduler_bytes, nullptr,
                  [this, pushed = m_scheduler_version] { Apply(pushed); });
  }

  ConfigPushes m_pushes{[this] { return m_loop.Now(); }};
  std::uint64_t m_scheduler_version = 0;
  std::size_t m_scheduler_bytes = 0;
};

// Guards against time-outs that cut a transfer off, and against repetitions and copies of peers
// beside it that fill the link (issue 62).
TEST_CASE("config: a change of a large configuration is in force in time over a weak link") {
  for (const int routes : {40, 1440, 2840, 4240}) {
    for (int phase_ms = 0; phase_ms < 1000; phase_ms += 125) {
      for (const int gap_ms : {1000, 1700, 3300}) {
        CAPTURE(routes);
        CAPTURE(phase_ms);
        CAPTURE(gap_ms);
        Loop loop(1);
        WeakInstance instance(loop, phase_ms % 400);
        instance.Put(1, 40);
        loop.RunFor(milliseconds(5000 + phase_ms));
        REQUIRE(instance.version == 1);
        instance.Put(2, routes);
        loop.RunFor(milliseconds(gap_ms));
        // The first change may take its time while the second one is made.
        instance.Put(3, routes);
        CHECK(instance.TimeUntilVersion(3, milliseconds(20000)) <= kChangeInForce);
      }
    }
  }
}

// Guards against links that are busy with copies that nobody needs, so that calls wait for seconds
// (issue 62: 458 of 577 copies between instances).
TEST_CASE("config: each change is transferred once to an instance that reaches the store") {
  for (const int routes : {1440, 4240}) {
    CAPTURE(routes);
    Loop loop(1);
    WeakInstance instance(loop, 0);
    std::size_t needed = instance.Put(1, routes);
    loop.RunFor(milliseconds(5000));
    for (std::uint64_t version = 2; version <= 6; ++version) {
      needed += instance.Put(version, routes);
      loop.RunFor(loop.Delay(2500, 3500));
    }
    loop.RunFor(milliseconds(10000));
    CHECK(instance.version == 6);
    CHECK(instance.link.TransferredBytes() <= needed * 11 / 10);
  }
}

// Guards against checks of the path to the store that read the whole configuration, twice a second
// and in vain, as they have half a second for it.
TEST_CASE("config: a check of the path to the store does not read the configuration") {
  Loop loop(1);
  WeakInstance instance(loop, 0);
  instance.Put(1, 4240);
  loop.RunFor(milliseconds(5000));
  instance.follower.reset();
  instance.store.SetSilent(true);
  for (std::uint32_t i = 0; i < kOwnPathFailures; ++i) {
    instance.relayed.Read(RowRange{"owner", "", "", "", 1}, milliseconds(100),
                          [](const Result<RowPage>&) {});
  }
  loop.RunFor(milliseconds(3000));
  REQUIRE_FALSE(instance.relayed.OwnPathWorks());
  instance.store.SetSilent(false);
  const std::size_t before = instance.link.TransferredBytes();
  loop.RunFor(2 * kOwnPathRetry);
  CHECK(instance.relayed.OwnPathWorks());
  CHECK(instance.link.TransferredBytes() - before < 2000);
}

// Guards against an outage that goes on over a weak link after the store is back.
TEST_CASE("config: the path to the store is regained over a weak link soon after an outage") {
  // From then on each outage makes an instance take its path for lost.
  constexpr int kLostFromMs = 4500;
  for (int outage_ms = 3000; outage_ms <= 10500; outage_ms += 500) {
    CAPTURE(outage_ms);
    Loop loop(1);
    WeakInstance instance(loop, 0);
    const std::size_t bytes = instance.Put(1, 4240);
    loop.RunFor(milliseconds(5000));
    REQUIRE(instance.version == 1);
    instance.store.SetSilent(true);
    loop.RunFor(milliseconds(outage_ms));
    if (outage_ms >= kLostFromMs) REQUIRE_FALSE(instance.relayed.OwnPathWorks());
    instance.store.SetSilent(false);
    const std::size_t before = instance.link.TransferredBytes();
    loop.RunFor(2 * kOwnPathRetry);
    CHECK(instance.relayed.OwnPathWorks());
    instance.Put(2, 4240);
    CHECK(instance.TimeUntilVersion(2, milliseconds(20000)) <= kChangeInForce);
    loop.RunFor(milliseconds(5000));
    // The read after the outage may be repeated once, and brings what was there before the change.
    CHECK(instance.link.TransferredBytes() - before <= bytes * 33 / 10);
  }
}

}  // namespace
}  // namespace citronsill
