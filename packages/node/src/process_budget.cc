#include "process_budget.h"

#include <memory>

#include "allocator.h"
#include "limit_reports.h"
#include "line_log.h"

namespace basilspread::node {
namespace {

constexpr std::string_view kPart = "connections";

void WriteReport(ConnectionLimit limit, std::uint64_t times) {
  Log(LogLevel::kWarning, kPart,
      "A limit of connections was exceeded; connections were closed.",
      {{"limit", NameOf(limit)}, {"times", times}});
}

}  // namespace

ConnectionBudgetPtr MakeBudget(const config::NodeSettings& settings,
                               Metrics& metrics) {
  const auto reports = std::make_shared<LimitReports>(WriteReport);
  ConnectionBudget::Hooks hooks;
  hooks.on_exceeded = [&metrics, reports](ConnectionLimit limit) {
    metrics.AddExceeded(limit);
    reports->Add(limit, std::chrono::steady_clock::now());
  };
  hooks.release_memory = ReleaseFreeMemory;
  return ConnectionBudgetPtr(
      new ConnectionBudget(BudgetLimits(settings), std::move(hooks)));
}

}  // namespace basilspread::node
