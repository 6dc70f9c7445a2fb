// Every constant of the program, with its unit and the reason for its value.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace dockdyke::constants {

using namespace std::chrono_literals;

// ---- Event loop -------------------------------------------------------------------------------------------
// Longest sleep of an idle loop; only a bound, every wake-up has a timer of its own.
inline constexpr auto kMaxPollWait = 1s;
// Events taken from the kernel in one call; a burst is spread over turns so that timers still run.
inline constexpr std::size_t kMaxEventsPerTurn = 128;

// ---- HTTP -------------------------------------------------------------------------------------------------
// Bytes of request line and headers; ours and the platform's are under 1 KiB.
inline constexpr std::size_t kMaxHeadBytes = 8ull * 1024;
// Bytes of a request body, from PROTOCOL.
inline constexpr std::size_t kMaxRequestBodyBytes = 64ull * 1024;
// Bytes of a response body taken from state service or cloud; watches have no stated limit, memory does.
inline constexpr std::size_t kMaxResponseBodyBytes = 8ull * 1024 * 1024;
// Bytes read from a socket in one call.
inline constexpr std::size_t kReadBufferBytes = 16ull * 1024;
// Connections waiting to be accepted. After a take-over all workers of a large fleet connect within a second.
inline constexpr int kListenBacklog = 4096;
// A connection may sit idle this long; users poll every 5 s, workers report every few seconds.
inline constexpr auto kIdleConnectionTimeout = 75s;
// A request must be complete this long after its first byte, or the peer is too slow to serve.
inline constexpr auto kRequestReadTimeout = 10s;
// A response must be taken by the peer within this time.
inline constexpr auto kResponseWriteTimeout = 10s;
// Descriptors kept for our own calls (state, cloud, peers, listening) when connections come close to the
// limit.
inline constexpr std::size_t kReservedSockets = 64;
// Share of a server's connections above which they are closed after their answer. Workers report every few
// seconds and would keep theirs open for ever: 4,000 of them on 1,200 sockets shut out users and each other.
inline constexpr double kKeepAliveConnectionShare = 0.75;
// Accepted connections per turn; the rest wait in the backlog, which holds back whoever sends them.
inline constexpr int kMaxAcceptsPerTurn = 32;
// Idle client connections kept per destination; more than this many calls at once are rare.
inline constexpr std::size_t kMaxIdleConnectionsPerHost = 8;
// An idle client connection older than this is not trusted to be alive.
inline constexpr auto kIdleClientConnectionTimeout = 30s;

// ---- Message bounds ---------------------------------------------------------------------------------------
// Nesting of a MessagePack body; the deepest message of the protocol has five levels.
inline constexpr int kMaxNestingDepth = 12;
// Tasks of a job, from PROTOCOL.
inline constexpr std::uint64_t kMaxTasksPerJob = 100'000;
// Characters of a name (class, team, image, machine type); a record must fit the state service's values.
inline constexpr std::size_t kMaxNameLength = 200;
// Largest amount (CPUs, GB, seconds) taken from a user; beyond any machine, but arithmetic stays exact.
inline constexpr double kMaxAmount = 1e9;
// Orders in one answer to a worker, so that it stays far below 64 KiB.
inline constexpr std::size_t kMaxCommandsPerResponse = 250;

