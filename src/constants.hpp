// Constants of the program, in sections that follow the modules.
//
// The suffix of a name states the unit: ...Seconds, ...Ms (milliseconds), ...Bytes, ...Fraction (0 to 1),
// ...Factor (multiplier). "(PROTOCOL)" marks limits that the protocol sets.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace dockdyke::constants {

using namespace std::chrono_literals;

// ---- Net: event loop --------------------------------------------------------------------------------------
// Upper bound of the time that an idle event loop waits in the kernel. Timers wake it up earlier.
inline constexpr auto kMaxPollWait = 1s;
// Events taken from the kernel in one call. Bounded so that timers run on time during a burst.
inline constexpr std::size_t kMaxEventsPerIteration = 128;

// ---- Net: HTTP --------------------------------------------------------------------------------------------
// Bytes of the request line and headers. Those of all components are below 1 KiB.
inline constexpr std::size_t kMaxHeaderBytes = 8ull * 1024;
// Bytes of a request body (PROTOCOL).
inline constexpr std::size_t kMaxRequestBodyBytes = 64ull * 1024;
// Bytes of a response body from the state service or the cloud. The protocol sets no limit for watches; this
// one bounds memory.
inline constexpr std::size_t kMaxResponseBodyBytes = 8ull * 1024 * 1024;
// Bytes read from a socket in one call.
inline constexpr std::size_t kReadBufferBytes = 16ull * 1024;
// Connections waiting to be accepted. All workers of a large fleet reconnect at once after a failover.
inline constexpr int kListenBacklog = 4096;
// Idle time after which the server closes a connection. Longer than the interval of polls and heartbeats.
inline constexpr auto kIdleConnectionTimeout = 75s;
// Time from the first byte of a request until it must be complete.
inline constexpr auto kRequestReadTimeout = 10s;
// Time within which the client must have read a response.
inline constexpr auto kResponseWriteTimeout = 10s;
// File descriptors reserved for the program's own connections (state service, cloud, peers, listening
// sockets) when the limit of accepted connections is derived from that of file descriptors.
inline constexpr std::size_t kReservedSockets = 64;
// Fraction of a server's connection limit above which connections are closed after their response. Otherwise
// the workers' keep-alive connections would occupy all of them.
inline constexpr double kKeepAliveConnectionFraction = 0.75;
// Connections accepted in one iteration of the event loop. Further ones wait in the backlog.
inline constexpr int kMaxAcceptsPerIteration = 32;
// Idle client connections kept per destination.
inline constexpr std::size_t kMaxIdleConnectionsPerHost = 8;
// Idle time after which a client connection is not reused.
inline constexpr auto kIdleClientConnectionTimeout = 30s;

// ---- Wire: bounds of messages -----------------------------------------------------------------------------
// Nesting levels of a MessagePack body.
inline constexpr int kMaxNestingDepth = 12;
// Tasks of a job (PROTOCOL).
inline constexpr std::uint64_t kMaxTasksPerJob = 100'000;
// Bytes of a name (class, team, image, machine type). A job's record must fit into a value of the state
// service.
inline constexpr std::size_t kMaxNameBytes = 200;
// Largest amount (CPUs, GB, seconds) accepted from a user. Larger than any machine, and small enough for
// exact arithmetic.
inline constexpr double kMaxAmount = 1e9;
// Worker commands in one heartbeat response, so that it stays far below 64 KiB.
inline constexpr std::size_t kMaxCommandsPerResponse = 250;

