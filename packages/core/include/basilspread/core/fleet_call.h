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

/// Time since a worker's own start, on its own clock.
using WorkerTime = Duration;

/// An order is given up after this: a look tells what became of it, so that it
/// need not be waited for.
inline constexpr Duration kOrderTimeout = std::chrono::milliseconds(250);
/// A look is given up this long after the end of its wait: some fifty times
/// what its way there and back takes with a sound worker.
inline constexpr Duration kPollTimeout = std::chrono::milliseconds(300);

/// What a worker says of itself in the store.
struct WorkerEntry {
  HostName name;
  PoolName pool;
  std::string address;
  ZoneName zone;
  bool draining = false;
  Resources capacity;
  std::vector<std::string> labels;
  RackName rack;
  /// Tells the lives of a worker under one name apart.
  std::uint64_t incarnation = 0;
};

/// Lists what runs and what has ended, renews leases, and raises the fence;
/// reports WorkerPolled.
struct PollWorker {
  HostName worker;
  std::string address;
  std::uint64_t fence = 0;
  /// Ends up to this number are stored and may be forgotten.
  std::uint64_t acknowledged = 0;
  /// Everything that runs there ends then; zero: leases stay as they are.
  WorkerTime lease_until{};
  /// The answer may wait this long for an end.
  Duration wait{};
  /// Of a call that another process has this one make; see HandOrders. Zero:
  /// its own.
  std::uint64_t number = 0;
};

enum class OrderResult {
  kDone,
  /// A higher fence stands: another process places there.
  kFenced,
  /// The run is not higher than one that was stopped or ended there.
  kStale,
  /// It arrived after its lease.
  kLate,
  kNoRoom,
  kBadTicket,
  /// Another worker life answered at the address.
  kOtherIncarnation,
  /// The worker did nothing for another reason.
  kRefused,
  /// The order surely did not leave in time, which is no fault of the worker.
  kNotSent,
  /// The request may have been carried out, or may be later.
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
  /// The other members of its gang did not come in time.
  kGangAlone,
};

/// Stable name for logs, for example "lease-lapsed".
const char* NameOf(RunEnd end);

struct ListedEnd {
  /// Counts a worker's ends, from 1 in each of its lives.
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
  /// The rest is set with kDone.
  WorkerTime clock{};
  /// Zero when the worker does not say.
  std::uint64_t incarnation = 0;
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
  /// That of the PollWorker.
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
  /// Empty where no advice is needed.
  std::string ticket;
  /// As in PollWorker.
  std::uint64_t number = 0;
};

/// Ends a run and has it refused from now on; reports RunOrdered.
struct StopRun {
  HostName worker;
  std::string address;
  std::uint64_t fence = 0;
  RunName name;
  /// As in PollWorker.
  std::uint64_t number = 0;
};

struct RunOrdered {
  HostName worker;
  std::uint64_t fence = 0;
  RunName name;
  bool is_stop = false;
  OrderResult result = OrderResult::kUnknown;
  /// That of the order.
  std::uint64_t number = 0;
};

/// A worker that may run a step, with the proof to show it.
struct AdviceTicket {
  HostName worker;
  std::string ticket;
};

/// Asks the advisor from this process; reports AdviceGiven.
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
  Duration validity{};
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_FLEET_CALL_H_
