// Every constant of the program, with its unit and the reason for its value. Sections follow the modules. A
// duration is in seconds unless its type or name says otherwise. "PROTOCOL" marks limits that the protocol
// sets.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace dockdyke::constants {

using namespace std::chrono_literals;

// ---- Net: event loop --------------------------------------------------------------------------------------
// Longest sleep of an idle loop. Only a bound: every wake-up has a timer of its own.
inline constexpr auto kMaxPollWait = 1s;
// Events taken from the kernel in one call. A burst is spread over several turns so that timers still run.
inline constexpr std::size_t kMaxEventsPerTurn = 128;

// ---- Net: HTTP --------------------------------------------------------------------------------------------
// Bytes of request line and headers; those of all components are under 1 KiB.
inline constexpr std::size_t kMaxHeadBytes = 8ull * 1024;
// Bytes of a request body (PROTOCOL).
inline constexpr std::size_t kMaxRequestBodyBytes = 64ull * 1024;
// Bytes of a response body from the state service or the cloud. The protocol sets no limit for watches, but
// memory does.
inline constexpr std::size_t kMaxResponseBodyBytes = 8ull * 1024 * 1024;
// Bytes read from a socket in one call.
inline constexpr std::size_t kReadBufferBytes = 16ull * 1024;
// Connections waiting to be accepted. After a failover all workers of a large fleet connect within a second.
inline constexpr int kListenBacklog = 4096;
// Time after which an idle server connection is closed. Users poll every 5 s, workers send heartbeats every
// few seconds.
inline constexpr auto kIdleConnectionTimeout = 75s;
// Time from a request's first byte until it must be complete.
inline constexpr auto kRequestReadTimeout = 10s;
// Time within which the client must have read a response.
inline constexpr auto kResponseWriteTimeout = 10s;
// File descriptors reserved for our own connections (state service, cloud, peers, listening socket) when the
// number of accepted connections comes close to the limit.
inline constexpr std::size_t kReservedSockets = 64;
// Share of a server's connections above which connections are closed after their response. Workers send
// heartbeats every few seconds and would keep theirs open for ever: 4,000 workers on 1,200 sockets shut out
// users and each other.
inline constexpr double kKeepAliveConnectionShare = 0.75;
// Connections accepted per turn of the loop. The rest wait in the backlog, which slows down the clients.
inline constexpr int kMaxAcceptsPerTurn = 32;
// Idle client connections kept per destination; more concurrent calls than this are rare.
inline constexpr std::size_t kMaxIdleConnectionsPerHost = 8;
// Time after which an idle client connection is no longer trusted to be alive.
inline constexpr auto kIdleClientConnectionTimeout = 30s;

// ---- Wire: bounds of messages -----------------------------------------------------------------------------
// Nesting levels of a MessagePack body; the deepest message of the protocol has five.
inline constexpr int kMaxNestingDepth = 12;
// Tasks of a job (PROTOCOL).
inline constexpr std::uint64_t kMaxTasksPerJob = 100'000;
// Bytes of a name (class, team, image, machine type). A job's record must fit into a value of the state
// service.
inline constexpr std::size_t kMaxNameLength = 200;
// Largest amount (CPUs, GB, seconds) accepted from a user. Beyond any machine, but arithmetic remains exact.
inline constexpr double kMaxAmount = 1e9;
// Worker commands in one heartbeat response, so that it remains far below 64 KiB.
inline constexpr std::size_t kMaxCommandsPerResponse = 250;

