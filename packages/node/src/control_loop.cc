#include "control_loop.h"

#include <time.h>

#include <algorithm>
#include <exception>
#include <string_view>
#include <utility>
#include <variant>

#include "basilspread/core/reducer.h"
#include "line_log.h"
#include "thread_usage.h"

namespace basilspread::node {
namespace {

constexpr std::string_view kPart = "control";
/// Queue length from which on posting an event of a peer blocks.
constexpr std::size_t kMaxQueuedEvents = 1024;
/// Smaller differences between the clocks come from the time between their
/// readings.
constexpr Duration kMinSuspension = std::chrono::milliseconds(100);

/// Total time that the machine has been suspended since boot. CLOCK_MONOTONIC
/// stops during suspension and CLOCK_BOOTTIME does not.
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
    this->events.push_back({std::move(body), std::chrono::steady_clock::now()});
  }
  this->has_events.notify_one();
}

bool ControlLoop::PostBlocking(EventBody body) {
  {
    std::unique_lock lock(this->mutex);
    this->has_room.wait(lock, [this] {
      return this->ended || this->events.size() < kMaxQueuedEvents;
    });
    if (this->ended) {
      return false;
    }
    this->events.push_back({std::move(body), std::chrono::steady_clock::now()});
  }
  this->has_events.notify_one();
  return true;
}

std::size_t ControlLoop::QueuedEvents() {
  const std::lock_guard lock(this->mutex);
  return this->events.size();
}

void ControlLoop::Run() {
  const NamedThread named("control");
  this->suspended_before = SuspendedSinceBoot();
  this->Handle({Started{}, std::chrono::steady_clock::now()});
  while (this->running) {
    std::optional<QueuedEvent> next = this->NextEvent();
    this->CheckSuspension();
    if (next) {
      this->Handle(*std::move(next));
    }
  }
  {
    const std::lock_guard lock(this->mutex);
    this->ended = true;
  }
  this->has_room.notify_all();
}

std::optional<ControlLoop::QueuedEvent> ControlLoop::NextEvent() {
  // Timers have priority, so that a flood of events cannot starve the
  // heartbeat.
  if (auto timer = this->TakeDueTimer(std::chrono::steady_clock::now())) {
    return timer;
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
  QueuedEvent next = std::move(this->events.front());
  this->events.pop_front();
  lock.unlock();
  this->has_room.notify_one();
  return next;
}

std::optional<ControlLoop::QueuedEvent> ControlLoop::TakeDueTimer(
    TimePoint now) {
  for (const auto& [kind, at] : this->timers) {
    if (at <= now) {
      const QueuedEvent due{TimerFired{kind}, at};
      this->timers.erase(kind);
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
  if (suspended >= kMinSuspension) {
    this->Handle({Resumed{suspended}, std::chrono::steady_clock::now()});
  }
}

TimePoint ControlLoop::OldestQueuedAt(TimePoint next_queued_at,
                                      std::size_t& waiting) {
  const std::lock_guard lock(this->mutex);
  waiting = this->events.size();
  return this->events.empty()
             ? next_queued_at
             : std::min(next_queued_at, this->events.front().queued_at);
}

void ControlLoop::Interpret(const Effect& effect) {
  // The state already reflects the other effects of the event, so that they
  // are carried out all the same.
  try {
    this->interpret(effect);
  } catch (const std::exception& exception) {
    Log(LogLevel::kError, kPart, "Carrying out an effect failed.",
        {{"effect", effect.index()}, {"reason", exception.what()}});
  }
}

void ControlLoop::Handle(QueuedEvent next) {
  const TimePoint now = std::chrono::steady_clock::now();
  const Duration waited = now - next.queued_at;
  LoopLoad load;
  // A timer overtakes events that were queued before it was due.
  load.delay = now - this->OldestQueuedAt(next.queued_at, load.waiting);
  load.busy = this->busy;
  const Event event{now, std::move(next.body), load};
  for (const Effect& effect : Reduce(this->state, event)) {
    if (const auto* timer = std::get_if<SetTimer>(&effect)) {
      this->timers[timer->kind] = timer->at;
    } else if (std::holds_alternative<ExitProcess>(effect)) {
      this->running = false;
    } else {
      this->Interpret(effect);
    }
  }
  const Duration took = std::chrono::steady_clock::now() - now;
  this->busy += took;
  this->on_handled(event, waited, took);
}

}  // namespace basilspread::node
