#ifndef BASILSPREAD_NODE_METRICS_H_
#define BASILSPREAD_NODE_METRICS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include "basilspread/core/error.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/metric.h"
#include "basilspread/core/report.h"
#include "basilspread/core/time.h"
#include "connection_budget.h"
#include "duration_stats.h"
#include "exposition.h"
#include "latency_histogram.h"

namespace basilspread::node {

/// Measurements of a process since its start. Thread-safe.
class Metrics {
 public:
  /// Records an answer to a caller; `time` is counted from the arrival of the
  /// request.
  void AddAnswer(const RouteName& route, ErrorKind kind, Duration time);
  /// Records an event by its kind, the time that it was queued for the control
  /// thread, and the time that handling it took.
  void AddEvent(std::string_view kind, Duration waited, Duration took);
  /// Records the duration and success of a call to another service.
  void AddExchange(std::string_view service, bool is_ok, Duration time);

  /// Records a turn of the loop that makes these calls: the calls open at its
  /// end, and its duration.
  void AddExchangeTurn(std::size_t open_calls, Duration took);

  /// Counts a limit of connections or messages that was exceeded.
  void AddExceeded(ConnectionLimit limit);
  void SetConnections(const ConnectionUsage& usage);

  void Count(Metric metric, const std::string& label, double amount);
  void Observe(Metric metric, const std::string& label, Duration time);
  void Set(Metric metric, const std::string& label, double value);

  /// All measurements in the Prometheus text format.
  std::string Expose() const;
  /// Tables of counts and times in milliseconds.
  StateReport Describe() const;

 private:
  struct RouteStats {
    DurationStats times;
    std::map<ErrorKind, std::uint64_t> kinds;
  };
  struct ExchangeStats {
    DurationStats times;
    std::uint64_t failures = 0;
  };

  void ExposeTable(Exposition& text) const;
  void ExposeRoutes(Exposition& text) const;
  void ExposeExchanges(Exposition& text) const;
  void ExposeConnections(Exposition& text) const;
  void ExposeProcess(Exposition& text) const;
  ReportSection DescribeRoutes() const;
  ReportSection DescribeAnswers() const;
  ReportSection DescribeEvents() const;
  ReportSection DescribeExchanges() const;

  mutable std::mutex mutex;
  std::map<RouteName, RouteStats> routes;
  std::map<std::string, DurationStats, std::less<>> events;
  DurationStats event_waits;
  std::map<std::string, ExchangeStats, std::less<>> exchanges;
  std::size_t open_exchanges = 0;
  DurationStats exchange_turns;
  std::array<std::uint64_t, kConnectionLimits> exceeded{};
  ConnectionUsage connections;
  /// Counters and gauges, and histograms, by metric and label.
  std::map<std::pair<Metric, std::string>, double> values;
  std::map<std::pair<Metric, std::string>, LatencyHistogram> histograms;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_METRICS_H_
