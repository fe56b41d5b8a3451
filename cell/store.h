/// Interface to the platform's transactional row store. Implementations are in platform/ and
/// tests/.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cell/types.h"
#include "citronsill/result.h"

namespace citronsill {

/// Key of a row. A transaction can change several rows of one part, but not rows of different
/// parts.
struct RowKey {
  std::string table;
  std::string part;  ///< May be empty.
  std::string key;
  auto operator<=>(const RowKey&) const = default;
};

struct Row {
  RowKey key;
  std::string value;          ///< Raw bytes.
  std::uint64_t version = 0;  ///< Version of the transaction that wrote it; 0 if it does not exist.
  bool removed = false;       ///< Only in changes: the row was removed.
};

/// Requires that a row has this version; 0 requires that it does not exist.
struct RowCondition {
  RowKey key;
  std::uint64_t version = 0;
};

/// Atomic transaction. All rows belong to the same part.
struct RowTransaction {
  std::vector<RowCondition> conditions;
  std::vector<Row> writes;  ///< Versions are ignored.
  std::vector<RowKey> removals;
};

struct CommitOutcome {
  bool committed = false;
  std::uint64_t version = 0;  ///< Version of the written rows after a commit.
  std::vector<Row> current;   ///< If not committed: current state of the rows in the conditions.
};

/// Rows of one part whose key is in [from, until). An empty `until` means no upper bound.
struct RowRange {
  std::string table;
  std::string part;
  std::string from;
  std::string until;
  std::uint32_t limit = 500;
};

struct RowPage {
  std::vector<Row> rows;      ///< Sorted by key.
  bool truncated = false;     ///< There are more rows after the last one.
  std::uint64_t version = 0;  ///< Latest version of the store at the time of the read.
};

/// Called when a part of an answer has arrived which is no error, and more of it follows.
using OnAnswerPart = std::function<void()>;

/// Asynchronous row store. Every call completes within its timeout; one "in parts" begins to be
/// answered within it, and goes on while its answer keeps arriving.
class RowStore {
 public:
  virtual ~RowStore() = default;

  /// @param done gets the outcome; CODE_TABLE_UNAVAILABLE when the transaction has no effect, now
  /// or later; CODE_COMMIT_REFUSED when, in addition, the store will not take the same transaction
  /// when it is sent again, as it is too large; CODE_COMMIT_UNKNOWN when it may have taken effect,
  /// or may do so later if its conditions hold then.
  virtual void Commit(RowTransaction transaction, milliseconds timeout,
                      std::function<void(Result<CommitOutcome>)> done) = 0;

  /// @param done gets a consistent snapshot of the rows, or CODE_TABLE_UNAVAILABLE; CODE_MALFORMED
  /// when the reply cannot be parsed.
  virtual void Read(RowRange range, milliseconds timeout,
                    std::function<void(Result<RowPage>)> done) = 0;

  /// Waits for changes to a table, in all parts.
  /// @param after version up to which changes are already known.
  /// @param done gets at least one change, or none after `wait`; CODE_NOT_FOUND when the history of
  /// the store does not go back to `after`; CODE_TABLE_UNAVAILABLE; CODE_MALFORMED as for `Read`.
  virtual void Follow(std::string table, std::uint64_t after, milliseconds wait,
                      std::function<void(Result<RowPage>)> done) = 0;

  /// As `Read`, for rows that may take long to arrive over a slow link.
  /// @param on_part may be called while the answer arrives; not after `done`.
  virtual void ReadInParts(RowRange range, milliseconds timeout, OnAnswerPart /*on_part*/,
                           std::function<void(Result<RowPage>)> done) {
    Read(std::move(range), timeout, std::move(done));
  }

  /// As `Follow`, for changes that may take long to arrive over a slow link.
  /// @param on_part as for `ReadInParts`.
  virtual void FollowInParts(std::string table, std::uint64_t after, milliseconds wait,
                             OnAnswerPart /*on_part*/, std::function<void(Result<RowPage>)> done) {
    Follow(std::move(table), after, wait, std::move(done));
  }
};

}  // namespace citronsill
