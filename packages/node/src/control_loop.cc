#include "control_loop.h"

#include <time.h>

#include <utility>
#include <variant>

#include "basilspread/core/reducer.h"

namespace basilspread::node {
namespace {

/// Events that may wait before those of peers are held back.
constexpr std::size_t kMaxQueuedEvents = 1024;
/// A shorter gap between the clocks is the time between their readings.
constexpr Duration kLeastSuspension = std::chrono::milliseconds(100);

/// How long the machine was suspended since it was started: the monotonic
/// clock stands still meanwhile, the boot clock does not.
Duration SuspendedSinceBoot() {
  timespec boot{};
  timespec monotonic{};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  clock_gettime(CLOCK_MONOTONIC, &monotonic);
  return std::chrono::seconds(boot.tv_sec - monotonic.tv_sec) +
         std::chrono::nanoseconds(boot.tv_nsec - monotonic.tv_nsec);
}

}  // namespace

ControlLoop::ControlLoop(State& control_state, Interpreter effect_hook,
                         OnHandled handled_hook)
    : state(control_state),
      interpret(std::move(effect_hook)),
      on_handled(std::move(handled_hook)) {}

void ControlLoop::Post(EventBody body) {
  {
    const std::lock_guard lock(this->mutex);
    this->events.push_back(std::move(body));
  }
  this->has_events.notify_one();
}

bool ControlLoop::PostWhenRoom(EventBody body) {
  {
    std::unique_lock lock(this->mutex);
    this->has_room.wait(lock, [this] {
      return this->ended || this->events.size() < kMaxQueuedEvents;
    });
    if (this->ended) {
      return false;
    }
    this->events.push_back(std::move(body));
  }
  this->has_events.notify_one();
  return true;
}

std::size_t ControlLoop::QueuedEvents() {
  const std::lock_guard lock(this->mutex);
  return this->events.size();
}

void ControlLoop::Run() {
  this->suspended_before = SuspendedSinceBoot();
  this->Handle(Started{});
  while (this->running) {
    std::optional<EventBody> body = this->Next();
    this->CheckSuspension();
    if (body) {
      this->Handle(*std::move(body));
    }
  }
  {
    const std::lock_guard lock(this->mutex);
    this->ended = true;
  }
  this->has_room.notify_all();
}

std::optional<EventBody> ControlLoop::Next() {
  // Timers go first, so that a flood of events cannot starve the heartbeat.
  if (const auto timer = this->TakeDueTimer(std::chrono::steady_clock::now())) {
    return TimerFired{*timer};
  }
  std::unique_lock lock(this->mutex);
  const auto is_ready = [this] { return !this->events.empty(); };
  if (const auto deadline = this->NextDeadline()) {
    this->has_events.wait_until(lock, *deadline, is_ready);
  } else {
    this->has_events.wait(lock, is_ready);
  }
  if (this->events.empty()) {
    return std::nullopt;
  }
  EventBody body = std::move(this->events.front());
  this->events.pop_front();
  lock.unlock();
  this->has_room.notify_one();
  return body;
}

std::optional<TimerKind> ControlLoop::TakeDueTimer(TimePoint now) {
  for (const auto& [kind, at] : this->timers) {
    if (at <= now) {
      const TimerKind due = kind;
      this->timers.erase(due);
      return due;
    }
  }
  return std::nullopt;
}

std::optional<TimePoint> ControlLoop::NextDeadline() const {
  std::optional<TimePoint> next;
  for (const auto& [kind, at] : this->timers) {
    if (!next || at < *next) {
      next = at;
    }
  }
  return next;
}

void ControlLoop::CheckSuspension() {
  const Duration offset = SuspendedSinceBoot();
  const Duration suspended = offset - this->suspended_before;
  this->suspended_before = offset;
  if (suspended >= kLeastSuspension) {
    this->Handle(Resumed{suspended});
  }
}

void ControlLoop::Handle(EventBody body) {
  const Event event{std::chrono::steady_clock::now(), std::move(body)};
  for (const Effect& effect : Reduce(this->state, event)) {
    if (const auto* timer = std::get_if<SetTimer>(&effect)) {
      this->timers[timer->kind] = timer->at;
    } else if (std::holds_alternative<ExitProcess>(effect)) {
      this->running = false;
    } else {
      this->interpret(effect);
    }
  }
  this->on_handled(std::chrono::steady_clock::now() - event.time);
}

}  // namespace basilspread::node
