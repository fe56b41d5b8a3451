#include "citronsill/journal.h"

#include "internal.h"

namespace citronsill {
namespace {

std::string RowKey(const std::string& stream, std::uint64_t sequence) {
  return fmt::format("journal/{}/{:012}", stream, sequence);
}

// Waits between two tries to find out whether a batch took effect.
constexpr std::chrono::milliseconds kResolvePeriod{200};

}  // namespace

struct Journal::Impl : std::enable_shared_from_this<Impl> {
  struct Append {
    std::vector<schema::JournalEntry> entries;
    std::function<void(Result<void>)> done;
  };

  Impl(Table& platform_table, TimerService& timer_service, const JournalOptions& journal_options,
       JournalHooks journal_hooks)
      : table(platform_table),
        timers(timer_service),
        options(journal_options),
        hooks(std::move(journal_hooks)) {}

  Table& table;
  TimerService& timers;
  JournalOptions options;
  JournalHooks hooks;
  std::mutex mutex;
  std::vector<Append> pending;
  std::size_t pending_entries = 0;
  std::uint64_t next_sequence = 1;
  bool committing = false;
  bool scheduled = false;

  void Add(Append append) {
    bool schedule = false;
    {
      std::lock_guard lock(mutex);
      pending_entries += append.entries.size();
      pending.push_back(std::move(append));
      schedule = !scheduled && !committing;
      scheduled = scheduled || schedule;
    }
    if (schedule) {
      timers.After(options.interval, [weak = weak_from_this()](SteadyTime) {
        if (auto self = weak.lock()) self->Flush();
      });
    }
  }

  void Flush() {
    std::vector<Append> batch;
    std::uint64_t sequence = 0;
    {
      std::lock_guard lock(mutex);
      scheduled = false;
      if (committing || pending.empty()) return;
      std::size_t entries = 0;
      std::size_t count = 0;
      while (count < pending.size() &&
             (count == 0 || entries + pending[count].entries.size() <= options.max_batch_entries)) {
        entries += pending[count++].entries.size();
      }
      const auto end = pending.begin() + static_cast<std::ptrdiff_t>(count);
      batch.assign(std::make_move_iterator(pending.begin()), std::make_move_iterator(end));
      pending.erase(pending.begin(), end);
      pending_entries -= entries;
      committing = true;
      sequence = next_sequence++;
    }
    Commit(std::move(batch), sequence);
  }

  void Commit(std::vector<Append> batch, std::uint64_t sequence) {
    std::vector<Append> kept;
    std::map<std::uint32_t, std::uint64_t> versions;
    for (Append& append : batch) {
      if (AddVersions(append, versions)) {
        kept.push_back(std::move(append));
      } else {
        append.done(Error{schema::CODE_NOT_OWNER, "the partition is not owned"});
      }
    }
    if (kept.empty()) return Finish();
    schema::TableTransaction transaction = MakeTransaction(kept, versions, sequence);
    auto shared = std::make_shared<std::vector<Append>>(std::move(kept));
    table.Commit(transaction, [self = shared_from_this(), shared, sequence,
                               versions](Result<schema::TableCommitResult> result) {
      self->OnCommitted(shared, sequence, versions, result);
    });
  }

  bool AddVersions(const Append& append, std::map<std::uint32_t, std::uint64_t>& versions) {
    for (const schema::JournalEntry& entry : append.entries) {
      const auto version = hooks.owned_version(PartitionId{entry.partition()});
      if (!version) return false;
      versions[entry.partition()] = *version;
    }
    return true;
  }

  schema::TableTransaction MakeTransaction(const std::vector<Append>& appends,
                                           const std::map<std::uint32_t, std::uint64_t>& versions,
                                           std::uint64_t sequence) {
    schema::TableTransaction transaction;
    for (const auto& [partition, version] : versions) {
      auto* condition = transaction.add_conditions();
      condition->set_key(fmt::format("partition/{:04}", partition));
      condition->set_version(version);
    }
    auto* absent = transaction.add_conditions();
    absent->set_key(RowKey(options.stream, sequence));
    schema::JournalBatch rows;
    for (const Append& append : appends) {
      for (const schema::JournalEntry& entry : append.entries) *rows.add_entries() = entry;
    }
    auto* write = transaction.add_writes();
    write->set_key(RowKey(options.stream, sequence));
    write->set_value(rows.SerializeAsString());
    return transaction;
  }