// ---- Store: state service ---------------------------------------------------------------------------------
// The lowest limits of the state service with which the program can work: KiB of a value, and changes in a
// transaction (a cancellation needs three at once).
inline constexpr double kMinValueKib = 1;
inline constexpr double kMinTransactionChanges = 3;
// Number of writes refused with 429 within the window (s) after which the announced lower limit is taken to
// be in force. One or two refusals also occur while two controllers both believe to be the leader.
inline constexpr std::size_t kRateLimitRefusalThreshold = 4;
inline constexpr double kRateLimitRefusalWindow = 5.0;
// Seconds one call may take. Usual responses take some ms, occasional ones a few hundred.
inline constexpr double kStateCallTimeout = 1.5;
// Seconds a leader's watch may wait at the service. Short, since only a completed watch proves that the
// leader's view is fresh.
inline constexpr double kLeaderWatchTimeout = 1.0;
// Preconditions that a transaction may have per change that it may make (PROTOCOL).
inline constexpr std::size_t kPreconditionsPerChange = 4;
// Items requested per page of a listing.
inline constexpr std::uint64_t kListPageSize = 500;
// Share of the service's request and write rate limits that the leader uses. The rest is for the followers.
inline constexpr double kLeaderRateShare = 0.65;
// Share of the request rate limit that the followers split among them. Together with the leader's share it
// exceeds the limit: followers use it when the leader does not respond, and a 429 does no harm by itself.
inline constexpr double kFollowersRequestShare = 0.6;
// Share of the write rate limit that the followers split among them. With kLeaderRateShare it leaves a margin
// for the moments in which two controllers both believe to be the leader.
inline constexpr double kFollowersWriteShare = 0.25;
// Seconds a request may wait for the rate limiter before it is given up.
inline constexpr double kRateLimitWaitTimeout = 2.0;
// Seconds until the deadline of a background call, within which it may wait for the rate limiter.
inline constexpr double kBackgroundCallTimeout = 10.0;
// Calls waiting for the rate limiter above which new submissions are refused at once.
inline constexpr std::size_t kRateLimiterQueueLimit = 64;

// ---- Election ---------------------------------------------------------------------------------------------
// Lifetime of the leader's lease in milliseconds. A dead leader is replaced after it; a busy one must not
// lose it.
inline constexpr std::uint64_t kLeaderLeaseTtlMs = 3500;
// Seconds between renewals of the lease. Several may fail before it expires.
inline constexpr double kLeaseRenewalInterval = 0.8;
// Seconds a renewal may take before the next is attempted.
inline constexpr double kLeaseRenewalTimeout = 1.0;
// Seconds a follower's watch of the leader's key may wait. Its response shows that the state service can
// still be reached.
inline constexpr double kFollowerWatchTimeout = 5.0;
// Seconds before a follower retries a failed election call.
inline constexpr double kElectionRetryInterval = 0.4;

// ---- Cloud ------------------------------------------------------------------------------------------------
// Seconds one call to the cloud may take.
inline constexpr double kCloudCallTimeout = 4.0;
// Share of the cloud's rate limit used by the leader. Followers only request the machine types.
inline constexpr double kCloudRateShare = 0.7;
// Machines per page of the machine list (PROTOCOL).
inline constexpr std::uint64_t kMachineListPageSize = 500;
// Machines in one scale-out request (PROTOCOL).
inline constexpr std::size_t kMaxMachinesPerScaleOut = 50;
// Machines in one deletion (PROTOCOL). A record of as many names takes a third of a value.
inline constexpr std::size_t kMaxMachinesPerDeletion = 100;
// Seconds between requests for the machine list, from which unknown machines are adopted. The list itself
// lags by seconds.
inline constexpr double kMachineListInterval = 5.0;
// Seconds between requests for the machine types, which carry the current prices.
inline constexpr double kMachineTypesInterval = 60.0;
// Seconds before a failed request for the machine types is retried.
inline constexpr double kMachineTypesRetryInterval = 2.0;
// Seconds before a scale-out request or deletion without response is retried.
inline constexpr double kCloudRetryInterval = 1.5;
// Seconds the name of a deleted machine is remembered, since machine lists that lag still contain it.
inline constexpr double kTombstoneTtl = 600.0;

