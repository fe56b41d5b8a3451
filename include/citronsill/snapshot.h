/// Rows of a journal snapshot, and reading a stream back.
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

/// @returns the key of a row.
std::string RowKey(const std::string& stream, std::uint64_t sequence);

/// Splits entries into batches that fit into a row each. An entry that alone is larger than a row
/// should be gets a batch of its own.
std::vector<schema::JournalBatch> SplitIntoRows(const std::vector<schema::JournalEntry>& entries);

/// Reads all entries of a stream in the order they were written, those in objects included.
/// @param done gets CODE_INTERNAL when a row or object cannot be read as a batch, and
/// CODE_NOT_FOUND when an object is missing because the stream was compacted meanwhile.
void ReadStream(Table& table, ObjectStore* objects, const std::string& stream,
                std::function<void(Result<std::vector<schema::JournalEntry>>)> done);

/// Erases rows, and first the objects that they name. Idempotent.
void EraseRows(Table& table, ObjectStore* objects, const std::vector<schema::TableRow>& rows,
               std::function<void(Result<void>)> done);

}  // namespace citronsill
