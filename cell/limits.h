/// Limits, intervals and weights of a cell, with the reason for each value.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace citronsill {

// ---- Sizes

// Maximum length of the name of a customer in bytes; it is stored with each job.
inline constexpr std::size_t kMaxCustomerNameBytes = 200;
// Maximum length of a payload in bytes, set by the protocol with callers.
inline constexpr std::size_t kMaxTaskPayloadBytes = 4000;
// Maximum numbers of tasks. The progress of a job has to fit into one row: 64 KiB, at about 40
// bytes for each started task.
inline constexpr std::uint32_t kMaxTasksPerStep = 1000;
inline constexpr std::uint32_t kMaxTasksPerJob = 1200;
inline constexpr int kMaxSteps = 64;
// Maximum number of tasks of a scheduled job that exist at a time: more than the running tasks of a
// whole cell. Further occurrences begin when earlier ones are over.
inline constexpr std::uint64_t kMaxLiveTasksPerJob = 4096;
// Maximum number of tasks of all jobs that exist at a time, which take 200 bytes each: thirty times
// the running tasks of the largest cell. More jobs are refused, and no occurrences begin.
inline constexpr std::uint64_t kMaxLiveTasks = 100'000;
// No further occurrence of a job begins while this many tasks of earlier ones wait for their first
// worker. With a check every `kLeaderTick`, a job that is behind its schedule still begins over a
// thousand tasks a second, and its backlog does not count as load that makes the scheduler refuse
// other jobs.
inline constexpr std::uint64_t kMaxWaitingOccurrenceTasks = 64;
// Maximum memory of the jobs of a scheduler in bytes: their specs, steps and tasks, and the states
// of ended jobs. More jobs are refused. Each instance may become the scheduler and takes all of
// them over, so it is a third of what a process takes on the smallest machine.
inline constexpr std::size_t kMaxJobBytes = 32U << 20;
// Part of it that jobs with times may take, the reciprocal: these may wait for years.
inline constexpr std::size_t kScheduledJobsPart = 2;
// A request may take this part of the memory that is left for its kind, the reciprocal.
inline constexpr std::size_t kMaxPartOfRemaining = 16;
// Memory of the state of an ended job, at most: its id in two maps, and the name of a customer.
inline constexpr std::size_t kFinishedJobBytes = 400;
// Largest amount of a resource that a task may ask for (thousandths of a core, MB, accelerators):
// beyond any machine, and small enough for sums over all waiting tasks.
inline constexpr std::int64_t kMaxTaskResource = INT32_MAX;
// Declared durations above this count as this.
inline constexpr std::chrono::milliseconds kMaxTaskEstimate = std::chrono::hours(24 * 30);
// Maximum size of the value of a row in bytes. The store accepts 64 KiB; it is not said whether
// before or after Base64, which adds a third.
inline constexpr std::size_t kMaxRowBytes = 48U << 10;
// Bytes of a job's row beside its spec, at most.
inline constexpr std::size_t kJobRowOverhead = 32;
// Bytes of the runs of one job in its progress rows, at most: a task that would exceed it waits.
// Enough for `kMaxTasksPerJob` runs of any size, and for some 6,000 with short names of workers.
inline constexpr std::size_t kMaxAssignmentBytes = 300U << 10;
// Bytes of one run in a progress row beside the id of its worker, at most; and with the longest id,
// since keys of rows have 200 bytes at most.
inline constexpr std::size_t kAssignmentOverhead = 40;
inline constexpr std::size_t kMaxAssignmentRowBytes = kAssignmentOverhead + 200;
// Bytes of checkpoints and of answers of the policy service in the progress rows of one job, at
// most. What exceeds it is not stored: after a change of the scheduler these tasks start from the
// beginning, and the policy service is asked again.
inline constexpr std::size_t kMaxOptionalProgressBytes = 96U << 10;
// A longer checkpoint is ignored.
inline constexpr std::size_t kMaxCheckpointBytes = 1024;
// Maximum number of entries in a transaction: a limit of the store.
inline constexpr std::size_t kMaxTransactionEntries = 100;
// Maximum size of a transaction in bytes. The store accepts 1 MB, of which Base64 and names take up
// a third.
inline constexpr std::size_t kMaxTransactionBytes = 600U << 10;
// Bytes after which a pack, a row with changes of several jobs, is closed. A row holds 64 KiB.
inline constexpr std::size_t kMaxPackBytes = 40U << 10;
// Largest record of a pack; a job whose record is larger gets rows of its own.
inline constexpr std::size_t kMaxPackedJobBytes = 16U << 10;
// Maximum number of rows in a read: a limit of the store.
inline constexpr std::uint32_t kMaxRowsPerRead = 500;
// Maximum size of a frame between instances: a transaction of full size and its envelope.
inline constexpr std::size_t kMaxLinkFrameBytes = 2U << 20;
// Bytes that may wait to be written to one instance. Above this the link is treated as stuck and
// given up.
inline constexpr std::size_t kMaxLinkQueueBytes = 8U << 20;