// ---- Peers: forwarding to the leader ----------------------------------------------------------------------
// Seconds a follower waits for the leader's response to a forwarded request before it handles the request
// itself; and the same while the follower's own small share of writes is used up, when even a slow leader is
// the better choice. (120 ms instead of 250 ms sent more to the followers than their shares could write.)
inline constexpr double kForwardTimeout = 0.25;
inline constexpr double kSaturatedForwardTimeout = 1.0;
// Backlog of writes, in seconds of the write rate, above which a controller refuses submissions, and above
// which a follower prefers to forward them, rather than queue them.
inline constexpr double kSubmissionBacklogLimit = 0.8;
inline constexpr double kForwardBacklogThreshold = 0.1;
// Consecutive requests without a response from the leader in time after which it counts as slow.
inline constexpr std::uint32_t kSlowLeaderThreshold = 2;
// Seconds for which a follower then handles requests itself instead of forwarding them to the slow leader,
// unless its own backlog of writes is too long.
inline constexpr double kSlowLeaderBackoff = 3.0;
// Seconds a poll of jobs at the leader may take; the leader asks the state service.
inline constexpr double kLeaderPollTimeout = 0.7;

// ---- Peers: status and transfer of leadership -------------------------------------------------------------
// Seconds between status requests to the other controllers while the state service does not respond.
inline constexpr double kPeerStatusInterval = 0.7;
// Seconds one status request may take.
inline constexpr double kPeerCallTimeout = 0.6;
// Seconds without a response from the state service after which a controller asks the others about it.
inline constexpr double kStateUnreachableAfter = 1.2;
// Length in seconds of the window in which a controller counts heartbeats, for the status that it gives to
// others.
inline constexpr std::size_t kHeartbeatCountWindow = 4;
// Least number of seconds without any heartbeat after which a leader asks the others whether they receive
// any. Workers wait 4 s for a response.
inline constexpr double kHeartbeatSilenceMin = 2.5;
// Number of heartbeats that should have arrived during a silence before it is significant. With few machines,
// all of them may be between two heartbeats.
inline constexpr double kHeartbeatsMissedThreshold = 20;
// Share of its machines that must send heartbeats to other controllers before the leader transfers
// leadership. Machines that have just booted send theirs to any controller.
inline constexpr double kWorkersElsewhereShare = 0.1;
// Share of the workers' lease after which a leader that neither receives heartbeats nor reaches another
// controller transfers leadership.
inline constexpr double kIsolatedSilenceLeaseShare = 0.5;
// Seconds for which a leader that has transferred leadership does not stand for election; longer than its
// lease.
inline constexpr double kLeadershipTransferAbstention = 6.0;

// ---- User requests ----------------------------------------------------------------------------------------
// Seconds for the handling of a user's request. Users wait 2 s for the response to a poll and 5 s for that to
// a submission.
inline constexpr double kPollTimeout = 1.6;
inline constexpr double kSubmissionTimeout = 3.5;
// Seconds in the Retry-After header of a refusal. Short, since users retry for no more than 60 s in total.
inline constexpr int kRetryAfterSeconds = 1;
// Seconds between reads of the state service, each of which serves all polls that have arrived since the
// last. Users wait 2 s for a response.
inline constexpr double kPollBatchInterval = 0.08;
// Queued polls, at the leader those of all controllers; further ones get a 503 at once. Users of a fleet of
// 4,000 machines poll some thousand unfinished jobs every few seconds.
inline constexpr std::size_t kPollQueueLimit = 4096;
// Final job states cached per controller, for late polls that then need no read of the state service.
inline constexpr std::size_t kTerminalJobCacheSize = 20'000;
// Submissions handled concurrently; one more gets a 503 at once.
inline constexpr std::size_t kMaxSubmissionsInFlight = 48;
// Attempts at a transaction whose preconditions fail because of another writer.
inline constexpr int kMaxTransactionAttempts = 6;

