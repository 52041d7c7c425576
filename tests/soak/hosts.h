#ifndef BASILSPREAD_TESTS_SOAK_HOSTS_H_
#define BASILSPREAD_TESTS_SOAK_HOSTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "soak/effect.h"
#include "soak/event.h"
#include "soak/host.h"
#include "soak/ledger.h"

namespace soak {

/// The processes under test as the platform sees them: it starts, stops, kills
/// and pauses them, and starts again what has ended.
class Hosts {
 public:
  Hosts(const std::vector<HostSettings>& host_settings, Ledger& check_ledger);

  void StartAll(const Context& context);
  /// SIGKILL; started again after `away`.
  void Kill(const Context& context, std::size_t host, Duration away);
  /// SIGTERM, and SIGKILL after the grace; started again after `away`.
  void Stop(const Context& context, std::size_t host, Duration away);
  /// SIGSTOP, and SIGCONT later. `suspends`: the steady clock stands still
  /// meanwhile.
  void Pause(const Context& context, std::size_t host, Duration lasts,
             bool suspends);
  /// New settings and SIGHUP.
  void Reload(const Context& context, std::size_t host,
              const std::string& log_level);
  /// Another fault concerns the host until then.
  void Disturb(std::size_t host, TimePoint until);

  void Advance(const Context& context);
  void OnEnded(const Context& context, const HostEnded& ended);
  void OnMeasured(const HostMeasured& measured, TimePoint now);
  /// Ends all processes in an orderly way; true once none is left.
  bool EndAll(const Context& context);

  const HostSettings& SettingsOf(std::size_t host) const;
  /// Counts the processes that the host has had.
  std::uint64_t LifeOf(std::size_t host) const;
  std::size_t Count() const { return this->hosts.size(); }
  /// The last moment at which a fault concerned the host.
  TimePoint DisturbedUntil(std::size_t host, Calm calm) const;
  /// The host with this name in the text; unset without one.
  std::optional<std::size_t> NamedIn(const std::string& text) const;

 private:
  struct Host {
    HostSettings settings;
    std::uint64_t life = 0;
    bool is_running = false;
    bool is_killed = false;
    TimePoint started;
    std::optional<TimePoint> start_at;
    std::optional<TimePoint> stopping_since;
    std::optional<TimePoint> resume_at;
    TimePoint paused_at;
    bool suspends = false;
    Duration away{};
    TimePoint disturbed_until;
    TimePoint stopped_until;
  };

  void Start(const Context& context, std::size_t host);
  void Resume(const Context& context, std::size_t host);

  std::vector<Host> hosts;
  Ledger& ledger;
  bool is_ending = false;
};

}  // namespace soak

#endif  // BASILSPREAD_TESTS_SOAK_HOSTS_H_
