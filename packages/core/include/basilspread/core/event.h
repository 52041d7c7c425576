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

/// A caller's request was received completely.
struct RequestArrived {
  CallId call;
  RouteName route;
  TeamName team;
  /// Empty when the caller gave none.
  std::string idempotency_key;
  /// Deadline that the caller set; zero: the route's deadline applies.
  Duration deadline{};
  PayloadPtr payload;
};

/// The caller closed its connection before it got the answer.
struct CallerDisconnected {
  CallId call;
};

/// How an exchange with a minion ended.
enum class MinionResult {
  kAnswered,
  /// No byte was written: no traffic thread was free, or `not_after` had
  /// passed.
  kNotSent,
  /// The connection to the minion failed; no byte was written.
  kRefused,
  /// Bytes may have been sent, and no complete answer was received.
  kLost,
};

struct MinionAnswered {
  RequestKey request;
  Attempt attempt;
  HostName host;
  MinionResult result = MinionResult::kLost;
  /// Set with kAnswered.
  PayloadPtr payload;
  /// Time from writing the request to receiving the complete answer.
  Duration run_time{};
};

struct PeerReceived {
  ProcessId from;
  PeerMessage message;
  /// SendToPeer::incarnation.
  std::uint64_t incarnation = 0;
};

/// The connection to a peer was opened or lost.
struct PeerLinkChanged {
  NodeName peer;
  bool connected = false;
};

/// A peer's host refused a connection: no process listens at its address.
struct PeerRefused {
  NodeName peer;
};

/// A process sent a frame with a different protocol version.
struct PeerVersionMismatched {
  NodeName node;
  std::uint32_t version = 0;
};

/// A message to a peer was not sent; none of its bytes left this process.
struct PeerMessageNotSent {
  NodeName peer;
  PeerMessage message;
  /// SendToPeer::incarnation.
  std::uint64_t incarnation = 0;
};

/// How an append ended, as far as its writer can tell.
enum class AppendResult { kStored, kRefused, kUnknown };

struct LogAppended {
  StreamName stream;
  AppendId id;
  AppendResult result = AppendResult::kUnknown;
};

/// Result of ReadLog.
struct LogRead {
  StreamName stream;
  bool ok = false;
  /// Offset at which the read started.
  Offset from;
  /// Oldest offset that the log still retains.
  Offset first_kept;
  /// Offset after the last record read.
  Offset next;
  /// Whether the read reached the end of the stream.
  bool at_end = false;
  std::vector<StoredBatch> batches;
};

/// Result of ReadHosts.
struct HostsListed {
  bool ok = false;
  /// The list has not changed since the last read; `hosts` is empty.
  bool unchanged = false;
  std::vector<Host> hosts;
};

struct TimerFired {
  TimerKind kind;
};

/// A caller's request about a job was received completely.
struct JobArrived {
  CallId call;
  JobOperation operation = JobOperation::kStatus;
  /// Complete with kSubmit; the other operations set only its id.
  JobSpec spec;
  /// How long the caller waits for the answer.
  Duration timeout{};
};

/// A caller's request about a submission or a queue was received completely.
struct SubmissionCallArrived {
  CallId call;
  SubmissionOperation operation = SubmissionOperation::kStatus;
  /// Host name that the caller addressed, without the port.
  std::string authority;
  std::string path;
  /// How long the caller waits for the answer.
  Duration time_left{};
  /// Set with kSubmit; without id and route.
  boost::intrusive_ptr<SubmissionSpec> spec;
  /// The caller's key; empty when it gave none. Must not be logged.
  std::string api_key = {};
};

/// The process was suspended and has resumed; its monotonic clock did not
/// advance meanwhile.
struct Resumed {
  Duration suspended{};
};

/// An operator or the platform asked the process to stop gracefully.
struct StopRequested {};

/// An operator requested a dump of the state.
struct DumpRequested {
  CallId call;
};

using EventBody =
    std::variant<Started, RequestArrived, CallerDisconnected, MinionAnswered,
                 PeerReceived, PeerLinkChanged, PeerMessageNotSent, LogAppended,
                 LogRead, HostsListed, TimerFired, StopRequested, DumpRequested,
                 JobArrived, WorkerAnswered, PeerVersionMismatched,
                 SubmissionCallArrived, Resumed, GroupJoined, LeaderRead,
                 WorkAppended, WorkListed, TablesRead, FleetRead, WorkerPolled,
                 RunOrdered, AdviceGiven, PeerRefused>;

/// Stable name of an event type for metrics, for example "peer-message".
std::string_view NameOf(const EventBody& body);

/// Load of the control thread at the time it dequeues an event.
struct LoopLoad {
  /// Queueing delay of this event, or of the oldest event still queued if that
  /// is longer.
  Duration delay{};
  /// Events still queued.
  std::size_t waiting = 0;
  /// Total time spent handling events since the process started.
  Duration busy{};
};

/// An input of the reducer: anything that can change the state of a process.
struct Event {
  /// When the control thread dequeued the event.
  TimePoint time;
  EventBody body;
  LoopLoad load = {};
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_EVENT_H_
