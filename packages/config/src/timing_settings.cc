#include "timing_settings.h"

#include <fmt/format.h>

namespace basilspread::config {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Two lost heartbeats in a row must not make a peer look failed.
constexpr int kMinHeartbeatsPerTimeout = 3;

}  // namespace

void ReadTiming(SectionReader& reader, Settings& settings) {
  reader.Read("heartbeat_interval", milliseconds(10), seconds(10),
              settings.heartbeat_interval);
  reader.Read("peer_timeout", milliseconds(30), minutes(5),
              settings.peer_timeout);
  reader.Read("host_list_interval", milliseconds(50), minutes(1),
              settings.host_list_interval);
  reader.Read("log_read_interval", milliseconds(10), seconds(10),
              settings.log_read_interval);
  reader.Read("append_interval", milliseconds(1), seconds(5),
              settings.append_interval);
  reader.Read("claim_delay", milliseconds(1), minutes(1), settings.claim_delay);
  reader.Read("ownership_freshness", milliseconds(100), minutes(1),
              settings.ownership_freshness);
  reader.Read("ownership_margin", milliseconds(10), minutes(1),
              settings.ownership_margin);
  reader.Read("takeover_timeout", milliseconds(100), minutes(5),
              settings.takeover_timeout);
  reader.Read("log_retention", minutes(1), hours(24 * 365),
              settings.log_retention);
  reader.Read("tables_checkpoint_interval", seconds(1), hours(24),
              settings.tables_checkpoint_interval);
  reader.Read("drain_timeout", milliseconds(1), hours(1),
              settings.drain_timeout);
  const Duration min_takeover_timeout =
      settings.ownership_freshness + settings.ownership_margin;
  if (settings.takeover_timeout < min_takeover_timeout) {
    reader.AddError("takeover_timeout",
                    fmt::format("{} is below {}, ownership_freshness with "
                                "ownership_margin",
                                FormatDuration(settings.takeover_timeout),
                                FormatDuration(min_takeover_timeout)));
  }
  const Duration min_peer_timeout =
      kMinHeartbeatsPerTimeout * settings.heartbeat_interval;
  if (settings.peer_timeout < min_peer_timeout) {
    reader.AddError("peer_timeout",
                    fmt::format("{} is below {}, {} times heartbeat_interval",
                                FormatDuration(settings.peer_timeout),
                                FormatDuration(min_peer_timeout),
                                kMinHeartbeatsPerTimeout));
  }
}

void ReadStoreTiming(SectionReader& reader, StoreSettings& settings) {
  reader.Read("member_time_to_live", milliseconds(100), minutes(5),
              settings.member_time_to_live);
  reader.Read("join_interval", milliseconds(10), minutes(1),
              settings.join_interval);
  reader.Read("shortest_time_to_live", milliseconds(0), minutes(5),
              settings.shortest_time_to_live);
  settings.member_time_to_live =
      std::max(settings.member_time_to_live, settings.shortest_time_to_live);
  reader.Read("max_lease", milliseconds(100), hours(1), settings.max_lease);
  reader.Read("gang_timeout", milliseconds(100), hours(1),
              settings.gang_timeout);
  reader.Read("status_retention", seconds(1), hours(24),
              settings.status_retention);
  reader.Read("stop_grace", seconds(1), hours(1), settings.stop_grace);
  reader.Read("drain_time", milliseconds(0), hours(1), settings.drain_time);
  if (settings.member_time_to_live < 2 * settings.join_interval) {
    reader.AddError("member_time_to_live",
                    fmt::format("{} is below {}, twice join_interval",
                                FormatDuration(settings.member_time_to_live),
                                FormatDuration(2 * settings.join_interval)));
  }
}

}  // namespace basilspread::config
