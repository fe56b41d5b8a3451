// Tests the access to the store through other instances.
#include "cell/relay.h"

#include <doctest/doctest.h>

#include "cell/limits.h"
#include "follower_view.h"
#include "outage_store.h"

namespace citronsill {
namespace {

using namespace model;

// A link to an instance that refuses all calls, or answers nothing in time.
class PeerLink : public Link {
 public:
  explicit PeerLink(Loop& loop) : m_loop(loop) {}
  void Send(schema::LinkMessage) override {}
  void Call(schema::LinkMessage, milliseconds timeout, Reply done) override {
    if (breaks) {
      return m_loop.After(milliseconds(2), [done] {
        done(Error{schema::CODE_CONNECTION_CLOSED, "the link was closed"});
      });
    }
    if (refuses) {
      schema::LinkMessage refusal;
      refusal.mutable_store_reply()->set_code(schema::CODE_TABLE_UNAVAILABLE);
      return m_loop.After(milliseconds(2), [done, refusal] { done(refusal); });
    }
    m_loop.After(timeout, [done] { done(Error{schema::CODE_TIMEOUT, "no reply"}); });
  }
  void Answer(const schema::LinkMessage&, schema::LinkMessage reply) override {
    answers.push_back(std::move(reply));
  }
  void Close(const std::string&) override {}
  [[nodiscard]] SteadyTime Heard() const override { return m_loop.Now(); }
  [[nodiscard]] bool IsOpen() const override { return true; }
  [[nodiscard]] const schema::Hello& Peer() const override { return m_peer; }
  [[nodiscard]] const schema::Ping& LastPing() const override { return m_ping; }

  bool refuses = false;
  bool breaks = false;  // Is closed while a call waits, which may still be carried out.
  std::vector<schema::LinkMessage> answers;

 private:
  Loop& m_loop;
  schema::Hello m_peer;
  schema::Ping m_ping;
};

struct Instance {
  explicit Instance(bool is_linked) : peer(std::make_shared<PeerLink>(loop)) {
    const auto links = [this, is_linked] {
      return is_linked ? std::vector<LinkPtr>{peer} : std::vector<LinkPtr>{};
    };
    relayed = std::make_unique<RelayedStore>(
        &store, [this] { return loop.Now(); }, RowRange{"probed", "", "", "", 1}, links);
    Tick();
  }
  void Tick() {
    relayed->Tick();
    loop.After(kNodeTick, [this] { Tick(); });
  }

