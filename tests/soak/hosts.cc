#include "soak/hosts.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <utility>

#include "platform/bounds.h"

namespace soak {

Hosts::Hosts(const std::vector<HostSettings>& host_settings,
             Ledger& check_ledger)
    : ledger(check_ledger) {
  for (const HostSettings& settings : host_settings) {
    this->hosts.emplace_back().settings = settings;
  }
}

const HostSettings& Hosts::SettingsOf(std::size_t host) const {
  return this->hosts.at(host).settings;
}

std::uint64_t Hosts::LifeOf(std::size_t host) const {
  return this->hosts.at(host).life;
}

std::optional<std::size_t> Hosts::NamedIn(const std::string& text) const {
  for (std::size_t host = 0; host < this->hosts.size(); ++host) {
    if (text.find(HostName(host)) != std::string::npos) {
      return host;
    }
  }
  return std::nullopt;
}

TimePoint Hosts::DisturbedUntil(std::size_t host, Calm calm) const {
  const Host& state = this->hosts.at(host);
  return calm == Calm::kButStop
             ? state.disturbed_until
             : std::max(state.disturbed_until, state.stopped_until);
}

void Hosts::Disturb(std::size_t host, TimePoint until) {
  TimePoint& last = this->hosts.at(host).disturbed_until;
  last = std::max(last, until);
}

void Hosts::StartAll(const Context& context) {
  for (std::size_t host = 0; host < this->hosts.size(); ++host) {
    this->Start(context, host);
  }
}

void Hosts::Start(const Context& context, std::size_t host) {
  Host& state = this->hosts.at(host);
  state.is_running = true;
  state.is_killed = false;
  state.started = context.now;
  state.start_at.reset();
  state.stopping_since.reset();
  state.resume_at.reset();
  ++state.life;
  this->Disturb(host, context.now);
  context.effects.push_back(StartHost{host});
}

void Hosts::Kill(const Context& context, std::size_t host, Duration away) {
  Host& state = this->hosts.at(host);
  if (!state.is_running) {
    return;
  }
  state.is_killed = true;
  state.away = away;
  this->Disturb(host, context.now + away);
  context.effects.push_back(SignalHost{host, SIGKILL});
}

void Hosts::Stop(const Context& context, std::size_t host, Duration away) {
  Host& state = this->hosts.at(host);
  if (!state.is_running || state.stopping_since) {
    return;
  }
  state.stopping_since = context.now;
  state.away = away;
  state.stopped_until = context.now + standin::bounds::kStopGrace + away;
  context.effects.push_back(SignalHost{host, SIGTERM});
}

void Hosts::Pause(const Context& context, std::size_t host, Duration lasts,
                  bool suspends) {
  Host& state = this->hosts.at(host);
  if (!state.is_running || state.resume_at) {
    return;
  }
  state.resume_at = context.now + lasts;
  state.paused_at = context.now;
  state.suspends = suspends;
  this->Disturb(host, *state.resume_at);
  context.effects.push_back(SignalHost{host, SIGSTOP});
}

void Hosts::Resume(const Context& context, std::size_t host) {
  Host& state = this->hosts.at(host);
  state.resume_at.reset();
  if (state.suspends) {
    context.effects.push_back(
        SuspendClock{host, context.now - state.paused_at});
  }
  this->Disturb(host, context.now);
  context.effects.push_back(SignalHost{host, SIGCONT});
}

void Hosts::Reload(const Context& context, std::size_t host,
                   const std::string& log_level) {
  context.effects.push_back(RewriteSettings{host, log_level});
  if (this->hosts.at(host).is_running) {
    context.effects.push_back(SignalHost{host, SIGHUP});
  }
}

void Hosts::Advance(const Context& context) {
  for (std::size_t host = 0; host < this->hosts.size(); ++host) {
    Host& state = this->hosts[host];
    if (state.start_at && *state.start_at <= context.now) {
      this->Start(context, host);
    }
    if (state.is_running && state.resume_at &&
        *state.resume_at <= context.now) {
      this->Resume(context, host);
    }
    const bool is_overdue =
        state.is_running && state.stopping_since && !state.is_killed &&
        *state.stopping_since + standin::bounds::kStopGrace <= context.now;
    if (is_overdue) {
      if (state.disturbed_until < *state.stopping_since) {
        this->ledger.Report("stop", HostName(host),
                            "did not end within the grace of a stop",
                            context.now);
      }
      this->Kill(context, host, state.away);
    }
  }
}

void Hosts::OnEnded(const Context& context, const HostEnded& ended) {
  Host& state = this->hosts.at(ended.host);
  const bool is_expected = (state.is_killed && ended.status == -SIGKILL) ||
                           (state.stopping_since && ended.status == 0);
  if (!is_expected) {
    this->ledger.Report("process", HostName(ended.host),
                        fmt::format("ended by itself, status {}", ended.status),
                        context.now);
  }
  state.is_running = false;
  state.resume_at.reset();
  if (!this->is_ending) {
    state.start_at = context.now + state.away;
    if (state.stopping_since && !state.is_killed) {
      state.stopped_until = *state.start_at;
    } else {
      this->Disturb(ended.host, *state.start_at);
    }
  }
}

void Hosts::OnMeasured(const HostMeasured& measured, TimePoint now) {
  const Host& state = this->hosts.at(measured.host);
  const std::string name = HostName(measured.host);
  if (measured.memory_mebibytes > standin::bounds::kMemoryMebibytes) {
    this->ledger.Report("memory", name,
                        fmt::format("uses {} MiB", measured.memory_mebibytes),
                        now);
  }
  if (measured.descriptors > standin::bounds::kDescriptors) {
    this->ledger.Report("descriptors", name,
                        fmt::format("has {} open", measured.descriptors), now);
  }
  const std::chrono::duration<double> lived = now - state.started;
  const double most = static_cast<double>(standin::bounds::kLogBytesPerSecond) *
                      (1 + lived.count());
  if (static_cast<double>(measured.log_bytes) > most) {
    this->ledger.Report(
        "log-volume", name,
        fmt::format("{} bytes in {:.0f} s", measured.log_bytes, lived.count()),
        now);
  }
}

bool Hosts::EndAll(const Context& context) {
  const bool is_first = !std::exchange(this->is_ending, true);
  bool is_over = true;
  for (std::size_t host = 0; host < this->hosts.size(); ++host) {
    this->hosts[host].start_at.reset();
    if (is_first && this->hosts[host].is_running) {
      this->Stop(context, host, Duration::zero());
    }
    is_over &= !this->hosts[host].is_running;
  }
  return is_over;
}

}  // namespace soak
