#include "citronsill/journal.h"

#include "citronsill/snapshot.h"
#include "internal.h"

namespace citronsill {
namespace {

// Delay between two attempts to find out whether a batch was committed.
constexpr std::chrono::milliseconds kResolveDelay{200};

std::string PartitionKey(PartitionId partition) {
  return fmt::format("partition/{:04}", partition.value);
}

}  // namespace

struct Journal::Impl : std::enable_shared_from_this<Impl> {
  // The entries of one call of `Append`; they stay in one batch.
  struct Item {
    std::vector<schema::JournalEntry> entries;
    std::map<PartitionId, std::uint64_t> epochs;  // Epoch of each partition at the call.
    std::function<void(Result<void>)> done;
  };

  struct Compaction {
    std::function<JournalSnapshot()> take_snapshot;
    std::function<void(Result<void>)> done;
  };

  // One transaction, which is sent again until it is known whether it was committed.
  struct Batch {
    std::vector<Item> items;
    std::uint64_t sequence = 0;
    std::map<PartitionId, OwnedPartition> partitions;
    std::vector<schema::JournalBatch> rows;
    bool outcome_unknown = false;  // An earlier attempt may still be committed at any time.
    bool snapshot = false;
    std::vector<schema::JournalEntry> entries;  // Content of a snapshot.
    std::set<PartitionId> carried;  // Lost partitions whose new owner may not have read them yet.
    std::vector<std::uint64_t> replaced_rows;  // Rows that the snapshot replaces.
  };
  using BatchPtr = std::shared_ptr<Batch>;

  struct Row {
    std::set<PartitionId> partitions;  // Partitions that may have entries in the row.
    std::string object;                // Name of the object with its content; empty for none.
  };

  Impl(Table& platform_table, ObjectStore* object_store, JournalOptions journal_options,
       JournalHooks journal_hooks)
      : table(platform_table),
        objects(object_store),
        options(std::move(journal_options)),
        hooks(std::move(journal_hooks)) {}

  Table& table;
  ObjectStore* objects;
  JournalOptions options;
  JournalHooks hooks;
  std::mutex mutex;
  std::deque<Item> pending;
  std::size_t pending_entries = 0;
  std::optional<Compaction> compaction;
  std::map<std::uint64_t, Row> rows;       // Of the own stream, by sequence number.
  std::vector<std::string> stale_objects;  // Objects of erased rows, to be deleted.
  std::uint64_t next_sequence = 1;
  bool committing = false;   // A batch is being written.
  bool scheduled = false;    // A call of `Flush` is scheduled.
  bool unreachable = false;  // The outcome of a batch is unknown, and the table cannot be read.

  void Add(Item item) {
    for (const schema::JournalEntry& entry : item.entries) {
      const PartitionId partition{entry.partition()};
      const auto owned = hooks.owned(partition);
      if (!owned) return item.done(Error{schema::CODE_NOT_OWNER, "the partition is not owned"});
      item.epochs[partition] = owned->epoch;
    }
    std::unique_lock lock(mutex);
    if (unreachable) {
      lock.unlock();
      return item.done(Error{schema::CODE_TABLE_UNAVAILABLE, "the table cannot be reached"});
    }
    if (pending_entries + item.entries.size() > options.max_pending_entries ||
        pending.size() >= options.max_pending_entries) {
      lock.unlock();
      return item.done(Error{schema::CODE_OVERLOADED, "too many entries wait for the journal"});
    }
    pending_entries += item.entries.size();
    pending.push_back(std::move(item));
    Schedule(std::move(lock));
  }

  void Schedule(std::unique_lock<std::mutex> lock) {
    if (scheduled || committing) return;
    scheduled = true;
    lock.unlock();
    hooks.after(options.interval, [weak = weak_from_this()] {
      if (auto self = weak.lock()) self->Flush();
    });
  }