// ---- Workers

// A worker's clock may run slow by this factor: a guarantee of the platform.
inline constexpr double kWorkerClockDrift = 0.02;
// Margin added to the end of a lease for reading clocks and delivering messages.
inline constexpr std::chrono::milliseconds kLeaseMargin{150};
// A worker's clock that differs by more from what is expected is that of another incarnation.
inline constexpr std::chrono::milliseconds kMaxClockError{2000};
// Interval at which the row of long leases is rewritten while there are any.
inline constexpr std::chrono::milliseconds kLongLeasesPeriod{1000};
// Length of a lease. It outlasts a change of the scheduler: about 2 s to detect a silent scheduler,
// 1 s to attach, and the age of the last renewal.
inline constexpr std::chrono::milliseconds kLease{5000};
// A worker rejects a start that arrives later than this; twice the time of a slow call.
inline constexpr std::chrono::milliseconds kStartWindow{1500};
// Time-out of a start, a stop or a status query (a hold that is answered at once). Healthy workers
// answer within a few milliseconds.
inline constexpr std::chrono::milliseconds kWorkerCallTimeout{250};
// While answers take long because the scheduler or its link is busy, the time-out is this multiple
// of their mean time, up to a maximum that leaves time for two more holds in a lease of 5 s.
inline constexpr int kCallTimeFactor = 4;
inline constexpr std::chrono::milliseconds kMaxWorkerCallTimeout{1500};
// Weight of a call in the mean duration of calls: about the last 60 calls count, which are 0.1 s of
// starts at peak load.
inline constexpr double kCallTimeWeight = 1.0 / 64;
// Number of workers that are attached concurrently after a takeover. Their answers arrive within
// the time-out on an instance with 0.12 of a core, at 1 ms of processor time for a new connection.
inline constexpr std::size_t kMaxConcurrentAttaches = 24;
// Longest time that a worker may delay its answer to a hold, the call that renews leases and
// reports progress and ends. A lease outlasts three such holds.
inline constexpr std::chrono::milliseconds kHoldWait{1500};
// Interval of holds while ends cannot be acknowledged because the store is slow.
inline constexpr std::chrono::milliseconds kUnackedHoldPeriod{300};
// A hold acknowledges ends only if it is sent within this time of the answer to the last one: no
// worker starts again and runs a task to its end in between.
inline constexpr std::chrono::milliseconds kMaxAcknowledgeDelay{50};
// Minimum and maximum pause between holds to a worker that does not answer.
inline constexpr std::chrono::milliseconds kHoldRetryMin{100};
inline constexpr std::chrono::milliseconds kHoldRetryMax{500};
// Each hold of a worker that fails gives the next one this many times the time, so that a worker
// that is late by up to `kMaxWorkerCallTimeout` is heard before its lease of 5 s ends.
inline constexpr int kHoldTimeoutFactor = 4;
// Pause before a stop without effect is repeated.
inline constexpr std::chrono::milliseconds kStopRetry{300};

// ---- Scheduling

