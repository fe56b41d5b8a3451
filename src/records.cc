#include "citronsill/records.h"

#include "citronsill/log.h"
#include "internal.h"

namespace citronsill {
namespace {

const char* const kHeadKey = "record-head";
// A scan of this prefix returns the head before all records, because "-" sorts before "/". The
// records are therefore at least as new as the head, even if a scan is not one snapshot.
const char* const kAllPrefix = "record";
const char* const kRecordPrefix = "record/";

// A set is sent in base64 in one peer frame of at most 1 MiB. The records of one apply, at most
// `kMaxApplyBytes`, fit as well.
constexpr std::size_t kMaxRecordSetBytes = 600U << 10U;

// Concurrent fetches, each from a different peer, so that a silent peer does not delay the others.
constexpr std::size_t kMaxFetches = 3;

// Attempts of one apply. Another one follows each commit that conflicts or whose answer is lost.
constexpr int kMaxApplyTries = 8;

std::string RowKey(const schema::StoredRecord& record) {
  return kRecordPrefix + record.kind() + "/" + record.name();
}

// The content of the table at one moment.
struct TableState {
  schema::RecordHead head;
  std::uint64_t head_version = 0;
  std::map<std::string, schema::TableRow> rows;
  std::map<std::string, schema::StoredRecord> records;
};

Result<TableState> ParseRows(const std::vector<schema::TableRow>& rows) {
  TableState state;
  for (const schema::TableRow& row : rows) {
    bool parsed = true;
    if (row.key() == kHeadKey) {
      parsed = state.head.ParseFromString(row.value());
      state.head_version = row.version();
    } else if (row.key().starts_with(kRecordPrefix)) {
      state.rows[row.key()] = row;
      parsed = state.records[row.key()].ParseFromString(row.value());
    }
    if (!parsed) {
      return Error{schema::CODE_INTERNAL, "the row " + row.key() + " cannot be parsed"};
    }
  }
  return state;
}

schema::RecordDifference MakeDifference(const schema::StoredRecord& current,
                                        const schema::StoredRecord& submitted,
                                        const std::string& author) {
  schema::RecordDifference difference;
  difference.set_kind(submitted.kind());
  difference.set_name(submitted.name());
  if (!current.erased()) difference.set_current(current.content());
  difference.set_current_revision(current.revision());
  difference.set_current_author(current.author());
  difference.set_current_unix_ms(current.applied_unix_ms());
  if (!submitted.erased()) difference.set_submitted(submitted.content());
  difference.set_submitted_author(author);
  return difference;
}

bool IsSame(const schema::StoredRecord& current, const schema::StoredRecord& submitted) {
  const bool absent = current.revision() == 0 || current.erased();
  if (absent || submitted.erased()) return absent && submitted.erased();
  return current.content() == submitted.content();
}

}  // namespace

struct Records::Impl : std::enable_shared_from_this<Impl> {
  // State of one apply across its reads and commits.
  struct Operation {
    schema::ApplyRequest request;
    ApplyDone done;
    int tries = 0;
    bool may_be_written = false;  // The answer of a commit was lost.
  };
  using OperationPtr = std::shared_ptr<Operation>;

  Impl(Table& platform_table, RecordsOptions records_options, RecordsHooks records_hooks)
      : table(platform_table),
        options(std::move(records_options)),
        hooks(std::move(records_hooks)) {}

  Table& table;
  RecordsOptions options;
  RecordsHooks hooks;

  mutable std::mutex mutex;
  std::map<std::string, schema::StoredRecord> records;  // By row key; erased ones are kept.
  std::map<std::string, schema::WorkClass> classes;
  std::map<std::string, schema::TeamLimit> limits;
  std::map<std::string, schema::Target> targets;
  schema::InstanceRevision revision;
  bool known = false;       // A complete set of records was read; see `HasCompleteSet`.
  bool table_down = false;  // The last read failed.
  std::optional<SteadyTime> last_read;
  std::map<std::string, SteadyTime> fetches;  // Start of each fetch in progress, by address.

  // --- Records in force.

