#include "metrics.h"

#include <fmt/format.h>

#include <utility>

#include "process_usage.h"
#include "thread_usage.h"

namespace basilspread::node {
namespace {

/// Route names come from callers and are unbounded, so those beyond this limit
/// share a row.
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

std::string_view NameOf(MetricType type) {
  switch (type) {
    case MetricType::kCounter:
      return "counter";
    case MetricType::kGauge:
      return "gauge";
    case MetricType::kHistogram:
      return "histogram";
  }
  return "untyped";
}

/// Adds the series of one metric.
template <typename Series>
void AddSeries(const Series& series, const MetricInfo& info, Exposition& text) {
  for (auto entry = series.lower_bound({info.metric, ""});
       entry != series.end() && entry->first.first == info.metric; ++entry) {
    text.Add(info.label, entry->first.second, entry->second);
  }
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

void Metrics::AddEvent(std::string_view kind, Duration waited, Duration took) {
  const std::lock_guard lock(this->mutex);
  auto found = this->events.find(kind);
  if (found == this->events.end()) {
    found = this->events.try_emplace(std::string(kind)).first;
  }
  found->second.Add(took);
  this->event_waits.Add(waited);
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

void Metrics::AddExchangeTurn(std::size_t open_calls, Duration took) {
  const std::lock_guard lock(this->mutex);
  this->open_exchanges = open_calls;
  this->exchange_turns.Add(took);
}

void Metrics::AddExceeded(ConnectionLimit limit) {
  const std::lock_guard lock(this->mutex);
  ++this->exceeded.at(static_cast<std::size_t>(limit));
}

void Metrics::SetConnections(const ConnectionUsage& usage) {
  const std::lock_guard lock(this->mutex);
  this->connections = usage;
}

void Metrics::Count(Metric metric, const std::string& label, double amount) {
  const std::lock_guard lock(this->mutex);
  this->values[{metric, label}] += amount;
}

void Metrics::Observe(Metric metric, const std::string& label, Duration time) {
  const std::lock_guard lock(this->mutex);
  this->histograms[{metric, label}].Add(time);
}

void Metrics::Set(Metric metric, const std::string& label, double value) {
  const std::lock_guard lock(this->mutex);
  this->values[{metric, label}] = value;
}

std::string Metrics::Expose() const {
  const std::lock_guard lock(this->mutex);
  Exposition text;
  this->ExposeTable(text);
  this->ExposeRoutes(text);
  this->ExposeExchanges(text);
  this->ExposeConnections(text);
  this->ExposeProcess(text);
  return text.Text();
}

void Metrics::ExposeTable(Exposition& text) const {
  for (std::size_t i = 0; i < kMetricCount; ++i) {
    const MetricInfo& info = InfoOf(static_cast<Metric>(i));
    text.Begin(info.name, NameOf(info.type), info.help);
    AddSeries(this->values, info, text);
    AddSeries(this->histograms, info, text);
  }
}

void Metrics::ExposeRoutes(Exposition& text) const {
  text.Begin("basilspread_answers_total", "counter",
             "Answers to requests of the product's own interface, by kind.");
  for (const auto& [route, stats] : this->routes) {
    for (const auto& [kind, count] : stats.kinds) {
      text.Add("kind", fmt::format("{}/{}", route.value, AnswerFor(kind).name),
               static_cast<double>(count));
    }
  }
  text.Begin("basilspread_answer_seconds", "summary",
             "Time from a request's arrival to its answer, by route.");
  for (const auto& [route, stats] : this->routes) {
    text.Add("route", route.value, stats.times.Summarize());
  }
}

void Metrics::ExposeExchanges(Exposition& text) const {
  text.Begin("basilspread_exchange_seconds", "summary",
             "Time of calls to other services, by kind of call.");
  for (const auto& [service, stats] : this->exchanges) {
    text.Add("service", service, stats.times.Summarize());
  }
  text.Begin("basilspread_exchange_failures_total", "counter",
             "Calls to other services without a usable answer.");
  for (const auto& [service, stats] : this->exchanges) {
    text.Add("service", service, static_cast<double>(stats.failures));
  }
  text.Begin("basilspread_exchanges_length", "gauge",
             "Calls to other services without an answer.");
  text.Add("", "", static_cast<double>(this->open_exchanges));
  text.Begin("basilspread_exchange_turn_seconds", "summary",
             "Time of one turn of the thread that makes calls.");
  text.Add("", "", this->exchange_turns.Summarize());
}

void Metrics::ExposeConnections(Exposition& text) const {
  text.Begin("basilspread_limits_exceeded_total", "counter",
             "Connections closed and messages rejected over a limit.");
  for (std::size_t i = 0; i < kConnectionLimits; ++i) {
    text.Add("limit", std::string(NameOf(static_cast<ConnectionLimit>(i))),
             static_cast<double>(this->exceeded.at(i)));
  }
  text.Begin("basilspread_connections_open", "gauge",
             "Connections of all ports and to other services.");
  text.Add("", "", static_cast<double>(this->connections.connections));
  text.Begin("basilspread_connections_memory_bytes", "gauge",
             "Memory that all connections hold.");
  text.Add("", "", static_cast<double>(this->connections.bytes));
  text.Begin("basilspread_connections_memory_limit_bytes", "gauge",
             "Memory that all connections may hold.");
  text.Add("", "", static_cast<double>(this->connections.max_bytes));
}

void Metrics::ExposeProcess(Exposition& text) const {
  constexpr double kBytesPerKibibyte = 1024;
  text.Begin("basilspread_event_seconds", "summary",
             "Time that the control thread takes over one event, by kind.");
  for (const auto& [kind, stats] : this->events) {
    text.Add("kind", kind, stats.Summarize());
  }
  text.Begin("basilspread_event_wait_seconds", "summary",
             "Time that events wait for the control thread.");
  text.Add("", "", this->event_waits.Summarize());
  text.Begin("basilspread_thread_cpu_seconds_total", "counter",
             "Processor time, by thread.");
  for (const ThreadUsage& thread : ReadThreadUsage()) {
    text.Add("thread", thread.name,
             std::chrono::duration<double>(thread.cpu_time).count());
  }
  const ProcessUsage usage = ReadProcessUsage();
  text.Begin("process_cpu_seconds_total", "counter",
             "Processor time of all threads.");
  text.Add("", "", std::chrono::duration<double>(usage.cpu_time).count());
  text.Begin("process_resident_memory_bytes", "gauge", "Resident memory.");
  text.Add("", "",
           static_cast<double>(usage.resident_kibibytes) * kBytesPerKibibyte);
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

ReportSection Metrics::DescribeEvents() const {
  ReportSection section{"time of one event", {}};
  ReportRow waits{{"kind", "(wait)"}};
  AddSummary(waits, this->event_waits);
  section.rows.push_back(std::move(waits));
  for (const auto& [kind, stats] : this->events) {
    ReportRow row{{"kind", kind}};
    AddSummary(row, stats);
    section.rows.push_back(std::move(row));
  }
  return section;
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
          this->DescribeEvents(), this->DescribeExchanges()};
}

}  // namespace basilspread::node