// Margin added to the retention time of finished jobs: clocks differ by a few seconds, and callers
// repeat a submission for less than this.
inline constexpr std::chrono::milliseconds kKeepFinishedMargin{30000};
// Maximum number of finished jobs that one transaction removes. Every transaction writes the head
// row; 3 of them per second remove 60 jobs a second, more than finish in one shard.
inline constexpr std::size_t kMaxFinishedRemovals = 20;
// Jobs whose records have been in a pack for this long get rows of their own, so that the pack can
// be removed long before the first of its jobs is forgotten; this many at a time, at this interval.
inline constexpr std::chrono::milliseconds kMaxPackAge{10000};
inline constexpr std::size_t kMaxUnpackedJobs = 16;
inline constexpr std::chrono::milliseconds kUnpackPeriod{250};
// Pause before removals are sent again that the store refused.
inline constexpr std::chrono::milliseconds kRefusedRemovalsPause{5000};
// Pause before a failed long-running task is started again.
inline constexpr std::chrono::milliseconds kRestartDelay{250};
// Number of consecutive failures on one worker, of any tasks, after which it is avoided. Tasks that
// cannot succeed fail everywhere, so one or two failures say little about the worker.
inline constexpr std::uint32_t kFailuresToAvoid = 3;
// Time for which a worker that fails tasks is avoided at first; it doubles each time, at most
// `kMaxAvoidDoublings` times.
inline constexpr std::chrono::milliseconds kFirstAvoidPeriod{1000};
inline constexpr std::uint32_t kMaxAvoidDoublings = 4;
// Time for which a worker is avoided after a run on it made no progress; such faults last seconds.
inline constexpr std::chrono::milliseconds kStalledAvoidPeriod{4000};
// Time for which a worker is avoided after it refused a start.
inline constexpr std::chrono::milliseconds kRefusalAvoidPeriod{300};
// Time without progress after which a run counts as stalled. Progress is reported with each hold,
// at least every 1.5 s; three reports without progress are a stall.
inline constexpr std::chrono::milliseconds kStalledAfter{4500};
// The same for several runs on one worker at once: two reports without progress.
inline constexpr std::chrono::milliseconds kStalledTogetherAfter{3100};
// A gang whose work would be lost may stand still for twice as long as the member that does has
// worked before it is stopped, as the work of all others is lost as well, but for no longer than
// this: most workers that stand still go on after some five seconds.
inline constexpr std::chrono::milliseconds kMaxGangPatience{6000};
// For a longer task, the time in which it is expected to advance by this many percent.
inline constexpr int kStalledPercent = 3;
inline constexpr std::uint32_t kMaxStallDoublings = 8;
inline constexpr std::chrono::milliseconds kStallCheckPeriod{250};
// Interval at which the expected end of a gang is worked out from the progress of its members.
inline constexpr std::chrono::milliseconds kGangEndPeriod{200};
// Lines about speeds of workers in the log: after a takeover all are learnt within seconds.
inline constexpr std::uint32_t kMaxSpeedLines = 8;
inline constexpr std::chrono::milliseconds kSpeedLinesPeriod{1000};
// Interval of the check that no job with waiting tasks is missing from planning passes.
inline constexpr std::chrono::milliseconds kOpenJobCheckPeriod{500};
// Interval at which free resources are counted for reports while no task waits.
inline constexpr std::chrono::milliseconds kIdleLoadPeriod{500};
// Time for which a task avoids a worker on which it failed, if there are others. Faults of workers
// last 4 to 7 s, but the other workers may be full, and a task that could run may wait 3 s at most.
inline constexpr std::chrono::milliseconds kTaskAvoidPeriod{2000};
// Number of run numbers that are skipped after a worker refused a start because it has seen a
// higher one.
inline constexpr std::uint64_t kRunsToSkip = 16;
// Percentage of the time that members wait for each other after which an incomplete gang is
// stopped; the rest of the time is for stopping them.
inline constexpr int kGangTimeoutPercent = 60;
// Maximum number of stored answers of the policy service for a step: 8 KiB of its row, for as many
// workers as a cell will have in two years.
inline constexpr std::size_t kMaxStoredAnswers = 2000;
// Pause before a failed request to the policy service is repeated.
inline constexpr std::chrono::milliseconds kAdviceRetry{100};
// A ticket is not used for the last part of its validity: the time for its answer and for the start
// to arrive.
inline constexpr std::chrono::milliseconds kTicketMargin{150};

