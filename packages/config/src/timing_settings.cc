#include "timing_settings.h"

#include <fmt/format.h>

namespace basilspread::config {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Two lost heartbeats must not make a peer look dead.
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
  reader.Read("tables_checkpoint_interval", seconds(1), hours(24),
              settings.tables_checkpoint_interval);
  reader.Read("drain_timeout", milliseconds(1), hours(1),
              settings.drain_timeout);
  const Duration least = kMinHeartbeatsPerTimeout * settings.heartbeat_interval;
  if (settings.peer_timeout < least) {
    reader.Fault("peer_timeout",
                 fmt::format("{} is below {}, {} times heartbeat_interval",
                             FormatDuration(settings.peer_timeout),
                             FormatDuration(least), kMinHeartbeatsPerTimeout));
  }
}

}  // namespace basilspread::config