// ---- Workers and failure detection ------------------------------------------------------------------------
// Largest relative drift between two steady clocks (PROTOCOL).
inline constexpr double kMaxClockDrift = 0.0005;
// Seconds added before a worker's lease is taken to have expired, for timers and responses in flight.
inline constexpr double kLeaseExpiryMargin = 1.0;
// Margin kept within `cancel_s - lease_s` while the leader's view is stale: as a share of it, and at most in
// seconds.
inline constexpr double kCancellationMarginShare = 0.25;
inline constexpr double kCancellationMarginMax = 5.0;
// Seconds for which a leader that reaches neither the state service nor another controller continues to
// respond to heartbeats. An outage that coincides with refused connections looks the same, and then it is
// worth keeping the workers' leases.
inline constexpr double kIsolatedServiceTimeMax = 6.0;
// The same as a share of the time for which it responds to heartbeats in any outage.
inline constexpr double kIsolatedServiceTimeShare = 0.25;
// Least number of watches that must fit into the maximum staleness: the view must be refreshed several times
// before it is too old.
inline constexpr double kWatchesPerMaxStaleness = 6.0;
// Number of watch timeouts without proof of a fresh view after which the leader starts no task. The view is
// normally up to two watches old.
inline constexpr double kStartStalenessWatches = 4.0;
// Seconds a heartbeat response is held until the records are written that the heartbeat made necessary, so
// that it can already acknowledge tasks and start the next ones. Workers wait 4 s.
inline constexpr double kWriteHoldTimeout = 0.6;
// Time for which the response to a machine without tasks is held until there is work for it: as a share of
// the heartbeat interval, and at most in seconds. Worker commands travel only in responses, and the next
// heartbeat is a whole interval away.
inline constexpr double kIdleHoldShare = 0.8;
inline constexpr double kIdleHoldMax = 2.8;
// Share of the connections that held responses may occupy. The rest is for new requests.
inline constexpr double kHeldResponsesShare = 0.5;
// Share of its estimated run time after which a running task prevents the response to its machine from being
// held. Estimates are often wrong by half, and a worker sends no heartbeat while it waits for a response.
inline constexpr double kHoldProgressThreshold = 0.4;
// Consecutive heartbeats showing that earlier responses had no effect, after which a machine gets no more
// tasks.
inline constexpr std::uint32_t kUndeliveredResponsesThreshold = 2;
// Heartbeat intervals without a heartbeat after which a machine counts as silent. Heartbeats are due every
// `report_s`, plus or minus a quarter.
inline constexpr double kSilentAfterHeartbeats = 2.2;
// Heartbeat intervals within which every machine has sent a heartbeat: one and a quarter, and the time until
// the response arrives.
inline constexpr double kHeartbeatRoundFactor = 1.3;
// Seconds a heartbeat may wait until the main loop applies it, which takes a turn: a longer wait means that
// the term has ended. Until a new leader has read the records, usually in less than a tenth of a second, it
// waits longer. Workers wait 4 s.
inline constexpr double kHeartbeatApplyTimeout = 1.0;
inline constexpr double kHeartbeatLoadTimeout = 2.5;
// Heartbeats queued at the leader; further ones get a 503, which slows down the workers. Twice a fleet of
// 4,000, whose workers all send heartbeats at once after a failover.
inline constexpr std::size_t kHeartbeatQueueLimit = 8192;
// Seconds between the leader's checks of its timers (leases, termination notices). The autoscaler runs every
// kAutoscalerInterval.
inline constexpr double kHousekeepingInterval = 1.0;
// Seconds before a refused background call to the state service is retried.
inline constexpr double kBackgroundRetryInterval = 0.3;
// Seconds a machine may remain silent after its lease has expired before it is deleted.
inline constexpr double kSilentMachineGrace = 25.0;
// Consecutive machine lists that must lack a silent machine before it is deleted. A list may be older than
// the one before.
inline constexpr int kMissedListingsThreshold = 2;
// Seconds, in addition to the lag of the machine list, within which a machine known only from a record must
// appear in the list or send a heartbeat.
inline constexpr double kUnknownMachineGrace = 8.0;
// Time before the end of `cancel_s` at which a machine with tasks of a cancelled job is deleted if its worker
// is not in contact with this leader: enough for a failover (3.5 s, election and loading), the record, the
// call and its retries. At most in seconds, and as a share of `cancel_s`.
inline constexpr double kCancellationReserveMax = 12.0;
inline constexpr double kCancellationReserveShare = 0.3;
// Share of that time from which on it is deleted even if its worker is in contact: responses may not reach
// it, or it may have hung since. The record, the call and a retry still fit.
inline constexpr double kCancellationLastResortShare = 0.5;
// Share of `cancel_s` that is left when a cancelled job with tasks on machines is reported as at risk.
inline constexpr double kCancellationWarningShare = 1.0 / 3;
// Number of different jobs whose tasks must fail on a machine in a row before it counts as faulty.
inline constexpr std::size_t kFaultyMachineJobs = 2;
// Seconds from its last failure until a faulty machine is quarantined (drained), so that the jobs have time
// to fail elsewhere as well.
inline constexpr double kQuarantineDelay = 6.0;
// Completed tasks of a job from which on its other tasks are compared with them. (Their mean is better than
// the owner's estimate, but ordering the queue by it delayed the rest of long jobs, and with it the end of
// the day.)
inline constexpr std::uint32_t kMinRunsForStragglers = 3;
// Multiple of the mean run time of its job's completed tasks at which a task is a straggler, which is a sign
// of a slow machine (tasks of a job differ by a fifth, machines by a tenth; slow machines were seen to be
// four times slower); the multiple at which one straggler suffices; and the consecutive signs that make a
// machine slow.
inline constexpr double kStragglerFactor = 2.0;
inline constexpr double kCertainStragglerFactor = 3.0;
inline constexpr std::uint32_t kStragglerSignsThreshold = 2;
// Failures on this many different machines in a row make the job suspect instead of the machines.
inline constexpr std::size_t kSuspectJobMachines = 3;
// Seconds a job whose task failed waits before it runs again: at first, and at most (doubling in between).
inline constexpr double kErrorBackoffInitial = 2.0;
inline constexpr double kErrorBackoffMax = 60.0;
// Seconds for which a machine that refused a start for lack of free capacity gets no further task.
inline constexpr double kNoCapacityBackoff = 4.0;
// Seconds before the end of a termination notice at which a task that is saving is stopped at the latest.
inline constexpr double kTerminationNoticeMargin = 3.0;