  void OnCommitted(const std::shared_ptr<std::vector<Append>>& batch, std::uint64_t sequence,
                   const std::map<std::uint32_t, std::uint64_t>& versions,
                   const Result<schema::TableCommitResult>& result) {
    if (!result && result.error().code != schema::CODE_TABLE_UNAVAILABLE) {
      return Resolve(batch, sequence);
    }
    if (!result) {
      for (Append& append : *batch) append.done(result.error());
      return Finish();
    }
    if (!result.value().committed()) {
      for (const schema::TableRow& row : result.value().rows()) {
        for (const auto& [partition, version] : versions) {
          if (row.key() == fmt::format("partition/{:04}", partition)) {
            hooks.on_fenced(PartitionId{partition});
          }
        }
      }
      // Batches that lost only some of their partitions are sent again without them.
      return Commit(std::move(*batch), sequence);
    }
    for (Append& append : *batch) append.done(Success());
    Finish();
  }

  // The answer was lost: the own row tells whether the batch took effect.
  void Resolve(const std::shared_ptr<std::vector<Append>>& batch, std::uint64_t sequence) {
    table.Read(RowKey(options.stream, sequence),
               [self = shared_from_this(), batch, sequence](Result<schema::TableRow> row) {
                 if (!row) {
                   self->timers.After(kResolvePeriod, [self, batch, sequence](SteadyTime) {
                     self->Resolve(batch, sequence);
                   });
                   return;
                 }
                 if (row.value().version() == 0) return self->Commit(std::move(*batch), sequence);
                 for (Append& append : *batch) append.done(Success());
                 self->Finish();
               });
  }

  void Finish() {
    bool more = false;
    {
      std::lock_guard lock(mutex);
      committing = false;
      more = !pending.empty();
    }
    if (more) Flush();
  }
};

Result<std::unique_ptr<Journal>> Journal::Create(Table& table, TimerService& timers,
                                                 const JournalOptions& options,
                                                 JournalHooks hooks) {
  if (options.stream.empty()) {
    return Error{schema::CODE_INVALID_FIELD, "the journal stream needs a name"};
  }
  return std::unique_ptr<Journal>(
      new Journal(std::make_shared<Impl>(table, timers, options, std::move(hooks))));
}

Journal::Journal(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Journal::~Journal() = default;

void Journal::Append(std::vector<schema::JournalEntry> entries,
                     std::function<void(Result<void>)> done) {
  m_impl->Add({std::move(entries), std::move(done)});
}

void Journal::Load(PartitionId partition, const std::vector<std::string>& streams,
                   std::function<void(Result<std::vector<schema::JournalEntry>>)> done) {
  struct State {
    std::vector<schema::JournalEntry> entries;
    std::deque<std::string> left;
  };
  auto state = std::make_shared<State>();
  state->left.assign(streams.begin(), streams.end());
  auto next = std::make_shared<std::function<void()>>();
  *next = [impl = m_impl, state, partition, done, weak = std::weak_ptr(next)] {
    auto self = weak.lock();
    if (state->left.empty()) return done(std::move(state->entries));
    const std::string prefix = "journal/" + state->left.front() + "/";
    state->left.pop_front();
    impl->table.Scan(prefix,
                     [state, partition, done, self](Result<std::vector<schema::TableRow>> rows) {
                       if (!rows) return done(rows.error());
                       for (const schema::TableRow& row : rows.value()) {
                         schema::JournalBatch batch;
                         if (!batch.ParseFromString(row.value())) continue;
                         for (const schema::JournalEntry& entry : batch.entries()) {
                           if (entry.partition() == partition.value)
                             state->entries.push_back(entry);
                         }
                       }
                       (*self)();
                     });
  };
  (*next)();
}

const std::string& Journal::Stream() const { return m_impl->options.stream; }

}  // namespace citronsill
