#ifndef BASILSPREAD_CORE_TESTS_JOB_FIXTURE_H_
#define BASILSPREAD_CORE_TESTS_JOB_FIXTURE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilspread/core/jobs.h"
#include "virtual_cluster.h"

namespace test {

/// An attempt on a worker.
struct VirtualRun {
  basilspread::TaskStart start;
  basilspread::TaskCondition condition = basilspread::TaskCondition::kRunning;
  TimePoint from;
  TimePoint lease_until;
  bool was_started = false;
};

/// A simulated worker.
struct VirtualWorker {
  basilspread::Host host;
  basilspread::Epoch epoch;
  std::map<basilspread::TaskAttempt, VirtualRun> runs;
  /// Executes and answers no calls.
  bool is_frozen = false;
  bool fails_starts = false;
  int calls = 0;
};

/// Reducers with a log and simulated workers in virtual time. The route "plan"
/// leads to the worker pool "workers".
class JobFixture {
 public:
  JobFixture(std::size_t nodes, std::uint32_t shards);

  void AddWorker(const std::string& name, int cores,
                 const std::string& rack = "rack-1");
  VirtualWorker& Worker(const std::string& name) {
    return this->workers.at(basilspread::HostName{name});
  }

  /// A job of `count` tasks of `cores` cores each.
  static basilspread::JobSpec Spec(const std::string& id, int count, int cores);
  CallId Submit(const basilspread::JobSpec& spec, std::size_t node = 0);
  CallId Ask(basilspread::JobOperation operation, const std::string& job,
             std::size_t node = 0);
  /// Submits a job and runs until its answer arrives.
  basilspread::JobAnswer SubmitAndWait(const basilspread::JobSpec& spec,
                                       std::size_t node = 0);
  basilspread::JobStatus StatusOf(const std::string& job, std::size_t node = 0);
  bool RunUntilState(const std::string& job, basilspread::JobState state,
                     Duration limit);

  /// Ends every run of the task with `condition`.
  void Finish(const std::string& task, basilspread::TaskCondition condition);
  /// Number of starts of a task on all workers.
  int Starts(const std::string& task) const;
  /// Number of its runs that are running under a valid lease.
  int Running(const std::string& task) const;

  VirtualCluster cluster;
  std::map<basilspread::HostName, VirtualWorker> workers;
  std::map<CallId, basilspread::JobAnswer> answers;
  /// Starts that left a worker with more reserved than its capacity.
  int overcommits = 0;

 private:
  void OnCall(std::size_t node, const basilspread::CallWorker& call);
  void Run(VirtualWorker& worker, const basilspread::CallWorker& call,
           const basilspread::WorkerCommand& command);
  void Start(VirtualWorker& worker, const basilspread::TaskStart& start,
             Duration lease);
  void Lapse(VirtualWorker& worker) const;
  void CountOvercommit(const VirtualWorker& worker);

  std::uint64_t last_call = 1000;
};

}  // namespace test

#endif  // BASILSPREAD_CORE_TESTS_JOB_FIXTURE_H_