// ---- Store: state service ---------------------------------------------------------------------------------
// Lowest value size limit (KiB) of a state service that the program supports.
inline constexpr double kMinValueKib = 1;
// Lowest limit of changes per transaction that the program supports. A cancellation makes three at once.
inline constexpr double kMinTransactionChanges = 3;
// Writes refused with status 429 within the window after which the announced lower write limit is taken to be
// in force. Single refusals also occur during a failover, when two controllers write.
inline constexpr std::size_t kRateLimitRefusalThreshold = 4;
inline constexpr double kRateLimitRefusalWindowSeconds = 5.0;
// Timeout of one call to the state service. Its responses usually take some ms and occasionally a few
// hundred.
inline constexpr double kStateCallTimeoutSeconds = 1.5;
// Time that the state service may hold a leader's watch. Short, since only a completed watch proves that the
// leader's local view is fresh.
inline constexpr double kLeaderWatchTimeoutSeconds = 1.0;
// Preconditions allowed in a transaction per change allowed in it (PROTOCOL).
inline constexpr std::size_t kPreconditionsPerChange = 4;
// Items requested per page of a listing.
inline constexpr std::uint64_t kListPageSize = 500;
// Fraction of the state service's request and write rate limits that the leader uses.
inline constexpr double kLeaderRateFraction = 0.65;
// Fraction of the request rate limit that the followers divide among themselves. Together with the leader's
// fraction it exceeds 1: followers use it mainly when the leader does not respond, and a 429 is harmless.
inline constexpr double kFollowerRequestRateFraction = 0.6;
// Fraction of the write rate limit that the followers divide among themselves. Together with
// kLeaderRateFraction it leaves a margin for a failover, when two controllers may act as leader.
inline constexpr double kFollowerWriteRateFraction = 0.25;
// Time that a request may wait for the rate limiter before it fails.
inline constexpr double kRateLimitWaitTimeoutSeconds = 2.0;
// Time from now to the deadline of a background call, until which it may wait for the rate limiter.
inline constexpr double kBackgroundCallTimeoutSeconds = 10.0;
// Calls waiting for the rate limiter from which on new submissions are refused at once.
inline constexpr std::size_t kRateLimiterQueueLimit = 64;

// ---- Election ---------------------------------------------------------------------------------------------
// Time to live of the leader's lease. A crashed leader is replaced after it; a busy leader must not lose it.
inline constexpr std::uint64_t kLeaderLeaseTtlMs = 3500;
// Time between renewals of the lease. Several may fail before the lease expires.
inline constexpr double kLeaseRenewalIntervalSeconds = 0.8;
// Timeout of one renewal.
inline constexpr double kLeaseRenewalTimeoutSeconds = 1.0;
// Time that the state service may hold a follower's watch of the leader key. Its response also shows that the
// state service is reachable.
inline constexpr double kFollowerWatchTimeoutSeconds = 5.0;
// Time before a follower retries a failed election call.
inline constexpr double kElectionRetryIntervalSeconds = 0.4;

// ---- Cloud ------------------------------------------------------------------------------------------------
// Timeout of one call to the cloud.
inline constexpr double kCloudCallTimeoutSeconds = 4.0;
// Fraction of the cloud's rate limit that the leader uses. Followers only request the machine types.
inline constexpr double kCloudRateFraction = 0.7;
// Machines per page of the machine list (PROTOCOL).
inline constexpr std::uint64_t kMachineListPageSize = 500;
// Machines in one scale-out request (PROTOCOL).
inline constexpr std::size_t kMaxMachinesPerScaleOut = 50;
// Machines in one deletion request (PROTOCOL).
inline constexpr std::size_t kMaxMachinesPerDeletion = 100;
// Time between requests for the machine list, from which unknown machines are adopted.
inline constexpr double kMachineListIntervalSeconds = 5.0;
// Time between requests for the machine types, which contain the current prices.
inline constexpr double kMachineTypesIntervalSeconds = 60.0;
// Time before a failed request for the machine types is retried.
inline constexpr double kMachineTypesRetryIntervalSeconds = 2.0;
// Time before a scale-out or deletion request without response is retried.
inline constexpr double kCloudRetryIntervalSeconds = 1.5;
// Time for which the ids of deleted machines and ended jobs are kept, since machine lists and messages may be
// outdated.
inline constexpr double kTombstoneTtlSeconds = 600.0;

// ---- Peers: forwarding to the leader ----------------------------------------------------------------------
// Time that a follower waits for the leader's response to a forwarded request before it handles the request
// itself. With a shorter one, followers would get more submissions than their write rates allow.
inline constexpr double kForwardTimeoutSeconds = 0.25;
// The same while the follower's own write rate is used up, when even a slow leader is faster.
inline constexpr double kSaturatedForwardTimeoutSeconds = 1.0;
// Write backlog, as the time that it takes at the allowed write rate, above which a controller refuses
// submissions.
inline constexpr double kMaxSubmissionBacklogSeconds = 0.8;
// Write backlog above which a follower forwards submissions even to a slow leader.
inline constexpr double kForwardBacklogThresholdSeconds = 0.1;
// Consecutive forwarded requests without a response in time after which the leader counts as slow.
inline constexpr std::uint32_t kSlowLeaderThreshold = 2;
// Time for which a follower then handles requests itself, unless its own write backlog is too long.
inline constexpr double kSlowLeaderBackoffSeconds = 3.0;
// Timeout of a batch of status requests at the leader, which reads the state service.
inline constexpr double kLeaderPollTimeoutSeconds = 0.7;