// ---- Task log ---------------------------------------------------------------------------------------------
// Bytes of a value left free in a segment, since the sizes of its entries are estimated roughly, from above.
inline constexpr std::size_t kSegmentMarginBytes = 256;
// Segments being written concurrently. Meanwhile the next one collects changes.
inline constexpr std::size_t kMaxSegmentsInFlight = 3;
// Writes of the leader's rate limit reserved per segment written: its own, that of its later removal, and as
// much again for submissions, completed jobs and scale-out requests. With 3 in total, segments left those too
// little at peak load.
inline constexpr double kWritesPerSegment = 4.5;
// Segments kept before the oldest is copied into the newest: this many, and one more per so many live
// entries.
inline constexpr std::size_t kMinSegmentsKept = 24;
inline constexpr std::size_t kLiveEntriesPerSegment = 200;
// Bytes below which segments are not made smaller when the state service refuses them. Several tasks still
// fit.
inline constexpr std::size_t kMinSegmentBytes = 300;
// Transactions of the leader in flight at once. Further changes wait and are merged meanwhile.
inline constexpr std::size_t kMaxWritesInFlight = 8;

// ---- Job queue --------------------------------------------------------------------------------------------
// Seconds between sorts of the queue; a new job waits at most that long for its position.
inline constexpr double kQueueOrderInterval = 0.1;
// Number of waiting jobs below which the queue is sorted at every change.
inline constexpr std::size_t kSmallQueueSize = 32;
// Seconds a job may wait for its first task before it goes ahead of all others. Users call a day failed if
// the largest jobs have not begun within 4 minutes.
inline constexpr double kStarvationThreshold = 100.0;
// Seconds from submission to deadline of a job for which neither its owner nor an objective states one.
inline constexpr double kDefaultDeadline = 600.0;
// Weight of the newest observation in the correction of a class's estimated run times.
inline constexpr double kEstimateLearningRate = 0.15;
// Bounds of that correction. Estimates are often wrong by half, sometimes by more (PROTOCOL).
inline constexpr double kEstimateCorrectionMin = 0.3;
inline constexpr double kEstimateCorrectionMax = 4.0;

