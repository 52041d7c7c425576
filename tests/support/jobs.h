#ifndef BASILSPREAD_TESTS_SUPPORT_JOBS_H_
#define BASILSPREAD_TESTS_SUPPORT_JOBS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "support/cluster.h"

namespace test {

/// One attempt as a worker saw it, in milliseconds of the monotonic clock.
struct TaskRun {
  std::string worker;
  std::string task;
  unsigned attempt = 0;
  std::string state;
  std::int64_t from = 0;
  std::int64_t to = 0;
};

/// What the workers counted, summed up.
struct WorkerTotals {
  int starts = 0;
  int overcommits = 0;
  int doubles = 0;
  int calls = 0;
  std::vector<TaskRun> runs;
};

/// Sums over the workers that answer.
WorkerTotals ReadTotals(const Cluster& cluster);

/// The tasks that ran in two places at once, as "task: worker, worker".
std::vector<std::string> Overlaps(const std::vector<TaskRun>& runs);

/// State of the job, asked through this entry process; empty on an error.
std::string JobStateAt(const EntryProcess& entry, const std::string& job);

/// The body of a job of `count` tasks of one core that run `command`.
std::string JobBody(const std::string& id, int count,
                    const std::string& command, const std::string& more = "");

}  // namespace test

#endif  // BASILSPREAD_TESTS_SUPPORT_JOBS_H_
