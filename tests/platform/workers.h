#ifndef BASILSPREAD_TESTS_PLATFORM_WORKERS_H_
#define BASILSPREAD_TESTS_PLATFORM_WORKERS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "platform/context.h"
#include "platform/random.h"
#include "platform/worker_life.h"

namespace standin {

/// Time on a worker's own clock, from the start of its life.
using WorkerTime = std::chrono::duration<std::int64_t, std::milli>;

/// Orders to a worker, as the wire's folder reads them.
struct StartOrder {
  RunName run;
  std::string command;
  std::string checkpoint;
  std::string ticket;
  std::uint64_t fence = 0;
  WorkerTime lease_until{};
};
struct StopOrder {
  RunName run;
  std::uint64_t fence = 0;
};
struct LookOrder {
  std::uint64_t fence = 0;
  std::uint64_t noted = 0;
  std::optional<WorkerTime> lease_until;
  Duration wait{};
};
using WorkerOrder = std::variant<StartOrder, StopOrder, LookOrder>;

struct ListedRun {
  RunName run;
  std::string checkpoint;
  int percent = 0;
};
struct ListedEnd {
  std::uint64_t number = 0;
  RunName run;
  End end = End::kDone;
  std::string checkpoint;
};

/// A worker's answer; `status` as in HTTP.
struct WorkerAnswer {
  int status = 200;
  /// Why the order was refused; empty when it was not.
  std::string reason;
  WorkerTime clock{};
  std::uint64_t born = 0;
  /// Set for a look.
  bool has_lists = false;
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
};

/// What a worker tells of itself in the store.
struct WorkerNotice {
  std::string id;
  std::string address;
  std::string pool;
  std::string zone;
  std::string machine;
  Resources capacity;
  std::vector<std::string> labels;
  bool drains = false;
  std::uint64_t sequence = 0;
  std::uint64_t born = 0;
  WorkerTime clock{};
};

/// A stand-in of one worker: runs under a fence and a lease.
struct Worker {
  enum class Phase { kWaiting, kWorking, kStopping };
  struct Run {
    RunName name;
    Phase phase = Phase::kWorking;
    TimePoint since;
    Duration done{};
    Duration total{};
    Duration saved{};
    Duration next_save{};
    Duration restoring{};
    std::string checkpoint;
    /// Set when the run fails once so much is done.
    std::optional<Duration> fails_at;
  };
  struct WaitingLook {
    CallId call;
    TimePoint until;
  };
  struct LateOrder {
    TimePoint at;
    WorkerOrder order;
  };

  std::string id;
  std::string address;
  std::string zone;
  std::string rack;
  std::string kind;
  std::string machine;
  Resources capacity;
  /// How fast its clock runs: at most 2% slow.
  double clock_rate = 1;
  bool is_up = true;

  std::uint64_t born = 0;
  TimePoint started;
  std::uint64_t sequence = 0;
  std::uint64_t fence = 0;
  WorkerTime lease_until{};
  bool has_lapsed = false;
  std::map<TaskName, Run> runs;
  std::map<TaskName, std::uint32_t> highest_ended;
  std::deque<ListedEnd> ends;
  std::uint64_t last_end = 0;
  std::vector<WaitingLook> looks;
  std::vector<LateOrder> late;
  TimePoint notice_at;
  std::optional<TimePoint> drains_since;
  std::optional<TimePoint> leaves_at;
  std::optional<TimePoint> returns_at;
  /// When the store drops the entry of a worker that fell silent.
  std::optional<TimePoint> entry_expires_at;

  /// Faults, each until a point in time.
  TimePoint late_until;
  TimePoint fails_until;
  TimePoint hangs_until;
  TimePoint slow_until;
  TimePoint unlisted_until;
  TimePoint unhealthy_until;

