#ifndef BASILSPREAD_CORE_TESTS_SUPPORT_FAKE_CLUSTER_H_
#define BASILSPREAD_CORE_TESTS_SUPPORT_FAKE_CLUSTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "basilspread/core/state.h"

namespace basilspread {

/// A stream of the fake log.
struct FakeStream {
  std::uint64_t first = 0;
  std::vector<LogBatch> batches;

  std::uint64_t End() const { return this->first + this->batches.size(); }
};

/// One process of the fake cluster.
struct FakeProcess {
  std::optional<State> state;
  std::map<TimerKind, TimePoint> timers;
  /// Events received while the process was paused.
  std::vector<EventBody> pending_events;
  bool paused = false;
  bool exited = false;
  /// Number of starts; used as the incarnation.
  std::uint64_t runs = 0;
};

/// Several reducers under virtual time with an in-memory log and network.
/// Fails the test if after any event two processes may act on the same shard.
class FakeCluster {
 public:
  static constexpr Duration kDelay = std::chrono::milliseconds(2);

  FakeCluster(std::size_t size, std::uint32_t shards);

  void Start(std::size_t index);
  void StartAll();
  /// Ends a process; its peers lose their links. With `refuses`, their attempts
  /// to reconnect are refused.
  void Kill(std::size_t index, bool refuses = false);
  /// Suspends a process while its peers continue.
  void Pause(std::size_t index);
  void Resume(std::size_t index);
  void RequestStop(std::size_t index);
  /// Makes the process reduce an event now.
  void Deliver(std::size_t index, EventBody body);
  /// Applies effects that a test has produced in the process.
  void ApplyEffects(std::size_t index, Effects& effects);
  void Run(Duration duration);
  /// Runs until the condition holds; false on timeout.
  template <typename Condition>
  bool RunUntil(Condition condition, Duration timeout) {
    const TimePoint end = this->now + timeout;
    while (!condition() && this->now < end) {
      this->Run(std::chrono::milliseconds(10));
    }
    return condition();
  }

  /// Drops all messages from one process to another.
  void DropMessages(std::size_t from, std::size_t to);
  /// Drops all messages until the sender reopens the link.
  void DropMessagesUntilReopened(std::size_t from, std::size_t to);
  /// Appends a batch to the log on behalf of `writer`.
  void AppendRaw(const StreamName& stream, const ProcessId& writer,
                 LogRecord record);
  /// Removes the records of a stream before offset `first`.
  void TrimStream(const StreamName& stream, std::uint64_t first);

  State& StateOf(std::size_t index) { return *this->processes[index].state; }
  bool MayAct(std::size_t index, const ShardId& shard);
  /// The process that may act on the shard now.
  std::optional<std::size_t> ActorOf(const ShardId& shard);
  /// Whether every shard has a process that may act on it.
  bool AllServed();
  /// The shards that a process may act on.
  std::vector<ShardId> ServedBy(std::size_t index);
  std::vector<ShardId> Shards() const;
  /// Number of claim records in the log.
  std::size_t CountClaims() const;

  TimePoint now;
  std::vector<FakeProcess> processes;
  std::map<StreamName, FakeStream> streams;
  /// Processes that cannot reach the log.
  std::set<std::size_t> without_log;
  /// Makes appends take effect but report an unknown result.
  bool lose_answers = false;
  Settings settings;
  std::size_t appends = 0;
  std::size_t reopened = 0;
  /// Number of times that a process logged a peer as silent.
  std::size_t silent_peer_reports = 0;

 private:
  struct Delivery {
    std::size_t process;
    EventBody body;
  };

  static NodeName NameOf(std::size_t index);
  std::size_t IndexOf(const NodeName& node) const;
  void Post(std::size_t index, Duration delay, EventBody body);
  void CheckSingleActor();
  void ApplyEffect(std::size_t index, Effect& effect);
  void Send(std::size_t index, const SendToPeer& send);
  void Append(std::size_t index, const AppendLog& append);
  void Read(std::size_t index, const ReadLog& read);
  bool TakeTimer(TimePoint end);
  bool IsRunning(std::size_t index) const;

  std::uint32_t shard_count;
  std::multimap<TimePoint, Delivery> deliveries;
  std::set<std::pair<std::size_t, std::size_t>> dropped_links;
  std::set<std::pair<std::size_t, std::size_t>> stalled_links;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_TESTS_SUPPORT_FAKE_CLUSTER_H_