// ---- State service ----------------------------------------------------------------------------------------
// The lowest limits of the service with which the program can work: KiB of a value, and changes a transaction
// (a cancellation needs three at once).
inline constexpr double kMinValueKib = 1;
inline constexpr double kMinTransactionChanges = 3;
// Writes refused for the rate, within so many seconds, that show the announced lower limit to be in force.
// One or two also come from the moments in which two controllers think they lead.
inline constexpr std::size_t kRateLimitRefusalThreshold = 4;
inline constexpr double kRateLimitRefusalWindow = 5.0;
// Seconds one call may take; usual answers take some ms, rare ones a few hundred.
inline constexpr double kStateCallTimeout = 1.5;
// Seconds a watch may wait at the service. Short, since a completed watch is what proves the leader's view
// fresh.
inline constexpr double kLeaderWatchTimeout = 1.0;
// Conditions a transaction may have per change it may make, from PROTOCOL.
inline constexpr std::size_t kPreconditionsPerChange = 4;
// Items asked for per page of a listing.
inline constexpr std::uint64_t kListPageSize = 500;
// Share of the service's request and write limits a leader uses; the rest is for the other controllers.
inline constexpr double kLeaderRateShare = 0.65;
// Share of the requests that all the other controllers split among them. Beyond what the leader leaves: it
// is used when the leader does not answer, and refusals above the limit are harmless by themselves.
inline constexpr double kFollowersRequestShare = 0.6;
// Share of the writes that they split among them; with kLeaderShare it leaves a margin for the moments in
// which two controllers think they lead.
inline constexpr double kFollowersWriteShare = 0.25;
// Seconds a request may wait for budget before it is given up.
inline constexpr double kRateLimitWaitTimeout = 2.0;
// Seconds of the leader's own wait for budget in background writes.
inline constexpr double kBackgroundCallTimeout = 10.0;
// Calls waiting for budget before new submissions are refused at once: a small buffer between stages.
inline constexpr std::size_t kRateLimiterQueueLimit = 64;

// ---- Election ---------------------------------------------------------------------------------------------
// Milliseconds a leader's lease lives; a dead leader is replaced after it, a busy one must not lose it.
inline constexpr std::uint64_t kLeaderLeaseTtlMs = 3500;
// Seconds between renewals; several may fail before the lease ends.
inline constexpr double kLeaseRenewalInterval = 0.8;
// Seconds a renewal may take before the next is tried.
inline constexpr double kLeaseRenewalTimeout = 1.0;
// Seconds a follower's watch of the leader's key may wait; an answer tells that the service still hears us.
inline constexpr double kFollowerWatchTimeout = 5.0;
// Seconds between attempts of a follower whose election call failed.
inline constexpr double kElectionRetryInterval = 0.4;

// ---- Cloud ------------------------------------------------------------------------------------------------
// Seconds one call to the cloud may take.
inline constexpr double kCloudCallTimeout = 4.0;
// Share of the cloud's call limit used by the leader; followers ask only for the machine types.
inline constexpr double kCloudRateShare = 0.7;
// Machines per page of the list, from PROTOCOL.
inline constexpr std::uint64_t kMachineListPageSize = 500;
// Machines in one rental, from PROTOCOL.
inline constexpr std::size_t kMaxMachinesPerScaleOut = 50;
// Machines in one deletion, from PROTOCOL; a record of as many names takes a third of a value.
inline constexpr std::size_t kMaxMachinesPerDeletion = 100;
// Seconds between readings of the machine list (re-adoption); the list itself lags by seconds.
inline constexpr double kMachineListInterval = 5.0;
// Seconds between readings of the machine types for current prices.
inline constexpr double kMachineTypesInterval = 60.0;
// Seconds before a failed reading of the machine types is repeated.
inline constexpr double kMachineTypesRetryInterval = 2.0;
// Seconds before an unanswered rental or deletion is repeated.
inline constexpr double kCloudRetryInterval = 1.5;
// Seconds a name deleted by us is remembered, since lists that lag still show it.
inline constexpr double kTombstoneTtl = 600.0;

// ---- Peers ------------------------------------------------------------------------------------------------
// Seconds a follower gives the leader to answer a forwarded request before it runs the handler itself, and
// the same while its own small share of writes is taken: then the leader, even a slow one, is the better
// choice. (120 ms instead of 250 ms sent more to the followers than their shares could write.)
inline constexpr double kForwardTimeout = 0.25;
inline constexpr double kSaturatedForwardTimeout = 1.0;
// Seconds of writes in line above which a controller hands on or refuses submissions rather than queue them.
inline constexpr double kSubmissionBacklogLimit = 0.8;
inline constexpr double kForwardBacklogThreshold = 0.1;
// Seconds between questions to the other controllers while the state service does not answer.
inline constexpr double kPeerStatusInterval = 0.7;
// Seconds one such question may take.
inline constexpr double kPeerCallTimeout = 0.6;
// Seconds without an answer of the state service after which a node asks the others about it.
inline constexpr double kStateUnreachableAfter = 1.2;

