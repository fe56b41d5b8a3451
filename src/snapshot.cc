#include "citronsill/snapshot.h"

#include "internal.h"

namespace citronsill {
namespace {

struct StreamRead {
  std::vector<schema::JournalBatch> batches;
  std::size_t next = 0;
  std::function<void(Result<std::vector<schema::JournalEntry>>)> done;
};

void FetchObjects(ObjectStore* objects, const std::shared_ptr<StreamRead>& reading) {
  while (reading->next < reading->batches.size() &&
         reading->batches[reading->next].object().empty()) {
    ++reading->next;
  }
  if (reading->next == reading->batches.size()) {
    std::vector<schema::JournalEntry> entries;
    for (schema::JournalBatch& batch : reading->batches) {
      entries.insert(entries.end(), std::make_move_iterator(batch.mutable_entries()->begin()),
                     std::make_move_iterator(batch.mutable_entries()->end()));
    }
    return reading->done(std::move(entries));
  }
  if (objects == nullptr) {
    return reading->done(Error{schema::CODE_OBJECTS_UNAVAILABLE, "there is no object store"});
  }
  objects->Get(reading->batches[reading->next].object(),
               [objects, reading](const Result<std::string>& value) {
                 if (!value) return reading->done(value.error());
                 schema::JournalBatch& batch = reading->batches[reading->next];
                 if (!batch.ParseFromString(value.value())) {
                   return reading->done(Error{schema::CODE_INTERNAL,
                                              "a journal object cannot be parsed as a batch"});
                 }
                 batch.clear_object();
                 FetchObjects(objects, reading);
               });
}

struct RowErasure {
  std::deque<std::string> objects;
  schema::TableTransaction transaction;
  std::function<void(Result<void>)> done;
};

void EraseNext(Table& table, ObjectStore* objects, const std::shared_ptr<RowErasure>& erasing) {
  if (erasing->objects.empty()) {
    return table.Commit(erasing->transaction,
                        [erasing](const Result<schema::TableCommitResult>& result) {
                          if (!result) return erasing->done(result.error());
                          erasing->done(Success());
                        });
  }
  if (objects == nullptr) {
    return erasing->done(Error{schema::CODE_OBJECTS_UNAVAILABLE, "there is no object store"});
  }
  objects->Delete(erasing->objects.front(),
                  [&table, objects, erasing](const Result<void>& deleted) {
                    if (!deleted) return erasing->done(deleted.error());
                    erasing->objects.pop_front();
                    EraseNext(table, objects, erasing);
                  });
}

}  // namespace

std::string StreamPrefix(const std::string& stream) { return "journal/" + stream + "/"; }

std::string RowKey(const std::string& stream, std::uint64_t sequence) {
  return StreamPrefix(stream) + fmt::format("{:012}", sequence);
}

std::vector<schema::JournalBatch> SplitIntoRows(const std::vector<schema::JournalEntry>& entries) {
  std::vector<schema::JournalBatch> batches(1);
  std::size_t bytes = 0;
  for (const schema::JournalEntry& entry : entries) {
    const std::size_t size = entry.ByteSizeLong() + 8;  // With its tag and length in the batch.
    if (bytes > 0 && bytes + size > kMaxJournalRowBytes) {
      batches.emplace_back();
      bytes = 0;
    }
    *batches.back().add_entries() = entry;
    bytes += size;
  }
  return batches;
}

void ReadStream(Table& table, ObjectStore* objects, const std::string& stream,
                std::function<void(Result<std::vector<schema::JournalEntry>>)> done) {
  table.Scan(StreamPrefix(stream),
             [objects, done](const Result<std::vector<schema::TableRow>>& rows) {
               if (!rows) return done(rows.error());
               auto reading = std::make_shared<StreamRead>();
               reading->done = done;
               for (const schema::TableRow& row : rows.value()) {
                 schema::JournalBatch batch;
                 if (!batch.ParseFromString(row.value())) {
                   return done(Error{schema::CODE_INTERNAL,
                                     "no journal batch can be parsed from row " + row.key()});
                 }
                 reading->batches.push_back(std::move(batch));
               }
               FetchObjects(objects, reading);
             });
}

void EraseRows(Table& table, ObjectStore* objects, const std::vector<schema::TableRow>& rows,
               std::function<void(Result<void>)> done) {
  auto erasing = std::make_shared<RowErasure>();
  erasing->done = std::move(done);
  for (const schema::TableRow& row : rows) {
    schema::JournalBatch batch;
    if (batch.ParseFromString(row.value()) && !batch.object().empty()) {
      erasing->objects.push_back(batch.object());
    }
    auto* write = erasing->transaction.add_writes();
    write->set_key(row.key());
    write->set_erase(true);
  }
  if (rows.empty()) return erasing->done(Success());
  EraseNext(table, objects, erasing);
}

}  // namespace citronsill
