#ifndef BASILSPREAD_CORE_TESTS_VIRTUAL_CLUSTER_H_
#define BASILSPREAD_CORE_TESTS_VIRTUAL_CLUSTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "basilspread/core/state.h"

namespace test {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

using basilspread::CallId;
using basilspread::Duration;
using basilspread::TimePoint;

/// Processor time of this thread: benchmarks on a busy machine count no time
/// in which another process ran.
Duration ProcessorTime();

/// What a caller asked and heard.
struct VirtualCall {
  std::size_t node = 0;
  basilspread::RouteName route;
  TimePoint sent;
  std::optional<TimePoint> answered;
  basilspread::ErrorKind kind = basilspread::ErrorKind::kNone;
  int status = 0;
  std::string body;
  std::string detail;
};

/// How a minion treats one request.
struct MinionReply {
  basilspread::MinionResult result = basilspread::MinionResult::kAnswered;
  int status = 200;
  /// How long the minion works on it.
  Duration work{};
  /// Whether the result comes at the end of the work, or not before the
  /// request's deadline.
  bool is_silent = false;
};

/// A minion that counts what a scheduler must never do.
struct VirtualMinion {
  basilspread::Host host;
  std::uint32_t running = 0;
  std::uint32_t peak = 0;
  std::uint32_t runs = 0;
  Duration busy{};
  /// Runs by body of the request.
  std::map<std::string, int> runs_by_body;
};

/// Reducers of several entry processes under virtual time, with plain fakes
/// of the log, the host list and the minions.
class VirtualCluster {
 public:
  VirtualCluster(std::size_t node_count, std::uint64_t seed);

  void AddMinion(const std::string& name, std::uint32_t slots,
                 const std::string& rack);
  void SetLeaving(const std::string& name);
  /// Starts the nodes and waits until every shard has an owner.
  void Start();
  void RunFor(Duration duration);
  /// Runs until the condition holds; false when the limit passes first.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);

  /// Calls a route; the body of the request is the minion's work in
  /// microseconds unless `reply` says otherwise.
  CallId Call(std::size_t node, const std::string& route,
              const std::string& body, const std::string& key = "",
              Duration deadline = {}, const std::string& team = "");
  const VirtualCall& ResultOf(CallId call) const {
    return this->calls.at(call);
  }
  bool IsAnswered(CallId call) const;

  /// Ends a node without a word.
  void Kill(std::size_t node);
  bool IsAlive(std::size_t node) const { return this->nodes[node]->alive; }
  /// The node that owns the shard, as the owner itself knows.
  std::optional<std::size_t> OwnerOf(const std::string& shard) const;
  basilspread::State& StateOf(std::size_t node) {
    return *this->nodes[node]->state;
  }
  void Post(std::size_t node, basilspread::EventBody body);
  void At(TimePoint time, std::function<void()> action);

  TimePoint now{1h};
  basilspread::Tables tables;
  std::map<basilspread::HostName, VirtualMinion> minions;
  std::map<CallId, VirtualCall> calls;
  bool log_up = true;
  /// Whether messages between nodes leave.
  bool links_up = true;
  /// Decides about requests in place of the default, which answers.
  std::function<MinionReply(const basilspread::SendToMinion&)> reply;
  /// Told of each message between nodes; false drops it.
  std::function<bool(std::size_t from, const basilspread::SendToPeer&)>
      on_message;
  std::function<void(CallId, const VirtualCall&)> on_answer;
  /// Told of every effect.
  std::function<void(std::size_t node, const basilspread::Effect&)> on_effect;
  /// Hosts that are listed beside the minions.
  std::map<basilspread::HostName, basilspread::Host> worker_hosts;
  /// Told of each call to a worker; its answer comes by Post.
  std::function<void(std::size_t node, const basilspread::CallWorker&)>
      on_worker_call;
  std::function<void(const basilspread::JobAnswer&)> on_job_answer;
  std::uint64_t messages = 0;
  /// Processor time of the last call of the reducer.
  Duration last_reduction{};
  std::uint64_t overcommits = 0;

  /// Stores a batch of any writer in the stream of a shard.
  void AppendAs(const basilspread::ShardId& shard,
                const basilspread::LogBatch& batch) {
    const std::string name = "shard-" + shard.value;
    this->log[basilspread::StreamName{name}].push_back(batch);
  }
  /// Batches of a stream, in the order of the log.
  const std::vector<basilspread::LogBatch>& BatchesOf(
      const std::string& stream) {
    return this->log[basilspread::StreamName{stream}];
  }

 private:
  struct Node {
    std::unique_ptr<basilspread::State> state;
    std::map<basilspread::TimerKind, TimePoint> timers;
    bool alive = true;
  };

  void Step();
  void Carry(std::size_t node, const basilspread::Effect& effect);
  void Handle(std::size_t node, const basilspread::SetTimer& timer);
  void Handle(std::size_t node, const basilspread::AnswerCaller& answer);
  void Handle(std::size_t node, const basilspread::SendToMinion& send);
  void Handle(std::size_t node, const basilspread::SendToPeer& send);
  void Handle(std::size_t node, const basilspread::AppendLog& append);
  void Handle(std::size_t node, const basilspread::ReadLog& read);
  void Handle(std::size_t node, const basilspread::ReadHosts& read);
  void Handle(std::size_t node, const basilspread::CallWorker& call);
  void Handle(std::size_t node, const basilspread::AnswerJobCaller& effect);
  template <typename T>
  void Handle(std::size_t /*node*/, const T& /*effect*/) {}
  std::size_t IndexOf(const basilspread::NodeName& node) const;

  std::vector<std::unique_ptr<Node>> nodes;
  std::multimap<TimePoint, std::function<void()>> actions;
  std::map<basilspread::StreamName, std::vector<basilspread::LogBatch>> log;
  std::uint64_t last_call = 0;
};

/// A pool "pool" with one shard and the routes "quick" (short, idempotent),
/// "once" (short, not idempotent) and "slow" (long, idempotent).
basilspread::Tables SmallTables();

}  // namespace test

#endif  // BASILSPREAD_CORE_TESTS_VIRTUAL_CLUSTER_H_