// Seconds of workers' reports that a controller counts when another asks what it hears.
inline constexpr std::size_t kHeartbeatCountWindow = 4;
// Seconds without any worker's report after which a leader asks the others what they hear, at the least; its
// workers' own patience with it is 4 s.
inline constexpr double kHeartbeatSilenceMin = 2.5;
// Reports that should have come in a silence before it means anything; few machines may all be between two.
inline constexpr double kHeartbeatsMissedThreshold = 20;
// Share of its machines that must have turned to the others for the leader to hand on; machines that have
// just booted report to any controller.
inline constexpr double kWorkersElsewhereShare = 0.1;
// Share of the workers' lease after which a leader that neither hears workers nor can ask the others hands
// on.
inline constexpr double kIsolatedSilenceLeaseShare = 0.5;
// Seconds for which a leader that handed on leaves the lead to others; longer than its lease.
inline constexpr double kLeadershipTransferAbstention = 6.0;

// Requests in a row that the leader did not answer in time before it is left alone.
inline constexpr std::uint32_t kSlowLeaderThreshold = 2;
// Seconds a leader that did not answer in time is left alone by a follower, which then serves by itself.
inline constexpr double kSlowLeaderBackoff = 3.0;
// Seconds one question about jobs may take at the leader; it asks the state service.
inline constexpr double kLeaderPollTimeout = 0.7;

// ---- Users ------------------------------------------------------------------------------------------------
// Seconds for a user's request in all; users wait 2 s for a poll and 5 s for a submission.
inline constexpr double kPollTimeout = 1.6;
inline constexpr double kSubmissionTimeout = 3.5;
// Seconds a refused user is asked to wait. Users retry for 60 s in all, so it stays short.
inline constexpr int kRetryAfterSeconds = 1;
// Seconds between readings that answer all the polls gathered meanwhile; users wait 2 s for each.
inline constexpr double kPollBatchInterval = 0.08;
// Polls in line, at the leader those of all controllers; more are answered 503 at once. Users of a fleet of
// 4,000 ask about some thousand open jobs every few seconds.
inline constexpr std::size_t kPollQueueLimit = 4096;
// Final states remembered per node to answer late polls without the store.
inline constexpr std::size_t kTerminalJobCacheSize = 20'000;
// Submissions being carried out at once; one more is answered 503 at once.
inline constexpr std::size_t kMaxSubmissionsInFlight = 48;
// Attempts at a transaction whose guard was overtaken by another writer.
inline constexpr int kMaxTransactionAttempts = 6;

// ---- Workers ----------------------------------------------------------------------------------------------
// Largest drift between two steady clocks, from PROTOCOL.
inline constexpr double kMaxClockDrift = 0.0005;
// Seconds added where a lease's end is concluded, for timers and answers in flight.
inline constexpr double kLeaseExpiryMargin = 1.0;
// Share of `cancel_s - lease_s` held back while the leader's view is stale, and its most in seconds.
inline constexpr double kCancellationMarginShare = 0.25;
inline constexpr double kCancellationMarginMax = 5.0;
// Seconds a leader that reaches neither the store nor any controller goes on answering workers: an outage
// that coincides with refused connections looks the same, and then their leases are worth keeping.
inline constexpr double kIsolatedServiceTimeMax = 6.0;
// The same as a share of the time for which it answers workers in any outage.
inline constexpr double kIsolatedServiceTimeShare = 0.25;
// Watches that fit into the rest, at the least: a view must be renewed several times before it is too old.
inline constexpr double kWatchesPerMaxStaleness = 6.0;
// Seconds an answer to a worker waits for the records that its own report made necessary, so that the
// answer can carry `forget` and the next `run`; a worker waits 4 s.
inline constexpr double kWriteHoldTimeout = 0.6;
// Share of the report period, and the most in seconds, for which the answer to a machine without tasks waits
// for work: orders travel only in answers, and the next report is a whole period away.
inline constexpr double kIdleHoldShare = 0.8;
inline constexpr double kIdleHoldMax = 2.8;
// Share of the connections that answers held for work may occupy; the rest is for those who ask.
inline constexpr double kHeldResponsesShare = 0.5;
// Share of its estimate past which a task keeps the answer to its machine from being held for work: owners'
// estimates are often wrong by half, and a worker reports nothing while it waits.
inline constexpr double kHoldProgressThreshold = 0.4;
// Reports in a row that show our answers to have had no effect after which a machine gets no more work.
inline constexpr std::uint32_t kUndeliveredResponsesThreshold = 2;
// Reports are due every report_s give or take a quarter; after this many periods a machine counts as silent.
inline constexpr double kSilentAfterHeartbeats = 2.2;

