// Tests pages of a table that take long to arrive through other instances.
#include <doctest/doctest.h>

#include "cell/limits.h"
#include "cell/relay.h"
#include "cell/table_reader.h"
#include "narrow_link.h"
#include "outage_store.h"

namespace citronsill {
namespace {

using namespace model;

constexpr std::size_t kPageBytes = 1'000'000;
constexpr double kBytesPerMs = 1250;  // 10 Mbit/s.

// A link to an instance that answers each read with a page. The pages of all links share the
// bandwidth of the receiver.
class PageLink : public Link {
 public:
  PageLink(Loop& loop, NarrowLink& link, std::uint64_t incarnation) : m_loop(loop), m_link(link) {
    m_peer.set_incarnation(incarnation);
    m_peer.set_strength_milli(kFullStrengthMilli);
    m_ping.set_reaches_store(true);
  }
  void Send(schema::LinkMessage) override {}
  void Call(schema::LinkMessage, milliseconds timeout, Reply done) override {
    const auto open = std::make_shared<Reply>(std::move(done));
    const auto end = [open](const Result<schema::LinkMessage>& result) {
      if (*open) std::exchange(*open, nullptr)(result);
    };
    m_loop.After(timeout, [end] { end(Error{schema::CODE_TIMEOUT, "no reply"}); });
    const auto on_part = [this] { m_part_at = m_loop.Now(); };
    // What was asked for arrives also when nobody waits for it any more.
    m_link.Transfer(kPageBytes, on_part, [end] {
      schema::LinkMessage reply;
      reply.mutable_store_reply()->set_version(1);
      end(reply);
    });
  }
  void Answer(const schema::LinkMessage&, schema::LinkMessage) override {}
  void Close(const std::string&) override {}
  [[nodiscard]] SteadyTime Heard() const override { return m_part_at; }
  [[nodiscard]] bool IsReceiving() const override {
    return m_part_at != SteadyTime{} && m_loop.Now() <= m_part_at + kMaxPartGap;
  }
  [[nodiscard]] bool IsOpen() const override { return true; }
  [[nodiscard]] const schema::Hello& Peer() const override { return m_peer; }
  [[nodiscard]] const schema::Ping& LastPing() const override { return m_ping; }

 private:
  Loop& m_loop;
  NarrowLink& m_link;
  SteadyTime m_part_at{};  // When part of a message has last arrived.
  schema::Hello m_peer;
  schema::Ping m_ping;
};

// Guards against a scheduler without a path to the store that loads its shard through copies of
// each page, which slow one another down (class of issue 62).
TEST_CASE("relay: a page that is arriving over a weak link is not requested again") {
  Loop loop(1);
  OutageStore own(loop);
  own.SetSilent(true);
  NarrowLink narrow(loop, kBytesPerMs);
  std::vector<LinkPtr> links;
  for (std::uint64_t i = 1; i <= 4; ++i) {
    links.push_back(std::make_shared<PageLink>(loop, narrow, i));
  }
  const auto after = [&loop](milliseconds delay, std::function<void()> action) {
    loop.After(delay, std::move(action));
  };
  RelayedStore relayed(
      &own, [&loop] { return loop.Now(); }, RowRange{"op", "", "", "", 1}, [&] { return links; },
      after);
  for (std::uint32_t i = 0; i < kOwnPathFailures; ++i) {
    relayed.Read(RowRange{"op", "", "", "", 1}, milliseconds(100), [](const Result<RowPage>&) {});
  }
  loop.RunFor(milliseconds(200));
  REQUIRE_FALSE(relayed.OwnPathWorks());
  TableReader reader(&relayed, RowRange{"job", "s0", "", "", kMaxRowsPerRead}, after,
                     [&loop] { return static_cast<std::uint32_t>(loop.Between(0, 1 << 30)); });
  for (int read = 0; read < 3; ++read) {
    const SteadyTime begin = loop.Now();
    std::optional<milliseconds> took;
    reader.Read([&](const Result<RowPage>& page) {
      CHECK(page.has_value());
      took = std::chrono::duration_cast<milliseconds>(loop.Now() - begin);
    });
    const std::size_t before = narrow.TransferredBytes();
    loop.RunFor(milliseconds(10000));
    REQUIRE(took.has_value());
    // A page takes 0.8 s.
    CHECK(*took <= milliseconds(1000));
    CHECK(narrow.TransferredBytes() - before <= kPageBytes * 11 / 10);
  }
}

}  // namespace
}  // namespace citronsill
