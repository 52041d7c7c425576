#ifndef BASILSPREAD_CORE_TESTS_RANDOM_TEST_PROCESS_H_
#define BASILSPREAD_CORE_TESTS_RANDOM_TEST_PROCESS_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "basilspread/core/state.h"
#include "random/schedule.h"

namespace random_test {

using basilspread::Effect;
using basilspread::EventBody;
using basilspread::TimePoint;

/// One simulated entry process with its own state, clock, timers and event
/// queue. It can be killed, paused, stopped and restarted as a new incarnation.
class TestProcess {
 public:
  using Interpret = std::function<void(TestProcess&, Effect)>;

  TestProcess(Schedule& run_schedule, basilspread::Settings process_settings,
              basilspread::Hooks policy_hooks, TimePoint clock_origin,
              Interpret effect_hook);

  void Start();
  void Kill();
  void Pause() { ++this->paused; }
  void Resume();

  /// Queues an event; ignored while the process is dead.
  void Post(EventBody body);
  /// Returns a function that posts while the present incarnation lives and does
  /// nothing after that.
  std::function<void(EventBody)> Poster();
  /// Runs the action after the delay, or when the process resumes if it is
  /// paused then. Drops the action if the incarnation has died.
  void AfterWhenRunning(Duration delay, Action action);

  bool IsAlive() const { return this->state != nullptr; }
  bool IsPaused() const { return this->paused > 0; }
  const basilspread::State& GetState() const { return *this->state; }
  const basilspread::ProcessId& Self() const { return this->settings.self; }
  const basilspread::NodeName& Node() const { return this->settings.self.node; }
  TimePoint Clock() const { return this->origin + this->schedule.Now(); }

  /// A graceful stop was requested; maintained by the cluster.
  bool stopping = false;

 private:
  void RunWhenResumed(const Action& action);
  void Drain();
  void Handle(EventBody body);
  bool FireDueTimer();

  Schedule& schedule;
  basilspread::Settings settings;
  basilspread::Hooks hooks;
  TimePoint origin;
  Interpret interpret;
  std::unique_ptr<basilspread::State> state;
  std::map<basilspread::TimerKind, TimePoint> timers;
  std::deque<EventBody> inbox;
  std::deque<Action> deferred;
  int paused = 0;
};

}  // namespace random_test

#endif  // BASILSPREAD_CORE_TESTS_RANDOM_TEST_PROCESS_H_
