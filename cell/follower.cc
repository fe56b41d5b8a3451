#include "cell/follower.h"

#include <algorithm>
#include <random>

#include "cell/limits.h"
#include "cell/log.h"
#include "schema/codes.pb.h"

namespace citronsill {
namespace {

void ReadMore(RowStore* store, RowRange range, milliseconds timeout, RowPage so_far,
              std::function<void(Result<RowPage>)> done) {
  store->Read(range, timeout,
              [store, range, timeout, so_far = std::move(so_far),
               done = std::move(done)](Result<RowPage> result) mutable {
                if (!result) return done(result.error());
                RowPage& page = result.value();
                // Keep the version of the first page: changes made while later pages are read then
                // show up in the feed.
                if (so_far.rows.empty()) so_far.version = page.version;
                const bool has_more = page.truncated && !page.rows.empty();
                if (has_more) range.from = page.rows.back().key.key + '\0';
                so_far.rows.insert(so_far.rows.end(), std::make_move_iterator(page.rows.begin()),
                                   std::make_move_iterator(page.rows.end()));
                if (!has_more) return done(std::move(so_far));
                ReadMore(store, range, timeout, std::move(so_far), std::move(done));
              });
}

}  // namespace

void ReadAll(RowStore* store, RowRange range, milliseconds timeout,
             std::function<void(Result<RowPage>)> done) {
  ReadMore(store, std::move(range), timeout, RowPage{}, std::move(done));
}

struct TableFollower::Impl : std::enable_shared_from_this<Impl> {
  Impl(TimerService& service, RowStore* row_store, std::string table_name, std::string part_name,
       FollowerHooks follower_hooks)
      : timers(service),
        store(row_store),
        table(std::move(table_name)),
        part(std::move(part_name)),
        hooks(std::move(follower_hooks)),
        random(std::random_device{}()) {}

  TimerService& timers;
  RowStore* store;
  std::string table;
  std::string part;
  FollowerHooks hooks;
  std::minstd_rand random;
  std::uint64_t version = 0;
  SteadyTime heard = BootNow();
  milliseconds backoff{0};
  milliseconds read_timeout = kStoreReadTimeout;
  bool loaded = false;
  bool failing = false;
  bool stopped = false;

  void Load() {
    ReadAll(store, RowRange{table, part, "", "", kMaxRowsPerRead}, read_timeout,
            [self = shared_from_this()](const Result<RowPage>& page) {
              if (self->stopped) return;
              if (!page) {
                self->read_timeout = std::min(self->read_timeout * 2, kMaxTableReadTimeout);
                return self->Fail(page.error());
              }
              self->read_timeout = kStoreReadTimeout;
              self->loaded = true;
              self->heard = BootNow();
              self->version = page.value().version;
              self->hooks.on_snapshot(page.value().rows);
              if (!self->stopped) self->Follow();
            });
  }

  void Follow() {
    store->Follow(table, version, kFeedWait,
                  [self = shared_from_this()](const Result<RowPage>& page) {
                    if (self->stopped) return;
                    if (page) return self->OnChanges(page.value());
                    if (page.error().code != schema::CODE_NOT_FOUND) {
                      return self->Fail(page.error());
                    }
                    // The store dropped its history, for all instances at once: spread their reads.
                    const auto spread_ms = static_cast<int>(kReloadSpread.count());
                    self->LoadLater(milliseconds(self->random() % spread_ms));
                  });
  }

  void OnChanges(const RowPage& page) {
    Succeed();
    heard = BootNow();
    version = std::max(version, page.version);
    for (const Row& row : page.rows) {
      if (row.key.part != part) continue;
      hooks.on_change(row);
      if (stopped) return;
    }
    Follow();
  }

  // The next attempt reads the table instead of following it: while the store refuses this
  // instance, reads are relayed through other instances, feeds are not.
  void Fail(const Error& error) {
    if (!failing) {
      failing = true;
      Log(LogLevel::kWarn, "table-lost").Field("table", table).Field("reason", error);
    }
    backoff = std::clamp(backoff * 2, kFollowRetryMin, kFollowRetryMax);
    LoadLater(backoff / 2 + milliseconds(random() % (backoff.count() / 2 + 1)));
  }

  void Succeed() {
    backoff = milliseconds(0);
    if (!failing) return;
    failing = false;
    Log(LogLevel::kInfo, "table-regained").Field("table", table).Field("version", version);
  }

  void LoadLater(milliseconds delay) {
    timers.After(delay, [weak = weak_from_this()](SteadyTime) {
      const auto self = weak.lock();
      if (self && !self->stopped) self->Load();
    });
  }
};

std::unique_ptr<TableFollower> TableFollower::Create(TimerService& timers, RowStore* store,
                                                     std::string table, std::string part,
                                                     FollowerHooks hooks) {
  auto impl =
      std::make_shared<Impl>(timers, store, std::move(table), std::move(part), std::move(hooks));
  impl->Load();
  return std::unique_ptr<TableFollower>(new TableFollower(std::move(impl)));
}

TableFollower::TableFollower(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

TableFollower::~TableFollower() { m_impl->stopped = true; }

bool TableFollower::IsLoaded() const { return m_impl->loaded; }

SteadyTime TableFollower::Heard() const { return m_impl->heard; }

}  // namespace citronsill