  void Flush() {
    auto batch = std::make_shared<Batch>();
    std::optional<Compaction> compact;
    {
      std::lock_guard lock(mutex);
      scheduled = false;
      if (committing || (pending.empty() && !compaction)) return;
      committing = true;
      batch->sequence = next_sequence++;
      compact.swap(compaction);
      if (!compact) TakeItems(*batch);
    }
    if (compact) return StartSnapshot(batch, std::move(*compact));
    for (Item& item : std::exchange(batch->items, {})) {
      if (AddPartitions(*batch, item.epochs)) {
        batch->items.push_back(std::move(item));
      } else {
        item.done(Error{schema::CODE_NOT_OWNER, "the partition was lost"});
      }
    }
    SendItems(batch);
  }

  // Requires the mutex.
  void TakeItems(Batch& batch) {
    std::size_t entries = 0;
    while (!pending.empty() && (entries == 0 || entries + pending.front().entries.size() <=
                                                    options.max_batch_entries)) {
      entries += pending.front().entries.size();
      batch.items.push_back(std::move(pending.front()));
      pending.pop_front();
    }
    pending_entries -= entries;
  }

  bool AddPartitions(Batch& batch, const std::map<PartitionId, std::uint64_t>& epochs) {
    std::map<PartitionId, OwnedPartition> found;
    for (const auto& [partition, epoch] : epochs) {
      const auto owned = hooks.owned(partition);
      if (!owned || owned->epoch != epoch) return false;
      found[partition] = *owned;
    }
    batch.partitions.merge(found);
    return true;
  }

  void SendItems(const BatchPtr& batch) {
    schema::JournalBatch row;
    for (const Item& item : batch->items) {
      for (const schema::JournalEntry& entry : item.entries) *row.add_entries() = entry;
    }
    if (row.entries_size() == 0) return Complete(batch, Success());
    batch->rows = {std::move(row)};
    Send(batch);
  }

  void StartSnapshot(const BatchPtr& batch, Compaction compact) {
    JournalSnapshot snapshot = compact.take_snapshot();
    batch->snapshot = true;
    batch->entries = std::move(snapshot.entries);
    batch->items.push_back({{}, snapshot.epochs, std::move(compact.done)});
    if (!AddPartitions(*batch, snapshot.epochs)) {
      return Complete(batch, Error{schema::CODE_NOT_OWNER, "a partition was lost"});
    }
    {
      std::lock_guard lock(mutex);
      for (const auto& [sequence, row] : rows) {
        batch->replaced_rows.push_back(sequence);
        for (const PartitionId partition : row.partitions) {
          if (!batch->partitions.contains(partition)) batch->carried.insert(partition);
        }
      }
    }
    if (batch->carried.empty()) return WriteSnapshot(batch);
    table.Scan("partition/", [self = shared_from_this(),
                              batch](const Result<std::vector<schema::TableRow>>& scanned) {
      if (!scanned) return self->Complete(batch, scanned.error());
      for (const schema::TableRow& row : scanned.value()) {
        schema::PartitionRow parsed;
        if (!parsed.ParseFromString(row.value())) continue;
        const PartitionId partition{parsed.partition()};
        if (!NamesStream(parsed, self->options.stream) && !self->hooks.owned(partition)) {
          batch->carried.erase(partition);
        }
      }
      if (batch->carried.empty()) return self->WriteSnapshot(batch);
      self->CarryOver(batch);
    });
  }

  // Copies the entries of lost partitions unchanged into the snapshot.
  void CarryOver(const BatchPtr& batch) {
    ReadStream(
        table, objects, options.stream,
        [self = shared_from_this(), batch](const Result<std::vector<schema::JournalEntry>>& read) {
          if (!read) return self->Complete(batch, read.error());
          for (const schema::JournalEntry& entry : read.value()) {
            if (batch->carried.contains(PartitionId{entry.partition()})) {
              batch->entries.push_back(entry);
            }
          }
          self->WriteSnapshot(batch);
        });
  }

