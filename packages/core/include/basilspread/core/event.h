#ifndef BASILSPREAD_CORE_EVENT_H_
#define BASILSPREAD_CORE_EVENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "basilspread/core/error.h"
#include "basilspread/core/host.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/payload.h"
#include "basilspread/core/peer_message.h"
#include "basilspread/core/record.h"
#include "basilspread/core/store_call.h"
#include "basilspread/core/submission.h"
#include "basilspread/core/time.h"
#include "basilspread/core/timer.h"
#include "basilspread/core/worker.h"

namespace basilspread {

/// The first event of a process; arms the timers.
struct Started {};

/// A caller's request was read whole.
struct RequestArrived {
  CallId call;
  RouteName route;
  TeamName team;
  /// Empty when the caller gave none.
  std::string idempotency_key;
  /// The caller's own deadline; zero means that of the route.
  Duration deadline{};
  PayloadPtr payload;
};

/// The caller closed its connection before the answer.
struct CallerGone {
  CallId call;
};

/// How an exchange with a minion ended.
enum class MinionResult {
  kAnswered,
  /// This process wrote no byte: no thread was free, or it was too late.
  kNotSent,
  /// The minion took no connection; no byte was written.
  kRefused,
  /// Bytes may have left and no whole answer came.
  kLost,
};

struct MinionAnswered {
  RequestKey request;
  Attempt attempt;
  HostName host;
  MinionResult result = MinionResult::kLost;
  /// Set with kAnswered.
  PayloadPtr payload;
  /// From the write of the request to the end of the answer.
  Duration run_time{};
};

struct PeerReceived {
  ProcessId from;
  PeerMessage message;
};

/// A link to a peer opened or broke.
struct PeerLinkChanged {
  NodeName peer;
  bool connected = false;
};

/// A peer's host refused a connection: no process listens at its address.
struct PeerRefused {
  NodeName peer;
};

/// A process sent a frame of another protocol version.
struct PeerMismatched {
  NodeName node;
  std::uint32_t version = 0;
};

/// A message to a peer surely did not leave this process.
struct PeerMessageNotSent {
  NodeName peer;
  PeerMessage message;
};

/// How an append ended as far as its writer can tell.
enum class AppendResult { kStored, kRefused, kUnknown };

struct LogAppended {
  StreamName stream;
  AppendId id;
  AppendResult result = AppendResult::kUnknown;
};

/// A read of a stream ended.
struct LogRead {
  StreamName stream;
  bool ok = false;
  /// Where the read began.
  Offset from;
  /// Oldest offset that the log still keeps.
  Offset first_kept;
  /// Offset after the last record read.
  Offset next;
  /// Whether `next` was the end of the stream.
  bool at_end = false;
  std::vector<StoredBatch> batches;
};

/// A read of the platform's host list ended.
struct HostsListed {
  bool ok = false;
  /// The list is as it was at the last read; `hosts` is empty.
  bool unchanged = false;
  std::vector<Host> hosts;
};

struct TimerFired {
  TimerKind kind;
};

/// A caller's job call was read whole.
struct JobArrived {
  CallId call;
  JobOperation operation = JobOperation::kStatus;
  /// Set with kSubmit; of the other operations only its id.
  JobSpec spec;
  /// How long the caller waits for the answer.
  Duration timeout{};
};

/// A caller's call about a submission or a queue was read whole.
struct SubmissionCallArrived {
  CallId call;
  SubmissionOperation operation = SubmissionOperation::kStatus;
  /// The host that the caller addressed, without a port.
  std::string authority;
  std::string path;
  /// How long the caller waits for the answer.
  Duration time_left{};
  /// Set with kSubmit; without id and route.
  boost::intrusive_ptr<SubmissionSpec> spec;
};

/// The process was suspended: its monotonic clock stood still meanwhile.
struct Resumed {
  Duration suspended{};
};

/// An operator or the platform asked the process to stop gracefully.
struct StopRequested {};

/// An operator asked for the state.
struct DumpRequested {
  CallId call;
};

using EventBody =
    std::variant<Started, RequestArrived, CallerGone, MinionAnswered,
                 PeerReceived, PeerLinkChanged, PeerMessageNotSent, LogAppended,
                 LogRead, HostsListed, TimerFired, StopRequested, DumpRequested,
                 JobArrived, WorkerAnswered, PeerMismatched,
                 SubmissionCallArrived, Resumed, GroupJoined, LeaderRead,
                 WorkAppended, WorkListed, TablesRead, FleetRead, WorkerPolled,
                 RunOrdered, AdviceGiven, PeerRefused>;

/// Stable name of the kind of event, for metrics: for example "peer-message".
std::string_view NameOf(const EventBody& body);

/// How busy the control thread is as it takes an event up.
struct LoopLoad {
  /// How long the event waited, or the oldest of those that still wait.
  Duration delay{};
  /// Events that wait behind this one.
  std::size_t waiting = 0;
  /// Time spent on events since the process began.
  Duration busy{};
};

/// Everything that can change the state of a process.
struct Event {
  /// When the control thread took the event up.
  TimePoint time;
  EventBody body;
  LoopLoad load = {};
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_EVENT_H_