  Loop loop{1};
  OutageStore store{loop};
  std::shared_ptr<PeerLink> peer;
  std::unique_ptr<RelayedStore> relayed;
};

// Guards against relayed calls that wait at an instance which does not reach the store either, and
// take the connections that its own calls need once the store is back.
TEST_CASE("relay: an instance that does not reach the store refuses relayed calls at once") {
  Instance instance(false);
  instance.store.SetSilent(true);
  for (std::uint32_t i = 0; i < kOwnPathFailures; ++i) {
    instance.relayed->Read(RowRange{"op", "", "", "", 1}, milliseconds(100),
                           [](const Result<RowPage>&) {});
  }
  instance.loop.RunFor(milliseconds(200));
  REQUIRE_FALSE(instance.relayed->OwnPathWorks());
  schema::LinkMessage read;
  read.set_call(7);
  read.mutable_store()->set_read(true);
  read.mutable_store()->set_timeout_ms(8000);
  instance.relayed->Serve(instance.peer, read);
  schema::LinkMessage write = read;
  write.mutable_store()->set_read(false);
  instance.relayed->Serve(instance.peer, write);
  instance.loop.RunFor(milliseconds(20));
  REQUIRE(instance.peer->answers.size() == 2);
  CHECK(instance.peer->answers[0].store_reply().code() == schema::CODE_TABLE_UNAVAILABLE);
  // Nothing was sent, so that the transaction has no effect, now or later.
  CHECK(instance.peer->answers[1].store_reply().code() == schema::CODE_TABLE_UNAVAILABLE);
}

// Guards against instances that refuse one another's calls while a store that is only slow would
// answer them.
TEST_CASE(
    "relay: calls are made over the own path when the other instance does not reach the store") {
  Instance instance(true);
  instance.peer->refuses = true;
  instance.store.latency = kOwnPathRetry + milliseconds(300);
  REQUIRE(Write(instance.store.rows, "old"));
  for (std::uint32_t i = 0; i < kOwnPathFailures; ++i) {
    instance.relayed->Read(RowRange{"op", "", "", "", 1}, milliseconds(100),
                           [](const Result<RowPage>&) {});
  }
  instance.loop.RunFor(milliseconds(200));
  REQUIRE_FALSE(instance.relayed->OwnPathWorks());
  const View view(instance.loop, *instance.relayed);
  CHECK(TimeUntil(instance.loop, view, "old", milliseconds(5000)) <= milliseconds(1000));
  for (std::uint32_t i = 0; i < kOwnPathFailures; ++i) {
    instance.relayed->Read(RowRange{"op", "", "", "", 1}, milliseconds(100),
                           [](const Result<RowPage>&) {});
  }
  instance.loop.RunFor(milliseconds(200));
  bool is_committed = false;
  RowTransaction transaction;
  transaction.writes = {Row{RowKey{"op", "", "config"}, "new"}};
  instance.relayed->Commit(transaction, milliseconds(1500),
                           [&](const Result<CommitOutcome>& outcome) {
                             is_committed = outcome && outcome.value().committed;
                           });
  instance.loop.RunFor(milliseconds(1500));
  CHECK(is_committed);
}

// Guards against "no effect" as the outcome of a transaction that another instance may have carried
// out: its answer was lost, and the own path was refused after that (issue 23).
TEST_CASE("relay: of the two errors of a transaction sent both ways, an unknown outcome counts") {
  for (const int own_latency_ms : {1, 50}) {  // The own path fails before or after the other one.
    CAPTURE(own_latency_ms);
    Instance instance(true);
    instance.peer->breaks = true;
    instance.store.refuses = true;
    RowTransaction transaction;
    transaction.writes = {Row{RowKey{"op", "", "config"}, "new"}};
    const auto commit = [&] {
      schema::Code code{};
      instance.relayed->Commit(
          transaction, milliseconds(1000),
          [&](const Result<CommitOutcome>& outcome) { code = outcome.error().code; });
      instance.loop.RunFor(milliseconds(200));
      return code;
    };
    // A failed commit makes the own path suspect: the next one is sent both ways.
    CHECK(commit() == schema::CODE_TABLE_UNAVAILABLE);
    REQUIRE(instance.relayed->OwnPathWorks());
    instance.store.latency = milliseconds(own_latency_ms);
    CHECK(commit() == schema::CODE_COMMIT_UNKNOWN);
  }
}

// Guards against an instance that goes on relaying its reads to one that answers nothing, although
// its own path to the store is back.
TEST_CASE("relay: a change after a silent outage is in force in time at an instance that relays") {
  for (int outage_ms = 500; outage_ms <= 30000; outage_ms += 250) {
    for (const int acked_after_ms : {5, 500}) {
      CAPTURE(outage_ms);
      CAPTURE(acked_after_ms);
      Instance instance(true);
      REQUIRE(Write(instance.store.rows, "old"));
      const View view(instance.loop, *instance.relayed);
      instance.loop.RunFor(milliseconds(5300));
      instance.store.SetSilent(true);
      instance.loop.RunFor(milliseconds(outage_ms));
      instance.store.SetSilent(false);
      instance.loop.RunFor(milliseconds(acked_after_ms));
      REQUIRE(Write(instance.store.rows, "new"));
      CHECK(TimeUntil(instance.loop, view, "new", milliseconds(30000)) <= kChangeInForce);
    }
  }
}

}  // namespace
}  // namespace citronsill