  // Fields that this version does not know are skipped here; the stored text keeps them.
  void UpdateContent(const schema::StoredRecord& stored) {
    schema::Record record;
    const bool usable =
        !stored.erased() && FromJson(stored.content(), UnknownFields::kIgnore, &record);
    if (!stored.erased() && !usable) {
      spdlog::error("event=record_not_understood kind={} name={} revision={}", stored.kind(),
                    stored.name(), stored.revision());
      return;
    }
    record.mutable_work_class()->set_name(stored.name());
    UpdateMap(stored, stored.kind() == "work_class", record.work_class(), &classes);
    UpdateMap(stored, stored.kind() == "limit", record.limit(), &limits);
    UpdateMap(stored, stored.kind() == "target", record.target(), &targets);
  }

  template <class Content>
  static void UpdateMap(const schema::StoredRecord& stored, bool is_kind, const Content& content,
                        std::map<std::string, Content>* all) {
    if (!is_kind) return;
    if (stored.erased()) {
      all->erase(stored.name());
    } else {
      (*all)[stored.name()] = content;
    }
  }

  bool PutRecord(const schema::StoredRecord& record) {
    schema::StoredRecord& current = records[RowKey(record)];
    if (current.revision() >= record.revision()) return false;
    current = record;
    UpdateContent(record);
    return true;
  }

  // Merges a set that holds the records above revision `above` up to revision `up_to`.
  // @returns false if it starts above the own revision, so that records before it may be missing.
  bool MergeRecords(const std::vector<schema::StoredRecord>& added, std::uint64_t above,
                    std::uint64_t up_to, const std::string& source, bool partial = false) {
    bool changed = false;
    {
      std::lock_guard lock(mutex);
      if (above > revision.revision()) return false;
      known = known || !partial;
      for (const schema::StoredRecord& record : added) changed = PutRecord(record) || changed;
      if (up_to > revision.revision()) {
        revision.set_revision(up_to);
        revision.set_since_unix_ms(hooks.unix_ms());
        revision.set_source(source);
        changed = true;
      }
    }
    if (changed && hooks.on_change) hooks.on_change();
    return true;
  }

  bool MergeSet(const schema::RecordSet& set, const std::string& source) {
    std::vector<schema::StoredRecord> added;
    for (const std::string& bytes : set.records()) {
      schema::StoredRecord record;
      if (!record.ParseFromString(bytes)) return false;
      added.push_back(std::move(record));
    }
    return MergeRecords(added, set.above(), set.revision(), source, set.partial());
  }

  // @returns the records above a revision, as many as fit into one message. Records of one revision
  // are not split, so that the set is complete up to its revision.
  schema::RecordSet RecordsAbove(std::uint64_t above) const {
    std::lock_guard lock(mutex);
    schema::RecordSet set;
    set.set_above(above);
    set.set_revision(revision.revision());
    set.set_partial(!known);
    std::map<std::uint64_t, std::vector<std::string>> by_revision;
    for (const auto& [key, record] : records) {
      if (record.revision() <= above) continue;
      by_revision[record.revision()].push_back(record.SerializeAsString());
    }
    std::size_t size = 0;
    std::uint64_t last = above;
    for (auto& [number, group] : by_revision) {
      for (const std::string& bytes : group) size += bytes.size();
      if (size > kMaxRecordSetBytes && set.records_size() > 0) {
        set.set_revision(last);
        set.set_partial(true);
        break;
      }
      for (std::string& bytes : group) set.add_records(std::move(bytes));
      last = number;
    }
    return set;
  }

  // --- Reading.

  void MergeTable(const TableState& state) {
    std::vector<schema::StoredRecord> added;
    for (const auto& [key, record] : state.records) added.push_back(record);
    MergeRecords(added, 0, state.head.revision(), "table");
  }

