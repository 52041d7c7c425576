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

/// What an idempotency key of the test begins with.
inline constexpr const char* kKeyPrefix = "key-";

/// What callers asked for and what really happened. Throws Violation as soon
/// as a promise is broken.
class Ledger {
 public:
  explicit Ledger(const Schedule& run_schedule) : schedule(run_schedule) {}

  void OnAsked(CallId call, const std::string& key, bool idempotent,
               Duration answer_due);
  /// The caller's process died: nobody hears the answer.
  void OnCallerLost(CallId call);
  void OnAnswered(const AnswerCaller& answer);
  /// A minion starts a request; its body is its key or its call's number.
  void OnRequestRun(const std::string& body, const HostName& host);

  void OnSubmitted(CallId call, const JobId& job, std::uint32_t tasks,
                   Duration answer_due);
  void OnJobAnswered(const AnswerJobCaller& answer);
  void OnTaskStarted(const TaskAttempt& name, const HostName& host);
  void OnTaskEnded(const TaskAttempt& name, const HostName& host,
                   bool succeeded);

  /// An owner of this epoch writes to a host of its shard.
  void OnOwnerActed(const ShardId& shard, Epoch epoch);

  /// Every caller that could hear an answer has heard it by now.
  void CheckAnswered() const;
  /// Jobs that were accepted and whose tasks have not all succeeded.
  std::vector<JobId> Unfinished() const;

  std::uint64_t Answered() const { return this->answered; }
  std::uint64_t AnsweredWell() const { return this->answered_well; }
  std::uint64_t Accepted() const;

 private:
  struct Call {
    std::string key;
    bool idempotent = false;
    bool lost = false;
    Duration answer_due{};
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
  /// Runs of non-idempotent requests by idempotency key.
  std::map<std::string, std::uint32_t> runs_by_key;
  std::map<JobId, Job> jobs;
  std::map<CallId, JobId> job_calls;
  std::map<TaskId, Task> tasks;
  std::map<ShardId, Epoch> acting;
  std::uint64_t answered = 0;
  std::uint64_t answered_well = 0;
};

}  // namespace random_test

#endif  // BASILSPREAD_CORE_TESTS_RANDOM_LEDGER_H_