// Watches' length without proof that the leader's view is fresh after which it starts nothing. A view is up
// to two watches old in ordinary times.
inline constexpr double kStartStalenessWatches = 4.0;
// Reports waiting for the owner of the state; one more is told to come back, which holds the workers back.
// Twice a fleet of 4,000, whose workers all report at once after a take-over.
inline constexpr std::size_t kHeartbeatQueueLimit = 8192;
// Seconds between the leader's looks at its timers (leases, notices); the fleet is counted every kTick.
inline constexpr double kHousekeepingInterval = 1.0;
// Seconds before a background call to the state service that was refused is made again.
inline constexpr double kBackgroundRetryInterval = 0.3;

// ---- Records ----------------------------------------------------------------------------------------------
// Bytes of a value left free in a page, since the sizes of its entries are counted from above only roughly.
inline constexpr std::size_t kSegmentMarginBytes = 256;
// Pages on their way at once; the next collects changes meanwhile.
inline constexpr std::size_t kMaxSegmentsInFlight = 3;
// Writes of the leader's budget per page written: its own, that of its removal, and as much again for
// submissions, ends of jobs and rentals. At 3 in all, pages left those too little in the peaks.
inline constexpr double kWritesPerSegment = 4.5;
// Pages kept before the oldest is carried over into the newest: this many, and one more for so many entries.
inline constexpr std::size_t kMinSegmentsKept = 24;
inline constexpr std::size_t kLiveEntriesPerSegment = 200;
// Bytes below which pages are not made smaller when the store refuses them: several tasks still fit.
inline constexpr std::size_t kMinSegmentBytes = 300;
// Transactions of the leader in flight at once; further changes wait and are merged meanwhile.
inline constexpr std::size_t kMaxWritesInFlight = 8;

