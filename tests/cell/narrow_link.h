// The link of an instance in model time: all that arrives over it shares its bandwidth. And a store
// behind such a link.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cell/limits.h"
#include "cell/store.h"
#include "loop.h"
#include "schema/codes.pb.h"
#include "store.h"

namespace citronsill::model {

class NarrowLink {
 public:
  // @param bytes_per_ms bandwidth; 1,250 for 10 Mbit/s.
  NarrowLink(Loop& loop, double bytes_per_ms) : m_loop(loop), m_bytes_per_ms(bytes_per_ms) {
    Step();
  }

  // Begins a transfer. @param on_part called while bytes arrive; may be empty.
  std::uint64_t Transfer(std::size_t bytes, std::function<void()> on_part,
                         std::function<void()> done) {
    m_transfers[++m_last] = Flow{static_cast<double>(bytes), std::move(on_part), std::move(done)};
    return m_last;
  }
  // What has not been sent yet is dropped.
  void Cancel(std::uint64_t id) { m_transfers.erase(id); }
  // Nothing arrives any more of what is being transferred, as after a cut of the connections.
  void LoseAll() { m_transfers.clear(); }

  [[nodiscard]] std::size_t TransferredBytes() const {
    return static_cast<std::size_t>(m_transferred);
  }

 private:
  struct Flow {
    double bytes = 0;  // Still to be sent.
    std::function<void()> on_part;
    std::function<void()> done;
  };

  void Step() {
    constexpr milliseconds kStep{5};
    double budget = m_bytes_per_ms * static_cast<double>(kStep.count());
    std::vector<std::function<void()>> calls;
    while (budget > 1 && !m_transfers.empty()) {
      const double share = budget / static_cast<double>(m_transfers.size());
      for (auto it = m_transfers.begin(); it != m_transfers.end();) {
        const double sent = std::min(share, it->second.bytes);
        it->second.bytes -= sent;
        budget -= sent;
        m_transferred += sent;
        if (it->second.on_part) calls.push_back(it->second.on_part);
        if (it->second.bytes >= 1) {
          ++it;
          continue;
        }
        calls.push_back(std::move(it->second.done));
        it = m_transfers.erase(it);
      }
    }
    for (const auto& call : calls) call();
    m_loop.After(kStep, [this] { Step(); });
  }

  Loop& m_loop;
  double m_bytes_per_ms;
  double m_transferred = 0;
  std::uint64_t m_last = 0;
  std::map<std::uint64_t, Flow> m_transfers;
};

// Answers over a link, with the time-outs of the client in platform/store.cc.
class NarrowStore : public RowStore {
 public:
  NarrowStore(Loop& loop, Store& rows, NarrowLink& link)
      : m_loop(loop), m_rows(rows), m_link(link) {}

  // While silent, the store answers nothing, and nothing that it was sent meanwhile later.
  void SetSilent(bool silent) {
    m_silent = silent;
    ++m_outages;
    m_link.LoseAll();
  }

  void Commit(RowTransaction, milliseconds, std::function<void(Result<CommitOutcome>)>) override {}

  void Read(RowRange range, milliseconds timeout,
            std::function<void(Result<RowPage>)> done) override {
    SendRead(Begin(timeout, milliseconds(0), nullptr, std::move(done)), range);
  }
  void ReadInParts(RowRange range, milliseconds timeout, OnAnswerPart on_part,
                   std::function<void(Result<RowPage>)> done) override {
    SendRead(Begin(timeout, kMaxPartGap, std::move(on_part), std::move(done)), range);
  }

  void Follow(std::string table, std::uint64_t after, milliseconds wait,
              std::function<void(Result<RowPage>)> done) override {
    FollowInParts(std::move(table), after, wait, nullptr, std::move(done));
  }
  void FollowInParts(std::string table, std::uint64_t after, milliseconds wait,
                     OnAnswerPart on_part, std::function<void(Result<RowPage>)> done) override {
    const CallPtr call = Begin(wait + kFeedSlack, kMaxPartGap, std::move(on_part), std::move(done));
    Poll(call, table, after, m_loop.Now() + wait, m_outages);
  }

 private:
  static constexpr milliseconds kLatency{4};
  static constexpr milliseconds kFeedSlack{700};

  struct Call {
    std::function<void(Result<RowPage>)> done;  // Empty once the call has ended.
    OnAnswerPart on_part;
    SteadyTime deadline;
    milliseconds pause{0};  // Extends the deadline with each part; 0 if it stays.
    std::uint64_t transfer = 0;
  };
  using CallPtr = std::shared_ptr<Call>;

  [[nodiscard]] bool IsLost(int outages) const { return m_silent || outages != m_outages; }

  void SendRead(const CallPtr& call, const RowRange& range) {
    m_loop.After(kLatency, [this, call, range, outages = m_outages] {
      if (IsLost(outages) || !call->done) return;
      RowPage page = m_rows.Read(range.table, range.part);
      std::erase_if(page.rows, [&range](const Row& row) {
        return row.key.key < range.from || (!range.until.empty() && row.key.key >= range.until);
      });
      Answer(call, std::move(page));
    });
  }

  CallPtr Begin(milliseconds timeout, milliseconds pause, OnAnswerPart on_part,
                std::function<void(Result<RowPage>)> done) {
    auto call = std::make_shared<Call>();
    call->done = std::move(done);
    call->on_part = std::move(on_part);
    call->deadline = m_loop.Now() + timeout;
    call->pause = pause;
    m_loop.At(call->deadline, [this, call] { Expire(call); });
    return call;
  }

  void OnPart(const CallPtr& call) {
    if (!call->done || call->pause == milliseconds(0)) return;
    call->deadline = m_loop.Now() + call->pause;
    m_loop.At(call->deadline, [this, call] { Expire(call); });
    if (call->on_part) call->on_part();
  }

  void Expire(const CallPtr& call) {
    if (!call->done || m_loop.Now() < call->deadline) return;
    m_link.Cancel(call->transfer);
    std::exchange(call->done, nullptr)(Error{schema::CODE_TABLE_UNAVAILABLE, "timed out"});
  }

  void Poll(const CallPtr& call, const std::string& table, std::uint64_t after, SteadyTime until,
            int outages) {
    if (IsLost(outages) || !call->done) return;
    std::optional<RowPage> page = m_rows.Changes(table, after);
    if (!page->rows.empty() || m_loop.Now() >= until) return Answer(call, std::move(*page));
    m_loop.After(kLatency, [this, call, table, after, until, outages] {
      Poll(call, table, after, until, outages);
    });
  }

  void Answer(const CallPtr& call, RowPage page) {
    std::size_t bytes = 200;
    for (const Row& row : page.rows) bytes += Base64Bytes(row.value.size()) + 100;
    const auto on_part = [this, call] { OnPart(call); };
    call->transfer = m_link.Transfer(bytes, on_part, [call, page = std::move(page)] {
      if (call->done) std::exchange(call->done, nullptr)(page);
    });
  }

  Loop& m_loop;
  Store& m_rows;
  NarrowLink& m_link;
  bool m_silent = false;
  int m_outages = 0;  // Changes whenever the store falls silent or returns.
};

}  // namespace citronsill::model