// ---- Placement --------------------------------------------------------------------------------------------
// Tasks placed in one pass, so that a pass over a very large job remains short.
inline constexpr std::size_t kMaxAssignmentsPerPass = 400;
// Heartbeat rounds that must remain until a job's latest start for the job to wait for a better machine.
inline constexpr double kLatencyCriticalRounds = 3;
// Seconds for which a job leaves machines that lack its image to jobs whose images are there.
inline constexpr double kImageLocalityDelay = 10.0;
// Costs that choose between machines, in seconds of a task's time so that they can be compared with an image
// fetch: a whole machine's worth of capacity left free, the use of an empty machine, the use of an on-demand
// instance where a spot instance would do, and a machine on which something failed lately.
inline constexpr double kLeftoverCapacityCost = 8.0;
inline constexpr double kEmptyMachineCost = 4.0;
inline constexpr double kOnDemandCost = 40.0;
inline constexpr double kFailedMachineCost = 30.0;
// Share of an image fetch still to wait for when another task's fetch of the image is already running.
inline constexpr double kSharedImageFetchShare = 0.5;
// Least image fetch rate (GB/s) assumed of a machine, so that it can be divided by.
inline constexpr double kMinImageFetchRate = 0.01;

// ---- Gang scheduling --------------------------------------------------------------------------------------
// Time after which a gang whose tasks have not all been seen on their machines is given up: as a share of
// `gang_wait_s`, and in heartbeat intervals. A start needs one interval, and one that got lost a second.
inline constexpr double kGangAssemblyShare = 0.5;
inline constexpr double kGangAssemblyHeartbeats = 4.0;
// Share of a heartbeat round for which a gang waits until enough machines can be sent responses at the same
// time.
inline constexpr double kGangPlacementWaitShare = 0.5;
// Seconds a gang waits before free capacity is reserved for it; the longest time of a reservation (most tasks
// end within it, and no other job waits 90 s for capacity); and the pause before the next reservation.
inline constexpr double kGangReservationDelay = 6.0;
inline constexpr double kGangReservationTime = 50.0;
inline constexpr double kGangReservationPause = 30.0;
// Seconds that a gang's tasks get to save in addition to what they need, since those told first wait for the
// others.
inline constexpr double kGangCheckpointMargin = 2.0;
// Seconds a worker has to respond to direct commands, and between two attempts to send them.
inline constexpr double kDirectCommandTimeout = 1.5;
inline constexpr double kDirectCommandRetryInterval = 0.5;
// Start objective (s) of a class below which capacity is kept in reserve for its gangs. With a longer one,
// machines can be requested when gangs arrive.
inline constexpr double kQuickStartTarget = 20.0;
// Seconds for which gangs that arrived are remembered as a sign that more will come.
inline constexpr double kGangArrivalMemory = 120.0;
// Seconds a job waits for capacity before it may use what is kept in reserve for gangs.
inline constexpr double kGangReserveWait = 30.0;
// Cost of each sign of a slow machine, in seconds of a task's time. All tasks of a gang run at the pace of
// the slowest machine.
inline constexpr double kStragglerSignCost = 20.0;

// ---- Preemption -------------------------------------------------------------------------------------------
// Seconds a job waits for capacity before it may preempt work of lower priority, unless its deadline is
// nearer.
inline constexpr double kPreemptionDelay = 6.0;
// Seconds of lost work that the preemption of work one priority level higher counts as. More than saving, or
// most run times, cost.
inline constexpr double kPreemptionPriorityCost = 120.0;
// Seconds between passes that look for work to preempt.
inline constexpr double kPreemptionInterval = 2.0;

