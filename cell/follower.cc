#include "cell/follower.h"

#include <algorithm>
#include <optional>
#include <string_view>

#include "cell/limits.h"
#include "cell/log.h"
#include "cell/table_reader.h"
#include "schema/codes.pb.h"

namespace citronsill {
DelayHook DelayThrough(TimerService& timers) {
  return [&timers](milliseconds delay, std::function<void()> action) {
    timers.After(delay, [action = std::move(action)](SteadyTime) { action(); });
  };
}

struct TableFollower::Impl : std::enable_shared_from_this<Impl> {
  Impl(RowStore* row_store, std::string table_name, std::string part_name,
       FollowerHooks follower_hooks)
      : store(row_store),
        table(std::move(table_name)),
        part(std::move(part_name)),
        hooks(std::move(follower_hooks)),
        reader(row_store, RowRange{table, part, "", "", kMaxRowsPerRead}, hooks.after, hooks.random,
               [this] { OnPart(); }) {}

  RowStore* store;
  std::string table;
  std::string part;
  FollowerHooks hooks;
  TableReader reader;
  std::uint64_t version = 0;
  SteadyTime heard = hooks.now();
  SteadyTime current_as_of = hooks.now();
  milliseconds feed_wait{0};  // Wait of the last call for changes.
  milliseconds backoff{0};
  const char* call = "none";
  SteadyTime call_began = hooks.now();
  std::uint32_t failures = 0;
  std::uint64_t pauses = 0;                  // Number of the last pause before a read.
  std::optional<SteadyTime> arriving_since;  // When the answer to the call began to arrive.
  SteadyTime last_part{};
  bool loaded = false;
  bool failing = false;
  bool stopped = false;

  void BeginCall(const char* name) {
    call = name;
    call_began = hooks.now();
    arriving_since.reset();
  }

  void OnPart() {
    last_part = hooks.now();
    if (!arriving_since) arriving_since = last_part;
  }

  [[nodiscard]] bool IsArriving() const {
    return arriving_since && Since(last_part) <= kMaxPartGap &&
           Since(*arriving_since) <= kMaxArrivalReport;
  }

  [[nodiscard]] milliseconds Since(SteadyTime time) const {
    return std::chrono::duration_cast<milliseconds>(hooks.now() - time);
  }

  [[nodiscard]] FollowerStatus Status() const {
    return {version, Since(heard), call, Since(call_began), failures, IsArriving()};
  }

  void Load() {
    BeginCall("read");
    reader.Read([weak = weak_from_this()](const Result<RowPage>& page) {
      const auto self = weak.lock();
      if (!self || self->stopped) return;
      if (!page) return self->Fail(page.error());
      self->OnRead(page.value());
    });
  }

  void OnRead(const RowPage& page) {
    Log(LogLevel::kInfo, "table-read")
        .Field("table", table)
        .Field("rows", page.rows.size())
        .Field("version", page.version)
        .Field("took_ms", Since(call_began))
        .Field("age_ms", Since(heard))
        .Field("failures", failures);
    loaded = true;
    heard = hooks.now();
    current_as_of = call_began;
    version = page.version;
    hooks.on_snapshot(page.rows);
    if (stopped) return;
    // The read may have begun long before the store answered. Changes are asked for without a wait,
    // which tells that the rows are current.
    Follow(Since(call_began) > hooks.wait ? kFirstFeedWait : hooks.wait);
  }

  void Follow(milliseconds wait) {
    BeginCall("feed");
    feed_wait = wait;
    const auto self = shared_from_this();
    const auto count_part = [self] { self->OnPart(); };
    store->FollowInParts(table, version, wait, count_part, [self](const Result<RowPage>& page) {
      if (self->stopped) return;
      if (page) return self->OnChanges(page.value());
      if (page.error().code != schema::CODE_NOT_FOUND) {
        return self->Fail(page.error());
      }
      // The store dropped its history, for all instances at once: spread their reads.
      self->LoadLater(milliseconds(self->hooks.random() % kReloadSpread.count()));
    });
  }

  void OnChanges(const RowPage& page) {
    Succeed();
    heard = hooks.now();
    // Without a change, the store has answered only after the wait.
    const bool has_waited = page.rows.empty() && Since(call_began) >= feed_wait;
    // A full page may not hold all changes up to its version: the next call continues after its
    // rows.
    const bool is_full = page.truncated || page.rows.size() >= kMaxRowsPerRead;
    if (!is_full) current_as_of = call_began + (has_waited ? feed_wait : milliseconds(0));
    version =
        std::max(version, is_full && !page.rows.empty() ? page.rows.back().version : page.version);
    for (const Row& row : page.rows) {
      if (row.key.part != part) continue;
      hooks.on_change(row);
      if (stopped) return;
    }
    const milliseconds pause = hooks.min_period - Since(call_began);
    if (pause <= milliseconds(0) || is_full) return Follow(hooks.wait);
    hooks.after(pause, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && !self->stopped) self->Follow(self->hooks.wait);
    });
  }

  // The next attempt reads the table instead of following it: while the store refuses this
  // instance, reads are relayed through other instances, feeds are not.
  void Fail(const Error& error) {
    ++failures;
    Log(LogLevel::kWarn, failing ? "table-retry" : "table-lost")
        .Field("table", table)
        .Field("call", call)
        .Field("took_ms", Since(call_began))
        .Field("failures", failures)
        .Field("version", version)
        .Field("age_ms", Since(heard))
        .Field("reason", error);
    failing = true;
    backoff = std::clamp(backoff * 2, kFollowRetryMin, kFollowRetryMax);
    LoadLater(backoff / 2 + milliseconds(hooks.random() % (backoff.count() / 2 + 1)));
  }

  void Succeed() {
    backoff = milliseconds(0);
    failures = 0;
    if (!failing) return;
    failing = false;
    Log(LogLevel::kInfo, "table-regained")
        .Field("table", table)
        .Field("version", version)
        .Field("age_ms", Since(heard));
  }

  void LoadLater(milliseconds delay) {
    BeginCall("none");
    hooks.after(delay, [weak = weak_from_this(), pause = ++pauses] {
      const auto self = weak.lock();
      if (self && !self->stopped && self->pauses == pause) self->Load();
    });
  }

  void OnStoreAnswers() {
    if (call == std::string_view("read")) reader.RepeatNow();
    if (call != std::string_view("none")) return;
    ++pauses;
    Load();
  }
};

std::unique_ptr<TableFollower> TableFollower::Create(RowStore* store, std::string table,
                                                     std::string part, FollowerHooks hooks) {
  auto impl = std::make_shared<Impl>(store, std::move(table), std::move(part), std::move(hooks));
  impl->Load();
  return std::unique_ptr<TableFollower>(new TableFollower(std::move(impl)));
}

TableFollower::TableFollower(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

TableFollower::~TableFollower() { m_impl->stopped = true; }

bool TableFollower::IsLoaded() const { return m_impl->loaded; }

SteadyTime TableFollower::Heard() const { return m_impl->heard; }

SteadyTime TableFollower::CurrentAsOf() const { return m_impl->current_as_of; }

void TableFollower::OnStoreAnswers() { m_impl->OnStoreAnswers(); }

FollowerStatus TableFollower::Status() const { return m_impl->Status(); }

}  // namespace citronsill