  void Tick(SteadyTime now) {
    {
      std::lock_guard lock(mutex);
      if (last_read && now - *last_read < options.read_period) return;
      last_read = now;
    }
    // Only the head is read as long as the revision has not changed.
    table.Read(kHeadKey, [self = shared_from_this()](const Result<schema::TableRow>& row) {
      self->SetTableDown(!row);
      schema::RecordHead head;
      if (!row || !head.ParseFromString(row.value().value())) return;
      {
        std::lock_guard lock(self->mutex);
        if (self->known && head.revision() <= self->revision.revision()) return;
      }
      self->ReadTable([self](const Result<TableState>& state) {
        if (state) self->MergeTable(state.value());
      });
    });
  }

  void SetTableDown(bool down) {
    std::lock_guard lock(mutex);
    table_down = down;
  }

  bool IsTableDown() const {
    std::lock_guard lock(mutex);
    return table_down;
  }

  void ReadTable(std::function<void(Result<TableState>)> done) {
    table.Scan(kAllPrefix, [self = shared_from_this(),
                            done](const Result<std::vector<schema::TableRow>>& rows) {
      self->SetTableDown(!rows);
      if (!rows) return done(rows.error());
      done(ParseRows(rows.value()));
    });
  }

  void OnPeerRevision(const std::string& address, std::uint64_t peer_revision, SteadyTime now) {
    std::uint64_t own_revision = 0;
    {
      std::lock_guard lock(mutex);
      // A new instance fetches even at revision 0, to learn that there are no records.
      if (peer_revision <= revision.revision() && known) return;
      std::erase_if(fetches,
                    [&](const auto& entry) { return now - entry.second >= options.fetch_timeout; });
      if (fetches.size() >= kMaxFetches || !fetches.emplace(address, now).second) return;
      own_revision = revision.revision();
    }
    hooks.fetch(address, own_revision,
                [self = shared_from_this(), address](const Result<schema::RecordSet>& set) {
                  {
                    std::lock_guard lock(self->mutex);
                    self->fetches.erase(address);
                  }
                  if (set) self->MergeSet(set.value(), "peer");
                });
  }

  // --- Applying.

  void Finish(const Operation& operation, schema::Code code, const std::string& message,
              std::uint64_t applied, std::vector<schema::RecordDifference> differences = {}) {
    schema::ApplyResult result;
    result.set_code(code);
    result.set_message(message);
    result.set_revision(applied);
    result.set_apply_id(operation.request.apply_id());
    for (auto& difference : differences) *result.add_differences() = std::move(difference);
    spdlog::info("event=apply apply_id={} author={} code={} revision={}",
                 LogText(operation.request.apply_id()), LogText(operation.request.author()),
                 static_cast<int>(code), applied);
    operation.done(std::move(result));
  }

  void FinishUnreadable(const Operation& operation, const Error& error) {
    const bool unknown = operation.may_be_written;
    Finish(operation, unknown ? schema::CODE_COMMIT_UNKNOWN : schema::CODE_TABLE_UNAVAILABLE,
           unknown ? "the change may have been written; apply again with the same apply id"
                   : "this call wrote nothing: " + error.message,
           Revision().revision());
  }

  void TryApply(const OperationPtr& operation) {
    if (++operation->tries > kMaxApplyTries) {
      const bool unknown = operation->may_be_written;
      return Finish(*operation, unknown ? schema::CODE_COMMIT_UNKNOWN : schema::CODE_CONFLICT,
                    unknown
                        ? "the answers of the table were lost; apply again with the same apply id"
                        : "concurrent changes of other records conflicted; apply again",
                    Revision().revision());
    }
    ReadTable([self = shared_from_this(), operation](const Result<TableState>& state) {
      if (!state) return self->FinishUnreadable(*operation, state.error());
      self->CheckAndCommit(operation, state.value());
    });
  }

