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

/// The one thread that owns the state. It waits for an event or the next
/// timer, reduces, and hands the effects to the interpreter.
class ControlLoop {
 public:
  /// Carries out one effect without blocking.
  using Interpreter = std::function<void(const Effect&)>;
  /// Told of each event, how long it waited, and how long it took with its
  /// effects.
  using OnHandled =
      std::function<void(const Event&, Duration waited, Duration took)>;

  ControlLoop(State& control_state, Interpreter effect_hook,
              OnHandled handled_hook);

  /// Takes an event from any thread.
  void Post(EventBody body);

  /// Takes an event of a peer. Waits while too many are queued, so that a
  /// flood stays in the sender's socket; never called on the loop's thread.
  /// False once the loop has ended.
  bool PostBlocking(EventBody body);

  /// Events that wait for the control thread.
  std::size_t QueuedEvents();

  /// Runs until an ExitProcess effect.
  void Run();

 private:
  struct Waiting {
    EventBody body;
    TimePoint since;
  };

  std::optional<Waiting> Next();
  std::optional<Waiting> TakeDueTimer(TimePoint now);
  std::optional<TimePoint> NextDeadline() const;
  /// Handles Resumed first when the process was suspended.
  void CheckSuspension();
  void Handle(Waiting next);
  /// Also sets how many events wait.
  TimePoint OldestSince(TimePoint taken_up, std::size_t& waiting);

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
  std::deque<Waiting> events;
  Duration busy{};
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_CONTROL_LOOP_H_
