#ifndef BASILSPREAD_NODE_EXPOSITION_H_
#define BASILSPREAD_NODE_EXPOSITION_H_

#include <string>
#include <string_view>

#include "duration_stats.h"
#include "latency_histogram.h"

namespace basilspread::node {

/// Writes metrics in the Prometheus text exposition format, version 0.0.4.
class Exposition {
 public:
  /// Begins a metric family; `type` is "counter", "gauge", "histogram" or
  /// "summary".
  void Begin(std::string_view family, std::string_view type,
             std::string_view help);
  /// Adds a series to the current family, without a label if `label` is empty.
  void Add(std::string_view label, std::string_view label_value, double value);
  void Add(std::string_view label, std::string_view label_value,
           const LatencyHistogram& histogram);
  void Add(std::string_view label, std::string_view label_value,
           const DurationSummary& summary);

  const std::string& Text() const { return this->text; }

 private:
  void AddLine(std::string_view suffix, std::string_view labels, double value);

  std::string family;
  std::string text;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_EXPOSITION_H_