// ---- Peers: status and leadership transfer ----------------------------------------------------------------
// Time between status requests to the peers while the state service does not respond.
inline constexpr double kPeerStatusIntervalSeconds = 0.7;
// Timeout of one status request to a peer.
inline constexpr double kPeerCallTimeoutSeconds = 0.6;
// Time without a response from the state service after which it counts as unreachable.
inline constexpr double kStateUnreachableAfterSeconds = 1.2;
// Window in which a controller counts heartbeats for the status that its peers request.
inline constexpr std::size_t kHeartbeatCountWindowSeconds = 4;
// Shortest time without any heartbeat after which a leader asks its peers whether they receive any. Workers
// wait 4 s for a response.
inline constexpr double kMinHeartbeatGapSeconds = 2.5;
// Number of heartbeats that should have arrived since the last one for the gap to be significant. With few
// machines, all of them may be between two heartbeats.
inline constexpr double kMissedHeartbeatsThreshold = 20;
// Heartbeats that peers must have received recently, as a fraction of the leader's machines, for the leader
// to transfer leadership. Newly booted machines send heartbeats to any controller.
inline constexpr double kMinPeerHeartbeatsFraction = 0.1;
// Fraction of the workers' lease after which a leader that neither receives heartbeats nor reaches a peer
// transfers leadership.
inline constexpr double kIsolatedLeaderLeaseFraction = 0.5;
// Time for which a leader that has transferred leadership does not campaign. Longer than its lease.
inline constexpr double kCampaignPauseAfterTransferSeconds = 6.0;

// ---- User requests ----------------------------------------------------------------------------------------
// Time for handling a status request. Users wait 2 s for the response.
inline constexpr double kPollTimeoutSeconds = 1.6;
// Time for handling a submission. Users wait 5 s for the response.
inline constexpr double kSubmissionTimeoutSeconds = 3.5;
// Value of the Retry-After header of a refusal. Short, since users retry for at most 60 s.
inline constexpr int kRetryAfterSeconds = 1;
// Time between batch reads of the state service, each of which serves all status requests received since the
// previous one.
inline constexpr double kPollBatchIntervalSeconds = 0.08;
// Queued status requests, at the leader including those from its peers. Further ones get a 503 at once. Users
// of a fleet of 4,000 machines poll some thousand jobs every few seconds.
inline constexpr std::size_t kPollQueueLimit = 4096;
// Final job states cached per controller, so that later status requests need no read of the state service.
inline constexpr std::size_t kTerminalJobCacheSize = 20'000;
// Submissions handled concurrently. Further ones get a 503 at once.
inline constexpr std::size_t kMaxSubmissionsInFlight = 48;
// Attempts at a transaction whose preconditions fail because of a concurrent write.
inline constexpr int kMaxTransactionAttempts = 6;