  void WriteSnapshot(const BatchPtr& batch) {
    batch->rows = SplitIntoRows(batch->entries);
    if (batch->rows.size() == 1 || objects == nullptr) return SendSnapshot(batch);
    schema::JournalBatch object_content;
    for (const schema::JournalEntry& entry : batch->entries) *object_content.add_entries() = entry;
    const std::string key = RowKey(options.stream, batch->sequence);
    objects->Put(key, object_content.SerializeAsString(),
                 [self = shared_from_this(), batch, key](const Result<void>& put) {
                   if (put) {
                     batch->rows.assign(1, {});
                     batch->rows.front().set_object(key);
                   }
                   // If the object store fails, the snapshot is written to several rows.
                   self->SendSnapshot(batch);
                 });
  }

  void SendSnapshot(const BatchPtr& batch) {
    {
      std::lock_guard lock(mutex);
      next_sequence += batch->rows.size() - 1;
    }
    Send(batch);
  }

  schema::TableTransaction MakeTransaction(const Batch& batch) const {
    schema::TableTransaction transaction;
    for (const auto& [partition, owned] : batch.partitions) {
      auto* condition = transaction.add_conditions();
      condition->set_key(PartitionKey(partition));
      condition->set_version(owned.version);
    }
    // The row must not exist yet, so that the batch cannot be committed twice.
    auto* absent = transaction.add_conditions();
    absent->set_key(RowKey(options.stream, batch.sequence));
    for (std::size_t i = 0; i < batch.rows.size(); ++i) {
      auto* write = transaction.add_writes();
      write->set_key(RowKey(options.stream, batch.sequence + i));
      write->set_value(batch.rows[i].SerializeAsString());
    }
    for (const std::uint64_t sequence : batch.replaced_rows) {
      auto* write = transaction.add_writes();
      write->set_key(RowKey(options.stream, sequence));
      write->set_erase(true);
    }
    return transaction;
  }

  void Send(const BatchPtr& batch) {
    table.Commit(MakeTransaction(*batch), [self = shared_from_this(),
                                           batch](const Result<schema::TableCommitResult>& result) {
      self->OnCommitted(batch, result);
    });
  }

  void OnCommitted(const BatchPtr& batch, const Result<schema::TableCommitResult>& result) {
    if (!result && result.error().code != schema::CODE_TABLE_UNAVAILABLE) {
      batch->outcome_unknown = true;
      return Resolve(batch);
    }
    // This attempt had no effect, but an earlier one may have had.
    if (!result && batch->outcome_unknown) return OnUnreachable(batch);
    if (!result) return Complete(batch, result.error());
    if (result.value().committed()) return Complete(batch, Success());
    const std::string own_key = RowKey(options.stream, batch->sequence);
    for (const schema::TableRow& row : result.value().rows()) {
      // An earlier attempt was committed after `Resolve` had looked for its row.
      if (row.key() == own_key && row.version() != 0) return Complete(batch, Success());
    }
    OnConflict(batch, result.value());
  }

  // No earlier attempt can be committed any more, because the row versions that it requires are
  // outdated.
  void OnConflict(const BatchPtr& batch, const schema::TableCommitResult& result) {
    std::set<PartitionId> lost;
    for (const schema::TableRow& row : result.rows()) {
      for (auto& [partition, owned] : batch->partitions) {
        if (row.key() != PartitionKey(partition)) continue;
        schema::PartitionRow parsed;
        if (parsed.ParseFromString(row.value()) && parsed.epoch() == owned.epoch) {
          owned.version = row.version();  // Only the list of streams changed.
        } else {
          lost.insert(partition);
        }
      }
    }
    batch->outcome_unknown = false;
    for (const PartitionId partition : lost) hooks.on_fenced(partition);
    if (lost.empty()) return Send(batch);
    const Error error{schema::CODE_NOT_OWNER, "the partition was lost"};
    if (batch->snapshot) return Complete(batch, error);
    for (const PartitionId partition : lost) batch->partitions.erase(partition);
    for (Item& item : std::exchange(batch->items, {})) {
      const bool kept = std::none_of(item.epochs.begin(), item.epochs.end(),
                                     [&](const auto& entry) { return lost.contains(entry.first); });
      if (kept) {
        batch->items.push_back(std::move(item));
      } else {
        item.done(error);
      }
    }
    SendItems(batch);
  }