// ---- Judgement --------------------------------------------------------------------------------------------
// Seconds between counts of the fleet, from the design.
inline constexpr double kAutoscalerInterval = 5.0;
// Share of its estimate after which a task counts as nearly done, from the design.
inline constexpr double kNearlyDoneProgress = 0.9;
// Seconds a task waits for nearly done machines before it counts as a reason to rent.
inline constexpr double kScaleOutDelay = 2.0;
// A task past this many times its estimate is no longer trusted to end soon (DESIGN's first doubt).
inline constexpr double kOverrunFactor = 1.6;
// A task that ends within this share of a boot frees its room before a machine rented instead would be up.
inline constexpr double kFreesSoonBootShare = 0.8;
// Share of the time within which a class wants its tasks started after which the room that others will free
// soon no longer keeps machines from being rented: in a large fleet as much work arrives meanwhile.
inline constexpr double kStartPressureShare = 0.33;
// Weight of the newest count in the lasting load on ordinary machines (per tick: a memory of about 50 s), and
// the machines' worth of it, beyond what is coming, at which a spot machine is rented in their place.
inline constexpr double kOnDemandLoadSmoothing = 0.1;
inline constexpr double kSpotReplacementThreshold = 0.7;
// Share of that load for which spot machines are rented per tick, so that a refusal or a fall shows first.
inline constexpr double kSpotReplacementShare = 0.25;
// Seconds of slack, after a boot, below which a job no longer waits for spot machines to be had; and how long
// any job waits for them at the most.
inline constexpr double kOnDemandSlack = 5.0;
inline constexpr double kSpotWaitTimeout = 60.0;
// Machines kept at the least and free, and the most: defaults of the operators' flags.
inline constexpr std::uint32_t kDefaultMinMachines = 0;
inline constexpr std::uint32_t kDefaultFreeMachines = 0;
inline constexpr std::uint32_t kDefaultMaxMachines = 10'000;
// An empty machine is kept for this share of its type's boot time before it goes back: about the point at
// which keeping it has cost as much as booting another (DESIGN's second doubt).
inline constexpr double kSpotIdleBootShare = 0.6;
// The same for ordinary machines, which cost about three times as much to keep but, replaced by a spot one,
// not to boot again.
inline constexpr double kOnDemandIdleBootShare = 0.2;
// Seconds a rental refused for lack of capacity rests, first and at most (doubling between).
inline constexpr double kOfferingBackoffInitial = 10.0;
inline constexpr double kOfferingBackoffMax = 60.0;
// A machine that is not up after this many boot times counts as not coming; after the second it is deleted.
inline constexpr double kLateBootFactor = 1.8;
inline constexpr double kLostBootFactor = 3.0;
// Seconds before a cancellation's time is up at which a silent machine with tasks of it is deleted at the
// latest: enough for the record, the call and its repeats; and the most as a share of that time.
inline constexpr double kCancellationReserveMax = 12.0;
inline constexpr double kCancellationReserveShare = 0.3;
// Seconds a machine may stay silent past its lease before it is deleted.
inline constexpr double kSilentMachineGrace = 25.0;
// Tasks of this many different jobs must fail on a machine in a row for it to be called faulty.
inline constexpr std::size_t kFaultyMachineJobs = 2;
// Seconds after its last failure before such a machine is given up: time for the jobs to fail elsewhere too.
inline constexpr double kQuarantineDelay = 6.0;
// Completed tasks of a job from which on the others are measured against them. (Their mean is better than the
// owner's estimate, but ordering by it put the rest of long jobs off and the day's end with it.)
inline constexpr std::uint32_t kMinRunsForStragglers = 3;
// Times the mean of its job's completed tasks after which a task speaks against its machine (tasks of a job
// differ by a fifth, machines by a tenth; slow machines were seen to be four times slower), after which it
// does so alone, and how many signs in a row make a machine slow.
inline constexpr double kStragglerFactor = 2.0;
inline constexpr double kCertainStragglerFactor = 3.0;
inline constexpr std::uint32_t kStragglerSignsThreshold = 2;
// Seconds a job that failed waits before it runs again, first and at most (doubling between).
inline constexpr double kErrorBackoffInitial = 2.0;
inline constexpr double kErrorBackoffMax = 60.0;
// Failures on this many different machines in a row make a job suspect instead of the machines.
inline constexpr std::size_t kSuspectJobMachines = 3;
// Seconds a machine that refused a start for lack of room gets no further task.
inline constexpr double kNoCapacityBackoff = 4.0;
// Seconds before the end announced by a notice that a saving task is stopped at the latest.
inline constexpr double kTerminationNoticeMargin = 3.0;
// Tasks looked at when the need for machines is worked out; more need more machines than any tick rents.
inline constexpr std::size_t kMaxDemandTasks = 20'000;
// Tasks placed in one batch, so that one pass over a huge job stays short.
inline constexpr std::size_t kMaxAssignmentsPerPass = 400;
// Seconds a job may wait for its first task before it goes ahead of all others; users call a day failed if
// the largest jobs have not begun within 4 minutes.
inline constexpr double kStarvationThreshold = 100.0;
// Seconds between orderings of the waiting jobs; a new job waits that long for its place in line at the most.
inline constexpr double kQueueOrderInterval = 0.1;
// Waiting jobs below which they are ordered anew at every change.
inline constexpr std::size_t kSmallQueueSize = 32;
// Report periods within which every machine has reported: a quarter more than one, with the answer's way.
inline constexpr double kHeartbeatRoundFactor = 1.3;
// Rounds of reports a job must have to spare before it waits for a better machine.
inline constexpr double kLatencyCriticalRounds = 3;
// Seconds a job leaves machines that lack its image to jobs whose images are there.
inline constexpr double kImageLocalityDelay = 10.0;
// Steps (CPUs, GB) to which free room is rounded down when machines are counted in groups.
inline constexpr double kCapacityStep = 0.5;
// Weight of the newest observation in a class's correction of estimates.
inline constexpr double kEstimateLearningRate = 0.15;
// Bounds of that correction; owners' estimates are said to be wrong by half, sometimes by more.
inline constexpr double kEstimateCorrectionMin = 0.3;
inline constexpr double kEstimateCorrectionMax = 4.0;
// Seconds after which a job should be done for which neither its owner nor an objective says so.
inline constexpr double kDefaultDeadline = 600.0;
// A job waiting this long (s) without room may stop work of lower priority, unless its deadline is nearer.
inline constexpr double kPreemptionDelay = 6.0;
// Seconds of lost work that it counts as to stop work one priority higher; more than saving or most runs
// cost.
inline constexpr double kPreemptionPriorityCost = 120.0;
// Seconds between passes that look for work to stop.
inline constexpr double kPreemptionInterval = 2.0;