// Interval of the scheduler's checks for time-outs.
inline constexpr std::chrono::milliseconds kLeaderTick{50};
// Interval of the log line about the load of the cell.
inline constexpr std::chrono::milliseconds kLoadReportPeriod{1000};
// Interval of the checks for held tasks.
inline constexpr std::chrono::milliseconds kHeldCheckPeriod{1000};
// A ready task that does not run for this long is reported as held: before the platform counts it
// as lost, after 3 s.
inline constexpr std::chrono::milliseconds kHeldAfter{2000};
// Interval at which a task that stays held is reported again.
inline constexpr std::chrono::milliseconds kHeldLogPeriod{2000};
// Interval of the checks whether a waiting gang fits on the workers of its service at all.
inline constexpr std::chrono::milliseconds kGangFitPeriod{500};
// Limits of one check for held tasks, which takes 0.5 to 0.7 ms with the 930 workers of the
// capacity target: tasks that are checked, enough for more than a job of the largest size; tasks
// for which all workers are scanned; and log lines.
inline constexpr std::size_t kMaxTasksPerHeldCheck = 2000;
inline constexpr std::size_t kMaxScansPerHeldCheck = 16;
inline constexpr std::size_t kMaxLinesPerHeldCheck = 10;
// Minimum time between calls for changes of the list of workers: hundreds of workers write their
// heartbeats there, and what matters is known in seconds.
inline constexpr std::chrono::milliseconds kWorkerListPeriod{100};
// Longest wait of a call for changes of that list, so that its age tells of a failure soon.
inline constexpr std::chrono::milliseconds kWorkerListWait{250};
// Starts stop this long before the time in which a draining worker has to be left alone: the time
// for a start to arrive.
inline constexpr std::chrono::milliseconds kWorkerListMargin{300};
// The list of workers counts as stale after three waits for its changes without news.
inline constexpr std::chrono::milliseconds kWorkerListStaleAfter{3000};
// Planning counts as late after ten ticks without a pass; each tick requests one.
inline constexpr std::chrono::milliseconds kPlanStaleAfter{500};
// Number of orders that may wait for the store or for their worker's answer: minimum, initial value
// and maximum, and the interval at which it is adapted. 2,000 orders are three seconds of starts at
// peak load; 64 keep an instance with 0.12 of a core busy, which starts some 200 tasks a second.
inline constexpr std::size_t kMinOrderWindow = 64;
inline constexpr std::size_t kInitialOrderWindow = 512;
inline constexpr std::size_t kMaxOrderWindow = 2048;
inline constexpr std::chrono::milliseconds kOrderWindowPeriod{200};
// Mean duration of calls to workers from which on the scheduler or its link counts as overloaded.
// Calls take 2 to 10 ms, and a fifth of the workers may be silent for 250 ms each.
inline constexpr std::chrono::milliseconds kBusyCallTime{100};
// Time for which the scheduler counts as the bottleneck after it was one, so that single passes
// without waiting tasks do not admit all jobs at once.
inline constexpr std::chrono::milliseconds kLimitedPeriod{1000};
// Time over which the rate of starts is averaged.
inline constexpr std::chrono::duration<double> kStartRateWindow{1.0};
// A job is refused while the tasks ahead of its own take longer than this to start: a task that
// could run may wait 3 s at most, and advice requests, commits and the start take as long again
// under load. The time for batch work is shorter because interactive work that arrives later
// overtakes it.
inline constexpr std::chrono::duration<double> kMaxStartWait{1.5};
inline constexpr std::chrono::duration<double> kMaxBatchStartWait{0.75};
// While the scheduler is the bottleneck, a step whose job has no running task gets its first task
// started before all other work after this time: half of the 3 s that it may wait.
inline constexpr std::chrono::milliseconds kFirstTaskUrgentAfter{1500};
// Upper bound of the expected time that an assignment waits for the store: half of a ticket's
// validity.
inline constexpr std::chrono::milliseconds kMaxSendDelay{700};
// Weight of an assignment in the mean time that assignments wait for the store.
inline constexpr double kSendDelayWeight = 1.0 / 32;
// Maximum number of waiting steps for which one planning pass examines the workers. With 350
// workers that takes about 2 ms.
inline constexpr std::size_t kMaxExaminedPerPass = 200;
// The pause after a planning pass is this multiple of its duration, so that planning takes at most
// a third of the processor time.
inline constexpr int kPlanPauseFactor = 2;
inline constexpr std::chrono::milliseconds kMaxPlanPause{250};
// Minimum time between planning passes: changes within it are handled by one pass.
inline constexpr std::chrono::milliseconds kPlanPeriod{4};
// Time-out of a request to the policy service. It is enough for a request about 100 workers of the
// slowest kind that waits for another request of this size.
inline constexpr std::chrono::milliseconds kAdviceTimeout{3000};
// New work is refused when the store has not answered for this long. Interactive work has a second
// or two in all, and waiting would use up its callers' time for a call.
inline constexpr std::chrono::milliseconds kRefuseAfterStoreSilence{700};
// Refusals of new jobs for want of the store are logged in one line in this time.
inline constexpr std::chrono::milliseconds kRefusalLogPeriod{1000};
// The same for queries of a job's state that wait for the store.
inline constexpr std::chrono::milliseconds kStateWaitLogPeriod{1000};
// Transactions that took longer count as this when the time of the next one is estimated. A store
// that is slow takes up to 1.1 s for one; after a silence the next one takes a few milliseconds.
inline constexpr std::chrono::milliseconds kMaxExpectedCommit{1200};
// Retry-after times of refused calls: four attempts outlast an outage of the store, which takes 4
// to 9 s.
inline constexpr std::chrono::milliseconds kInteractiveRetryAfter{2000};
inline constexpr std::chrono::milliseconds kBatchRetryAfter{3000};

