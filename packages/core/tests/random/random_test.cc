#include <rapidcheck.h>
#include <stdlib.h>

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "basilspread/core/invariant.h"
#include "random/scenario.h"
#include "random/test_cluster.h"

namespace random_test {
namespace {

constexpr int kMaxIndex = 24;
constexpr Load kRequests{true, false};
constexpr Load kJobs{false, true};

rc::Gen<Duration> GenDuration(Duration from, Duration to) {
  const auto milliseconds = [](Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
        .count();
  };
  return rc::gen::map(rc::gen::inRange(milliseconds(from), milliseconds(to)),
                      [](std::int64_t count) -> Duration {
                        return std::chrono::milliseconds(count);
                      });
}

rc::Gen<Fault> GenFault() {
  return rc::gen::build<Fault>(
      rc::gen::set(
          &Fault::kind,
          rc::gen::map(rc::gen::inRange(0, kFaultKinds),
                       [](int kind) { return static_cast<FaultKind>(kind); })),
      rc::gen::set(&Fault::at, GenDuration(kFirstFault, kLastFaultStart)),
      rc::gen::set(&Fault::duration, GenDuration(std::chrono::milliseconds(100),
                                                 kMaxFaultDuration)),
      rc::gen::set(&Fault::first,
                   rc::gen::inRange<std::uint32_t>(0, kMaxIndex)),
      rc::gen::set(&Fault::second,
                   rc::gen::inRange<std::uint32_t>(0, kMaxIndex)));
}

rc::Gen<Scenario> GenScenario() {
  return rc::gen::build<Scenario>(
      rc::gen::set(&Scenario::seed,
                   rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>())),
      rc::gen::set(&Scenario::faults,
                   rc::gen::container<std::vector<Fault>>(GenFault())));
}

/// Fixes RapidCheck's parameters unless the environment sets them; RapidCheck
/// reads them once.
void FixSeed() {
  setenv("RC_PARAMS", "seed=20261204 max_success=60 max_size=24", 0);
}

void FailOnBrokenInvariants() {
  basilspread::SetViolationHandler(
      [](std::string_view name, const std::string& detail) {
        throw Violation("invariant " + std::string(name) + ": " + detail);
      });
}

bool GuaranteesHold(Load load) {
  FixSeed();
  FailOnBrokenInvariants();
  return rc::check([load] {
    const Scenario scenario = *GenScenario();
    try {
      TestCluster(scenario, load).Run();
    } catch (const Violation& violation) {
      RC_FAIL(std::string(violation.what()));
    }
  });
}

TEST_CASE("A run without faults answers its callers", "[random][quiet]") {
  FailOnBrokenInvariants();
  Scenario scenario;
  scenario.seed = 1;
  const RunSummary summary = TestCluster(scenario, kRequests).Run();
  CHECK(summary.answered > 1000);
  CHECK(summary.succeeded_calls * 100 > summary.answered * 95);
}

TEST_CASE("Requests and tables keep their guarantees under random faults",
          "[random][requests]") {
  REQUIRE(GuaranteesHold(kRequests));
}

void Survey(Load load) {
  constexpr std::uint64_t kRuns = 300;
  constexpr int kSize = 24;
  FailOnBrokenInvariants();
  std::map<std::string, std::vector<std::string>> broken;
  RunSummary total;
  for (std::uint64_t seed = 0; seed < kRuns; ++seed) {
    const Scenario scenario = GenScenario()(rc::Random(seed), kSize).value();
    try {
      const RunSummary summary = TestCluster(scenario, load).Run();
      total.answered += summary.answered;
      total.succeeded_calls += summary.succeeded_calls;
      total.accepted_jobs += summary.accepted_jobs;
    } catch (const Violation& violation) {
      const std::string what = violation.what();
      broken[what.substr(0, what.find('.'))].push_back(
          "survey seed " + std::to_string(seed) + ": " + what);
    }
  }
  for (const auto& [sentence, cases] : broken) {
    WARN(sentence << ": " << cases.size() << " of " << kRuns << ", first "
                  << cases.front());
  }
  WARN("answers " << total.answered << ", successful " << total.succeeded_calls
                  << ", accepted jobs " << total.accepted_jobs);
  CHECK(broken.empty());
}

/// Surveys run fixed seeds and group violations by their first sentence, so
/// that all kinds show at once.
TEST_CASE("A survey of random runs with requests", "[.survey-requests]") {
  Survey(kRequests);
}

TEST_CASE("A survey of random runs with jobs", "[.survey-jobs]") {
  Survey(kJobs);
}

TEST_CASE("A run without faults finishes its jobs", "[random][quiet]") {
  FailOnBrokenInvariants();
  Scenario scenario;
  scenario.seed = 1;
  const RunSummary summary = TestCluster(scenario, kJobs).Run();
  CHECK(summary.accepted_jobs > 20);
}

TEST_CASE("Jobs keep their guarantees under random faults", "[random][jobs]") {
  REQUIRE(GuaranteesHold(kJobs));
}

}  // namespace
}  // namespace random_test
