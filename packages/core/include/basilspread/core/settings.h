#ifndef BASILSPREAD_CORE_SETTINGS_H_
#define BASILSPREAD_CORE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilspread/core/capacity.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// How a process works where all that must last is in a shared store, and
/// one leader places on all workers.
struct StoreSettings {
  /// Whether it does; otherwise the shards' owners place.
  bool enabled = false;
  /// A member that was silent for this long leaves the group. Four join
  /// intervals, so that two lost answers do not end a leadership.
  Duration member_time_to_live = std::chrono::milliseconds(1200);
  Duration join_interval = std::chrono::milliseconds(300);
  /// Shortest time to live that the store takes; raises the one above.
  Duration shortest_time_to_live{};
  /// Longest lease that workers grant.
  Duration max_lease = std::chrono::seconds(6);
  /// A member of a gang waits this long for the others.
  Duration gang_timeout = std::chrono::seconds(3);
  /// The fate of an ended submission is told for at least this long.
  Duration status_retention = std::chrono::minutes(2);
  /// A stop ends the process by force after this.
  Duration stop_grace = std::chrono::seconds(6);
  /// Callers of a process that stops find another one within this time.
  Duration drain_time = std::chrono::seconds(2);
  /// Whether this process makes calls to workers for the leader.
  bool carries_calls = true;
  /// Whether distributions of run times are learned, and used in place of
  /// moving averages.
  bool learn_run_times = false;
};

/// How calls and submissions of workspaces are admitted.
struct AdmissionSettings {
  /// Whether no call may be served by a key later than `revocation_timeout`
  /// after tables without the key were published, whatever fails.
  bool strict_revocation = false;
  Duration revocation_timeout = std::chrono::seconds(5);
  /// A workspace may save up its share of this time, and so many submissions
  /// more.
  Duration quota_window = std::chrono::seconds(5);
  std::uint32_t quota_slack = 20;
  /// Whether submissions are rejected for the length of the queue when the
  /// tables have no workspaces.
  bool by_queue = false;
};

/// What the reducer needs to know of the process's settings.
struct Settings {
  ProcessId self;
  ZoneName zone;
  /// The other entry processes.
  std::vector<NodeName> peers;
  /// Seed of everything random in the state.
  std::uint64_t seed = 1;

  Capacity capacity;

  /// Where peers connect to this process, as it advertises it.
  std::string peer_address;

  Duration heartbeat_interval = std::chrono::milliseconds(500);
  /// A peer that was silent for this long counts as dead.
  Duration peer_timeout = std::chrono::seconds(2);
  Duration host_list_interval = std::chrono::milliseconds(500);
  Duration log_read_interval = std::chrono::milliseconds(500);
  /// Records wait this long for others of the same batch.
  Duration append_interval = std::chrono::milliseconds(20);
  /// An owner acts for this long after it has last read its own epoch in
  /// force, or heard that every peer still hears it.
  Duration ownership_freshness = std::chrono::seconds(2);
  /// Added to every wait for an owner to stop: the drift of clocks and the
  /// time between a check and its write.
  Duration ownership_margin = std::chrono::milliseconds(500);
  /// A shard whose owner was heard by nobody for this long is claimed. Must
  /// exceed the freshness with its margin.
  Duration takeover_timeout = std::chrono::seconds(3);
  /// How long the log keeps a record; checkpoints go well before that.
  Duration log_retention = std::chrono::hours(1);
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
  StoreSettings store;
  AdmissionSettings admission = {};
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_SETTINGS_H_