  // After a lost answer, the existence of the batch's row tells whether the batch was committed.
  void Resolve(const BatchPtr& batch) {
    table.Read(RowKey(options.stream, batch->sequence),
               [self = shared_from_this(), batch](const Result<schema::TableRow>& row) {
                 if (!row) return self->OnUnreachable(batch);
                 {
                   std::lock_guard lock(self->mutex);
                   self->unreachable = false;
                 }
                 if (row.value().version() == 0) return self->Send(batch);
                 self->Complete(batch, Success());
               });
  }

  // Refuses the waiting items. They were never sent, so they are certainly not in the table.
  void OnUnreachable(const BatchPtr& batch) {
    std::deque<Item> refused;
    {
      std::lock_guard lock(mutex);
      unreachable = true;
      refused.swap(pending);
      pending_entries = 0;
    }
    for (const Item& item : refused) {
      item.done(Error{schema::CODE_TABLE_UNAVAILABLE, "the table cannot be reached"});
    }
    hooks.after(kResolveDelay, [weak = weak_from_this(), batch] {
      if (auto self = weak.lock()) self->Resolve(batch);
    });
  }

  void Complete(const BatchPtr& batch, const Result<void>& result) {
    if (result && !batch->rows.empty()) RecordRows(*batch);
    for (const Item& item : batch->items) item.done(result);
    std::unique_lock lock(mutex);
    committing = false;
    if (!pending.empty() || compaction) Schedule(std::move(lock));
  }

  void RecordRows(const Batch& batch) {
    std::vector<std::string> stale;
    {
      std::lock_guard lock(mutex);
      for (const std::uint64_t sequence : batch.replaced_rows) {
        if (const std::string& object = rows[sequence].object; !object.empty()) {
          stale_objects.push_back(object);
        }
        rows.erase(sequence);
      }
      for (std::size_t i = 0; i < batch.rows.size(); ++i) {
        Row& row = rows[batch.sequence + i];
        for (const auto& [partition, owned] : batch.partitions) row.partitions.insert(partition);
        row.partitions.insert(batch.carried.begin(), batch.carried.end());
        row.object = batch.rows[i].object();
      }
      stale.swap(stale_objects);
    }
    for (const std::string& object : stale) {
      objects->Delete(object, [weak = weak_from_this(), object](const Result<void>& deleted) {
        auto self = weak.lock();
        if (deleted || !self) return;
        std::lock_guard lock(self->mutex);
        self->stale_objects.push_back(object);  // Retried after the next batch.
      });
    }
  }

  void EraseStream(const std::string& stream, std::function<void(bool)> done) {
    // The rows are read before the partitions: if no partition names the stream after that, the
    // rows that were read hold no entry that is still needed.
    table.Scan(StreamPrefix(stream), [self = shared_from_this(), stream, done](
                                         const Result<std::vector<schema::TableRow>>& stream_rows) {
      if (!stream_rows) return done(false);
      self->table.Scan("partition/", [self, stream, done, stream_rows = stream_rows.value()](
                                         const Result<std::vector<schema::TableRow>>& partitions) {
        if (!partitions || IsStreamNamed(partitions.value(), stream)) return done(false);
        EraseRows(self->table, self->objects, stream_rows,
                  [done](const Result<void>& erased) { done(erased.has_value()); });
      });
    });
  }

