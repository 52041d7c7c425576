#include "metrics.h"

#include <fmt/format.h>

#include <utility>

namespace basilspread::node {
namespace {

/// Callers choose route names freely, so those beyond the limit share a row.
constexpr std::size_t kMaxRoutes = 256;
constexpr const char* kOtherRoutes = "(other)";

std::string Milliseconds(Duration duration) {
  const std::chrono::duration<double, std::milli> milliseconds = duration;
  return fmt::format("{:.3f}", milliseconds.count());
}

void AddSummary(ReportRow& row, const DurationStats& stats) {
  const DurationSummary summary = stats.Summarize();
  row.emplace_back("count", fmt::format("{}", summary.count));
  row.emplace_back("mean_ms", Milliseconds(summary.mean));
  row.emplace_back("p50_ms", Milliseconds(summary.p50));
  row.emplace_back("p90_ms", Milliseconds(summary.p90));
  row.emplace_back("p99_ms", Milliseconds(summary.p99));
  row.emplace_back("max_ms", Milliseconds(summary.max));
}

}  // namespace

void Metrics::AddAnswer(const RouteName& route, ErrorKind kind, Duration time) {
  const std::lock_guard lock(this->mutex);
  const bool has_room =
      this->routes.size() < kMaxRoutes || this->routes.contains(route);
  RouteStats& stats = this->routes[has_room ? route : RouteName{kOtherRoutes}];
  stats.times.Add(time);
  ++stats.kinds[kind];
}

void Metrics::AddReduction(Duration time) {
  const std::lock_guard lock(this->mutex);
  this->reductions.Add(time);
}

void Metrics::AddExchange(std::string_view service, bool is_ok, Duration time) {
  const std::lock_guard lock(this->mutex);
  auto found = this->exchanges.find(service);
  if (found == this->exchanges.end()) {
    found = this->exchanges.try_emplace(std::string(service)).first;
  }
  found->second.times.Add(time);
  found->second.failures += is_ok ? 0 : 1;
}

ReportSection Metrics::DescribeRoutes() const {
  ReportSection section{"answer times by route", {}};
  for (const auto& [route, stats] : this->routes) {
    ReportRow row{{"route", route.value}};
    AddSummary(row, stats.times);
    section.rows.push_back(std::move(row));
  }
  return section;
}

ReportSection Metrics::DescribeAnswers() const {
  ReportSection section{"answers by kind", {}};
  for (const auto& [route, stats] : this->routes) {
    for (const auto& [kind, count] : stats.kinds) {
      section.rows.push_back({{"route", route.value},
                              {"kind", std::string(AnswerFor(kind).name)},
                              {"count", fmt::format("{}", count)}});
    }
  }
  return section;
}

ReportSection Metrics::DescribeReductions() const {
  ReportRow row{{"thread", "control"}};
  AddSummary(row, this->reductions);
  return {"time of one event", {std::move(row)}};
}

ReportSection Metrics::DescribeExchanges() const {
  ReportSection section{"exchanges by service", {}};
  for (const auto& [service, stats] : this->exchanges) {
    ReportRow row{{"service", service},
                  {"failures", fmt::format("{}", stats.failures)}};
    AddSummary(row, stats.times);
    section.rows.push_back(std::move(row));
  }
  return section;
}

StateReport Metrics::Describe() const {
  const std::lock_guard lock(this->mutex);
  return {this->DescribeRoutes(), this->DescribeAnswers(),
          this->DescribeReductions(), this->DescribeExchanges()};
}

}  // namespace basilspread::node