// ---- Workers and failure detection ------------------------------------------------------------------------
// Largest relative drift between two steady clocks (PROTOCOL).
inline constexpr double kMaxClockDriftFraction = 0.0005;
// Time added before a worker's lease counts as expired, for timers and responses in flight.
inline constexpr double kLeaseExpiryMarginSeconds = 1.0;
// Margin of the maximum staleness of the leader's local view, which is the cancellation timeout minus the
// worker lease minus this margin: as a fraction of that difference, and its upper bound.
inline constexpr double kCancellationMarginFraction = 0.25;
inline constexpr double kMaxCancellationMarginSeconds = 5.0;
// Longest time for which a leader that reaches neither the state service nor a peer responds to heartbeats. A
// short outage looks the same, and the workers' leases should survive it.
inline constexpr double kMaxIsolatedServiceTimeSeconds = 6.0;
// The same as a fraction of the maximum staleness of the local view.
inline constexpr double kIsolatedServiceTimeFraction = 0.25;
// Number of watches that must fit into the maximum staleness, so that one failed watch does not make the
// local view too stale.
inline constexpr double kMinWatchesPerMaxStaleness = 6.0;
// Staleness of the local view, as a multiple of the watch timeout, from which on the leader starts no tasks.
// It normally reaches two watch timeouts.
inline constexpr double kMaxStartStalenessFactor = 4.0;
// Time for which a heartbeat response is held until the writes that the heartbeat caused are confirmed, so
// that the response can acknowledge tasks and start the next ones. Workers wait 4 s.
inline constexpr double kWriteHoldTimeoutSeconds = 0.6;
// Time for which the response to an idle machine is held until there is work for it: as a fraction of the
// heartbeat interval, and its upper bound. Otherwise new work would wait for the next heartbeat.
inline constexpr double kIdleHoldFraction = 0.8;
inline constexpr double kMaxIdleHoldSeconds = 2.8;
// Fraction of the connections that held responses may occupy.
inline constexpr double kHeldResponseConnectionFraction = 0.5;
// Fraction of its estimated run time above which a running task prevents the response to its machine from
// being held: a worker sends no heartbeat while it waits for a response, and the task may end early.
inline constexpr double kMaxHoldProgressFraction = 0.4;
// Consecutive heartbeats without effect of the previous responses after which a machine gets no more tasks.
inline constexpr std::uint32_t kUndeliveredResponsesThreshold = 2;
// Multiple of the heartbeat interval without a heartbeat after which a machine counts as unresponsive.
// Intervals vary by a quarter.
inline constexpr double kUnresponsiveIntervalFactor = 2.2;
// Multiple of the heartbeat interval within which every machine has sent a heartbeat: the longest interval,
// and the time until the response arrives.
inline constexpr double kHeartbeatRoundFactor = 1.3;
// Time that a heartbeat waits to be applied by the event loop, which normally takes one iteration. A longer
// wait means that the term has ended.
inline constexpr double kHeartbeatApplyTimeoutSeconds = 1.0;
// The same while a new leader is still loading its records, which usually takes less than a tenth of a
// second. Workers wait 4 s.
inline constexpr double kHeartbeatLoadTimeoutSeconds = 2.5;
// Heartbeats queued at the leader. Further ones get a 503. Above the size of a large fleet, whose workers all
// send heartbeats at once after a failover.
inline constexpr std::size_t kHeartbeatQueueLimit = 8192;
// Time between the leader's checks of its timers (leases, termination notices).
inline constexpr double kHousekeepingIntervalSeconds = 1.0;
// Time before a refused background call to the state service is retried.
inline constexpr double kBackgroundRetryIntervalSeconds = 0.3;
// Time for which a machine may remain unresponsive, in addition to its lease, before it is deleted.
inline constexpr double kUnresponsiveMachineGraceSeconds = 25.0;
// Consecutive machine lists that must lack an unresponsive machine before it is deleted. Lists may arrive out
// of order.
inline constexpr int kMissedListingsThreshold = 2;
// Time, in addition to the lag of the machine list, within which a machine known only from a record must be
// listed or send a heartbeat.
inline constexpr double kUnknownMachineGraceSeconds = 8.0;
// Time before the cancellation timeout at which a machine with tasks of a cancelled job is deleted if its
// worker has not acknowledged this leader's token or is unresponsive: its upper bound, and as a fraction of
// the timeout. Covers a failover, storing the deletion, the cloud call and its retries.
inline constexpr double kMaxCancellationReserveSeconds = 12.0;
inline constexpr double kCancellationReserveFraction = 0.3;
// Fraction of that reserve from which on the machine is deleted even if responsive: responses may not reach
// its worker, or it may have hung since.
// Covers storing the deletion, the cloud call and one retry.
inline constexpr double kUnconditionalDeletionReserveFraction = 0.5;
// Fraction of the cancellation timeout that is left when a cancelled job with tasks on machines is reported
// as at risk.
inline constexpr double kCancellationWarningFraction = 1.0 / 3;
// Consecutive different jobs with a failed task on a machine from which on it counts as faulty.
inline constexpr std::size_t kFaultyMachineJobThreshold = 2;
// Time from its last failure until a faulty machine is quarantined (drained). Gives the jobs time to fail
// elsewhere, which would clear the machine.
inline constexpr double kQuarantineDelaySeconds = 6.0;
// Completed tasks of a job from which on its other tasks are compared with their mean run time.
inline constexpr std::uint32_t kMinRunsForStragglers = 3;
// Multiple of the mean run time of its job's completed tasks above which a task is a straggler, which is a
// sign of a slow machine. Tasks of a job differ by a fifth, and machines by a tenth.
inline constexpr double kStragglerFactor = 2.0;
// The multiple above which a single straggler is sufficient.
inline constexpr double kCertainStragglerFactor = 3.0;
// Signs from which on a machine counts as slow.
inline constexpr std::uint32_t kStragglerSignsThreshold = 2;
// Consecutive different machines on which a job must fail for the failures to be attributed to the job.
inline constexpr std::size_t kSuspectJobMachineThreshold = 3;
// Time that a job waits after a failure: the base of the backoff, and its upper bound.
inline constexpr double kInitialErrorBackoffSeconds = 2.0;
inline constexpr double kMaxErrorBackoffSeconds = 60.0;
// Time for which a machine that refused a start for lack of free capacity gets no further tasks.
inline constexpr double kNoCapacityBackoffSeconds = 4.0;
// Time kept free between the end of a checkpoint and the reclamation of its machine.
inline constexpr double kTerminationNoticeMarginSeconds = 3.0;

