#include "random/test_process.h"

#include <algorithm>
#include <variant>

#include "basilspread/core/reducer.h"

namespace random_test {

using basilspread::SetTimer;
using basilspread::State;

TestProcess::TestProcess(Schedule& run_schedule,
                         basilspread::Settings process_settings,
                         basilspread::Hooks policy_hooks,
                         TimePoint clock_origin, Interpret effect_hook)
    : schedule(run_schedule),
      settings(std::move(process_settings)),
      hooks(std::move(policy_hooks)),
      origin(clock_origin),
      interpret(std::move(effect_hook)) {}

void TestProcess::Start() {
  ++this->settings.self.incarnation;
  ++this->settings.seed;
  this->stopping = false;
  this->state = std::make_unique<State>(this->settings, this->hooks);
  this->Post(basilspread::Started{});
}

void TestProcess::Kill() {
  this->state.reset();
  this->timers.clear();
  this->inbox.clear();
  this->deferred.clear();
}

void TestProcess::Resume() {
  if (--this->paused > 0) {
    return;
  }
  // Deferred actions of the traffic threads run before the control thread.
  std::deque<Action> actions = std::exchange(this->deferred, {});
  for (const Action& action : actions) {
    action();
  }
  this->Drain();
}

void TestProcess::Post(EventBody body) {
  if (!this->IsAlive()) {
    return;
  }
  this->inbox.push_back(std::move(body));
  this->schedule.After(Duration{}, [this] { this->Drain(); });
}

std::function<void(EventBody)> TestProcess::Poster() {
  return [this, incarnation = this->settings.self.incarnation](EventBody body) {
    if (this->IsAlive() && this->settings.self.incarnation == incarnation) {
      this->Post(std::move(body));
    }
  };
}

void TestProcess::AfterWhenRunning(Duration delay, Action action) {
  this->schedule.After(
      delay, [this, incarnation = this->settings.self.incarnation,
              action = std::move(action)] {
        if (this->IsAlive() && this->settings.self.incarnation == incarnation) {
          this->RunWhenResumed(action);
        }
      });
}

void TestProcess::RunWhenResumed(const Action& action) {
  if (this->IsPaused()) {
    this->deferred.push_back(action);
    return;
  }
  action();
}

void TestProcess::Drain() {
  while (this->IsAlive() && !this->IsPaused()) {
    if (this->FireDueTimer()) {
      continue;
    }
    if (this->inbox.empty()) {
      return;
    }
    EventBody body = std::move(this->inbox.front());
    this->inbox.pop_front();
    this->Handle(std::move(body));
  }
}

bool TestProcess::FireDueTimer() {
  const auto due = std::find_if(
      this->timers.begin(), this->timers.end(),
      [this](const auto& timer) { return timer.second <= this->Clock(); });
  if (due == this->timers.end()) {
    return false;
  }
  const basilspread::TimerKind kind = due->first;
  this->timers.erase(due);
  this->Handle(basilspread::TimerFired{kind});
  return true;
}

void TestProcess::Handle(EventBody body) {
  const basilspread::Event event{this->Clock(), std::move(body)};
  for (Effect& effect : basilspread::Reduce(*this->state, event)) {
    if (const auto* timer = std::get_if<SetTimer>(&effect)) {
      this->timers[timer->kind] = timer->at;
      const Duration delay = std::max(Duration{}, timer->at - this->Clock());
      this->schedule.After(delay, [this] { this->Drain(); });
    } else {
      this->interpret(*this, std::move(effect));
    }
    if (!this->IsAlive()) {
      return;
    }
  }
}

}  // namespace random_test