// ---- Customers

// Jobs that a customer may submit at once within its share: those of this time, and this many more,
// so that small customers may send a few together.
inline constexpr std::chrono::milliseconds kShareWindow{5000};
inline constexpr double kShareBurst = 20.0;
// A backlog that the workers of the cell can do in this time is none: it is the time of a planning
// pass, a request to the policy service and a start.
inline constexpr std::chrono::milliseconds kMinBacklogWait{500};
// Shortest and longest Retry-After for want of room. The clients' time for a call is a few seconds,
// and the backlog may shrink sooner than expected.
inline constexpr std::chrono::milliseconds kMinRoomRetryAfter{1000};
inline constexpr std::chrono::milliseconds kMaxRoomRetryAfter{8000};
// Interval of the report about customers, and how many are named in it.
inline constexpr std::chrono::milliseconds kCustomerReportPeriod{5000};
inline constexpr std::size_t kMaxReportedCustomers = 8;

// ---- Ownership

// Without a commit for this long a scheduler stops renewing leases and starting tasks. The time
// covers the outages of the store that the platform announces, of 4 to 9 s.
inline constexpr std::chrono::milliseconds kLeadWithoutStore{10000};
// The same while an instance that its head row names as a supporter does not support it. A lasting
// task of a worker that was lost with the scheduler is back 9 s after its last run: this time and a
// lease pass before that.
inline constexpr std::chrono::milliseconds kLeadUnsupported{1500};
// Time since the last commit after which a scheduler asks for support.
inline constexpr std::chrono::milliseconds kAskSupportAfter{300};
// An instance that supports the scheduler does not claim its shard for this long: several pings.
inline constexpr std::chrono::milliseconds kSupportTime{800};
// Added to it by the instance that gives the support, as clocks differ in their rate.
inline constexpr std::chrono::milliseconds kSupportMargin{50};
// Number of successors that a head row names as supporters.
inline constexpr std::size_t kMaxSupporters = 8;
// First and longest time-out after which the same transaction is sent again. A healthy store
// answers within 10 ms, and the read that precedes a repetition costs little.
inline constexpr std::chrono::milliseconds kCommitTimeoutMin{60};
inline constexpr std::chrono::milliseconds kCommitTimeoutMax{1500};
// The time-out of a transaction is this percentage of the store's mean latency: a slow store
// answers steadily, and a lost answer is to be noticed soon. Latencies above the second figure
// count as that.
inline constexpr int kCommitLatencyPercent = 150;
inline constexpr std::chrono::milliseconds kMaxCommitLatency{500};
// The mean latency is averaged over about this many transactions.
inline constexpr int kLatencyWindow = 4;
inline constexpr std::uint32_t kMaxTimeoutDoublings = 4;
// Minimum time between transactions, so that one carries the changes of many tasks: transactions
// are priced, and short work can spare ten times as long.
inline constexpr std::chrono::milliseconds kCommitPeriod{20};
// Pause after the store rejected a transaction.
inline constexpr std::chrono::milliseconds kCommitRetry{40};
// An idle scheduler writes its head row this often to show that it is alive; a busy one writes it
// with each transaction, every 20 to 30 ms.
inline constexpr std::chrono::milliseconds kRenewPeriod{100};
// A scheduler that is silent on its links is replaced once its head row has not changed for this
// long; a live one writes the row at least twice in this time.
inline constexpr std::chrono::milliseconds kOwnerSilence{200};
// For a slow store, this multiple of the duration of a read of the row is added to `kOwnerSilence`.
inline constexpr int kOwnerSilenceReads = 3;
// Upper limit of that sum: a write takes 250 to 350 ms at the slowest store, and half of that to
// reach it.
inline constexpr std::chrono::milliseconds kMaxOwnerSilence{500};
// Replaces `kOwnerSilence` if connections to the scheduler fail at once, as they do after its
// process has ended.
inline constexpr std::chrono::milliseconds kOwnerRefused{150};
// Silence of a link to the scheduler that counts as a sign of its failure: two and a half pings.
inline constexpr std::chrono::milliseconds kOwnerLinkSilence{250};
// Interval at which the head row is read after this sign, by successors and by other instances.
inline constexpr std::chrono::milliseconds kOwnerProbePeriod{50};
inline constexpr std::chrono::milliseconds kUnlistedOwnerProbePeriod{250};
// Additional wait of each successor (instance in line to claim the shard) after the previous one: a
// claim takes 10 ms, and 250 to 300 ms while the store is slow; claims of several successors would
// queue up there.
inline constexpr std::chrono::milliseconds kSuccessorStagger{250};
// Number of successors to which `kSuccessorStagger` applies. If all of them are gone, as after the
// loss of several failure domains, the others follow quickly: the last one of 43 after 2.4 s.
inline constexpr int kStaggeredSuccessors = 6;
inline constexpr std::chrono::milliseconds kLateSuccessorStagger{25};
// Instances that are not on the list claim after those on it, in this many groups.
inline constexpr std::size_t kUnlistedClaimGroups = 32;
// Processor share in thousandths of a core from which on an instance is as good a scheduler as any.
// Weaker instances let others claim first, the weakest for `kMaxClaimDelay`: the time of a few
// claims.
inline constexpr std::uint32_t kFullStrengthMilli = 500;
// Processor share in thousandths of a core that a link can keep busy, for each Mbit/s: a link of 50
// Mbit/s carries what half of a core can schedule.
inline constexpr std::uint32_t kStrengthMilliPerMbps = 10;
inline constexpr std::chrono::milliseconds kMaxClaimDelay{600};
// A scheduler hands its shard over to an instance of at least this many times its strength.
inline constexpr std::uint32_t kHandOverFactor = 2;
// Time for which that instance has been linked, and this one has been the scheduler, before the
// shard is handed over: it is not passed around while instances start or end in turn.
inline constexpr std::chrono::milliseconds kHandOverAfter{4000};
// Pause before an instance claims a shard again that it has handed over: several turns of
// successors.
inline constexpr std::chrono::milliseconds kClaimAfterHandOver{2000};
inline constexpr std::chrono::milliseconds kStoreReadTimeout{1000};
// A page of a table may take this long to arrive from a slow store or over a slow link.
inline constexpr std::chrono::milliseconds kMaxTableReadTimeout{8000};
// A page that has not arrived is requested again after a random time between these. The longer one
// is half of the time for a change of the configuration, so that a change which follows an outage
// of any length is read in time.
inline constexpr std::chrono::milliseconds kMinReadRepeat{500};
inline constexpr std::chrono::milliseconds kMaxReadRepeat{1000};
// Time that a call which follows the store's changes waits for the next one. The store allows up to
// 30 s, but a connection that fell silent is only noticed after this time, so it stays within the
// time for a change of the configuration.
inline constexpr std::chrono::milliseconds kFeedWait{1000};
// The same right after a read that took longer than the wait.
inline constexpr std::chrono::milliseconds kFirstFeedWait{1};
// An answer that is arriving has stopped when no part of it has come for this long.
inline constexpr std::chrono::milliseconds kMaxPartGap{700};
// An answer that takes longer than this is not reported as arriving any more, so that peers send
// the configuration. It is the shortest time that the platform allows for a change.
inline constexpr std::chrono::milliseconds kMaxArrivalReport{2000};
inline constexpr std::chrono::milliseconds kFollowRetryMin{100};
inline constexpr std::chrono::milliseconds kFollowRetryMax{500};
// An entry denies a queue only by a configuration that was the newest one this long ago or later:
// the shortest time that the platform allows for a change.
inline constexpr std::chrono::milliseconds kMaxConfigAge{2000};
// Instances that lost the history of changes read it anew at random times within this period, not
// all at once.
inline constexpr std::chrono::milliseconds kReloadSpread{300};
// Number of consecutive failed calls after which another instance's path to the store is used.
inline constexpr std::uint32_t kOwnPathFailures = 2;
// Interval at which the own path to the store is tried again.
inline constexpr std::chrono::milliseconds kOwnPathRetry{500};
// A relayed call without an answer is sent through another instance as well after this time: twice
// what the path usually takes, within the first two, or the third if nothing is known of the path.
// A relay adds 1 to 3 ms to the store's 5 ms; a store that is slow takes 200 to 400 ms.
inline constexpr std::chrono::milliseconds kMinRelayHedge{30};
inline constexpr std::chrono::milliseconds kMaxRelayHedge{600};
inline constexpr std::chrono::milliseconds kUnknownRelayHedge{80};
// How often a relayed read looks whether its answer is still arriving: well within the time after
// which a page is requested again.
inline constexpr std::chrono::milliseconds kArrivalCheck{100};
// What a relayed call is taken to need through an instance of full strength of which nothing is
// known; weaker ones take longer in proportion.
inline constexpr std::chrono::milliseconds kAssumedRelayLatency{20};
// Answers older than this tell nothing about a path.
inline constexpr std::chrono::milliseconds kRelayMemory{5000};
// An instance is avoided for this long after a relayed call through it has failed, doubled with
// each further failure up to this many times: 4 s, half of an outage.
inline constexpr std::chrono::milliseconds kRelayAvoid{250};
inline constexpr std::uint32_t kMaxRelayAvoidDoublings = 4;
// Number of instances that one relayed call tries, and of copies that are on their way at a time.
inline constexpr std::size_t kMaxRelayPeers = 4;
inline constexpr std::size_t kMaxRelayCopies = 2;
// Changes of the instance that transactions try first are logged at most this often.
inline constexpr std::chrono::milliseconds kRelayLogPeriod{1000};
// Number of instances of which the results of relayed calls are kept.
inline constexpr std::size_t kMaxRelayRecords = 256;