  void CheckAndCommit(const OperationPtr& operation, const TableState& state) {
    MergeTable(state);
    if (state.head.revision() < Revision().revision()) {
      // The instances ignore a revision that is not above their own.
      return FinishUnreadable(*operation, Error{schema::CODE_TABLE_UNAVAILABLE,
                                                "the table shows an older revision, " +
                                                    std::to_string(state.head.revision())});
    }
    std::vector<const schema::StoredRecord*> changed;
    std::vector<schema::RecordDifference> differences;
    std::vector<schema::RecordDifference> conflicts;
    for (const schema::StoredRecord& submitted : operation->request.records()) {
      const auto found = state.records.find(RowKey(submitted));
      const schema::StoredRecord current =
          found == state.records.end() ? schema::StoredRecord() : found->second;
      if (current.apply_id() == operation->request.apply_id() && current.revision() > 0) {
        return Finish(*operation, schema::CODE_OK, "applied", current.revision());
      }
      if (IsSame(current, submitted)) continue;
      if (current.schema_version() > submitted.schema_version() && !current.erased() &&
          !submitted.erased()) {
        return Finish(*operation, schema::CODE_UNKNOWN_VERSION,
                      submitted.kind() + " " + submitted.name() + " is of schema_version " +
                          std::to_string(current.schema_version()) + "; version " +
                          std::to_string(submitted.schema_version()) + " would drop its fields",
                      state.head.revision());
      }
      differences.push_back(MakeDifference(current, submitted, operation->request.author()));
      if (current.revision() > operation->request.base_revision()) {
        conflicts.push_back(differences.back());
      }
      changed.push_back(&submitted);
    }
    if (!conflicts.empty()) return FinishConflict(*operation, std::move(conflicts), state);
    if (operation->request.dry_run()) {
      return Finish(*operation, schema::CODE_OK, "nothing was written (dry run)",
                    state.head.revision(), std::move(differences));
    }
    if (changed.empty()) {
      return Finish(*operation, schema::CODE_OK, "no change", state.head.revision());
    }
    Commit(operation, state, changed, std::move(differences));
  }

  void FinishConflict(const Operation& operation, std::vector<schema::RecordDifference> conflicts,
                      const TableState& state) {
    // After a lost answer, this change may have been in force before the other one replaced it.
    const bool unknown = operation.may_be_written;
    const schema::RecordDifference& first = conflicts.front();
    const std::string message = first.kind() + " " + first.name() + " was changed by " +
                                first.current_author() + " in revision " +
                                std::to_string(first.current_revision()) + ", after revision " +
                                std::to_string(operation.request.base_revision());
    Finish(operation, unknown ? schema::CODE_COMMIT_UNKNOWN : schema::CODE_CONFLICT, message,
           state.head.revision(), std::move(conflicts));
  }

  void Commit(const OperationPtr& operation, const TableState& state,
              const std::vector<const schema::StoredRecord*>& changed,
              std::vector<schema::RecordDifference> differences) {
    schema::RecordHead head;
    head.set_revision(state.head.revision() + 1);
    head.set_apply_id(operation->request.apply_id());
    head.set_author(operation->request.author());
    head.set_applied_unix_ms(hooks.unix_ms());
    schema::TableTransaction transaction;
    schema::TableCondition* condition = transaction.add_conditions();
    condition->set_key(kHeadKey);
    condition->set_version(state.head_version);
    schema::TableWrite* head_write = transaction.add_writes();
    head_write->set_key(kHeadKey);
    head_write->set_value(head.SerializeAsString());
    std::vector<schema::StoredRecord> written;
    for (const schema::StoredRecord* submitted : changed) {
      schema::StoredRecord record = *submitted;
      record.set_revision(head.revision());
      record.set_apply_id(head.apply_id());
      record.set_author(head.author());
      record.set_applied_unix_ms(head.applied_unix_ms());
      schema::TableWrite* write = transaction.add_writes();
      write->set_key(RowKey(record));
      write->set_value(record.SerializeAsString());
      written.push_back(std::move(record));
    }
    table.Commit(std::move(transaction),
                 [self = shared_from_this(), operation, written, differences,
                  applied = head.revision()](const Result<schema::TableCommitResult>& result) {
                   self->OnCommit(operation, written, differences, applied, result);
                 });
  }

