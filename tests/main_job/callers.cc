#include "main_job/callers.h"

#include <fmt/format.h>

#include <optional>

#include "support/http.h"
#include "support/process.h"

namespace main_job {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// A caller gives up when it was not served for this long.
constexpr milliseconds kPatience = std::chrono::seconds(40);

/// A caller that was told so often that the outcome is unknown believes it.
constexpr int kMaxUnknownAnswers = 5;

/// Header of a response; empty when it has none.
std::string HeaderOf(const test::Response& response, const std::string& name) {
  const auto found = response.headers.find(name);
  return found == response.headers.end() ? "" : found->second;
}

milliseconds Since(steady_clock::time_point start) {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
}

/// One request and what its answers mean for a next try.
class RequestCaller {
 public:
  RequestCaller(const Addresses& entry_ports, const RequestPlan& request_plan,
                int request_number)
      : entries(entry_ports), plan(request_plan), number(request_number) {
    this->entry.id = fmt::format("{}-{}-{}", this->plan.route,
                                 this->plan.caller, this->number);
  }

  Entry Run() {
    const auto start = steady_clock::now();
    test::Eventually([this] { return this->TryOnce(); }, kPatience);
    this->entry.waited = Since(start) - this->plan.work;
    return this->entry;
  }

 private:
  /// True when no further try is due.
  bool TryOnce() {
    const int sum = this->plan.caller + this->number + this->tries;
    const auto turn = static_cast<std::size_t>(sum);
    ++this->tries;
    const test::Response response =
        test::Call(this->entries[turn % this->entries.size()], "POST",
                   "/route/" + this->plan.route, this->entry.id,
                   {{"X-Team", "installers"},
                    {"X-Request-Id", this->entry.id},
                    {"Idempotency-Key", this->entry.id},
                    {"X-Work", std::to_string(this->plan.work.count())}});
    if (response.status == 200 && response.body == this->entry.id) {
      this->entry.outcome = Outcome::kFinished;
      return true;
    }
    const std::string execution = HeaderOf(response, "X-Execution");
    if (execution == "not-run") {
      // A true "not run" after a try of unknown outcome says nothing of it.
      return false;
    }
    // No whole answer, or the answer that the outcome is unknown. The same
    // idempotency key makes a repeat safe through any entry process.
    this->entry.outcome = Outcome::kUnknown;
    this->unknown_answers += execution == "unknown" ? 1 : 0;
    return this->unknown_answers >= kMaxUnknownAnswers;
  }

  const Addresses& entries;
  const RequestPlan& plan;
  const int number;
  int tries = 0;
  int unknown_answers = 0;
  Entry entry;
};

std::string JobBody(const JobPlan& plan) {
  return fmt::format(
      R"({{"id":"{}","route":"estate","team":"installers","gang":{},)"
      R"("run":"work {}","tasks":[{{"count":{},"cpu_millicores":1000,)"
      R"("memory_mebibytes":256}}]}})",
      plan.id, plan.gang ? "true" : "false", plan.work.count(), plan.tasks);
}

bool IsFinished(const test::Response& response) {
  return response.status == 200 &&
         response.body.find(R"("state":"finished")") != std::string::npos;
}

}  // namespace

void SendRequests(const Addresses& entries, const RequestPlan& plan,
                  Ledger& ledger) {
  for (int i = 0; i < plan.count; ++i) {
    ledger.Add(plan.route, RequestCaller(entries, plan, i).Run());
  }
}

void RunJob(const Addresses& entries, const JobPlan& plan, Ledger& ledger) {
  const auto start = steady_clock::now();
  Entry entry;
  entry.id = plan.id;
  std::size_t turn = 0;
  const auto next = [&entries, &turn] {
    return entries[turn++ % entries.size()];
  };
  // Submission is idempotent by the job's identifier.
  const bool is_accepted = test::Eventually(
      [&] {
        return test::Call(next(), "POST", "/jobs", JobBody(plan)).status == 200;
      },
      kPatience);
  const bool is_finished =
      is_accepted &&
      test::Eventually(
          [&] {
            return IsFinished(test::Call(
                next(), "GET", "/jobs/" + plan.id + "/wait?timeout=2s"));
          },
          kPatience);
  entry.outcome = is_finished   ? Outcome::kFinished
                  : is_accepted ? Outcome::kUnknown
                                : Outcome::kRefused;
  entry.waited = Since(start) - plan.work;
  ledger.Add(plan.gang ? "gang" : "job", entry);
}

}  // namespace main_job
