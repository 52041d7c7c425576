#ifndef BASILSPREAD_CORE_FLEET_CALL_H_
#define BASILSPREAD_CORE_FLEET_CALL_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/resources.h"
#include "basilspread/core/submission.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// Time since the worker started, on the worker's clock.
using WorkerTime = Duration;

/// Time-out of a StartRun or StopRun. A late answer is not needed, since a poll
/// tells the result.
inline constexpr Duration kOrderTimeout = std::chrono::milliseconds(250);
/// Time-out of a poll, in addition to its wait: some fifty times the round trip
/// to a healthy worker.
inline constexpr Duration kPollTimeout = std::chrono::milliseconds(300);

/// A worker's own entry in the store.
struct WorkerEntry {
  HostName name;
  PoolName pool;
  std::string address;
  ZoneName zone;
  bool draining = false;
  Resources capacity;
  std::vector<std::string> labels;
  RackName rack;
  /// Differs between restarts of a worker under one name.
  std::uint64_t incarnation = 0;
};

/// Polls a worker: raises its fence, renews leases, and lists what runs and
/// what has ended; reports WorkerPolled.
struct PollWorker {
  HostName worker;
  std::string address;
  std::uint64_t fence = 0;
  /// Ends up to this number are stored, and the worker may discard them. Zero
  /// acknowledges none.
  std::uint64_t acknowledged = 0;
  /// New end of the leases of all runs there; zero: leases stay as they are.
  WorkerTime lease_until{};
  /// Long poll: the worker may delay its answer by this until a run ends.
  Duration wait{};
  /// Identifies a call that this process makes for another one; see
  /// RelayOrders. Zero: a call of its own.
  std::uint64_t number = 0;
};

/// Result of a call to a worker.
enum class OrderResult {
  kDone,
  /// The worker has seen a higher fence: another process places there.
  kFenced,
  /// Its attempt is not higher than one that was stopped or ended there.
  kStale,
  /// It arrived after the end of its lease.
  kLate,
  kNoRoom,
  kBadTicket,
  /// Another incarnation of the worker, or another worker, answered.
  kOtherIncarnation,
  /// The worker refused it for another reason.
  kRefused,
  /// It was surely not sent in time, which is no fault of the worker.
  kNotSent,
  /// The outcome is unknown: it may have been executed, or may still be.
  kUnknown,
};

/// Stable name for logs, for example "fenced".
const char* NameOf(OrderResult result);

struct ListedRun {
  RunName name;
  std::string checkpoint;
  std::uint32_t percent = 0;
};

enum class RunEnd {
  kSucceeded,
  kFailed,
  kStopped,
  kLeaseLapsed,
  /// Another member of its gang ended.
  kGangBroken,
  /// The other members of its gang did not start in time.
  kGangAlone,
};

/// Stable name for logs, for example "lease-lapsed".
const char* NameOf(RunEnd end);

struct ListedEnd {
  /// Counts the ends of one incarnation of the worker, from 1.
  std::uint64_t number = 0;
  RunName name;
  RunEnd end = RunEnd::kFailed;
  std::string checkpoint;
};

struct WorkerPolled {
  HostName worker;
  std::uint64_t fence = 0;
  OrderResult result = OrderResult::kUnknown;
  TimePoint sent_at;
  /// The members from here to `may_have_more_ends` are set with kDone.
  WorkerTime clock{};
  /// Zero when the worker does not state it.
  std::uint64_t incarnation = 0;
  std::vector<ListedRun> running;
  /// Ends that are not acknowledged, in order of their numbers.
  std::vector<ListedEnd> ended;
  /// The answer reached the limit on listed ends; there may be later ones.
  bool may_have_more_ends = false;
  /// PollWorker::number.
  std::uint64_t number = 0;
};

/// Starts a run; reports RunOrdered.
struct StartRun {
  HostName worker;
  std::string address;
  std::uint64_t fence = 0;
  RunName name;
  SubmissionSpecPtr spec;
  WorkerTime lease_until{};
  std::string checkpoint;
  /// Proof of the advisor's permission; empty where no advice is needed.
  std::string ticket;
  /// As in PollWorker.
  std::uint64_t number = 0;
};

/// Stops a run, which the worker then refuses to start; reports RunOrdered.
struct StopRun {
  HostName worker;
  std::string address;
  std::uint64_t fence = 0;
  RunName name;
  /// As in PollWorker.
  std::uint64_t number = 0;
};

/// The result of a StartRun or StopRun.
struct RunOrdered {
  HostName worker;
  std::uint64_t fence = 0;
  RunName name;
  bool is_stop = false;
  OrderResult result = OrderResult::kUnknown;
  /// StartRun::number or StopRun::number.
  std::uint64_t number = 0;
  /// The worker's clock as its answer states it; zero without such an answer.
  WorkerTime clock{};
};

/// A worker that may run a step, with the ticket that proves it.
struct AdviceTicket {
  HostName worker;
  std::string ticket;
};

/// Asks the advisor which workers may run a step; reports AdviceGiven.
struct AskAdvice {
  std::uint64_t number = 0;
  SubmissionId submission;
  std::uint32_t step = 0;
  std::vector<HostName> workers;
};

struct AdviceGiven {
  std::uint64_t number = 0;
  bool ok = false;
  std::vector<AdviceTicket> tickets;
  /// How long the tickets are valid.
  Duration validity{};
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_FLEET_CALL_H_
