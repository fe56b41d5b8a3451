// Tests transactions that take long to reach the store over a weak link.
#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "cell/commit.h"
#include "cell/limits.h"
#include "cell/scheduler.h"
#include "narrow_link.h"

namespace citronsill {
namespace {

using namespace model;

constexpr double kBytesPerMs = 1250;  // 10 Mbit/s.

// A store that a transaction reaches over the link of the scheduler. Reads are small.
class UploadStore : public RowStore {
 public:
  explicit UploadStore(Loop& loop) : rows(loop), link(loop, kBytesPerMs), m_loop(loop) {}

  Store rows;
  NarrowLink link;

  void Commit(RowTransaction transaction, milliseconds timeout,
              std::function<void(Result<CommitOutcome>)> done) override {
    const auto open = std::make_shared<std::function<void(Result<CommitOutcome>)>>(std::move(done));
    const auto end = [open](const Result<CommitOutcome>& result) {
      if (*open) std::exchange(*open, nullptr)(result);
    };
    std::size_t bytes = 0;
    for (const Row& row : transaction.writes) bytes += Base64Bytes(row.value.size()) + 100;
    const std::uint64_t transfer =
        link.Transfer(bytes, nullptr, [this, end, transaction = std::move(transaction)] {
          m_loop.After(milliseconds(4), [this, end, transaction] { end(rows.Apply(transaction)); });
        });
    // The connection is closed, and what has not been sent is not.
    m_loop.After(timeout, [this, end, transfer] {
      link.Cancel(transfer);
      end(Error{schema::CODE_COMMIT_UNKNOWN, "timed out"});
    });
  }
  void Read(RowRange range, milliseconds, std::function<void(Result<RowPage>)> done) override {
    m_loop.After(milliseconds(8),
                 [this, range, done] { done(rows.Read(range.table, range.part)); });
  }
  void Follow(std::string, std::uint64_t, milliseconds,
              std::function<void(Result<RowPage>)>) override {}

 private:
  Loop& m_loop;
};

// Guards against a weak scheduler that sends a full transaction again while it is still being sent,
// so that none of the copies arrives before its time-out (class of issue 62).
TEST_CASE("commit: a full transaction is stored in time over a weak link") {
  Loop loop(1);
  UploadStore store(loop);
  schema::HeadRow head;
  head.set_term(1);
  RowTransaction claim;
  claim.writes = {Row{{kHeadTable, "s0", kShardRowKey}, head.SerializeAsString()}};
  const std::uint64_t version = store.rows.Apply(claim).version;
  bool is_next_full = false;
  std::uint64_t stored = 0;
  CommitHooks hooks;
  hooks.now = [&loop] { return loop.Now(); };
  hooks.after = [&loop](milliseconds delay, std::function<void()> action) {
    loop.After(delay, std::move(action));
  };
  hooks.post = [&loop](std::function<void()> action) {
    loop.After(milliseconds(0), std::move(action));
  };
  hooks.take = [&] {
    WriteBatch batch;
    batch.position = stored + 1;
    constexpr std::size_t kRowBytes = 40000;
    const bool is_full = std::exchange(is_next_full, false);
    for (std::size_t bytes = 0; is_full && bytes + kRowBytes <= kMaxTransactionBytes;
         bytes += kRowBytes) {
      batch.writes.push_back(
          Row{{"job", "s0", std::to_string(bytes)}, std::string(kRowBytes, 'j')});
    }
    return batch;
  };
  hooks.on_stored = [&](std::uint64_t position) { stored = position; };
  hooks.transfer_time = [](std::size_t bytes) { return TransferTime(bytes, 10); };
  hooks.on_lost = [] { FAIL("the shard was lost"); };
  CommitLog commits("s0", head, version, &store, loop.Now(), loop.Now(), std::move(hooks));
  commits.Wake();
  loop.RunFor(milliseconds(500));
  for (int i = 0; i < 5; ++i) {
    CAPTURE(i);
    const std::uint64_t before = stored;
    const std::size_t sent = store.link.TransferredBytes();
    const SteadyTime begin = loop.Now();
    is_next_full = true;
    commits.Wake();
    while (stored == before && loop.Now() < begin + milliseconds(20000)) {
      loop.RunFor(milliseconds(1));
    }
    // It takes 0.65 s when it is sent once.
    CHECK(loop.Now() - begin <= milliseconds(1000));
    loop.RunFor(milliseconds(3000));
    CHECK(store.link.TransferredBytes() - sent <= 2 * Base64Bytes(kMaxTransactionBytes));
  }
}

}  // namespace
}  // namespace citronsill
