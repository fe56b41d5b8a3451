/// State and functions of the home role. Private to src/home*.cc.
#pragma once

#include "citronsill/convert.h"
#include "citronsill/home.h"
#include "citronsill/ownership.h"
#include "citronsill/snapshot.h"
#include "internal.h"

namespace citronsill {

inline constexpr std::chrono::milliseconds kMinBackoff{200};

inline constexpr std::chrono::milliseconds kMaxBackoff{5000};

// Retry hint in a refusal; also the delay before an accepted job that was refused, or a failed copy
// of journal entries, is tried again.
inline constexpr std::chrono::milliseconds kRefusalRetryAfter{1000};

// Number of attempt numbers for each ownership epoch, so that no owner uses one of an earlier
// owner.
inline constexpr std::uint32_t kAttemptsPerEpoch = 4096;

inline std::chrono::milliseconds Backoff(int tries) {
  return std::min(kMaxBackoff, kMinBackoff * (1 << std::min(tries, 5)));
}

struct Home::Impl : std::enable_shared_from_this<Impl> {
  using Done = std::function<void()>;

  // Journal writes in progress about the end of one request or of its attempts. The worker keeps
  // the results until all are written.
  struct PendingEnds {
    int in_flight = 0;
    std::vector<Done> callbacks;  // Called when all are written; also those of repeated reports.
  };

  // A refusal, kept to answer later forwards of the same submission.
  struct Refusal {
    // Added to the attempt numbers when the request arrives again.
    std::uint32_t attempt_offset = 0;
    std::set<std::uint64_t> submissions;
    std::shared_ptr<const schema::Answer> answer;
  };

  Impl(Ledger& request_ledger, Journal& request_journal, const HomeOptions& home_options,
       HomeHooks home_hooks)
      : ledger(request_ledger),
        journal(request_journal),
        options(home_options),
        hooks(std::move(home_hooks)) {}

  Ledger& ledger;
  Journal& journal;
  HomeOptions options;
  HomeHooks hooks;
  std::mutex mutex;
  std::map<PartitionId, std::uint64_t> serving;  // Epoch under which each partition was recovered.
  std::map<PartitionId, std::uint64_t> recovering;  // Epoch of each recovery in progress.
  // Events received during recovery.
  std::map<PartitionId, std::vector<std::pair<TaskEvent, Done>>> early_events;
  std::map<std::string, PendingEnds> pending_ends;
  std::set<TaskKey> open_queries;
  std::set<std::string> retired;  // Streams to be erased once no partition's row names them.
  std::unordered_map<std::string, Refusal> refusals;  // By request id.
  std::deque<std::string> refusal_order;              // Request ids, oldest first, for eviction.

  PartitionId Partition(const std::string& id) const;

  std::optional<std::uint64_t> ServedEpoch(PartitionId partition);

  bool IsServed(const std::string& id, std::uint64_t epoch);

  // Arrival.

  schema::Ack OnForward(const schema::Forward& forward);

  RequestProperties PropertiesOf(const schema::Forward& forward,
                                 const schema::WorkClass& work_class, std::uint64_t epoch);

  std::optional<SteadyTime> DeadlineOf(const RequestProperties& properties) const;

  void Refuse(const schema::Forward& forward, const Waiter& waiter, schema::Code code,
              const std::string& message);

  void RefuseNew(const std::string& id, const Error& error, std::chrono::milliseconds retry_after);

  // Keeps a refusal, because the entry instance may have sent the submission again before it got
  // the refusal.
  void RecordRefusal(const Finished& finished);

  std::shared_ptr<const schema::Answer> FindRefusal(const schema::Forward& forward);

  // Submits the job before the accepted entry is written, so that a start can share the journal
  // batch of that entry. No task starts before that batch is in the table.
  void Admit(const schema::Forward& forward, const schema::WorkClass& work_class,
             const RequestProperties& properties);

  void OnAcceptWritten(const std::string& id, std::uint64_t epoch, const Result<void>& written);

  void NotifyAccepted(const std::string& id);

  // Starts.

  void BeforeStart(const Action& start, const std::function<void(bool)>& proceed);

  static schema::JournalEntry AssignedEntry(const Action& start);

  // Ends.

  schema::Code OnTaskEvent(const TaskEvent& event, const Done& done);

  void ApplyEnd(const Ended& ended, const TaskEvent& event, const Done& done);

  // Calls `done` once all pending end entries of the request are written; at once if there are
  // none.
  void CallOnceWritten(const std::string& id, const Done& done);

  void WriteAttemptEnd(const TaskEvent& event, bool will_retry, const Done& done);

  void GiveUp(const std::string& id, const Error& error, std::chrono::milliseconds retry_after);

  void Deliver(const Finished& finished);

  void Finish(const Finished& finished, const Done& done);

  void WriteEndEntry(schema::JournalEntry entry, const Done& done);

  // Retries until the entry is written or the partition is lost. While the table is down, this
  // instance keeps the entry and the worker keeps the result.
  void TryWriteEndEntry(const schema::JournalEntry& entry, std::uint64_t epoch, int tries);

  void OnEndWritten(const std::string& id);

  // Further attempts that the engine does not start by itself.

  void RetryLater(const TaskKey& task, std::chrono::milliseconds delay);

  void Retry(const TaskKey& task);

  // Submits `count` tasks, starting with `first`, as one job.
  void SubmitAgain(const TaskKey& first, std::uint32_t count);

  // Asks about an attempt repeatedly while it is assigned, until it is known that it never started
  // or was lost.
  void Query(const TaskKey& task, const std::string& worker, int tries);

  void EndQuery(const TaskKey& task);

  void EndRemoved(const TaskKey& task, const std::string& worker);

  // Recovery.

  void OnGained(PartitionId partition, const std::vector<std::string>& streams);

  void DropPartition(PartitionId partition);

  bool IsRecovering(PartitionId partition, std::uint64_t epoch);

  void Recover(PartitionId partition, std::uint64_t epoch, const std::vector<std::string>& streams);

  void Replay(PartitionId partition, std::uint64_t epoch, const std::vector<std::string>& streams,
              const std::vector<schema::JournalEntry>& entries);

  void Resume(const std::string& id);

  // Submits all waiting tasks; as one job if all tasks of the request wait, so that a gang stays
  // together.
  void SubmitOpen(const std::string& id);

  std::vector<schema::JournalEntry> Export(const std::set<PartitionId>& partitions);

  // Copies the recovered requests into the own stream, so that the old streams can be retired.
  void CopyEntries(PartitionId partition, std::uint64_t epoch, std::vector<std::string> streams);

  void OnCopied(PartitionId partition, std::uint64_t epoch, const std::vector<std::string>& streams,
                bool copied);

  // Compaction and removed workers.

  void Maintain();

  void ScheduleMaintain();

  JournalSnapshot TakeSnapshot();

  Result<void> Cancel(const std::string& id);
};

}  // namespace citronsill
