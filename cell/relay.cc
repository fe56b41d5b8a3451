#include "cell/relay.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "cell/limits.h"
#include "cell/log.h"
#include "cell/metrics.h"

namespace citronsill {
namespace {

void ToSchema(const RowKey& key, schema::StoredRow* out) {
  out->set_table(key.table);
  out->set_part(key.part);
  out->set_key(key.key);
}

void ToSchema(const Row& row, schema::StoredRow* out) {
  ToSchema(row.key, out);
  out->set_value(row.value);
  out->set_version(row.version);
  out->set_removed(row.removed);
}

RowKey KeyOf(const schema::StoredRow& row) { return {row.table(), row.part(), row.key()}; }

Row FromSchema(const schema::StoredRow& row) {
  return Row{KeyOf(row), row.value(), row.version(), row.removed()};
}

Error ErrorOf(const schema::StoreReply& reply) { return Error{reply.code(), reply.message()}; }

template <class Outcome>
schema::LinkMessage MakeErrorReply(const Result<Outcome>& result) {
  schema::LinkMessage message;
  message.mutable_store_reply()->set_code(result.error().code);
  message.mutable_store_reply()->set_message(result.error().message);
  return message;
}

void CommitThrough(const LinkPtr& link, const schema::LinkMessage& message, milliseconds timeout,
                   std::function<void(Result<CommitOutcome>)> done) {
  link->Call(message, timeout, [done = std::move(done)](const Result<schema::LinkMessage>& result) {
    if (!result) return done(Error{schema::CODE_COMMIT_UNKNOWN, result.error().message});
    const schema::StoreReply& reply = result.value().store_reply();
    if (reply.code() != schema::CODE_OK) return done(ErrorOf(reply));
    CommitOutcome outcome{reply.committed(), reply.version(), {}};
    for (const auto& row : reply.rows()) outcome.current.push_back(FromSchema(row));
    done(std::move(outcome));
  });
}

void ReadThrough(const LinkPtr& link, const RowRange& range, milliseconds timeout,
                 std::function<void(Result<RowPage>)> done) {
  schema::LinkMessage message;
  schema::StoreCall* call = message.mutable_store();
  call->set_read(true);
  call->set_table(range.table);
  call->set_part(range.part);
  call->set_from(range.from);
  call->set_until(range.until);
  call->set_limit(range.limit);
  call->set_timeout_ms(timeout.count());
  link->Call(std::move(message), timeout,
             [done = std::move(done)](const Result<schema::LinkMessage>& result) {
               if (!result)
                 return done(Error{schema::CODE_TABLE_UNAVAILABLE, result.error().message});
               const schema::StoreReply& reply = result.value().store_reply();
               if (reply.code() != schema::CODE_OK) return done(ErrorOf(reply));
               RowPage page;
               page.truncated = reply.truncated();
               page.version = reply.version();
               for (const auto& row : reply.rows()) page.rows.push_back(FromSchema(row));
               done(std::move(page));
             });
}

// @returns whether a relayed call has failed without effect: the store may serve the own path.
template <class Outcome>
bool IsRefused(const Result<Outcome>& result) {
  return !result && result.error().code == schema::CODE_TABLE_UNAVAILABLE;
}

}  // namespace

// The first instance that serves the call ends it. If all fail, an unknown outcome of one outranks
// that the others have had no effect.
template <class Outcome>
struct RelayedStore::Relay {
  using Done = std::function<void(Result<Outcome>)>;
  std::function<void(const LinkPtr&, milliseconds timeout, Done)> send;
  Done done;             // Empty once the call has ended.
  OnAnswerPart on_part;  // Only of reads whose answer may take long to arrive.
  std::vector<LinkPtr> links;
  std::size_t next = 0;     // Next of `links` to try.
  std::size_t pending = 0;  // Copies without an answer.
  std::size_t max_copies = kMaxRelayCopies;
  SteadyTime deadline{};
  std::optional<Error> unknown;
};

RowRange StoreProbe(const RowKey& config_row) {
  const std::string from = config_row.key + '\0';
  return {config_row.table, config_row.part, from, from + '\0', 1};
}

RelayedStore::RelayedStore(RowStore* own, Clock now, RowRange probe,
                           std::function<std::vector<LinkPtr>()> links, DelayHook after)
    : m_own(own),
      m_now(now),
      m_probe(std::move(probe)),
      m_links(std::move(links)),
      m_after(std::move(after)),
      m_paths(std::move(now)) {}

RelayedStore::~RelayedStore() { *m_alive = false; }

void RelayedStore::RecordOwnPathResult(bool served) {
  if (served) {
    if (!OwnPathWorks()) Log(LogLevel::kInfo, "store-path-regained");
    m_own_failures = 0;
    return;
  }
  if (++m_own_failures == kOwnPathFailures) {
    Log(LogLevel::kWarn, "store-path-lost");
    m_next_probe = m_now() + kOwnPathRetry;
  }
}

void RelayedStore::Tick() {
  if (OwnPathWorks() || m_probing || m_now() < m_next_probe) return;
  m_probing = true;
  m_own->Read(m_probe, kOwnPathRetry, [this, alive = m_alive](const Result<RowPage>& result) {
    if (!*alive) return;
    m_probing = false;
    m_next_probe = m_now() + kOwnPathRetry;
    if (result) return RecordOwnPathResult(true);
    Log(LogLevel::kWarn, "store-probe-failed").Field("reason", result.error());
  });
}

// Returns the links to the instances that a call tries, in this order.
std::vector<LinkPtr> RelayedStore::PickLinks() const {
  const std::vector<LinkPtr> links = m_links();
  std::vector<RelayPeer> peers;
  peers.reserve(links.size());
  for (const LinkPtr& link : links) {
    peers.push_back({link->Peer().incarnation(), link->Peer().strength_milli(),
                     link->LastPing().reaches_store()});
  }
  std::vector<LinkPtr> picked;
  for (const std::size_t index : m_paths.Order(peers)) {
    if (picked.size() == kMaxRelayPeers) break;
    picked.push_back(links[index]);
  }
  return picked;
}

template <class Outcome>
void RelayedStore::RelayOnce(const RelayPtr<Outcome>& relay) {
  const LinkPtr link = relay->links[relay->next++];
  const SteadyTime sent = m_now();
  const auto time_left = std::chrono::ceil<milliseconds>(relay->deadline - sent);
  const std::uint64_t incarnation = link->Peer().incarnation();
  ++relay->pending;
  HedgeLater(relay, link);
  relay->send(link, std::max(time_left, milliseconds(1)),
              [this, alive = m_alive, relay, incarnation, sent](const Result<Outcome>& result) {
                if (*alive) OnRelayed(relay, incarnation, sent, result);
              });
}

// Calls can be repeated: reads change nothing, and of several copies of a transaction only one can
// take effect, because each is conditional on a version that the first one changes.
template <class Outcome>
void RelayedStore::HedgeLater(const RelayPtr<Outcome>& relay, const LinkPtr& link) {
  if (!m_after) return;
  const std::uint64_t incarnation = link->Peer().incarnation();
  m_after(m_paths.HedgeAfter(incarnation),
          [this, alive = m_alive, relay, link, incarnation, number = relay->next] {
            if (!*alive || !relay->done || relay->next != number) return;
            if (relay->on_part && link->IsReceiving()) return AwaitArrival(relay, link);
            m_paths.OnOverdue(incarnation);
            NodeMetrics::Get().CountRelay("overdue");
            if (relay->next == relay->links.size() || relay->pending >= relay->max_copies) return;
            if (m_now() < relay->deadline) RelayOnce(relay);
          });
}

// The message that is arriving may be another one, but a copy of the answer would be no sooner here
// over the same connection to the network.
template <class Outcome>
void RelayedStore::AwaitArrival(const RelayPtr<Outcome>& relay, const LinkPtr& link) {
  relay->on_part();
  m_after(kArrivalCheck, [this, alive = m_alive, relay, link, number = relay->next] {
    if (!*alive || !relay->done || relay->next != number) return;
    if (link->IsReceiving()) return AwaitArrival(relay, link);
    HedgeLater(relay, link);
  });
}

template <class Outcome>
void RelayedStore::OnRelayed(const RelayPtr<Outcome>& relay, std::uint64_t incarnation,
                             SteadyTime sent, const Result<Outcome>& result) {
  --relay->pending;
  const bool is_served = result || result.error().code == schema::CODE_COMMIT_REFUSED;
  NodeMetrics::Get().CountRelay(is_served ? "served" : "failed");
  if (is_served) {
    m_paths.OnAnswer(incarnation, std::chrono::duration_cast<milliseconds>(m_now() - sent));
  } else {
    m_paths.OnFailure(incarnation);
    if (!IsRefused(result)) relay->unknown = result.error();
  }
  if (!relay->done) return;
  if (!is_served) {
    if (relay->next < relay->links.size() && m_now() < relay->deadline) {
      if (relay->pending == 0) RelayOnce(relay);
      return;
    }
    if (relay->pending > 0) return;
  }
  const auto done = std::exchange(relay->done, nullptr);
  done(!is_served && relay->unknown ? Result<Outcome>(*relay->unknown) : result);
}

void RelayedStore::Commit(RowTransaction transaction, milliseconds timeout, CommitDone done) {
  auto finish = [this, alive = m_alive,
                 done = std::move(done)](const Result<CommitOutcome>& result) {
    if (!*alive) return;
    --m_commits_in_flight;
    m_commit_failed = !result.has_value();
    done(result);
  };
  const bool is_own_path_suspect = m_commit_failed || m_commits_in_flight > 0;
  ++m_commits_in_flight;
  const bool own_works = OwnPathWorks();
  std::vector<LinkPtr> links;
  if (!own_works || is_own_path_suspect) links = PickLinks();
  if (links.empty()) return CommitOwn(std::move(transaction), timeout, std::move(finish));
  if (own_works) {
    return CommitBoth(std::move(links), std::move(transaction), timeout, std::move(finish));
  }
  const SteadyTime began = m_now();
  auto or_own = [this, alive = m_alive, transaction, timeout, began,
                 finish = std::move(finish)](const Result<CommitOutcome>& result) {
    if (!*alive) return;
    const milliseconds remaining = RemainingAfter(began, timeout);
    if (!IsRefused(result) || remaining <= milliseconds(0)) return finish(result);
    CommitOwn(transaction, remaining, finish);
  };
  LogFirstPeer(links.front());
  CommitRelayed(std::move(links), transaction, kMaxRelayCopies, timeout, std::move(or_own));
}

// Logs through which instance transactions go, when that changes and at most once a second.
void RelayedStore::LogFirstPeer(const LinkPtr& link) {
  const schema::Hello& peer = link->Peer();
  if (peer.incarnation() == m_logged_peer) return;
  if (m_now() < m_logged_at + kRelayLogPeriod) return;
  m_logged_peer = peer.incarnation();
  m_logged_at = m_now();
  Log(LogLevel::kInfo, "store-path-chosen")
      .Field("peer", peer.instance())
      .Field("strength_milli", peer.strength_milli())
      .Field("reports_store", link->LastPing().reaches_store())
      .Field("mean_ms", m_paths.Latency(peer.incarnation()).value_or(milliseconds(0)))
      .Field("hedge_ms", m_paths.HedgeAfter(peer.incarnation()));
}

milliseconds RelayedStore::RemainingAfter(SteadyTime began, milliseconds timeout) const {
  return timeout - std::chrono::duration_cast<milliseconds>(m_now() - began);
}

void RelayedStore::CommitOwn(RowTransaction transaction, milliseconds timeout, CommitDone done) {
  m_own->Commit(
      std::move(transaction), timeout,
      [this, alive = m_alive, done = std::move(done)](const Result<CommitOutcome>& result) {
        if (!*alive) return;
        // A refusal of the transaction shows that the path works.
        RecordOwnPathResult(result.has_value() ||
                            result.error().code == schema::CODE_COMMIT_REFUSED);
        done(result);
      });
}

void RelayedStore::CommitRelayed(std::vector<LinkPtr> links, const RowTransaction& transaction,
                                 std::size_t max_copies, milliseconds timeout, CommitDone done) {
  auto message = std::make_shared<schema::LinkMessage>();
  schema::StoreCall* call = message->mutable_store();
  for (const RowCondition& condition : transaction.conditions) {
    schema::StoredRow* row = call->add_conditions();
    ToSchema(condition.key, row);
    row->set_version(condition.version);
  }
  for (const Row& row : transaction.writes) ToSchema(row, call->add_writes());
  for (const RowKey& key : transaction.removals) ToSchema(key, call->add_removals());
  auto relay = std::make_shared<Relay<CommitOutcome>>();
  relay->send = [message](const LinkPtr& link, milliseconds time_left, CommitDone on_result) {
    message->mutable_store()->set_timeout_ms(time_left.count());
    CommitThrough(link, *message, time_left, std::move(on_result));
  };
  relay->done = std::move(done);
  relay->links = std::move(links);
  relay->max_copies = max_copies;
  relay->deadline = m_now() + timeout;
  RelayOnce(relay);
}

// Sends a transaction over both paths. One of the two may fail on its conditions because the other
// has already taken effect; the caller recognizes that by the rows that are returned. If both fail,
// an unknown outcome of either outranks that the other has had no effect.
void RelayedStore::CommitBoth(std::vector<LinkPtr> links, RowTransaction transaction,
                              milliseconds timeout, CommitDone done) {
  struct Race {
    CommitDone done;
    int pending = 2;
    std::optional<Error> unknown;  // Of the path that failed first.
  };
  auto race = std::make_shared<Race>();
  race->done = std::move(done);
  auto finish = [race](const Result<CommitOutcome>& result) {
    --race->pending;
    if (!race->done) return;
    if (!result && race->pending > 0) {
      if (result.error().code != schema::CODE_TABLE_UNAVAILABLE) race->unknown = result.error();
      return;
    }
    const CommitDone first_done = std::move(race->done);
    race->done = nullptr;
    first_done(!result && race->unknown ? Result<CommitOutcome>(*race->unknown) : result);
  };
  // A faster relayed call counts as a failure of the own path, which may not be answering at all.
  auto relayed = [this, race, finish](const Result<CommitOutcome>& result) {
    if (result && race->done) RecordOwnPathResult(false);
    finish(result);
  };
  // One copy beside the own one: the writes of a part queue up at a store that is slow.
  CommitRelayed(std::move(links), transaction, 1, timeout, std::move(relayed));
  CommitOwn(std::move(transaction), timeout, finish);
}

void RelayedStore::Read(RowRange range, milliseconds timeout, ReadDone done) {
  ReadInParts(std::move(range), timeout, nullptr, std::move(done));
}

OnAnswerPart RelayedStore::CountParts(OnAnswerPart on_part) {
  return [this, alive = m_alive, on_part = std::move(on_part)] {
    if (!*alive) return;
    RecordOwnPathResult(true);
    if (on_part) on_part();
  };
}

void RelayedStore::ReadInParts(RowRange range, milliseconds timeout, OnAnswerPart on_part,
                               ReadDone done) {
  std::vector<LinkPtr> links;
  if (!OwnPathWorks() && IsRelayed(range.table)) links = PickLinks();
  if (links.empty()) {
    return ReadOwn(std::move(range), timeout, std::move(on_part), std::move(done));
  }
  const SteadyTime began = m_now();
  ReadRelayed(std::move(links), range, timeout, on_part,
              [this, alive = m_alive, range, timeout, began, on_part,
               done = std::move(done)](const Result<RowPage>& result) {
                if (!*alive) return;
                const milliseconds remaining = RemainingAfter(began, timeout);
                if (!IsRefused(result) || remaining <= milliseconds(0)) return done(result);
                ReadOwn(range, remaining, on_part, done);
              });
}

void RelayedStore::ReadOwn(RowRange range, milliseconds timeout, OnAnswerPart on_part,
                           ReadDone done) {
  auto finish = [this, alive = m_alive, done = std::move(done)](const Result<RowPage>& result) {
    if (!*alive) return;
    RecordOwnPathResult(result.has_value());
    done(result);
  };
  if (!on_part) return m_own->Read(std::move(range), timeout, std::move(finish));
  m_own->ReadInParts(std::move(range), timeout, CountParts(std::move(on_part)), std::move(finish));
}

void RelayedStore::ReadRelayed(std::vector<LinkPtr> links, const RowRange& range,
                               milliseconds timeout, OnAnswerPart on_part, ReadDone done) {
  auto relay = std::make_shared<Relay<RowPage>>();
  relay->send = [range](const LinkPtr& link, milliseconds time_left, ReadDone on_result) {
    ReadThrough(link, range, time_left, std::move(on_result));
  };
  relay->done = std::move(done);
  relay->on_part = std::move(on_part);
  relay->links = std::move(links);
  relay->deadline = m_now() + timeout;
  RelayOnce(relay);
}

void RelayedStore::Follow(std::string table, std::uint64_t after, milliseconds wait,
                          std::function<void(Result<RowPage>)> done) {
  FollowInParts(std::move(table), after, wait, nullptr, std::move(done));
}

void RelayedStore::FollowInParts(std::string table, std::uint64_t after, milliseconds wait,
                                 OnAnswerPart on_part, std::function<void(Result<RowPage>)> done) {
  m_own->FollowInParts(
      std::move(table), after, wait, CountParts(std::move(on_part)),
      [this, alive = m_alive, done = std::move(done)](const Result<RowPage>& result) {
        if (!*alive) return;
        const bool served = result || result.error().code == schema::CODE_NOT_FOUND;
        RecordOwnPathResult(served);
        done(result);
      });
}

void RelayedStore::Serve(const LinkPtr& link, const schema::LinkMessage& message) {
  const schema::StoreCall& call = message.store();
  const milliseconds timeout(call.timeout_ms());
  schema::LinkMessage envelope;
  envelope.set_call(message.call());
  // A call that waits here in vain would keep its connection from the calls of this instance.
  const bool is_private = call.read() && !IsRelayed(call.table());
  if (!OwnPathWorks() || is_private) {
    schema::LinkMessage refusal;
    refusal.mutable_store_reply()->set_code(schema::CODE_TABLE_UNAVAILABLE);
    refusal.mutable_store_reply()->set_message(
        is_private ? "the table is not relayed" : "this instance does not reach the store");
    return link->Answer(envelope, std::move(refusal));
  }
  if (call.read()) {
    m_own->Read(RowRange{call.table(), call.part(), call.from(), call.until(), call.limit()},
                timeout, [link, envelope](const Result<RowPage>& result) {
                  if (!result) return link->Answer(envelope, MakeErrorReply(result));
                  schema::LinkMessage reply;
                  schema::StoreReply* out = reply.mutable_store_reply();
                  out->set_version(result.value().version);
                  out->set_truncated(result.value().truncated);
                  for (const Row& row : result.value().rows) ToSchema(row, out->add_rows());
                  link->Answer(envelope, std::move(reply));
                });
    return;
  }
  RowTransaction transaction;
  for (const auto& row : call.conditions()) {
    transaction.conditions.push_back({KeyOf(row), row.version()});
  }
  for (const auto& row : call.writes()) transaction.writes.push_back(FromSchema(row));
  for (const auto& row : call.removals()) transaction.removals.push_back(KeyOf(row));
  m_own->Commit(std::move(transaction), timeout,
                [link, envelope](const Result<CommitOutcome>& result) {
                  if (!result) return link->Answer(envelope, MakeErrorReply(result));
                  schema::LinkMessage reply;
                  schema::StoreReply* out = reply.mutable_store_reply();
                  out->set_committed(result.value().committed);
                  out->set_version(result.value().version);
                  for (const Row& row : result.value().current) ToSchema(row, out->add_rows());
                  link->Answer(envelope, std::move(reply));
                });
}

}  // namespace citronsill
