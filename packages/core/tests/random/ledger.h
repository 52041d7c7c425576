#ifndef BASILSPREAD_CORE_TESTS_RANDOM_LEDGER_H_
#define BASILSPREAD_CORE_TESTS_RANDOM_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilspread/core/effect.h"
#include "basilspread/core/ids.h"
#include "random/schedule.h"

namespace random_test {

using basilspread::AnswerCaller;
using basilspread::AnswerJobCaller;
using basilspread::CallId;
using basilspread::Epoch;
using basilspread::HostName;
using basilspread::JobId;
using basilspread::ShardId;
using basilspread::TaskAttempt;
using basilspread::TaskId;

/// Prefix of the idempotency keys that the test uses.
inline constexpr const char* kKeyPrefix = "key-";

/// Records what callers requested and what ran, and throws Violation as soon as
/// a guarantee is broken.
class Ledger {
 public:
  explicit Ledger(const Schedule& run_schedule) : schedule(run_schedule) {}

  void OnCallSent(CallId call, const std::string& key, bool idempotent,
                  Duration answer_deadline);
  /// The process that the caller was connected to died, so no answer is due.
  void OnCallerLost(CallId call);
  void OnAnswered(const AnswerCaller& answer);
  /// A minion starts a request, whose body is its key or the number of its
  /// call.
  void OnRequestRun(const std::string& body, const HostName& host);

  void OnSubmitted(CallId call, const JobId& job, std::uint32_t tasks,
                   Duration answer_deadline);
  void OnJobAnswered(const AnswerJobCaller& answer);
  void OnTaskStarted(const TaskAttempt& name, const HostName& host);
  void OnTaskEnded(const TaskAttempt& name, const HostName& host,
                   bool succeeded);

  /// An owner in this epoch calls a host of its shard.
  void OnOwnerActed(const ShardId& shard, Epoch epoch);

  /// Checks that every call whose deadline has passed is answered or lost.
  void CheckAnswered() const;
  /// Accepted jobs with tasks that have not succeeded.
  std::vector<JobId> UnfinishedJobs() const;

  std::uint64_t Answered() const { return this->answered; }
  std::uint64_t Succeeded() const { return this->succeeded_calls; }
  std::uint64_t AcceptedJobs() const;

 private:
  struct Call {
    std::string key;
    bool idempotent = false;
    bool lost = false;
    Duration answer_deadline{};
    std::optional<basilspread::ErrorKind> answer;
    std::uint32_t runs = 0;
  };

  struct Job {
    CallId call;
    std::uint32_t tasks = 0;
    std::optional<basilspread::ErrorKind> answer;
    bool started = false;
  };

  struct Task {
    std::map<HostName, std::uint32_t> running;
    std::uint32_t successes = 0;
  };

  [[noreturn]] void Fail(const std::string& what) const;
  static JobId JobOf(const TaskId& task);

  const Schedule& schedule;
  std::map<CallId, Call> calls;
  /// Number of runs for each idempotency key.
  std::map<std::string, std::uint32_t> runs_by_key;
  std::map<JobId, Job> jobs;
  std::map<CallId, JobId> job_calls;
  std::map<TaskId, Task> tasks;
  /// Highest epoch in which an owner has called a host, by shard.
  std::map<ShardId, Epoch> highest_epoch;
  std::uint64_t answered = 0;
  std::uint64_t succeeded_calls = 0;
};

}  // namespace random_test

#endif  // BASILSPREAD_CORE_TESTS_RANDOM_LEDGER_H_
