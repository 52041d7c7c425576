#include "exposition.h"

#include <catch2/catch.hpp>
#include <sstream>

#include "metrics.h"

namespace basilspread::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool HasLine(const std::string& text, const std::string& line) {
  std::istringstream lines(text);
  for (std::string next; std::getline(lines, next);) {
    if (next == line) {
      return true;
    }
  }
  return false;
}

TEST_CASE("Counters of a family share one TYPE line", "[metrics]") {
  Metrics metrics;
  metrics.Count(Metric::kCalls, "ok", 1);
  metrics.Count(Metric::kCalls, "ok", 2);
  metrics.Count(Metric::kCalls, "overloaded", 1);
  const std::string text = metrics.Expose();
  CHECK(HasLine(text, "# TYPE basilspread_calls_total counter"));
  CHECK(HasLine(text, "basilspread_calls_total{outcome=\"ok\"} 3"));
  CHECK(HasLine(text, "basilspread_calls_total{outcome=\"overloaded\"} 1"));
}

TEST_CASE("A histogram counts each duration in all buckets with a larger bound",
          "[metrics]") {
  Metrics metrics;
  metrics.Observe(Metric::kAcceptTime, "", milliseconds(3));
  metrics.Observe(Metric::kAcceptTime, "", milliseconds(30));
  metrics.Observe(Metric::kAcceptTime, "", seconds(600));
  const std::string text = metrics.Expose();
  CHECK(HasLine(text, "basilspread_accept_seconds_bucket{le=\"0.002\"} 0"));
  CHECK(HasLine(text, "basilspread_accept_seconds_bucket{le=\"0.005\"} 1"));
  CHECK(HasLine(text, "basilspread_accept_seconds_bucket{le=\"0.05\"} 2"));
  CHECK(HasLine(text, "basilspread_accept_seconds_bucket{le=\"60\"} 2"));
  CHECK(HasLine(text, "basilspread_accept_seconds_bucket{le=\"+Inf\"} 3"));
  CHECK(HasLine(text, "basilspread_accept_seconds_count 3"));
  CHECK(HasLine(text, "basilspread_accept_seconds_sum 600.033"));
}

TEST_CASE("Label values are escaped", "[metrics]") {
  Exposition text;
  text.Begin("family", "counter", "help");
  text.Add("route", "a\"b\\c\nd", 1);
  CHECK(HasLine(text.Text(), "family{route=\"a\\\"b\\\\c\\nd\"} 1"));
}

}  // namespace
}  // namespace basilspread::node
