#ifndef BASILSPREAD_CORE_SETTINGS_H_
#define BASILSPREAD_CORE_SETTINGS_H_

#include <cstdint>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// What the reducer needs to know of the process's settings.
struct Settings {
  ProcessId self;
  ZoneName zone;
  /// The other entry processes.
  std::vector<NodeName> peers;
  /// Seed of everything random in the state.
  std::uint64_t seed = 1;

  Duration heartbeat_interval = std::chrono::milliseconds(250);
  /// A peer that was silent for this long counts as dead.
  Duration peer_timeout = std::chrono::seconds(2);
  Duration host_list_interval = std::chrono::milliseconds(500);
  Duration log_read_interval = std::chrono::milliseconds(250);
  /// Records wait this long for others of the same batch.
  Duration append_interval = std::chrono::milliseconds(20);
  /// Delay between claim attempts of processes that rank one apart.
  Duration claim_delay = std::chrono::milliseconds(300);
  /// The tables in force are written to the log again after this long; well
  /// below the time that the log keeps records for.
  Duration tables_checkpoint_interval = std::chrono::minutes(10);
  /// Lease of a task; it ends by itself when nobody renews it for so long.
  Duration task_lease = std::chrono::seconds(15);
  /// Added to every wait for a lease to lapse. Covers the drift of clocks and
  /// the longest delivery of a call that was given up.
  Duration lapse_margin = std::chrono::seconds(5);
  /// Time between calls to a worker that runs tasks.
  Duration worker_interval = std::chrono::seconds(1);
  /// A call to a worker is given up after this.
  Duration worker_timeout = std::chrono::seconds(2);
  /// A graceful stop gives up on what is in flight after this.
  Duration drain_timeout = std::chrono::seconds(30);
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_SETTINGS_H_