// Choice of a machine, all in seconds of a task's time, so that they can be weighed against an image fetch:
// a full machine's worth of room left over, an empty machine opened, an ordinary machine where spot would do,
// a machine on which something failed lately.
inline constexpr double kLeftoverCapacityCost = 8.0;
inline constexpr double kEmptyMachineCost = 4.0;
inline constexpr double kOnDemandCost = 40.0;
inline constexpr double kFailedMachineCost = 30.0;
// Share of a fetch still to wait for when another task has it under way.
inline constexpr double kSharedImageFetchShare = 0.5;
// Lists in a row that must miss a silent machine before it is deleted (the list may be older than the last).
inline constexpr int kMissedListingsThreshold = 2;
// Seconds in which a machine known only from a record must show up in list or report, beside the list's lag.
inline constexpr double kUnknownMachineGrace = 8.0;
// Share of the cloud's calls that may be rentals.
inline constexpr double kScaleOutCallShare = 0.6;

// ---- Gangs ------------------------------------------------------------------------------------------------
// Share of `gang_wait_s`, and report periods, after which a gang whose tasks have not all been seen on their
// machines is given up: a start needs one report period, and one that got lost a second.
inline constexpr double kGangAssemblyShare = 0.5;
inline constexpr double kGangAssemblyHeartbeats = 4.0;
// Share of a report round for which a gang waits until enough machines can be answered at the same moment.
inline constexpr double kGangPlacementWaitShare = 0.5;
// Seconds a gang waits before room is kept for it, for how long that is at the most (most tasks end within
// it, and no other job waits 90 s for room), and for how long no room is kept after that.
inline constexpr double kGangReservationDelay = 6.0;
inline constexpr double kGangReservationTime = 50.0;
inline constexpr double kGangReservationPause = 30.0;
// Seconds that a gang's tasks get to save beyond what they say they need, since the tasks told first wait for
// the others; and seconds that a worker has to take a direct order, and between two tries.
inline constexpr double kGangCheckpointMargin = 2.0;
inline constexpr double kDirectCommandTimeout = 1.5;
inline constexpr double kDirectCommandRetryInterval = 0.5;
// Seconds within which a class wants its tasks started for room to be held for its gangs; any more and
// machines can be rented when they come.
inline constexpr double kQuickStartTarget = 20.0;
// Seconds for which gangs that came are remembered as a sign that more will come.
inline constexpr double kGangArrivalMemory = 120.0;
// Seconds a job without room waits before it may take what is held for gangs.
inline constexpr double kGangReserveWait = 30.0;
// Seconds of a task's time that each sign of a slow machine counts as: all tasks go at the slowest one's
// pace.
inline constexpr double kStragglerSignCost = 20.0;
// GB a second that any machine is taken to fetch at the least, to divide by.
inline constexpr double kMinImageFetchRate = 0.01;

// ---- Logging ----------------------------------------------------------------------------------------------
// Bins of the histogram of submission times and their range (s); a bin is a quarter wider than the last.
inline constexpr unsigned kLatencyBins = 40;
inline constexpr double kLatencyMin = 0.001;
inline constexpr double kLatencyMax = 8.0;
// Seconds between log lines about users' requests.
inline constexpr double kUserLogInterval = 30.0;

// ---- Settings ---------------------------------------------------------------------------------------------
// Bytes of a settings file; a real one has a few KiB.
inline constexpr std::size_t kMaxSettingsBytes = 4ull * 1024 * 1024;

}  // namespace dockdyke::constants