  void OnCommit(const OperationPtr& operation, const std::vector<schema::StoredRecord>& written,
                const std::vector<schema::RecordDifference>& differences, std::uint64_t applied,
                const Result<schema::TableCommitResult>& result) {
    if (!result && result.error().code == schema::CODE_TABLE_UNAVAILABLE) {
      return FinishUnreadable(*operation, result.error());
    }
    if (!result) operation->may_be_written = true;
    // A conflict and a lost answer are both resolved by reading again: the apply id in the row
    // shows whether the change was written, and the condition on the head's version prevents a
    // second write.
    if (!result || !result.value().committed()) return TryApply(operation);
    MergeRecords(written, applied - 1, applied, "table");
    Push(applied);
    Finish(*operation, schema::CODE_OK, "applied", applied, differences);
  }

  void Push(std::uint64_t applied) {
    if (hooks.push) hooks.push(RecordsAbove(applied - 1));
  }

  schema::InstanceRevision Revision() const {
    std::lock_guard lock(mutex);
    return revision;
  }

  template <class Content>
  std::optional<Content> Find(const std::map<std::string, Content>& all,
                              const std::string& name) const {
    std::lock_guard lock(mutex);
    const auto found = all.find(name);
    if (found == all.end()) return std::nullopt;
    return found->second;
  }
};

Result<std::unique_ptr<Records>> Records::Create(Table& table, const RecordsOptions& options,
                                                 RecordsHooks hooks) {
  if (options.instance.empty()) {
    return Error{schema::CODE_INVALID_FIELD, "the instance id must not be empty"};
  }
  auto impl = std::make_shared<Impl>(table, options, std::move(hooks));
  impl->revision.set_instance(options.instance);
  impl->revision.set_heard(true);
  return std::unique_ptr<Records>(new Records(std::move(impl)));
}

Records::Records(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Records::~Records() = default;

void Records::Apply(const schema::ApplyRequest& request, ApplyDone done) {
  auto operation = std::make_shared<Impl::Operation>();
  operation->request = request;
  operation->done = std::move(done);
  // While the table is down, each attempt would make the operator wait for the full deadline of a
  // call.
  if (m_impl->IsTableDown()) {
    return m_impl->FinishUnreadable(
        *operation, Error{schema::CODE_TABLE_UNAVAILABLE, "the last read of the table failed"});
  }
  m_impl->TryApply(operation);
}

void Records::Tick(SteadyTime now) { m_impl->Tick(now); }

void Records::OnPeerRevision(const std::string& address, std::uint64_t revision, SteadyTime now) {
  m_impl->OnPeerRevision(address, revision, now);
}

void Records::Merge(const schema::RecordSet& set, const std::string& source, SteadyTime now) {
  // A push that starts above the own revision shows that an earlier one was missed. Its sender has
  // all records.
  if (!m_impl->MergeSet(set, source) && !set.sender_address().empty()) {
    m_impl->OnPeerRevision(set.sender_address(), set.revision(), now);
  }
}

schema::RecordSet Records::RecordsAbove(std::uint64_t revision) const {
  return m_impl->RecordsAbove(revision);
}

schema::InstanceRevision Records::Revision() const { return m_impl->Revision(); }

bool Records::HasCompleteSet() const {
  std::lock_guard lock(m_impl->mutex);
  return m_impl->known;
}

std::vector<schema::StoredRecord> Records::All() const {
  std::lock_guard lock(m_impl->mutex);
  std::vector<schema::StoredRecord> all;
  for (const auto& [key, record] : m_impl->records) {
    if (!record.erased()) all.push_back(record);
  }
  return all;
}

std::optional<schema::WorkClass> Records::FindClass(const std::string& name) const {
  return m_impl->Find(m_impl->classes, name);
}

std::optional<schema::TeamLimit> Records::FindLimit(const std::string& team) const {
  return m_impl->Find(m_impl->limits, team);
}

std::optional<schema::Target> Records::FindTarget(const std::string& worker) const {
  return m_impl->Find(m_impl->targets, worker);
}

std::vector<std::pair<std::string, schema::TeamLimit>> Records::Limits() const {
  std::lock_guard lock(m_impl->mutex);
  return {m_impl->limits.begin(), m_impl->limits.end()};
}

std::vector<std::pair<std::string, schema::Target>> Records::Targets() const {
  std::lock_guard lock(m_impl->mutex);
  return {m_impl->targets.begin(), m_impl->targets.end()};
}

}  // namespace citronsill
