/// Records set by operators: work classes, limits of teams, and targets. Each is a table row
/// `record/<kind>/<name>`; the row `record-head` holds the global revision. A change writes both in
/// one conditional transaction.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citronsill/result.h"
#include "citronsill/table.h"
#include "citronsill/types.h"

namespace citronsill {

/// Highest schema version of records that this build knows. Records of versions from 1 up to it can
/// be used side by side.
inline constexpr std::uint32_t kRecordSchemaVersion = 2;

/// Parses and checks one submitted record.
/// @param max_version highest schema version that is known.
/// @returns the record; CODE_MALFORMED, CODE_UNKNOWN_FIELD, CODE_INVALID_FIELD or
/// CODE_UNKNOWN_VERSION with the path of the field.
Result<schema::Record> ParseRecord(std::string_view json,
                                   std::uint32_t max_version = kRecordSchemaVersion);

/// Parses the body of an apply request: `{"apply_id", "base_revision", "author", "dry_run",
/// "records": [{...}]}`. The text of each record is kept as submitted.
/// @returns the request; the errors of `ParseRecord`, or CODE_TOO_LARGE when the records together
/// are too large.
Result<schema::ApplyRequest> ParseApply(std::string_view json,
                                        std::uint32_t max_version = kRecordSchemaVersion);

struct RecordsOptions {
  std::string instance;  ///< Id of this instance.
  /// Period of reading the table, so that a change arrives even if all pushes were lost.
  std::chrono::milliseconds read_period{2000};
  /// A fetch that is not answered within this time is abandoned.
  std::chrono::milliseconds fetch_timeout{1000};
  std::uint32_t max_version = kRecordSchemaVersion;
};

struct RecordsHooks {
  /// Requests the records above a revision from the instance at `address`.
  std::function<void(const std::string& address, std::uint64_t above,
                     std::function<void(Result<schema::RecordSet>)> done)>
      fetch;
  /// Sends changed records to all live peers.
  std::function<void(const schema::RecordSet&)> push;
  /// Called without a lock held when records have changed.
  std::function<void()> on_change;
  /// @returns milliseconds since the Unix epoch. These times are only shown to operators.
  std::function<std::int64_t()> unix_ms;
};

/// Thread-safe. Has no clock and no timers of its own.
class Records {
 public:
  using ApplyDone = std::function<void(schema::ApplyResult)>;

  /// @returns CODE_INVALID_FIELD when the instance id is empty.
  static Result<std::unique_ptr<Records>> Create(Table& table, const RecordsOptions& options,
                                                 RecordsHooks hooks);
  ~Records();

  /// Writes the records of a checked request to the table; a dry run only reports what would
  /// change.
  /// @param done gets CODE_OK with the revision; CODE_CONFLICT with both contents when a record
  /// changed after the base revision; CODE_UNKNOWN_VERSION when a stored record has a higher schema
  /// version; CODE_TABLE_UNAVAILABLE when nothing was written; CODE_COMMIT_UNKNOWN when it could
  /// not be determined whether the change was written.
  void Apply(const schema::ApplyRequest& request, ApplyDone done);

  /// Starts a read of the table when one is due.
  void Tick(SteadyTime now);

  /// Handles the revision that a peer has. Fetches the peer's records if it is higher than the own
  /// revision, or while `HasCompleteSet` is false.
  void OnPeerRevision(const std::string& address, std::uint64_t revision, SteadyTime now);

  /// Takes over records of higher revisions. Lower ones never replace higher ones.
  /// @param source "table" or "peer".
  void Merge(const schema::RecordSet& set, const std::string& source, SteadyTime now);

  /// @returns the records above a revision; only those of the lowest revisions when all are too
  /// large for one message.
  [[nodiscard]] schema::RecordSet RecordsAbove(std::uint64_t revision) const;

  /// @returns the revision in force here, since when, and from where.
  [[nodiscard]] schema::InstanceRevision Revision() const;

  /// @returns whether a complete set of records was read from the table or a peer since the start.
  [[nodiscard]] bool HasCompleteSet() const;

  /// @returns all records that are not erased, ordered by kind and name.
  [[nodiscard]] std::vector<schema::StoredRecord> All() const;

  [[nodiscard]] std::optional<schema::WorkClass> FindClass(const std::string& name) const;
  [[nodiscard]] std::optional<schema::TeamLimit> FindLimit(const std::string& team) const;
  [[nodiscard]] std::optional<schema::Target> FindTarget(const std::string& worker) const;

  /// @returns teams and their limits.
  [[nodiscard]] std::vector<std::pair<std::string, schema::TeamLimit>> Limits() const;

  /// @returns names and contents of all targets.
  [[nodiscard]] std::vector<std::pair<std::string, schema::Target>> Targets() const;

 private:
  struct Impl;
  explicit Records(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
