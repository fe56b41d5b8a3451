/// Limits, intervals and weights of a cell. Each line says where its figure comes from.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace citronsill {

// ---- Sizes

// A payload is at most this long by the callers' protocol.
inline constexpr std::size_t kMaxTaskPayloadBytes = 4000;
// Largest job that fits into one row with its progress: 64 KiB at about 40 bytes a started task.
inline constexpr std::uint32_t kMaxTasksPerStep = 1000;
inline constexpr std::uint32_t kMaxTasksPerJob = 1200;
inline constexpr int kMaxSteps = 64;
// Entries of one transaction: a limit of the store.
inline constexpr std::size_t kMaxTransactionEntries = 100;
// Bytes of one transaction: the store takes 1 MB, of which Base64 and names use a third.
inline constexpr std::size_t kMaxTransactionBytes = 600U << 10;
// Rows of one read: a limit of the store.
inline constexpr std::uint32_t kMaxRowsPerRead = 500;
// Frame between instances: a transaction of full size and its envelope.
inline constexpr std::size_t kMaxLinkFrameBytes = 2U << 20;
// Bytes that may wait to be written to one instance before the link is given up as stuck.
inline constexpr std::size_t kMaxLinkQueueBytes = 8U << 20;

// ---- Workers

// A worker's clock may be this much slow: a guarantee of the platform.
inline constexpr double kWorkerClockDrift = 0.02;
// Added to the end of a lease for the reading of clocks and the passing of messages.
inline constexpr std::chrono::milliseconds kLeaseMargin{150};
// Leases outlast a change of the scheduler: about 2 s to notice a silent one, 1 s to attach, and
// the age of the last renewal.
inline constexpr std::chrono::milliseconds kLease{5000};
// A start is refused by its worker after this time; twice the time of a slow call.
inline constexpr std::chrono::milliseconds kStartWindow{1500};
// Time for a worker to answer a start, stop or look; healthy ones take a few milliseconds.
inline constexpr std::chrono::milliseconds kWorkerCallTimeout{250};
// The same when answers take long because the scheduler or its link is busy: this many times their
// mean time, up to what leaves a lease of 5 s time for two more holds.
inline constexpr int kCallTimeFactor = 4;
inline constexpr std::chrono::milliseconds kWorkerCallTimeoutMost{1500};
// Weight of a call in the mean time of calls: about the last 60 count, 0.1 s of starts at the peak.
inline constexpr double kCallTimeWeight = 1.0 / 64;
// Workers that are attached at the same time after a takeover: their answers arrive within the
// time-out on an instance with 0.12 of a core, at 1 ms of processor time for a new connection.
inline constexpr std::size_t kAttachedAtOnce = 24;
// Longest wait of a hold: a lease outlasts three of them.
inline constexpr std::chrono::milliseconds kHoldWait{1500};
// Holds are repeated this often while ends cannot be acknowledged because the store is slow.
inline constexpr std::chrono::milliseconds kUnackedHoldPeriod{300};
// Pause between holds of a worker that does not answer: first and longest.
inline constexpr std::chrono::milliseconds kHoldRetryMin{100};
inline constexpr std::chrono::milliseconds kHoldRetryMax{500};
// A stop without effect is repeated after this time.
inline constexpr std::chrono::milliseconds kStopRetry{300};

// ---- Scheduling