// ---- Capacity planning and autoscaling --------------------------------------------------------------------
// Seconds between runs of the autoscaler (given by the design).
inline constexpr double kAutoscalerInterval = 5.0;
// Share of its estimated run time after which a task counts as nearly done (given by the design).
inline constexpr double kNearlyDoneProgress = 0.9;
// Multiple of its estimated run time beyond which a task is no longer expected to end soon: otherwise wrong
// estimates make tasks wait for machines that do not become free.
inline constexpr double kOverrunFactor = 1.6;
// Seconds a task waits for machines whose tasks are nearly done before it counts as demand for new ones.
inline constexpr double kScaleOutDelay = 2.0;
// Share of a boot time within which a task must end so that its capacity is free before a new machine would
// be up.
inline constexpr double kFreesSoonBootShare = 0.8;
// Share of a class's start objective after which capacity that becomes free soon no longer prevents a scale
// out: in a large fleet as much work arrives meanwhile.
inline constexpr double kStartPressureShare = 0.33;
// Weight of the newest value in the smoothed load on on-demand instances (per autoscaler run: a memory of
// about 50 s); and the smoothed load in machines, less those that are booting, at which spot instances are
// requested to replace them.
inline constexpr double kOnDemandLoadSmoothing = 0.1;
inline constexpr double kSpotReplacementThreshold = 0.7;
// Share of that load for which spot instances are requested per autoscaler run, so that a refusal or a drop
// of the load shows first.
inline constexpr double kSpotReplacementShare = 0.25;
// Seconds of slack, after a boot, below which a job no longer waits for spot instances to become available;
// and the longest time that any job waits for them.
inline constexpr double kOnDemandSlack = 5.0;
inline constexpr double kSpotWaitTimeout = 60.0;
// Defaults of the operator's flags: least number of machines, machines kept free, and largest number of
// machines.
inline constexpr std::uint32_t kDefaultMinMachines = 0;
inline constexpr std::uint32_t kDefaultFreeMachines = 0;
inline constexpr std::uint32_t kDefaultMaxMachines = 10'000;
// Share of its type's boot time for which an idle spot instance is kept before it is deleted: about the point
// at which keeping it has cost as much as booting another.
inline constexpr double kSpotIdleBootShare = 0.6;
// The same for on-demand instances. They cost about three times as much to keep, but, when a spot instance
// replaces them, they are not booted again.
inline constexpr double kOnDemandIdleBootShare = 0.2;
// Seconds for which an offering (type, zone, kind) is not requested after a refusal for lack of capacity: at
// first, and at most (doubling in between).
inline constexpr double kOfferingBackoffInitial = 10.0;
inline constexpr double kOfferingBackoffMax = 60.0;
// Multiples of the boot time after which a machine that is not up is no longer expected, and is deleted.
inline constexpr double kLateBootFactor = 1.8;
inline constexpr double kLostBootFactor = 3.0;
// Tasks considered when the demand for machines is computed. More would need more machines than one run
// requests.
inline constexpr std::size_t kMaxDemandTasks = 20'000;
// Steps (CPUs, GPUs, GB) to which free capacity is rounded down when machines are counted in groups.
inline constexpr double kCapacityStep = 0.5;
// Share of the cloud's rate limit that scale-out requests may use.
inline constexpr double kScaleOutCallShare = 0.6;

// ---- Logging ----------------------------------------------------------------------------------------------
// Bins of the histogram of submission latencies, and its range in seconds. Each bin is a quarter wider than
// the one before.
inline constexpr unsigned kLatencyBins = 40;
inline constexpr double kLatencyMin = 0.001;
inline constexpr double kLatencyMax = 8.0;
// Lines about single cancellations that a leader logs between two runs of its statistics; the rest is
// counted. A zone that is cut off or a user who cancels everything would otherwise bring thousands at once.
inline constexpr std::size_t kMaxCancellationLines = 50;
// Seconds between log lines about user requests.
inline constexpr double kUserLogInterval = 30.0;

// ---- Settings ---------------------------------------------------------------------------------------------
// Bytes of a settings file; a real one has a few KiB.
inline constexpr std::size_t kMaxSettingsBytes = 4ull * 1024 * 1024;

}  // namespace dockdyke::constants
