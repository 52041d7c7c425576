#ifndef BASILSPREAD_CORE_TESTS_RANDOM_SCHEDULE_H_
#define BASILSPREAD_CORE_TESTS_RANDOM_SCHEDULE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <utility>

#include "basilspread/core/time.h"

namespace random_test {

using basilspread::Duration;

using Action = std::function<void()>;

/// Thrown when a guarantee of the system is broken.
class Violation : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Scheduler in virtual time: actions run in the order of their due times, and
/// in the order in which they were added where these are equal.
class Schedule {
 public:
  /// Time since the start of the run.
  Duration Now() const { return this->now; }

  void After(Duration delay, Action action) {
    this->actions.emplace(Key{this->now + delay, this->next_number++},
                          std::move(action));
  }

  void RunUntil(Duration end) {
    while (!this->actions.empty() && this->actions.begin()->first.at <= end) {
      auto node = this->actions.extract(this->actions.begin());
      this->now = node.key().at;
      node.mapped()();
    }
    this->now = end;
  }

 private:
  struct Key {
    Duration at;
    std::uint64_t number;

    friend auto operator<=>(const Key&, const Key&) = default;
  };

  Duration now{};
  std::uint64_t next_number = 0;
  std::map<Key, Action> actions;
};

}  // namespace random_test

#endif  // BASILSPREAD_CORE_TESTS_RANDOM_SCHEDULE_H_