// Ended jobs are known for this much longer than asked for: clocks differ by a few seconds, and
// callers repeat a submission for less than this.
inline constexpr std::chrono::milliseconds kKeepFinishedMargin{30000};
// Ended jobs that one transaction removes: with the head row's 3 a second at least 60 a second,
// more than one shard ends.
inline constexpr std::size_t kFinishedRemovedAtOnce = 20;
// A long-running task that failed is started again after this time.
inline constexpr std::chrono::milliseconds kRestartDelay{250};
// Failures in a row on one worker, of any tasks, after which it is avoided: hopeless tasks fail
// everywhere, so one or two say little.
inline constexpr std::uint32_t kFailuresToAvoid = 3;
// First pause of a worker that fails tasks; doubles each time.
inline constexpr std::chrono::milliseconds kAvoidFirst{1000};
inline constexpr std::uint32_t kMaxAvoidDoublings = 4;
// Pause of a worker on which runs stood still; such states last seconds.
inline constexpr std::chrono::milliseconds kAvoidStalled{4000};
// Pause of a worker that refused a start.
inline constexpr std::chrono::milliseconds kRefusalPause{300};
// Progress is reported with each hold, at least each 1.5 s; three of them without any is a stall.
inline constexpr std::chrono::milliseconds kStalledAfter{4500};
// A task stays away from a worker on which it failed for this long, if there are others. Faults of
// workers last 4 to 7 s, but the others may be full, and a task that could run may wait 3 s at
// most.
inline constexpr std::chrono::milliseconds kTaskAvoids{2000};
// Runs that are skipped when a worker has seen a higher one.
inline constexpr std::uint64_t kRunsToSkip = 16;
// A gang is given up when it is not complete after this part of the time that its members wait; the
// rest is for stopping them.
inline constexpr int kGangPatiencePercent = 60;
// Answers of the policy service that are kept with a step: 8 KiB of its row, and of as many workers
// as a cell will have in two years.
inline constexpr std::size_t kMaxKeptAnswers = 2000;
// A question to the policy service that failed is asked again after this time.
inline constexpr std::chrono::milliseconds kAdviceRetry{100};
// A ticket is used until this long before it runs out: the answer's way and the start's way.
inline constexpr std::chrono::milliseconds kTicketMargin{150};

// The scheduler looks at time-outs this often.
inline constexpr std::chrono::milliseconds kLeaderTick{50};
// A line on the load of the cell is logged this often.
inline constexpr std::chrono::milliseconds kLoadReportPeriod{1000};
// Tasks that wait are looked at for the reason this often.
inline constexpr std::chrono::milliseconds kHeldCheckPeriod{1000};
// A task that does not run this long after its turn came is reported: before the platform counts it
// as lost, after 3 s.
inline constexpr std::chrono::milliseconds kHeldAfter{2000};
// A task that goes on waiting is reported again after this time.
inline constexpr std::chrono::milliseconds kHeldLogPeriod{2000};
// Bounds of one check, 0.5 to 0.7 ms with the 930 workers of the capacity target: tasks that
// are looked at, a job of the largest size and more; tasks for which all workers are looked at; and
// lines.
inline constexpr std::size_t kHeldTasks = 2000;
inline constexpr std::size_t kHeldScans = 16;
inline constexpr std::size_t kHeldLines = 10;
// The list of workers is stale when nothing was heard of it for three waits for its changes.
inline constexpr std::chrono::milliseconds kWorkerListStaleAfter{3000};
// Planning is late when no pass was made for ten ticks, each of which asks for one.
inline constexpr std::chrono::milliseconds kPlanStaleAfter{500};
// Orders that may wait for the store or for their worker's answer: adapted between these figures,
// this often. 2,000 are three seconds of starts at the peak; 64 keep an instance of 0.12 of a core
// busy, which starts some 200 tasks a second.
inline constexpr std::size_t kWindowLeast = 64;
inline constexpr std::size_t kWindowFirst = 512;
inline constexpr std::size_t kWindowMost = 2048;
inline constexpr std::chrono::milliseconds kWindowPeriod{200};
// Mean time of calls to workers from which on the scheduler or its link counts as overloaded: they
// take 2 to 10 ms, and a fifth of the workers may be silent for 250 ms each.
inline constexpr std::chrono::milliseconds kBusyCallTime{100};
// The scheduler counts as the limit of starts for this long after it was, so that single passes
// without waiting tasks do not let everything in.
inline constexpr std::chrono::milliseconds kLimitedFor{1000};
// Rate of starts: an average over about this time.
inline constexpr std::chrono::duration<double> kStartRateTime{1.0};
// A job is refused while the tasks before its own take longer than this to start: a task that could
// run may wait 3 s at most, and questions, commits and the start take as long again under load.
// Batch work is also passed by interactive work that comes later.
inline constexpr std::chrono::duration<double> kMostStartWait{1.5};
inline constexpr std::chrono::duration<double> kMostBatchStartWait{0.75};
// While the scheduler is the limit, a step whose job does not run at all gets its first task
// started before all other work after this time: half of the 3 s that it may wait.
inline constexpr std::chrono::milliseconds kFirstTaskDue{1500};
// An assignment is expected to wait for the store at most this long: half of a ticket's life.
inline constexpr std::chrono::milliseconds kSendDelayMost{700};
// Weight of an assignment in the mean time that they wait for the store.
inline constexpr double kSendDelayWeight = 1.0 / 32;
// Waiting steps whose workers one planning pass looks at. With 350 workers that is about 2 ms.
inline constexpr std::size_t kExaminedAtOnce = 200;
// Between two planning passes this many times the duration of the first one goes by, so that
// planning takes at most a third of the processor.
inline constexpr int kPlanPauseFactor = 2;
inline constexpr std::chrono::milliseconds kPlanPauseMost{250};
// Changes within this time are answered by one planning pass.
inline constexpr std::chrono::milliseconds kPlanPeriod{4};
// Longest question to the policy service: 100 workers of the slowest kind, with as many waiting.
inline constexpr std::chrono::milliseconds kAdviceTimeout{3000};
// New work is refused when the store has failed to answer for this long. Interactive work has a
// second or two in all, and waiting uses up its callers' time for a call.
inline constexpr std::chrono::milliseconds kRefuseWithoutStore{700};
// When such callers are told to come back: four tries reach over an outage, which lasts 4 to 9 s.
inline constexpr std::chrono::milliseconds kInteractiveRetryAfter{2000};
inline constexpr std::chrono::milliseconds kBatchRetryAfter{3000};

