#include "citronsill/snapshot.h"

#include "internal.h"

namespace citronsill {
namespace {

struct StreamRead {
  std::vector<schema::JournalBatch> batches;
  std::size_t next = 0;
  std::function<void(Result<std::vector<schema::JournalEntry>>)> done;
};

void FetchObjects(ObjectStore* objects, const std::shared_ptr<StreamRead>& stream_read) {
  while (stream_read->next < stream_read->batches.size() &&
         stream_read->batches[stream_read->next].object().empty()) {
    ++stream_read->next;
  }
  if (stream_read->next == stream_read->batches.size()) {
    std::vector<schema::JournalEntry> entries;
    for (schema::JournalBatch& batch : stream_read->batches) {
      entries.insert(entries.end(), std::make_move_iterator(batch.mutable_entries()->begin()),
                     std::make_move_iterator(batch.mutable_entries()->end()));
    }
    return stream_read->done(std::move(entries));
  }
  if (objects == nullptr) {
    return stream_read->done(Error{schema::CODE_OBJECTS_UNAVAILABLE, "there is no object store"});
  }
  objects->Get(stream_read->batches[stream_read->next].object(),
               [objects, stream_read](const Result<std::string>& value) {
                 if (!value) return stream_read->done(value.error());
                 schema::JournalBatch& batch = stream_read->batches[stream_read->next];
                 if (!batch.ParseFromString(value.value())) {
                   return stream_read->done(Error{schema::CODE_INTERNAL,
                                                  "a journal object cannot be parsed as a batch"});
                 }
                 batch.clear_object();
                 FetchObjects(objects, stream_read);
               });
}

struct RowErasure {
  std::deque<std::string> objects;
  schema::TableTransaction transaction;
  std::function<void(Result<void>)> done;
};

void EraseNext(Table& table, ObjectStore* objects, const std::shared_ptr<RowErasure>& erasure) {
  if (erasure->objects.empty()) {
    return table.Commit(erasure->transaction,
                        [erasure](const Result<schema::TableCommitResult>& result) {
                          if (!result) return erasure->done(result.error());
                          erasure->done(Success());
                        });
  }
  if (objects == nullptr) {
    return erasure->done(Error{schema::CODE_OBJECTS_UNAVAILABLE, "there is no object store"});
  }
  objects->Delete(erasure->objects.front(),
                  [&table, objects, erasure](const Result<void>& deleted) {
                    if (!deleted) return erasure->done(deleted.error());
                    erasure->objects.pop_front();
                    EraseNext(table, objects, erasure);
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
               auto stream_read = std::make_shared<StreamRead>();
               stream_read->done = done;
               for (const schema::TableRow& row : rows.value()) {
                 schema::JournalBatch batch;
                 if (!batch.ParseFromString(row.value())) {
                   return done(Error{schema::CODE_INTERNAL,
                                     "no journal batch can be parsed from row " + row.key()});
                 }
                 stream_read->batches.push_back(std::move(batch));
               }
               FetchObjects(objects, stream_read);
             });
}

void EraseRows(Table& table, ObjectStore* objects, const std::vector<schema::TableRow>& rows,
               std::function<void(Result<void>)> done) {
  auto erasure = std::make_shared<RowErasure>();
  erasure->done = std::move(done);
  for (const schema::TableRow& row : rows) {
    schema::JournalBatch batch;
    if (batch.ParseFromString(row.value()) && !batch.object().empty()) {
      erasure->objects.push_back(batch.object());
    }
    auto* write = erasure->transaction.add_writes();
    write->set_key(row.key());
    write->set_erase(true);
  }
  if (rows.empty()) return erasure->done(Success());
  EraseNext(table, objects, erasure);
}

}  // namespace citronsill
