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

/// What an owner tells of one shard in its heartbeat.
struct ShardReport {
  ShardId shard;
  Epoch epoch;
  /// Minion slots without a request; 0 for worker pools.
  std::uint32_t free_slots = 0;
  /// Requests or tasks that wait.
  std::uint32_t queued = 0;
  /// Those of the free slots that long requests may take.
  std::uint32_t free_open_slots = 0;
  /// Long requests among those that wait.
  std::uint32_t queued_long = 0;
  /// Who is to claim it once it is released; empty but before a stop.
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
  /// What teams have reserved through the sender's home shards.
  std::vector<TeamUsage> usage;
  /// Grows with each heartbeat of a run.
  std::uint64_t number = 0;
  /// The receiver's run and its latest heartbeat that has arrived; 0 when
  /// none has, or when the sender is about to depose the receiver.
  std::uint64_t confirmed_incarnation = 0;
  std::uint64_t confirmed_number = 0;
  /// Processes that the sender does not hear.
  std::vector<NodeName> unheard;
  /// Of those that others do not hear: when the sender last heard them.
  std::vector<HeardReport> heard;
  /// Where the sender's peers connect to; left out once it was confirmed.
  std::string address;
};

/// Names one request across processes.
struct RequestKey {
  /// The process whose caller is waiting.
  ProcessId origin;
  CallId call;

  friend auto operator<=>(const RequestKey&, const RequestKey&) = default;
};

/// Passes a request to the owner of a shard.
struct ForwardRequest {
  CallId call;
  ShardId shard;
  RouteName route;
  TeamName team;
  /// Empty when the caller gave none.
  std::string idempotency_key;
  /// What is left of the caller's deadline.
  Duration time_left{};
  PayloadPtr payload;
  /// Number of this try to pass the call on, from 1.
  std::uint32_t attempt = 0;
};

/// The owner's answer to ForwardRequest.
struct ForwardAnswer {
  CallId call;
  ErrorKind kind = ErrorKind::kNone;
  std::string detail;
  PayloadPtr payload;
  /// That of the ForwardRequest.
  std::uint32_t attempt = 0;
};

using PeerMessage =
    std::variant<Heartbeat, ForwardRequest, ForwardAnswer, JobCall, JobAnswer,
                 ReserveTasks, ReserveAnswer, ConfirmTasks, ReleaseHold,
                 StopTasks, TaskReports, TaskReportsAck, SubmissionCall,
                 SubmissionAnswer, HelperReport, AdviceCall, AdviceAnswer,
                 LeaderReport, RelayOrders, RelayReports>;

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_PEER_MESSAGE_H_
