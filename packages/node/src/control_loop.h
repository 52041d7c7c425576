#ifndef BASILSPREAD_NODE_CONTROL_LOOP_H_
#define BASILSPREAD_NODE_CONTROL_LOOP_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>

#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "basilspread/core/state.h"
#include "basilspread/core/time.h"

namespace basilspread::node {

/// Event loop of the control thread, which alone owns the state. It waits for
/// an event or the next timer, runs the reducer, and passes the effects to the
/// interpreter.
class ControlLoop {
 public:
  /// Executes one effect without blocking.
  using Interpreter = std::function<void(const Effect&)>;
  /// Called after each event with the time that the event was queued and the
  /// time that the event and its effects took.
  using OnHandled =
      std::function<void(const Event&, Duration waited, Duration took)>;

  ControlLoop(State& control_state, Interpreter effect_hook,
              OnHandled handled_hook);

  /// Queues an event, without a limit. May be called from any thread.
  void Post(EventBody body);

  /// Queues an event of a peer. Blocks while the queue is full, so that TCP
  /// flow control slows the sender down. Must not be called on the loop's
  /// thread. Returns false once the loop has ended.
  bool PostBlocking(EventBody body);

  /// Number of events that wait for the control thread.
  std::size_t QueuedEvents();

  /// Runs until the reducer returns an ExitProcess effect.
  void Run();

 private:
  struct QueuedEvent {
    EventBody body;
    TimePoint queued_at;
  };

  std::optional<QueuedEvent> NextEvent();
  std::optional<QueuedEvent> TakeDueTimer(TimePoint now);
  std::optional<TimePoint> NextDeadline() const;
  /// Handles a Resumed event if the machine was suspended since the last check.
  void CheckSuspension();
  void Handle(QueuedEvent next);
  /// Carries out an effect. An exception ends this effect only.
  void Interpret(const Effect& effect);
  /// Time at which the oldest event was queued: the one that is handled next or
  /// one that it overtook. Also sets `waiting` to the number of queued events.
  TimePoint OldestQueuedAt(TimePoint next_queued_at, std::size_t& waiting);

  State& state;
  Interpreter interpret;
  OnHandled on_handled;
  std::map<TimerKind, TimePoint> timers;
  Duration suspended_before{};
  bool running = true;
  std::mutex mutex;
  std::condition_variable has_events;
  std::condition_variable has_room;
  bool ended = false;
  std::deque<QueuedEvent> events;
  Duration busy{};
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_CONTROL_LOOP_H_