// ---- Ownership

// Without a commit for this long a scheduler stops renewing leases and starting tasks. Bears the
// outages of the store that the platform announces, of 4 to 9 s.
inline constexpr std::chrono::milliseconds kLeadWithoutStore{10000};
// Time for the store to answer before the same transaction is sent again: first and longest. A
// healthy store answers within 10 ms, and a read, which comes first, costs little.
inline constexpr std::chrono::milliseconds kCommitTimeoutMin{60};
inline constexpr std::chrono::milliseconds kCommitTimeoutMax{1500};
// The store is given this many times its usual time to answer...
inline constexpr int kCommitLatencyFactor = 3;
// ...which is an average over about this many transactions.
inline constexpr int kLatencyWindow = 4;
inline constexpr std::uint32_t kMaxTimeoutDoublings = 4;
// Transactions are at least this far apart, so that one carries the changes of many tasks: they are
// priced, and short work has ten times as long to spare.
inline constexpr std::chrono::milliseconds kCommitPeriod{20};
// Pause after the store refused a transaction.
inline constexpr std::chrono::milliseconds kCommitRetry{40};
// An idle scheduler writes its head row this often, so that others see that it is alive; a busy one
// does with each transaction, every 20 to 30 ms.
inline constexpr std::chrono::milliseconds kRenewPeriod{100};
// A scheduler that does not speak on its links and whose head row has not changed for this long is
// replaced: a live one writes it at least twice in this time...
inline constexpr std::chrono::milliseconds kOwnerSilence{200};
// ...or as often as the store lets it: this many times a read of the row more...
inline constexpr int kOwnerSilenceReads = 3;
// ...up to this: a write takes 250 to 350 ms at the slowest store, and half of that for the way.
inline constexpr std::chrono::milliseconds kOwnerSilenceMost{500};
// The same when connections to it fail at once, as they do when its process has ended.
inline constexpr std::chrono::milliseconds kOwnerRefused{150};
// A link to the scheduler that is silent for this long, two pings and a half, is taken as a sign...
inline constexpr std::chrono::milliseconds kOwnerLinkSilence{250};
// ...upon which its head row is read this often.
inline constexpr std::chrono::milliseconds kOwnerProbePeriod{50};
// The next heir waits this much longer than the one before it: a claim takes 10 ms, and 250 to 300
// while the store is slow; claims of several heirs would queue up there.
inline constexpr std::chrono::milliseconds kHeirStagger{250};
// This many heirs take their turn so far apart. When all of them are gone, as after the loss of
// several failure domains, the others follow quickly: of 43 the last one after 2.4 s.
inline constexpr int kStaggeredHeirs = 6;
inline constexpr std::chrono::milliseconds kLateHeirStagger{25};
// Processor share from which on an instance is as good a scheduler as any, and the time by which
// the weakest let others claim first: a few claims.
inline constexpr std::uint32_t kFullStrengthMilli = 500;
// A link of 50 Mbit/s carries what half of a core can schedule.
inline constexpr std::uint32_t kStrengthMilliPerMbps = 10;
inline constexpr std::chrono::milliseconds kWeakestHandicap{600};
// An instance that schedules gives its shard to one of at least this many times its strength...
inline constexpr std::uint32_t kHandOverFactor = 2;
// ...that has been linked for this long, as it has been the scheduler itself: instances that start
// or end in turn do not pass it around.
inline constexpr std::chrono::milliseconds kHandOverAfter{4000};
// An instance that has handed its shard over claims it again after this time: several turns of
// heirs.
inline constexpr std::chrono::milliseconds kClaimAfterHandOver{2000};
inline constexpr std::chrono::milliseconds kStoreReadTimeout{1000};
// Reads of whole tables that failed are given twice the time, up to this.
inline constexpr std::chrono::milliseconds kTableReadTimeoutMost{8000};
// Wait of a call that follows changes: the longest that the store allows is 30 s; a connection that
// fell silent is noticed after it, so it stays within the time for a change of the configuration.
inline constexpr std::chrono::milliseconds kFeedWait{1000};
inline constexpr std::chrono::milliseconds kFollowRetryMin{100};
inline constexpr std::chrono::milliseconds kFollowRetryMax{500};
// Instances that lost the history read anew over this time, not all at once.
inline constexpr std::chrono::milliseconds kReloadSpread{300};
// Calls that fail in a row until another instance's path to the store is taken.
inline constexpr std::uint32_t kOwnPathFailures = 2;
// The own path is tried again this often.
inline constexpr std::chrono::milliseconds kOwnPathRetry{500};

