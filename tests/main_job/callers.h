#ifndef BASILSPREAD_TESTS_MAIN_JOB_CALLERS_H_
#define BASILSPREAD_TESTS_MAIN_JOB_CALLERS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "main_job/ledger.h"
#include "support/cluster.h"

namespace main_job {

/// The entry processes' addresses, tried in turn as a balancer would.
using Addresses = std::vector<std::uint16_t>;

/// Requests of one route that one caller sends one after another.
struct RequestPlan {
  std::string route;
  /// Callers of a plan run side by side; each has its own number.
  int caller = 0;
  int count = 0;
  std::chrono::milliseconds work{};
  bool idempotent = false;
};

/// Sends the plan's requests and enters what came of each.
void SendRequests(const Addresses& entries, const RequestPlan& plan,
                  Ledger& ledger);

/// A job to be submitted and awaited.
struct JobPlan {
  std::string id;
  int tasks = 1;
  bool gang = false;
  std::chrono::milliseconds work{};
};

/// Submits the job, waits for its end, and enters what came of it.
void RunJob(const Addresses& entries, const JobPlan& plan, Ledger& ledger);

}  // namespace main_job

#endif  // BASILSPREAD_TESTS_MAIN_JOB_CALLERS_H_
