#ifndef BASILSPREAD_CORE_PEER_MESSAGE_H_
#define BASILSPREAD_CORE_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "basilspread/core/error.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/job_message.h"
#include "basilspread/core/payload.h"
#include "basilspread/core/relay_message.h"
#include "basilspread/core/submission_message.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// Load and epoch of one shard, as its owner reports them in a heartbeat.
struct ShardReport {
  ShardId shard;
  Epoch epoch;
  /// Idle minion slots; 0 for worker pools.
  std::uint32_t free_slots = 0;
  /// Queued requests or tasks.
  std::uint32_t queued = 0;
  /// Idle slots that long requests may take; part of `free_slots`.
  std::uint32_t free_open_slots = 0;
  /// Queued long requests; part of `queued`.
  std::uint32_t queued_long = 0;
  /// Node that is to claim the shard once it is released; empty unless the
  /// sender is stopping.
  NodeName successor;
};

/// When the sender last heard another process.
struct HeardReport {
  ProcessId process;
  Duration age{};
};

/// Sent to every peer at the heartbeat interval.
struct Heartbeat {
  TablesVersion tables;
  /// Set while the sender drains before it exits.
  bool stopping = false;
  /// The shards that the sender owns.
  std::vector<ShardReport> shards;
  /// Resources that teams have reserved through the home shards of the sender.
  std::vector<TeamUsage> usage;
  /// Sequence number within the sender's incarnation, from 1.
  std::uint64_t number = 0;
  /// Acknowledges the receiver's newest heartbeat. Both are 0 when none has
  /// arrived, or while the sender takes over a shard from the receiver.
  std::uint64_t confirmed_incarnation = 0;
  std::uint64_t confirmed_number = 0;
  /// Nodes whose heartbeats are late or missing at the sender.
  std::vector<NodeName> unheard;
  /// When the sender last heard the live nodes that its peers list as unheard.
  std::vector<HeardReport> heard;
  /// Address that the sender's peers connect to; empty once the receiver has
  /// confirmed a heartbeat.
  std::string address;
};

/// Identifies one request across processes.
struct RequestKey {
  /// Process that received the request from the caller.
  ProcessId origin;
  CallId call;

  friend auto operator<=>(const RequestKey&, const RequestKey&) = default;
};

/// Forwards a request to the owner of a shard.
struct ForwardRequest {
  CallId call;
  ShardId shard;
  RouteName route;
  TeamName team;
  /// Empty when the caller gave none.
  std::string idempotency_key;
  /// Time until the caller's deadline.
  Duration time_left{};
  PayloadPtr payload;
  /// Number of this attempt to forward the call, from 1.
  std::uint32_t attempt = 0;
};

/// The owner's answer to ForwardRequest.
struct ForwardAnswer {
  CallId call;
  ErrorKind kind = ErrorKind::kNone;
  std::string detail;
  PayloadPtr payload;
  /// Copied from the ForwardRequest.
  std::uint32_t attempt = 0;
};

using PeerMessage =
    std::variant<Heartbeat, ForwardRequest, ForwardAnswer, JobCall, JobAnswer,
                 ReserveTasks, ReserveAnswer, ConfirmTasks, ReleaseHold,
                 StopTasks, TaskReports, TaskReportsAck, SubmissionCall,
                 SubmissionAnswer, HelperReport, AdviceCall, AdviceAnswer,
                 LeaderReport, RelayOrders, RelayReports>;

/// Whether the message is for one run of the receiver only: an answer, which
/// belongs to the run that asked, or an order to the run that the sender chose.
bool IsForOneRun(const PeerMessage& message);

/// Stable name of the kind of message, for example "submission-answer".
const char* NameOf(const PeerMessage& message);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_PEER_MESSAGE_H_
