#include "exposition.h"

#include <fmt/format.h>

#include <cstdint>

namespace basilspread::node {
namespace {

/// Escapes the value of a label.
std::string Escape(std::string_view value) {
  std::string escaped;
  for (const char character : value) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      escaped += '\\';
    }
    escaped += character;
  }
  return escaped;
}

std::string FormatLabel(std::string_view label, std::string_view value) {
  return label.empty() ? "" : fmt::format("{}=\"{}\"", label, Escape(value));
}

std::string Join(const std::string& first, const std::string& second) {
  return first.empty() ? second : fmt::format("{},{}", first, second);
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void Exposition::Begin(std::string_view name, std::string_view type,
                       std::string_view help) {
  this->family = name;
  this->text +=
      fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

void Exposition::AddLine(std::string_view suffix, std::string_view labels,
                         double value) {
  this->text +=
      labels.empty()
          ? fmt::format("{}{} {}\n", this->family, suffix, value)
          : fmt::format("{}{}{{{}}} {}\n", this->family, suffix, labels, value);
}

void Exposition::Add(std::string_view label, std::string_view label_value,
                     double value) {
  this->AddLine("", FormatLabel(label, label_value), value);
}

void Exposition::Add(std::string_view label, std::string_view label_value,
                     const LatencyHistogram& histogram) {
  const std::string labels = FormatLabel(label, label_value);
  for (const CumulativeBucket& bucket : histogram.Buckets()) {
    const std::string bound =
        FormatLabel("le", fmt::format("{}", Seconds(bucket.bound)));
    this->AddLine("_bucket", Join(labels, bound),
                  static_cast<double>(bucket.count));
  }
  const auto count = static_cast<double>(histogram.Count());
  this->AddLine("_bucket", Join(labels, FormatLabel("le", "+Inf")), count);
  this->AddLine("_sum", labels, Seconds(histogram.Sum()));
  this->AddLine("_count", labels, count);
}

void Exposition::Add(std::string_view label, std::string_view label_value,
                     const DurationSummary& summary) {
  const std::string labels = FormatLabel(label, label_value);
  const auto add = [&](std::string_view quantile, Duration value) {
    this->AddLine("", Join(labels, FormatLabel("quantile", quantile)),
                  Seconds(value));
  };
  add("0.5", summary.p50);
  add("0.9", summary.p90);
  add("0.99", summary.p99);
  const auto count = static_cast<double>(summary.count);
  this->AddLine("_sum", labels, Seconds(summary.mean) * count);
  this->AddLine("_count", labels, count);
}

}  // namespace basilspread::node