// ---- Task log ---------------------------------------------------------------------------------------------
// Bytes of a value left free in a segment, since the sizes of its entries are estimates.
inline constexpr std::size_t kSegmentMarginBytes = 256;
// Segments written concurrently. Further changes are collected in the next one.
inline constexpr std::size_t kMaxSegmentsInFlight = 3;
// Writes of the leader's rate limit reserved per segment: its own, its later deletion, and the rest for
// submissions, completed jobs and scale-out requests, which would otherwise get too little at peak load.
inline constexpr double kWritesPerSegment = 4.5;
// Segments kept before the oldest are compacted: kMinSegmentsKept, and one more per kLiveEntriesPerSegment
// live entries.
inline constexpr std::size_t kMinSegmentsKept = 24;
inline constexpr std::size_t kLiveEntriesPerSegment = 200;
// Size below which segments are not reduced further when the state service refuses them as too large. Several
// tasks still fit.
inline constexpr std::size_t kMinSegmentBytes = 300;
// Transactions of the leader in flight. Further changes are collected and merged.
inline constexpr std::size_t kMaxWritesInFlight = 8;

// ---- Job queue --------------------------------------------------------------------------------------------
// Time between sorts of a long queue, and so the longest time that a new job waits for its position.
inline constexpr double kQueueSortIntervalSeconds = 0.1;
// Number of waiting jobs below which the queue is sorted at every change.
inline constexpr std::size_t kSmallQueueSize = 32;
// Time that a job waits for its first task before it is starving and precedes all others in queue order. Even
// the largest jobs must begin within 4 minutes.
inline constexpr double kStarvationThresholdSeconds = 100.0;
// Time from submission to deadline of a job for which neither its user nor an objective states one.
inline constexpr double kDefaultDeadlineSeconds = 600.0;
// Weight of the newest observation in the correction of a class's estimated run times.
inline constexpr double kEstimateLearningRate = 0.15;
// Bounds of that correction. Estimates are often wrong by half, sometimes by more (PROTOCOL).
inline constexpr double kMinEstimateCorrectionFactor = 0.3;
inline constexpr double kMaxEstimateCorrectionFactor = 4.0;

