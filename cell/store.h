/// The platform's transactional row store, as the cell uses it. Back ends are in platform/ and
/// tests/.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cell/types.h"
#include "citronsill/result.h"

namespace citronsill {

/// Address of a row. Rows of one part are changed together; rows of different parts are not.
struct RowKey {
  std::string table;
  std::string part;  ///< May be empty.
  std::string key;
  auto operator<=>(const RowKey&) const = default;
};

struct Row {
  RowKey key;
  std::string value;          ///< Raw bytes.
  std::uint64_t version = 0;  ///< Of the transaction that wrote it; 0 for a row that is not there.
  bool removed = false;       ///< In changes: the row was removed.
};

/// The row has to have this version; 0 stands for a row that is not there.
struct RowCondition {
  RowKey key;
  std::uint64_t version = 0;
};

/// All of it takes effect or nothing. Every row is of the same part.
struct RowTransaction {
  std::vector<RowCondition> conditions;
  std::vector<Row> writes;  ///< Versions are ignored.
  std::vector<RowKey> removals;
};

struct CommitOutcome {
  bool committed = false;
  std::uint64_t version = 0;  ///< Version of the written rows after a commit.
  std::vector<Row> current;   ///< Without a commit: the rows of the conditions as they are.
};

/// Rows of one part whose key is in [from, until); an empty `until` stands for no bound.
struct RowRange {
  std::string table;
  std::string part;
  std::string from;
  std::string until;
  std::uint32_t limit = 500;
};

struct RowPage {
  std::vector<Row> rows;      ///< In order of their keys.
  bool truncated = false;     ///< There are more rows after the last one.
  std::uint64_t version = 0;  ///< Newest version of the store at this moment.
};

/// Every call ends within its timeout.
class RowStore {
 public:
  virtual ~RowStore() = default;

  /// @param done gets the outcome; CODE_TABLE_UNAVAILABLE when nothing was done and nothing will
  /// be; CODE_COMMIT_UNKNOWN when the transaction may have taken effect or may do so later, as far
  /// as its conditions hold.
  virtual void Commit(RowTransaction transaction, milliseconds timeout,
                      std::function<void(Result<CommitOutcome>)> done) = 0;

  /// @param done gets the rows as of one moment, or CODE_TABLE_UNAVAILABLE.
  virtual void Read(RowRange range, milliseconds timeout,
                    std::function<void(Result<RowPage>)> done) = 0;

  /// Waits for changes of a table, in all parts.
  /// @param after version up to which changes are known.
  /// @param done gets at least one change, none after `wait`; CODE_NOT_FOUND when the history does
  /// not go back so far; CODE_TABLE_UNAVAILABLE.
  virtual void Follow(std::string table, std::uint64_t after, milliseconds wait,
                      std::function<void(Result<RowPage>)> done) = 0;
};

}  // namespace citronsill