  WorkerLife Life() const { return {this->id, this->born}; }
  WorkerTime Clock(TimePoint now) const;
};

/// The stand-ins of all workers.
class Workers {
 public:
  struct Hooks {
    /// Writes a worker's entry in the store; unset removes it. False while
    /// the store takes none.
    std::function<bool(const std::string& id,
                       const std::optional<WorkerNotice>&)>
        publish;
    std::function<PayloadPtr(const WorkerAnswer&)> encode;
    /// Whether the advisor gave this ticket and it is still valid.
    std::function<bool(const StartOrder&, const WorkerLife&)> is_ticket_valid;
    /// Null for an id that nobody has handed in.
    std::function<const Submission*(const std::string& id)> find;
    /// Whether workers obey their fences; false to play a part wrong.
    std::function<bool()> keeps_fence;
  };

  Workers(std::uint64_t seed, Hooks worker_hooks, WorkerWatch worker_watch);

  void Add(const std::string& address, TimePoint now);
  void Handle(const Context& context, const std::string& address,
              const std::string& expected, CallId call,
              const WorkerOrder& order);
  void Advance(const Context& context);

  /// Everything there is gone; another life begins at once or later.
  void Crash(std::size_t index, Duration away, TimePoint now);
  /// Says that it drains, and leaves after the drain time and `lasts`; later
  /// another life begins.
  void Drain(std::size_t index, Duration lasts, TimePoint now);
  Worker& At(std::size_t index) { return this->workers.at(index); }
  std::size_t Count() const { return this->workers.size(); }
  /// An order that no process sent; for parts that are played wrong.
  void Deliver(std::size_t index, const StartOrder& order,
               const Context& context);
  /// The last starts that workers carried out.
  const std::deque<StartOrder>& LastStarts() const { return this->starts; }

 private:
  struct Gang {
    std::set<std::uint32_t> present;
    bool works = false;
    Duration done{};
    Duration total{};
  };

  /// The members of a gang share the name with index 0.
  static RunName GangOf(const RunName& name);
  Worker* Find(const std::string& address);
  WorkerAnswer Carry(Worker& worker, const WorkerOrder& order,
                     const Context& context);
  WorkerAnswer Start(Worker& worker, const StartOrder& order,
                     const Context& context);
  void BeginRun(Worker& worker, const StartOrder& order,
                const Context& context);
  std::string RefuseStart(const Worker& worker, const StartOrder& order,
                          const Context& context) const;
  Worker::Run MakeRun(const Worker& worker, const StartOrder& order,
                      const Step& step, TimePoint now);
  WorkerAnswer Stop(Worker& worker, const StopOrder& order, TimePoint now);
  WorkerAnswer Look(Worker& worker, const LookOrder& order, TimePoint now);
  WorkerAnswer ListOf(const Worker& worker, TimePoint now) const;
  void Extend(Worker& worker, WorkerTime lease_until, TimePoint now);
  void EndGang(const RunName& name, End end, TimePoint now);
  void EndRun(Worker& worker, const TaskName& name, End end, TimePoint now);
  void AdvanceWorker(Worker& worker, const Context& context, Duration passed);
  void AdvanceRun(Worker& worker, Worker::Run& run, Duration passed,
                  TimePoint now);
  void AdvanceGangs(Duration passed, TimePoint now);
  void Publish(Worker& worker, TimePoint now);
  void BeginLife(Worker& worker, TimePoint now);
  void EndLife(Worker& worker, TimePoint now);
  Duration Speed(const Worker& worker, const Step& step, Duration passed,
                 TimePoint now) const;

  const Hooks hooks;
  const WorkerWatch watch;
  Random random;
  std::deque<Worker> workers;
  std::map<std::string, std::size_t> by_address;
  std::map<RunName, Gang> gangs;
  std::deque<StartOrder> starts;
  std::uint64_t last_born = 0;
  std::uint64_t last_checkpoint = 0;
  std::optional<TimePoint> advanced_at;
};

}  // namespace standin

#endif  // BASILSPREAD_TESTS_PLATFORM_WORKERS_H_
