#ifndef BASILSPREAD_CORE_TESTS_SUPPORT_STORE_WORLD_H_
#define BASILSPREAD_CORE_TESTS_SUPPORT_STORE_WORLD_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "basilspread/core/reducer.h"
#include "basilspread/core/state.h"

namespace basilspread::test {

/// A stand-in of a worker: runs under leases and a fence.
struct FakeWorker {
  struct Run {
    Attempt run;
    TimePoint started_at;
    TimePoint ends_at;
    Resources demand;
  };

  WorkerEntry entry;
  TimePoint started;
  /// Neither answers nor is listed.
  bool is_gone = false;
  /// Does not answer.
  bool is_silent = false;
  /// Its entry has lapsed.
  bool is_unlisted = false;
  bool ignores_stops = false;
  /// So many of the next stops are neither carried out nor answered.
  int lost_stops = 0;
  /// So many of the next stops are refused.
  int refused_stops = 0;
  /// Answers, but what runs there makes no progress and does not end.
  bool hangs = false;
  /// Runs there end this long after they are through.
  Duration end_delay{};
  /// So many of the next looks are neither carried out nor answered.
  int lost_polls = 0;
  std::uint64_t fence = 0;
  std::optional<TimePoint> leased_until;
  std::map<StepTask, Run> runs;
  std::vector<ListedEnd> ends;
  std::uint64_t acknowledged = 0;
  std::uint64_t last_end = 0;
};

/// Whether other processes make the leader's calls to workers; with kBoth, a
/// test is run once without and once with it.
enum class RelayMode { kOff, kOn, kBoth };

/// Entry processes with stand-ins of the store, the workers and the advisor,
/// under virtual time. Checks what must always hold.
class StoreWorld {
 public:
  /// Runs until a process leads and inherited work no longer waits.
  StoreWorld(int nodes, const std::vector<std::string>& worker_names,
             RelayMode hands = RelayMode::kBoth);
  /// A process for each capacity.
  StoreWorld(const std::vector<Capacity>& capacities,
             const std::vector<std::string>& worker_names,
             RelayMode hands = RelayMode::kBoth);
  ~StoreWorld();
  StoreWorld(const StoreWorld&) = delete;
  StoreWorld& operator=(const StoreWorld&) = delete;

  void AddWorker(const std::string& name);
  FakeWorker& Worker(const std::string& name);
  /// Its entry is back.
  void Relist(const std::string& name);
  /// The worker leaves for good with all that runs there.
  void RemoveWorker(const std::string& name);

  /// Puts a record into the work log, as an earlier leader would.
  void AddLogRecord(const WorkRecord& record);
  CallId Submit(int node, const std::string& id, std::vector<StepSpec> steps,
                const std::string& prefix = "/plans/");
  CallId SendCall(int node, SubmissionOperation operation,
                  const std::string& id);
  /// Unset while the call waits.
  std::optional<SubmissionAnswer> AnswerTo(CallId call) const;
  /// What a status call is told, after at most a second.
  std::optional<SubmissionState> StatusOf(int node, const std::string& id);

  void Run(Duration duration);
  void Kill(int node);
  /// Only the process ends: its host refuses connections.
  void KillProcess(int node);
  /// Starts another run of a killed process.
  void Restart(int node);
  /// A graceful stop.
  void Stop(int node);
  /// A join that the node sent long ago is carried out, and it gets the
  /// leadership; the answer is lost.
  void CompleteLateJoin(int node);
  /// The group moves the leadership to the node: first its holder joins
  /// without it, then the node gets it.
  void MoveLeadership(int node);
  /// The process does nothing until it is thawed; what comes meanwhile waits.
  void Freeze(int node);
  void Thaw(int node);
  /// Nothing gets through between the two any longer, and neither notices.
  void CutLink(int node, int other);
  void HealLink(int node, int other);
  /// What the node sends to the other is lost until it opens the link anew.
  void SilenceLink(int node, int other);
  /// The process that leads; -1 when none does.
  int Leader() const;
  const State& StateOf(int node) const;
  /// Events and timers that wait for a slow process.
  std::size_t QueuedEvents(int node) const;
  /// Members of the group, by their nodes' numbers.
  std::set<int> Members() const;
  /// Nodes that have ever joined the group.
  const std::set<int>& Joined() const { return this->joined; }
  /// How often a process has opened a link anew.
  int ReopenedLinks() const { return this->reopened_links; }
  /// How often the group has named another holder of the leadership.
  int LeaderChanges() const { return this->leader_changes; }
  TimePoint Now() const { return this->now; }
  /// Appends that processes have sent.
  int Appends() const { return this->appends; }
  /// How often a process sent its leader the calls about a submission.
  int CallsSent(int node, const std::string& id) const;
  /// AdviceQueries that the advisor was asked.
  int AdviceQueries() const { return this->advice_queries; }
  /// Starts that a worker carried out, by task.
  int Starts(const std::string& id, std::uint32_t step = 0,
             std::uint32_t index = 0) const;
  /// Calls that the process has made to the worker; to all: without a name.
  int CallsBy(int node, const std::string& worker = "") const;
  /// Messages that one process has sent to others, by their kind's place in
  /// PeerMessage.
  int MessagesBy(int node, std::size_t kind) const;

