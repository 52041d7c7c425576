#include "support/quota_world.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <utility>

namespace basilspread::test {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kCore = 1000;
constexpr const char* kWorkers[] = {"w1", "w2", "w3", "w4"};

}  // namespace

std::string WorkspaceId(const std::string& workspace, int number) {
  return (workspace == "first" ? "00000000000000a" : "00000000000000b") +
         std::to_string(number);
}

WorkspaceTable MakeQuotaTable(std::int64_t cores) {
  WorkspaceTable table;
  for (const std::string name : {"first", "other"}) {
    const WorkspaceName workspace{name};
    Workspace row;
    row.name = workspace;
    row.quota.cpu_millicores = name == "first" ? cores * kCore : 0;
    table.rows.emplace(workspace, row);
    table.by_key.emplace(name, workspace);
  }
  return table;
}

QuotaWorld::QuotaWorld()
    : StoreWorld(3, {std::begin(kWorkers), std::end(kWorkers)},
                 RelayMode::kOff) {
  REQUIRE(this->Leader() >= 0);
  this->PublishWorkspaces(MakeQuotaTable(3));
  this->Run(milliseconds(50));
}

CallId QuotaWorld::SubmitAs(const std::string& workspace, int number,
                            std::vector<StepSpec> steps) {
  this->api_key = workspace;
  return this->Submit(this->Leader(), WorkspaceId(workspace, number),
                      std::move(steps), "/previews/");
}

SubmissionState QuotaWorld::StateAs(const std::string& workspace, int number) {
  this->api_key = workspace;
  const auto state =
      this->StatusOf(this->Leader(), WorkspaceId(workspace, number));
  REQUIRE(state);
  return *state;
}

int QuotaWorld::Running(const std::string& workspace) {
  const std::string prefix = WorkspaceId(workspace, 0).substr(0, 15);
  int count = 0;
  for (const char* name : kWorkers) {
    for (const auto& [task, run] : this->Worker(name).runs) {
      count += task.submission.value.starts_with(prefix) ? 1 : 0;
    }
  }
  return count;
}

int QuotaWorld::MostRunning(Duration duration) {
  int most = 0;
  for (const TimePoint end = this->Now() + duration; this->Now() < end;) {
    this->Run(milliseconds(20));
    most = std::max(most, this->Running("first"));
  }
  return most;
}

}  // namespace basilspread::test
