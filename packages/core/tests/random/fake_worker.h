#ifndef BASILSPREAD_CORE_TESTS_RANDOM_FAKE_WORKER_H_
#define BASILSPREAD_CORE_TESTS_RANDOM_FAKE_WORKER_H_

#include <map>
#include <set>

#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "basilspread/core/resources.h"
#include "random/ledger.h"
#include "random/schedule.h"

namespace random_test {

using basilspread::CallWorker;
using basilspread::ListedTask;
using basilspread::Resources;
using basilspread::TaskCondition;
using basilspread::WorkerAnswered;

/// In-memory worker: starts every task that it is given, whether it fits or
/// not, refuses calls of older epochs, and stops tasks whose lease lapses.
class FakeWorker {
 public:
  FakeWorker(Schedule& run_schedule, Ledger& run_ledger, HostName host_name,
             Resources host_capacity)
      : schedule(run_schedule),
        ledger(run_ledger),
        name(std::move(host_name)),
        capacity(host_capacity) {}

  /// Executes the call and returns the answer.
  WorkerAnswered Handle(const CallWorker& call);

  int dropping_answers = 0;
  int failing = 0;
  int slow = 0;
  int unreachable = 0;
  std::multiset<basilspread::NodeName> cut;

 private:
  struct Task {
    ListedTask listed;
    Resources reserved;
    Duration lease_until{};
  };

  void Start(const basilspread::TaskStart& start, Duration lease);
  void Stop(const TaskAttempt& attempt);
  void Renew(const TaskAttempt& attempt, Duration lease);
  void End(Task& task, TaskCondition condition);
  void WatchLease(const TaskAttempt& attempt);
  void CheckCapacity() const;

  Schedule& schedule;
  Ledger& ledger;
  HostName name;
  Resources capacity;
  Epoch epoch;
  std::map<TaskAttempt, Task> tasks;
};

}  // namespace random_test

#endif  // BASILSPREAD_CORE_TESTS_RANDOM_FAKE_WORKER_H_