  /// The store answers no call.
  bool store_is_down = false;
  /// A member that joins may be given the leadership: the one with the lowest
  /// number gets it.
  bool joins_move_leadership = false;
  /// Appends are carried out and not answered.
  bool appends_lose_answers = false;
  /// The store refuses appends and does nothing.
  bool appends_are_refused = false;
  /// So many of the next appends are carried out and not answered.
  int lost_appends = 0;
  /// So many of the leader's next joins are neither carried out nor answered.
  int lost_joins = 0;
  /// So many of the next starts do not leave their process in time.
  int unsent_starts = 0;
  /// What each event costs a process; none: processes are not slow.
  std::map<int, Duration> event_cost;
  /// Processes that the store answers no call of.
  std::set<int> cut_from_store;
  /// Workers that no call of a process gets through to.
  std::set<std::pair<int, HostName>> cut_from_worker;
  /// What comes to a process is handled so much later.
  std::map<int, Duration> delivery_delay;
  /// How busy a process is.
  std::map<int, LoopLoad> loads;
  /// From a call of the store to its answer.
  Duration store_time = std::chrono::milliseconds(2);
  /// Bytes of the largest append so far.
  std::size_t largest_append = 0;
  /// Starts are carried out this much later and not answered; zero: at once.
  Duration start_delay{};
  /// How a run ends, and after what time.
  std::function<RunEnd(const RunName&)> end_of;
  Duration run_time = std::chrono::milliseconds(200);
  /// Workers that the advisor allows.
  std::function<bool(const HostName&)> is_allowed;

  /// Metrics that a process has measured.
  std::set<Metric> measured;
  /// Broken promises, in words.
  std::vector<std::string> violations;

 private:
  struct Node;
  struct EffectHandler;
  friend struct EffectHandler;

  struct Pending {
    TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> action;

    bool operator<(const Pending& other) const {
      return at != other.at ? at < other.at : number < other.number;
    }
  };

  bool ReachesStore(int node) const;
  void ScheduleAction(Duration delay, std::function<void()> action);
  void Post(int node, EventBody body);
  void Handle(Node& node, EventBody body, const LoopLoad& load);
  /// Has a slow process take up what waits, once it is through with the last.
  void Schedule(Node& node);
  void HandleNext(Node& node);
  void PostAfter(int node, Duration delay, EventBody body);
  /// Whether a call of the process gets through to the worker; counts it.
  bool ReachesWorker(int node, const HostName& worker);
  /// What every process that follows the list reads next.
  void PostToAll(const FleetRead& read);
  void AdvanceWorkers();
  void End(FakeWorker& worker, const StepTask& task, RunEnd end);
  OrderResult Start(int node, const StartRun& effect);
  OrderResult Stop(int node, const StopRun& effect);
  void Poll(int node, const LookAtWorker& effect, TimePoint sent,
            TimePoint until);
  void Append(int node, const AppendWork& effect);
  void AssignLeadership();
  void CheckStart(const FakeWorker& worker, const RunName& name,
                  const Resources& demand);

  TimePoint now{std::chrono::hours(1)};
  std::set<Pending> pending;
  std::uint64_t last_pending = 0;
  std::vector<std::unique_ptr<Node>> nodes;
  /// Earlier runs, which timers may still point to.
  std::vector<std::unique_ptr<Node>> retired_nodes;
  std::map<HostName, FakeWorker> workers;
  std::map<CallId, SubmissionAnswer> answers;
  std::uint64_t last_call = 0;
  /// What was handed in, by id.
  std::map<SubmissionId, std::vector<StepSpec>> submitted;
  std::map<std::pair<int, HostName>, int> worker_calls;
  std::map<std::pair<int, std::size_t>, int> messages;
  std::set<std::pair<int, int>> cut_links;
  /// By the sender and the name of the one that hears nothing.
  std::set<std::pair<int, NodeName>> silent_links;
  int reopened_links = 0;

  std::uint64_t generation = 1;
  std::map<std::string, TimePoint> members;
  std::string leader_member;
  /// Gets the leadership once its holder has joined without it.
  std::string next_member;

  Epoch log_epoch;
  std::uint64_t log_sequence = 0;
  std::map<std::string, WorkRecord> log;
  std::set<int> joined;
  int leader_changes = 0;
  int advice_queries = 0;
  int appends = 0;
  std::map<std::pair<int, SubmissionId>, int> calls_sent;
  std::map<StepTask, int> starts;
  std::set<StepTask> acknowledged_done;
};

/// A step of `count` tasks of one core.
StepSpec Tasks(std::uint32_t count);

}  // namespace basilspread::test

#endif  // BASILSPREAD_CORE_TESTS_SUPPORT_STORE_WORLD_H_
