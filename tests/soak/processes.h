#ifndef BASILSPREAD_TESTS_SOAK_PROCESSES_H_
#define BASILSPREAD_TESTS_SOAK_PROCESSES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/submission.h"
#include "soak/event.h"
#include "soak/host.h"
#include "support/process.h"

namespace soak {

/// The real processes: starts and signals them by id, and measures them.
class Processes {
 public:
  /// Settings, logs and clocks stand in `folder`.
  Processes(std::string folder, std::vector<HostSettings> settings);

  void Start(std::size_t host);
  void Signal(std::size_t host, int number) const;
  void WriteSettings(std::size_t host, const std::string& log_level) const;
  /// The steady clock of the host's process falls behind by so much.
  void SuspendClock(std::size_t host, Duration missed) const;
  /// What has ended since the last call.
  std::vector<HostEnded> TakeEnded();
  std::vector<HostMeasured> Measure() const;

 private:
  std::string PathOf(std::size_t host, const std::string& suffix) const;

  const std::string folder;
  const std::vector<HostSettings> hosts;
  std::vector<std::optional<test::Process>> running;
  /// Bytes of each host's log when its process was started.
  std::vector<std::size_t> log_at_start;
};

}  // namespace soak

#endif  // BASILSPREAD_TESTS_SOAK_PROCESSES_H_
