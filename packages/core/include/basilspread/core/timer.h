#ifndef BASILSPREAD_CORE_TIMER_H_
#define BASILSPREAD_CORE_TIMER_H_

namespace basilspread {

/// The timers of a process; each has at most one pending expiry.
enum class TimerKind {
  kHeartbeat,
  kMembership,
  kOwnership,
  kHostList,
  kConfiguration,
  kLogRead,
  kLogAppend,
  kRequests,
  kJobs,
  kStop,
  kLeadership,
  kCalls,
  kFleet,
  kPlacement,
  kWorkLog,
  kTablesRetry,
  kFleetRetry,
  kFleetFollow,
  kLoadRetry,
  kRelayAgent,
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_TIMER_H_
