#include "random/scenario.h"

#include <array>
#include <ostream>

namespace random_test {
namespace {

constexpr std::array<const char*, kFaultKinds> kNames = {
    "kill",
    "pause",
    "stop",
    "log-down",
    "log-lose-answers",
    "log-slow",
    "log-cut",
    "peer-cut",
    "peer-silent",
    "peer-slow",
    "list-lag",
    "minion-refuses",
    "minion-freezes",
    "minion-loses-answers",
    "minion-fails",
    "host-leaves",
    "worker-cut",
    "worker-unreachable",
    "worker-loses-answers",
    "worker-slow",
    "worker-fails",
    "edit",
    "racing-edits",
};

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Scenario& scenario) {
  out << "seed=" << scenario.seed;
  for (const Fault& fault : scenario.faults) {
    out << "\n  " << kNames.at(static_cast<std::size_t>(fault.kind))
        << " at=" << Milliseconds(fault.at)
        << "ms duration=" << Milliseconds(fault.duration)
        << "ms first=" << fault.first << " second=" << fault.second;
  }
  return out;
}

}  // namespace random_test