  static bool IsStreamNamed(const std::vector<schema::TableRow>& partitions,
                            const std::string& stream) {
    return std::any_of(partitions.begin(), partitions.end(), [&](const schema::TableRow& row) {
      schema::PartitionRow parsed;
      return !parsed.ParseFromString(row.value()) || NamesStream(parsed, stream);
    });
  }

  static bool NamesStream(const schema::PartitionRow& row, const std::string& stream) {
    return std::find(row.streams().begin(), row.streams().end(), stream) != row.streams().end();
  }

  struct Loading {
    PartitionId partition;
    std::deque<std::string> streams;
    std::vector<schema::JournalEntry> entries;
    std::function<void(Result<std::vector<schema::JournalEntry>>)> done;
  };

  void LoadNext(const std::shared_ptr<Loading>& loading) {
    if (loading->streams.empty()) return loading->done(std::move(loading->entries));
    const std::string stream = loading->streams.front();
    loading->streams.pop_front();
    ReadStream(
        table, objects, stream,
        [self = shared_from_this(), loading](Result<std::vector<schema::JournalEntry>> read) {
          if (!read) return loading->done(read.error());
          for (schema::JournalEntry& entry : read.value()) {
            if (entry.partition() == loading->partition.value) {
              loading->entries.push_back(std::move(entry));
            }
          }
          self->LoadNext(loading);
        });
  }
};

Result<std::unique_ptr<Journal>> Journal::Create(Table& table, ObjectStore* objects,
                                                 const JournalOptions& options,
                                                 JournalHooks hooks) {
  if (options.stream.empty()) {
    return Error{schema::CODE_INVALID_FIELD, "the name of the journal stream must not be empty"};
  }
  return std::unique_ptr<Journal>(
      new Journal(std::make_shared<Impl>(table, objects, options, std::move(hooks))));
}

Journal::Journal(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Journal::~Journal() = default;

void Journal::Append(std::vector<schema::JournalEntry> entries,
                     std::function<void(Result<void>)> done) {
  m_impl->Add({std::move(entries), {}, std::move(done)});
}

void Journal::Load(PartitionId partition, const std::vector<std::string>& streams,
                   std::function<void(Result<std::vector<schema::JournalEntry>>)> done) {
  auto loading = std::make_shared<Impl::Loading>();
  loading->partition = partition;
  loading->streams.assign(streams.begin(), streams.end());
  loading->done = std::move(done);
  m_impl->LoadNext(loading);
}

void Journal::Compact(std::function<JournalSnapshot()> take_snapshot,
                      std::function<void(Result<void>)> done) {
  std::unique_lock lock(m_impl->mutex);
  if (m_impl->compaction || m_impl->unreachable) {
    lock.unlock();
    return done(
        Error{schema::CODE_OVERLOADED, "a compaction is pending or the table is unreachable"});
  }
  m_impl->compaction = Impl::Compaction{std::move(take_snapshot), std::move(done)};
  m_impl->Schedule(std::move(lock));
}

void Journal::EraseUnused(const std::set<std::string>& streams,
                          std::function<void(std::set<std::string>)> done) {
  struct State {
    std::mutex mutex;
    std::set<std::string> not_erased;
    std::size_t remaining = 0;
  };
  if (streams.empty()) return done({});
  auto state = std::make_shared<State>();
  state->not_erased = streams;
  state->remaining = streams.size();
  for (const std::string& stream : streams) {
    m_impl->EraseStream(stream, [state, stream, done](bool erased) {
      std::unique_lock lock(state->mutex);
      if (erased) state->not_erased.erase(stream);
      if (--state->remaining > 0) return;
      lock.unlock();
      done(state->not_erased);
    });
  }
}

const std::string& Journal::Stream() const { return m_impl->options.stream; }

std::size_t Journal::Rows() const {
  std::lock_guard lock(m_impl->mutex);
  return m_impl->rows.size();
}

}  // namespace citronsill
