#ifndef BASILSPREAD_CORE_EFFECT_H_
#define BASILSPREAD_CORE_EFFECT_H_

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

/// Sends a request to a minion and reports with MinionAnswered.
struct SendToMinion {
  RequestKey request;
  Attempt attempt;
  HostName host;
  std::string address;
  bool idempotent = false;
  /// Not written after this point; checked immediately before the write.
  TimePoint not_after;
  /// The exchange is given up at this point.
  TimePoint deadline;
  PayloadPtr payload;
};

struct SendToPeer {
  NodeName peer;
  PeerMessage message;
};

/// Connects to a peer, also in place of its earlier address.
struct ConnectPeer {
  NodeName peer;
  std::string address;
};

/// Closes and reopens the outbound connection to a peer.
struct ReopenLink {
  NodeName peer;
};

/// Ends the outbound connection to a peer that is gone.
struct DisconnectPeer {
  NodeName peer;
};

/// Appends a batch and reports with LogAppended.
struct AppendLog {
  StreamName stream;
  LogBatch batch;
};

/// Reads a stream and reports with LogRead.
struct ReadLog {
  StreamName stream;
  Offset from;
};

/// Reads the platform's host list and reports with HostsListed.
struct ReadHosts {};

/// Arms a timer, in place of its earlier point.
struct SetTimer {
  TimerKind kind;
  TimePoint at;
};

/// Writes one line to the process's log.
struct WriteLine {
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
};

/// Answers DumpRequested.
struct AnswerDump {
  CallId call;
  StateReport report;
};

/// Answers a JobArrived.
struct AnswerJobCaller {
  JobAnswer answer;
};

/// Answers a SubmissionCallArrived.
struct AnswerSubmissionCaller {
  SubmissionAnswer answer;
};

/// States whether this process wants new callers.
struct SetReadiness {
  bool is_ready = false;
};

/// Refuses new connections of callers; those with a request get their answer.
struct RefuseCallers {};

/// Ends the process: everything is drained.
struct ExitProcess {};

using Effect =
    std::variant<AnswerCaller, SendToMinion, SendToPeer, AppendLog, ReadLog,
                 ReadHosts, SetTimer, WriteLine, AnswerDump, RefuseCallers,
                 ExitProcess, ConnectPeer, ReopenLink, DisconnectPeer,
                 CallWorker, AnswerJobCaller, AnswerSubmissionCaller,
                 SetReadiness, JoinGroup, LeaveGroup, ReadLeader, AppendWork,
                 ListWork, ReadTables, FollowTables, ListFleet, FollowFleet,
                 PollWorker, StartRun, StopRun, AskAdvice, CountMetric,
                 ObserveTime, SetGauge>;

using Effects = std::vector<Effect>;

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_EFFECT_H_