// ---- Calls of callers

// Interval of the checks for deadlines of waiting calls and for signs of the scheduler.
inline constexpr std::chrono::milliseconds kShardTick{50};
// Memory of the calls of an instance that wait for an answer of the scheduler, in bytes, and of
// those that wait in a new scheduler until it has loaded its jobs. Enough for 4,000 jobs of a
// kilobyte.
inline constexpr std::size_t kMaxWaitingCallBytes = 4U << 20;
// Retry-after time of callers that found no scheduler: about the time of a takeover.
inline constexpr std::chrono::milliseconds kNoOwnerRetryAfter{1000};
// A connection attempt that fails within this time was refused, not lost.
inline constexpr std::chrono::milliseconds kConnectRefusedWithin{300};

inline constexpr std::chrono::milliseconds kNodeTick{100};
// Interval of measuring the lag of the event loop: the period of the other timers, which costs
// little.
inline constexpr std::chrono::milliseconds kLoopProbePeriod{50};
// Lag from which on a process counts as overloaded: half of the time that workers have to answer,
// which passes whether the answer is read or not.
inline constexpr std::chrono::milliseconds kLoopLagLimit = kWorkerCallTimeout / 2;
// Percentage of its processor time from which on a process counts as overloaded. At a mean of 80%,
// work that arrives at random waits four times as long as it takes.
inline constexpr std::uint32_t kProcessorPercentLimit = 80;
// Overload ends after this many seconds below both limits, so that an overload that comes and goes
// is not reported each second.
inline constexpr std::uint32_t kOverloadEndWindows = 3;
// Interval at which a lasting overload is reported again.
inline constexpr std::chrono::milliseconds kOverloadReportPeriod{10000};
inline constexpr std::chrono::milliseconds kLogFlushPeriod{100};
// Interval of the checks of the settings file, which may change without a signal.
inline constexpr std::chrono::milliseconds kSettingsPoll{1000};
// Minimum duration of a graceful shutdown: the load balancer needs two failed checks, one a second,
// to send callers elsewhere.
inline constexpr std::chrono::milliseconds kMinDrainTime{2300};
// The process ends this long before it would be killed.
inline constexpr std::chrono::milliseconds kDrainReserve{700};
// Calls that still wait get their final answer this long before the process ends.
inline constexpr std::chrono::milliseconds kDrainAnswerReserve{300};
// An instance that reaches neither the store nor a scheduler for this long asks its seeds.
inline constexpr std::chrono::milliseconds kSeedsAfter{400};
// An instance stays in rotation for this long without a scheduler: a takeover takes less, and
// holding callers is better than sending them to other instances that wait as well.
inline constexpr std::chrono::milliseconds kReadyGrace{3000};