// ---- Placement --------------------------------------------------------------------------------------------
// Tasks assigned in one pass. Bounds the duration of a pass over a very large job.
inline constexpr std::size_t kMaxAssignmentsPerPass = 400;
// Tasks that a machine may hold, including exited ones that its heartbeats still list. A heartbeat takes up
// to 100 bytes per task and must stay below kMaxRequestBodyBytes.
inline constexpr std::size_t kMaxTasksPerMachine = 512;
// Those of them that small tasks may take. Other tasks always find a slot, since their requests limit their
// number.
inline constexpr std::size_t kSmallTaskSlots = 256;
// Fraction of a machine's resources up to which a task is small. At most 63 larger ones fit per resource.
inline constexpr double kSmallTaskFraction = 1.0 / 64;
// Slack before a job's latest start, as a multiple of the heartbeat round, below which the job is latency
// critical and does not wait for a better machine.
inline constexpr double kLatencyCriticalRoundFactor = 3;
// Time for which a job does not use machines that lack its image, in favour of jobs whose images are cached.
inline constexpr double kImageLocalityDelaySeconds = 10.0;
// Cost of leaving a whole machine's capacity free. Placement costs are expressed as equivalent task run time,
// so that they can be added to the time of an image fetch.
inline constexpr double kLeftoverCapacityCostSeconds = 8.0;
// Cost of using an empty machine.
inline constexpr double kEmptyMachineCostSeconds = 4.0;
// Cost of using an on-demand instance for a job that allows spot instances.
inline constexpr double kOnDemandCostSeconds = 40.0;
// Cost of using a machine on which a task failed recently.
inline constexpr double kFailedMachineCostSeconds = 30.0;
// Fraction of the fetch time that remains when another task is already fetching the image.
inline constexpr double kSharedImageFetchFraction = 0.5;
// Lowest image fetch rate (GB/s) assumed for a machine. Prevents a division by zero.
inline constexpr double kMinImageFetchGbPerSecond = 0.01;

// ---- Gang scheduling --------------------------------------------------------------------------------------
// Time after which a gang attempt is aborted unless all its tasks have been observed: as a fraction of the
// gang assembly timeout, and as a multiple of the heartbeat interval. Leaves time for one lost response.
inline constexpr double kGangAssemblyTimeoutFraction = 0.5;
inline constexpr double kGangAssemblyIntervalFactor = 4.0;
// Fraction of a heartbeat round for which a waiting gang is placed only on machines that await a response.
// After that it is placed on any machines.
inline constexpr double kGangPlacementWaitFraction = 0.5;
// Time that a gang waits before capacity is reserved for it.
inline constexpr double kGangReservationDelaySeconds = 6.0;
// Duration of a gang reservation. Most running tasks end within it, and no other job waits for 90 s.
inline constexpr double kGangReservationSeconds = 50.0;
// Pause between the end of a gang reservation and the next one.
inline constexpr double kGangReservationPauseSeconds = 30.0;
// Time added to the checkpoint duration of a gang's tasks, since they receive the command at different times.
inline constexpr double kGangCheckpointMarginSeconds = 2.0;
// Timeout of a direct command to a worker.
inline constexpr double kDirectCommandTimeoutSeconds = 1.5;
// Time before a direct command is retried.
inline constexpr double kDirectCommandRetryIntervalSeconds = 0.5;
// Start objective below which capacity is held for a class's gangs. With a longer one, scaling out on arrival
// is fast enough.
inline constexpr double kQuickStartThresholdSeconds = 20.0;
// Time for which an arrived gang counts as a sign of further gangs of its class.
inline constexpr double kGangArrivalWindowSeconds = 120.0;
// Time that other jobs wait for capacity before they may use the gang capacity reserve.
inline constexpr double kGangReserveWaitSeconds = 30.0;
// Cost of each straggler sign of a machine, as equivalent start delay. A gang runs at the pace of its slowest
// machine.
inline constexpr double kStragglerSignCostSeconds = 20.0;

// ---- Preemption -------------------------------------------------------------------------------------------
// Time that a job waits for capacity before it may preempt other work.
inline constexpr double kPreemptionDelaySeconds = 6.0;
// Cost of preempting work one priority level higher, as equivalent lost run time. Exceeds the run time lost
// by most preemptions.
inline constexpr double kPreemptionPriorityCostSeconds = 120.0;
// Time between passes that select work to preempt.
inline constexpr double kPreemptionIntervalSeconds = 2.0;

