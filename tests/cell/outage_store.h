// Row store in model time that falls silent: calls sent meanwhile, or not yet answered, never are.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/store.h"
#include "loop.h"
#include "schema/codes.pb.h"
#include "store.h"

namespace citronsill::model {

class OutageStore : public RowStore {
 public:
  explicit OutageStore(Loop& loop) : rows(loop), m_loop(loop) {}

  Store rows;
  milliseconds latency{8};        // Time until the answer to a read.
  milliseconds feed_slack{700};   // Time beyond its wait after which a feed fails.
  bool refuses = false;           // Answers all calls with an error.
  std::vector<SteadyTime> reads;  // When reads were sent.

  void SetSilent(bool silent) {
    m_silent = silent;
    ++m_outages;
  }

  void Commit(RowTransaction transaction, milliseconds timeout,
              std::function<void(Result<CommitOutcome>)> done) override {
    if (const auto refusal = RefusalOf(transaction); refusal && !refuses && !m_silent) {
      return m_loop.After(latency, [done, refusal] {
        done(Error{schema::CODE_COMMIT_REFUSED, *refusal});
      });
    }
    Answer<CommitOutcome>(latency, timeout, schema::CODE_COMMIT_UNKNOWN, std::move(done),
                          [this, transaction] { return rows.Apply(transaction); });
  }

  void Read(RowRange range, milliseconds timeout,
            std::function<void(Result<RowPage>)> done) override {
    reads.push_back(m_loop.Now());
    Answer<RowPage>(latency, timeout, schema::CODE_TABLE_UNAVAILABLE, std::move(done),
                    [this, range] { return rows.Read(range.table, range.part); });
  }

  void Follow(std::string table, std::uint64_t after, milliseconds wait,
              std::function<void(Result<RowPage>)> done) override {
    const SteadyTime until = m_loop.Now() + wait;
    Poll(Feed{std::move(table), after, until, m_outages, std::move(done)});
  }

 private:
  struct Feed {
    std::string table;
    std::uint64_t after = 0;
    SteadyTime until;
    int outages = 0;
    std::function<void(Result<RowPage>)> done;
  };

  [[nodiscard]] bool IsLost(int outages) const { return m_silent || outages != m_outages; }

  template <class Outcome>
  void Answer(milliseconds delay, milliseconds timeout, schema::Code code,
              std::function<void(Result<Outcome>)> done, std::function<Outcome()> make) {
    if (refuses) {
      m_loop.After(milliseconds(2), [done] {
        done(Error{schema::CODE_TABLE_UNAVAILABLE, "refused"});
      });
      return;
    }
    const auto fail = [done, code] { done(Error{code, "no answer"}); };
    if (m_silent || delay > timeout) return m_loop.After(timeout, fail);
    const SteadyTime deadline = m_loop.Now() + timeout;
    m_loop.After(delay, [this, outages = m_outages, deadline, done, make, fail] {
      if (!IsLost(outages)) return done(make());
      m_loop.At(deadline, fail);
    });
  }

  // Answers a feed when there is a change, or at the end of its wait.
  void Poll(Feed feed) {
    if (refuses || IsLost(feed.outages)) {
      const SteadyTime end = refuses ? m_loop.Now() + latency : feed.until + feed_slack;
      m_loop.At(end, [done = std::move(feed.done)] {
        done(Error{schema::CODE_TABLE_UNAVAILABLE, "no answer"});
      });
      return;
    }
    const std::optional<RowPage> page = rows.Changes(feed.table, feed.after);
    if (!page) return feed.done(Error{schema::CODE_NOT_FOUND, "history dropped"});
    if (!page->rows.empty() || m_loop.Now() >= feed.until) return feed.done(*page);
    m_loop.After(latency, [this, feed = std::move(feed)]() mutable { Poll(std::move(feed)); });
  }

  Loop& m_loop;
  bool m_silent = false;
  int m_outages = 0;  // Changes whenever the store falls silent or returns.
};

}  // namespace citronsill::model