// ---- Calls of callers

// Deadlines of waiting calls and signs of the scheduler are looked at this often.
inline constexpr std::chrono::milliseconds kShardTick{50};
// Callers that found no scheduler come back after about the time that a takeover needs.
inline constexpr std::chrono::milliseconds kNoOwnerRetryAfter{1000};
// An attempt to connect that fails within this time was refused, not lost.
inline constexpr std::chrono::milliseconds kConnectRefusedWithin{300};

inline constexpr std::chrono::milliseconds kNodeTick{100};
// The lag of the event loop is measured this often, at little cost: the period of the other timers.
inline constexpr std::chrono::milliseconds kLoopProbePeriod{50};
// Lag from which a process counts as overloaded: half of the time that workers have to answer,
// which passes whether the answer is read or not.
inline constexpr std::chrono::milliseconds kLoopLagLimit = kWorkerCallTimeout / 2;
// Share of its processor time from which a process counts as overloaded. At 80% in the mean, work
// that arrives at random waits four times as long as it takes.
inline constexpr std::uint32_t kProcessorPercentLimit = 80;
// Overload is over after this many seconds below both limits, so that one that comes and goes is
// not reported each second.
inline constexpr std::uint32_t kCalmWindows = 3;
// Overload that lasts is reported again this often.
inline constexpr std::chrono::milliseconds kOverloadReportPeriod{10000};
inline constexpr std::chrono::milliseconds kLogFlushPeriod{100};
// The settings file is looked at this often: it may change without a signal.
inline constexpr std::chrono::milliseconds kSettingsPoll{1000};
// A process that ends gracefully stays this long: the load balancer needs two missed checks, one a
// second, to send callers elsewhere.
inline constexpr std::chrono::milliseconds kDrainAtLeast{2300};
// It ends this long before it would be killed.
inline constexpr std::chrono::milliseconds kDrainReserve{700};
// Calls that wait when it ends get their final answer this long before.
inline constexpr std::chrono::milliseconds kDrainAnswerReserve{300};
// An instance that reaches neither the store nor a scheduler for this long asks its seeds.
inline constexpr std::chrono::milliseconds kSeedsAfter{400};
// An instance stays in rotation this long without a scheduler: a takeover takes less, and callers
// are better held for it than sent to others that wait as well.
inline constexpr std::chrono::milliseconds kReadyGrace{3000};

// ---- Links between instances

inline constexpr std::chrono::milliseconds kPingPeriod{100};
inline constexpr std::chrono::milliseconds kLinkTendPeriod{50};
// A link without a message for this long is closed: fifteen pings.
inline constexpr std::chrono::milliseconds kLinkSilence{1500};
inline constexpr std::chrono::milliseconds kAcceptRetry{50};
// Pause before a link that failed is made again.
inline constexpr std::chrono::milliseconds kLinkRetry{100};

}  // namespace citronsill