// ---- Capacity planning and autoscaling --------------------------------------------------------------------
// Time between runs of the autoscaler, given by the design.
inline constexpr double kAutoscalerIntervalSeconds = 5.0;
// Fraction of its estimated run time from which on a task is nearly done, given by the design; also the
// fraction of a machine's capacity in use from which on the machine counts as saturated.
inline constexpr double kNearlyDoneFraction = 0.9;
// Multiple of its estimated run time above which a task is no longer expected to end soon, since the estimate
// is evidently wrong. Otherwise tasks would wait for machines that do not become free.
inline constexpr double kOverrunFactor = 1.6;
// Time that a task waits for capacity that becomes free soon before it counts as demand for new machines.
inline constexpr double kScaleOutDelaySeconds = 2.0;
// Fraction of the shortest boot time within which a task must end for its capacity to be free before a new
// machine would be up.
inline constexpr double kFreesSoonBootFraction = 0.8;
// Fraction of a class's start objective after which only nearly done tasks count as capacity that becomes
// free soon: in a large fleet as much work arrives in the meantime.
inline constexpr double kStartAtRiskFraction = 0.33;
// Smoothing factor of the moving average of the load on on-demand instances, per autoscaler run: a memory of
// about 50 s.
inline constexpr double kOnDemandLoadSmoothingFactor = 0.1;
// Smoothed load in machines, less the free spot instances, from which on spot instances are requested as a
// replacement.
inline constexpr double kSpotReplacementThreshold = 0.7;
// Fraction of that load for which spot instances are requested per autoscaler run. Requests are spread over
// several runs, since they may be refused and the load may drop.
inline constexpr double kSpotReplacementFraction = 0.25;
// Slack after a boot below which a job no longer waits for spot instances to become available.
inline constexpr double kOnDemandSlackSeconds = 5.0;
// Longest time that any job waits for spot instances.
inline constexpr double kSpotWaitTimeoutSeconds = 60.0;
// Defaults of the operator's flags: minimum fleet size, machines kept free, and maximum fleet size.
inline constexpr std::uint32_t kDefaultMinMachines = 0;
inline constexpr std::uint32_t kDefaultFreeMachines = 0;
inline constexpr std::uint32_t kDefaultMaxMachines = 10'000;
// Fraction of its type's boot time for which an idle spot instance is kept. Keeping it longer costs more than
// booting another one.
inline constexpr double kSpotIdleBootFraction = 0.6;
// The same for on-demand instances. Keeping them costs about three times as much, and one that a spot
// instance replaces is not booted again.
inline constexpr double kOnDemandIdleBootFraction = 0.2;
// Time for which an offering (type, zone, spot or on-demand) is not requested after a refusal for lack of
// capacity. Doubles with each further refusal up to the upper bound.
inline constexpr double kInitialOfferingBackoffSeconds = 10.0;
inline constexpr double kMaxOfferingBackoffSeconds = 60.0;
// Multiple of the boot time after which a booting machine no longer counts as expected capacity.
inline constexpr double kLateBootFactor = 1.8;
// Multiple of the boot time after which a booting machine is deleted.
inline constexpr double kBootTimeoutFactor = 3.0;
// Waiting tasks considered in a demand computation. More would need more machines than one run requests.
inline constexpr std::size_t kMaxDemandTasks = 20'000;
// Unit (CPUs, GPUs, GB) to which free capacity is rounded down when machines are grouped by it.
inline constexpr double kCapacityStep = 0.5;
// The same for the number of tasks that machines may still be assigned.
inline constexpr std::ptrdiff_t kTaskSlotStep = 64;
// Fraction of the cloud's rate limit that scale-out requests may use.
inline constexpr double kScaleOutCallRateFraction = 0.6;

// ---- Logging ----------------------------------------------------------------------------------------------
// Bins of the logarithmic histogram of submission latencies. Each is a quarter wider than the one before.
inline constexpr unsigned kLatencyBinCount = 40;
// Range of the histogram.
inline constexpr double kMinLatencySeconds = 0.001;
inline constexpr double kMaxLatencySeconds = 8.0;
// Log lines about single cancellations between two summaries. Further ones are only counted: a zone that is
// cut off, or a user who cancels everything, would otherwise cause thousands at once.
inline constexpr std::size_t kMaxCancellationLogLines = 50;
// Time between log lines about user requests.
inline constexpr double kUserLogIntervalSeconds = 30.0;

// ---- Settings ---------------------------------------------------------------------------------------------
// Bytes of a settings file. A real one has a few KiB.
inline constexpr std::size_t kMaxSettingsBytes = 4ull * 1024 * 1024;

}  // namespace dockdyke::constants
