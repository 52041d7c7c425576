#ifndef BASILSPREAD_TESTS_PLATFORM_ADVISOR_H_
#define BASILSPREAD_TESTS_PLATFORM_ADVISOR_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "platform/context.h"
#include "platform/workers.h"

namespace standin {

struct AdviceQuestion {
  /// ID.K.STEP.
  std::string step;
  std::vector<std::string> workers;
};

/// Workers that may run the step, with their tickets.
struct Advice {
  bool is_refused = false;
  std::vector<std::pair<std::string, std::string>> tickets;
  Duration validity{};
};

/// A stand-in of the advice service: one question at a time for each calling
/// machine.
class Advisor {
 public:
  struct Hooks {
    std::function<PayloadPtr(const Advice&)> encode;
    /// The life that a worker's tickets hold for; 0 without one.
    std::function<std::uint64_t(const std::string& worker)> life_of;
  };

  explicit Advisor(Hooks advisor_hooks);

  void Handle(const Context& context, std::size_t host, CallId call,
              AdviceQuestion question);
  void Advance(const Context& context);
  /// Whether the ticket was given for the step, to this life, not long ago.
  bool IsValid(const StartOrder& order, const WorkerLife& life,
               TimePoint now) const;

 private:
  struct Waiting {
    CallId call;
    AdviceQuestion question;
  };
  struct Line {
    std::deque<Waiting> waiting;
    /// When the first question is answered.
    TimePoint ready_at;
  };

  Advice Answer(const AdviceQuestion& question, TimePoint now);

  const Hooks hooks;
  std::map<std::size_t, Line> lines;
  /// When each ticket was given.
  std::map<std::string, TimePoint> given;
};

}  // namespace standin

#endif  // BASILSPREAD_TESTS_PLATFORM_ADVISOR_H_
