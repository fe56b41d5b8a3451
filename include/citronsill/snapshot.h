/// Rows of journal streams: their keys, splitting a snapshot into rows, reading and erasing.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "citronsill/objects.h"
#include "citronsill/result.h"
#include "citronsill/table.h"

namespace citronsill {

/// @returns the prefix of the row keys of a stream.
std::string StreamPrefix(const std::string& stream);

/// @returns the key of the row of a stream with this sequence number.
std::string RowKey(const std::string& stream, std::uint64_t sequence);

/// Splits entries into batches of at most about `kMaxJournalRowBytes`, one for each row. An entry
/// that is larger than that gets a batch of its own.
std::vector<schema::JournalBatch> SplitIntoRows(const std::vector<schema::JournalEntry>& entries);

/// Reads all entries of a stream, including those in objects, in the order they were written.
/// @param done gets CODE_INTERNAL when a row or object cannot be parsed as a batch, CODE_NOT_FOUND
/// when an object is missing because the stream was compacted meanwhile, or the error of the table
/// or object store; CODE_OBJECTS_UNAVAILABLE when `objects` is null but a row refers to an object.
void ReadStream(Table& table, ObjectStore* objects, const std::string& stream,
                std::function<void(Result<std::vector<schema::JournalEntry>>)> done);

/// Erases rows, after the objects that they refer to. Idempotent.
void EraseRows(Table& table, ObjectStore* objects, const std::vector<schema::TableRow>& rows,
               std::function<void(Result<void>)> done);

}  // namespace citronsill
