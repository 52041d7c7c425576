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

/// Processor time of this thread, so that benchmarks on a busy machine do not
/// include the time of other processes.
Duration ProcessorTime();

/// One call and its answer.
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
  /// The minion does not answer; the result is kLost at the request's deadline.
  bool is_silent = false;
};

/// A minion with counters of its runs.
struct VirtualMinion {
  basilspread::Host host;
  std::uint32_t running = 0;
  /// Highest number of requests that ran at once.
  std::uint32_t peak = 0;
  std::uint32_t runs = 0;
  /// Total work of all runs.
  Duration busy{};
  /// Number of runs by request body.
  std::map<std::string, int> runs_by_body;
};

/// Reducers of several entry processes in virtual time, with simple fakes of
/// the log, the host list and the minions.
class VirtualCluster {
 public:
  VirtualCluster(std::size_t node_count, std::uint64_t seed);

  void AddMinion(const std::string& name, std::uint32_t slots,
                 const std::string& rack);
  void SetLeaving(const std::string& name);
  /// Starts the nodes and waits until every shard has an owner.
  void Start();
  void RunFor(Duration duration);
  /// Runs until the condition holds; returns false if the limit passes first.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);

  /// Calls a route. Unless `reply` is set, the body of the request is the time
  /// that the minion works on it, in microseconds.
  CallId Call(std::size_t node, const std::string& route,
              const std::string& body, const std::string& key = "",
              Duration deadline = {}, const std::string& team = "");
  const VirtualCall& ResultOf(CallId call) const {
    return this->calls.at(call);
  }
  bool IsAnswered(CallId call) const;

  /// Ends a node abruptly; its peers see the links close.
  void Kill(std::size_t node);
  bool IsAlive(std::size_t node) const { return this->nodes[node]->alive; }
  /// The node that considers itself the shard's owner.
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
  /// Whether messages between nodes can be sent.
  bool links_up = true;
  /// Decides how a minion treats a request; by default it answers.
  std::function<MinionReply(const basilspread::SendToMinion&)> reply;
  /// Called for each message between nodes; returning false drops it.
  std::function<bool(std::size_t from, const basilspread::SendToPeer&)>
      on_message;
  std::function<void(CallId, const VirtualCall&)> on_answer;
  /// Called for each effect.
  std::function<void(std::size_t node, const basilspread::Effect&)> on_effect;
  /// Hosts that are listed in addition to the minions.
  std::map<basilspread::HostName, basilspread::Host> worker_hosts;
  /// Called for each call to a worker; the test posts the answer.
  std::function<void(std::size_t node, const basilspread::CallWorker&)>
      on_worker_call;
  std::function<void(const basilspread::JobAnswer&)> on_job_answer;
  /// Messages sent between nodes.
  std::uint64_t messages = 0;
  /// Processor time of the last call of the reducer.
  Duration last_reduction{};
  /// Requests that a minion started beyond its slots.
  std::uint64_t overcommits = 0;

  /// Stores a batch in the stream of a shard, with any writer.
  void AppendAs(const basilspread::ShardId& shard,
                const basilspread::LogBatch& batch) {
    const std::string name = "shard-" + shard.value;
    this->log[basilspread::StreamName{name}].push_back(batch);
  }
  /// Batches of a stream, in log order.
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
  void ExecuteEffect(std::size_t node, const basilspread::Effect& effect);
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

/// Tables with a pool "pool" of one shard and the routes "quick" (short,
/// idempotent), "once" (short, not idempotent) and "slow" (long, idempotent).
basilspread::Tables SmallTables();

}  // namespace test

#endif  // BASILSPREAD_CORE_TESTS_VIRTUAL_CLUSTER_H_
