#include "platform/advisor.h"

#include <fmt/format.h>

#include <functional>
#include <utility>

namespace standin {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Times of quick requests at both sites, `wire` of Loch Braan.
constexpr microseconds kDecision(8700);
constexpr microseconds kForWorker(120);
constexpr milliseconds kValidity(1500);
/// PROTOCOL, running tasks.
constexpr std::size_t kMostWaiting = 32;
/// Two workers in three may run a step.
constexpr std::size_t kAllowedOf = 3;

Duration TimeOf(const AdviceQuestion& question) {
  return kDecision + kForWorker * question.workers.size();
}

bool IsAllowed(const std::string& step, const std::string& worker) {
  return std::hash<std::string>()(step + worker) % kAllowedOf != 0;
}

std::string TicketOf(const std::string& step, const std::string& worker,
                     std::uint64_t life) {
  return fmt::format("{:x}-{:x}", std::hash<std::string>()(step + worker),
                     life);
}

}  // namespace

Advisor::Advisor(Hooks advisor_hooks) : hooks(std::move(advisor_hooks)) {}

void Advisor::Handle(const Context& context, std::size_t host, CallId call,
                     AdviceQuestion question) {
  Line& line = this->lines[host];
  if (line.waiting.size() >= kMostWaiting) {
    context.answers.push_back(
        AnswerCall{call, Duration::zero(), this->hooks.encode({true, {}, {}})});
    return;
  }
  if (line.waiting.empty()) {
    line.ready_at = context.now + TimeOf(question);
  }
  line.waiting.push_back({call, std::move(question)});
}

void Advisor::Advance(const Context& context) {
  for (auto& [host, line] : this->lines) {
    while (!line.waiting.empty() && line.ready_at <= context.now) {
      const Waiting& first = line.waiting.front();
      context.answers.push_back(
          {first.call, Duration::zero(),
           this->hooks.encode(this->Answer(first.question, context.now))});
      line.waiting.pop_front();
      if (!line.waiting.empty()) {
        line.ready_at += TimeOf(line.waiting.front().question);
      }
    }
  }
}

Advice Advisor::Answer(const AdviceQuestion& question, TimePoint now) {
  Advice advice;
  advice.validity = kValidity;
  for (const std::string& worker : question.workers) {
    const std::uint64_t life = this->hooks.life_of(worker);
    if (life != 0 && IsAllowed(question.step, worker)) {
      advice.tickets.emplace_back(worker,
                                  TicketOf(question.step, worker, life));
      this->given[advice.tickets.back().second] = now;
    }
  }
  return advice;
}

bool Advisor::IsValid(const StartOrder& order, const WorkerLife& life,
                      TimePoint now) const {
  const std::string step =
      fmt::format("{}.0.{}", order.run.task.id, order.run.task.step);
  const auto found = this->given.find(order.ticket);
  return found != this->given.end() &&
         order.ticket == TicketOf(step, life.worker, life.born) &&
         found->second + kValidity > now;
}

}  // namespace standin
