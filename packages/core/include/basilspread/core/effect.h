#ifndef BASILSPREAD_CORE_EFFECT_H_
#define BASILSPREAD_CORE_EFFECT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "basilspread/core/error.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/log_line.h"
#include "basilspread/core/metric.h"
#include "basilspread/core/payload.h"
#include "basilspread/core/peer_message.h"
#include "basilspread/core/record.h"
#include "basilspread/core/report.h"
#include "basilspread/core/store_call.h"
#include "basilspread/core/submission_message.h"
#include "basilspread/core/time.h"
#include "basilspread/core/timer.h"
#include "basilspread/core/worker.h"

namespace basilspread {

/// Answers a caller of this process.
struct AnswerCaller {
  CallId call;
  ErrorKind kind = ErrorKind::kNone;
  std::string detail;
  PayloadPtr payload;
};

/// Sends a request to a minion; the result arrives as MinionAnswered.
struct SendToMinion {
  RequestKey request;
  Attempt attempt;
  HostName host;
  std::string address;
  bool idempotent = false;
  /// The request is not sent after this time; checked right before the write.
  TimePoint not_after;
  /// The exchange is abandoned at this time.
  TimePoint deadline;
  PayloadPtr payload;
};

/// Sends a message to another entry process.
struct SendToPeer {
  NodeName peer;
  PeerMessage message;
  /// Incarnation of the run that the message is for; 0: any run of the node.
  std::uint64_t incarnation = 0;
};

/// Connects to a peer; replaces the address that was in use for it.
struct ConnectPeer {
  NodeName peer;
  std::string address;
};

/// Closes and reopens the outbound connection to a peer.
struct ReopenLink {
  NodeName peer;
};

/// Closes the outbound connection to a peer that has left the cluster.
struct DisconnectPeer {
  NodeName peer;
};

/// Appends a batch; the result arrives as LogAppended.
struct AppendLog {
  StreamName stream;
  LogBatch batch;
};

/// Reads a stream; the result arrives as LogRead.
struct ReadLog {
  StreamName stream;
  Offset from;
};

/// Reads the platform's host list; the result arrives as HostsListed.
struct ReadHosts {};

/// Arms a timer; replaces its previous expiry.
struct SetTimer {
  TimerKind kind;
  TimePoint at;
};

/// Writes one line to the process's log.
struct WriteLogLine {
  LogLine line;
};

/// Adds to a counter.
struct CountMetric {
  Metric metric;
  std::string label;
  double amount = 1;
};

/// Adds one duration to a histogram.
struct ObserveTime {
  Metric metric;
  std::string label;
  Duration time{};
};

struct SetGauge {
  Metric metric;
  double value = 0;
  std::string label = {};
};

/// Answers DumpRequested.
struct AnswerDump {
  CallId call;
  StateReport report;
};

/// Answers JobArrived.
struct AnswerJobCaller {
  JobAnswer answer;
};

/// Answers SubmissionCallArrived.
struct AnswerSubmissionCaller {
  SubmissionAnswer answer;
};

/// Sets whether this process reports itself ready for new callers.
struct SetReadiness {
  bool is_ready = false;
};

/// Stops accepting connections from callers; requests already received are
/// still answered.
struct RefuseCallers {};

/// Ends the process; emitted once draining is complete.
struct ExitProcess {};

using Effect =
    std::variant<AnswerCaller, SendToMinion, SendToPeer, AppendLog, ReadLog,
                 ReadHosts, SetTimer, WriteLogLine, AnswerDump, RefuseCallers,
                 ExitProcess, ConnectPeer, ReopenLink, DisconnectPeer,
                 CallWorker, AnswerJobCaller, AnswerSubmissionCaller,
                 SetReadiness, JoinGroup, LeaveGroup, ReadLeader, AppendWork,
                 ListWork, ReadTables, FollowTables, ListFleet, FollowFleet,
                 PollWorker, StartRun, StopRun, AskAdvice, CountMetric,
                 ObserveTime, SetGauge>;

using Effects = std::vector<Effect>;

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_EFFECT_H_