// ---- Links between instances

inline constexpr std::chrono::milliseconds kPingPeriod{100};
// Pings between the scheduler and instances that are not among its successors: a link is closed
// after three that are missing.
inline constexpr std::chrono::milliseconds kUnlistedPingPeriod{400};
// A scheduler gathers its successors this often, and repeats the list to a peer that has it this
// often.
inline constexpr std::chrono::milliseconds kSuccessionPeriod{100};
inline constexpr std::chrono::milliseconds kSuccessionRepeat{2000};
// Number of successors that a scheduler names. With all of them gone, the other instances claim by
// themselves.
inline constexpr std::size_t kMaxSuccessors = 16;
// An instance that reaches the store gets a new configuration from a peer after this time, in which
// the store usually begins to send it.
inline constexpr std::chrono::milliseconds kConfigPushAfter{200};
// An instance without a configuration gets one that may be old only after this time, in which it
// reads the store twice if that answers.
inline constexpr std::chrono::milliseconds kOldConfigPushAfter{1000};
inline constexpr std::chrono::milliseconds kLinkMaintenancePeriod{50};
// A link without a message for this long is closed: fifteen pings.
inline constexpr std::chrono::milliseconds kLinkSilence{1500};
inline constexpr std::chrono::milliseconds kAcceptRetry{50};
// Pause before a failed link is connected again.
inline constexpr std::chrono::milliseconds kLinkRetry{100};

}  // namespace citronsill
