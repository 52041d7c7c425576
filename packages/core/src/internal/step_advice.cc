#include "internal/step_advice.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "internal/candidacy.h"
#include "internal/fleet.h"
#include "internal/gang_claims.h"
#include "internal/hands.h"
#include "internal/leadership.h"
#include "internal/own_load.h"
#include "internal/step_offers.h"
#include "internal/step_placement.h"
#include "internal/submission_progress.h"

namespace basilspread::internal::step_advice {
namespace {

using step_offers::Round;
using step_offers::Tickets;

constexpr std::string_view kPart = "advice";
/// A ticket must outlast the way of the start to its worker.
constexpr Duration kTicketMargin = std::chrono::milliseconds(60);
/// A question is given up this long after its answer was due. The advisor
/// works on it all the same, so that giving up early only lengthens its line.
constexpr Duration kQuestionPatience = std::chrono::milliseconds(1500);
/// One that is answered and one on its way.
constexpr std::uint32_t kMaxOpenQuestions = 2;
constexpr Duration kAskAgainDelay = std::chrono::milliseconds(60);
/// A process with a longer line of questions is not asked.
constexpr Duration kMaxLine = std::chrono::milliseconds(250);
constexpr Duration kHelperTimeout = std::chrono::seconds(3);
/// Weight of the newest answer in the mean share of allowed workers.
constexpr double kShareWeight = 0.05;
/// More workers than the mean share asks for, since the share varies.
constexpr double kSpareFactor = 1.6;
constexpr std::size_t kSpareWorkers = 2;
/// Most workers that one question names.
constexpr std::size_t kMaxWorkers = 100;

SubmissionsState& StateOf(Context& context) {
  return context.state.submissions;
}

Duration CostOf(const AdvicePolicy& policy, std::size_t workers) {
  return policy.decision_time +
         policy.time_per_worker * static_cast<std::int64_t>(workers);
}

/// The process whose line of questions ends first; unset: all lines are long.
std::optional<ProcessId> ChooseAsker(Context& context) {
  SubmissionsState& state = StateOf(context);
  const ProcessId& self = context.state.settings.self;
  Helper& own = state.helpers[self.node];
  own.process = self;
  own.heard_at = context.now;
  std::optional<ProcessId> best;
  TimePoint best_free = context.now + kMaxLine;
  for (const auto& [node, helper] : state.helpers) {
    const bool is_heard =
        own_load::CaughtUpTo(context) < helper.heard_at + kHelperTimeout;
    const bool is_free = is_heard && helper.open_questions < kMaxOpenQuestions;
    if (is_free && helper.busy_until < best_free) {
      best = helper.process;
      best_free = helper.busy_until;
    }
  }
  return best;
}

/// Numbers of different leaders differ, so that a process that asked for one
/// and then leads itself cannot mistake the answers.
std::uint64_t NextNumber(Context& context) {
  constexpr unsigned kEpochShift = 32;
  SubmissionsState& state = StateOf(context);
  return (state.leadership.epoch.value << kEpochShift) + ++state.last_question;
}

/// Answers a helper's report: the leader when its list of members has
/// changed, others when they know who leads.
void TellLeader(Context& context, Helper& helper) {
  SubmissionsState& state = StateOf(context);
  const LeadershipState& leadership = state.leadership;
  if (!leadership.leader || leadership.leader->process == helper.process) {
    return;
  }
  LeaderReport report;
  report.leader = ToString(*leadership.leader);
  report.generation = leadership.leader_generation;
  if (leadership.holds) {
    if (helper.told_change == state.helper_changes) {
      return;
    }
    helper.told_change = state.helper_changes;
    candidacy::Describe(context, report);
    for (const auto& [node, member] : state.helpers) {
      if (member.address.empty()) {
        // This process itself, which asks for advice too.
        continue;
      }
      report.members.push_back(ToString({member.process, member.address}));
    }
  }
  context.Emit(SendToPeer{helper.process.node, std::move(report)});
}

double AllowedShare(const Context& context, const RouteName& route) {
  const auto& advice = context.state.submissions.advice;
  const auto found = advice.find(route);
  return found == advice.end() ? AdviceStatistics{}.allowed_share
                               : found->second.allowed_share;
}

Resources Times(const Resources& demand, std::size_t count) {
  const auto factor = static_cast<std::int64_t>(count);
  return {demand.cpu_millicores * factor, demand.memory_mebibytes * factor,
          demand.accelerators * factor};
}

/// Whether the pool has room beyond what open questions of more urgent
/// submissions look for. Without that, a crowd of waiting steps would ask
/// about the same room again and again.
bool HasRoomToSeek(const Context& context, const Round& round) {
  const SubmissionsState& state = context.state.submissions;
  const auto room = state.fleet.rooms.find(round.submission.policy.pool);
  if (room == state.fleet.rooms.end()) {
    return false;
  }
  Resources free = room->second.free;
  for (const auto& [number, question] : state.questions) {
    if (question.rank <= round.submission.queued_as) {
      free -= question.sought;
    }
  }
  const std::size_t least =
      step_offers::IsNewGang(round) ? round.waiting.size() : 1;
  return Fits(Times(round.spec.demand, least), free);
}

/// What a question is to name.
struct Search {
  std::vector<HostName> workers;
  /// Tasks for which there will likely be room.
  double expected = 0;
};

/// Those that are allowed, whose tickets have expired.
void AddKnown(Context& context, const Round& round, Search& search) {
  for (const step_offers::Offer& offer :
       step_offers::Allowed(context, round, Tickets::kExpired)) {
    search.workers.push_back(offer.worker->entry.name);
    search.expected += offer.room;
  }
}

/// Those with room of which nothing is known, as many as will likely do.
void AddUnknown(Context& context, const Round& round, Search& search) {
  const double share = AllowedShare(context, round.submission.route);
  const double wanted =
      static_cast<double>(round.waiting.size()) * kSpareFactor;
  const std::size_t least = search.workers.size() + kSpareWorkers;
  step_offers::VisitRoom(context, round, [&](const step_offers::Offer& offer) {
    const HostName& name = offer.worker->entry.name;
    if (!round.step.allowed.contains(name) &&
        !round.step.forbidden.contains(name)) {
      search.workers.push_back(name);
      search.expected += offer.room * share;
    }
    const bool is_enough =
        search.expected >= wanted && search.workers.size() >= least;
    return !is_enough && search.workers.size() < kMaxWorkers;
  });
}

/// The workers to ask about now; none when no answer would help.
Search ChooseWorkers(Context& context, const Round& round) {
  const auto valid = static_cast<double>(step_offers::TotalRoom(
      step_offers::Allowed(context, round, Tickets::kValid)));
  Search search;
  search.expected = valid;
  AddKnown(context, round, search);
  const auto needed = static_cast<double>(round.waiting.size());
  const bool is_new_gang = step_offers::IsNewGang(round);
  if (search.expected >= needed) {
    return search;
  }
  const std::size_t known = search.workers.size();
  AddUnknown(context, round, search);
  if (!is_new_gang || search.expected >= needed) {
    return search;
  }
  if (gang_claims::Claim(context, round) || search.workers.size() == known) {
    // Enough workers are allowed, or nothing new can be learned: only room is
    // missing.
    search.workers.clear();
  }
  return search;
}

/// The question has an answer, or none is waited for any longer.
void Finish(Context& context, std::uint64_t number, const Question& question) {
  SubmissionsState& state = StateOf(context);
  state.questions.erase(number);
  const auto helper = state.helpers.find(question.asker.node);
  if (helper == state.helpers.end() || helper->second.open_questions == 0) {
    return;
  }
  --helper->second.open_questions;
  if (helper->second.open_questions == 0) {
    helper->second.busy_until = context.now;
  }
}

/// How long the advisor took, from when the question's turn had come at its
/// asker: what stood before it there was asked by this process too.
void NoteTime(Context& context, const Question& question) {
  const Submission* submission =
      submission_progress::Find(context, question.submission);
  if (submission == nullptr || !submission->policy.advice) {
    return;
  }
  const TimePoint due = question.give_up_at - kQuestionPatience;
  const TimePoint turn =
      due - CostOf(*submission->policy.advice, question.workers.size());
  context.Observe(Metric::kAdviceTime,
                  std::max(context.now - turn, Duration::zero()),
                  submission->route.value);
}

/// The step that a question is about, if it is still open.
StepState* FindStep(Context& context, std::uint64_t number,
                    const Question& question) {
  Submission* submission =
      submission_progress::Find(context, question.submission);
  if (submission == nullptr || question.step >= submission->steps.size()) {
    return nullptr;
  }
  StepState& step = submission->steps[question.step];
  return step.questions.contains(number) ? &step : nullptr;
}

void TakeTickets(Context& context, const Question& question, StepState& step,
                 const AdviceGiven& event) {
  for (const HostName& worker : question.workers) {
    step.forbidden.insert(worker);
  }
  for (const AdviceTicket& ticket : event.tickets) {
    step.forbidden.erase(ticket.worker);
    step.allowed[ticket.worker] = {
        ticket.ticket, context.now + event.validity - kTicketMargin};
    if (FleetWorker* worker = fleet::Find(context, ticket.worker)) {
      worker->wanted_by.insert(question.submission);
    }
  }
  const Submission* submission =
      submission_progress::Find(context, question.submission);
  double& share = StateOf(context).advice[submission->route].allowed_share;
  const double seen = static_cast<double>(event.tickets.size()) /
                      static_cast<double>(question.workers.size());
  share += (seen - share) * kShareWeight;
}

}  // namespace

void Seek(Context& context, Round& round) {
  SubmissionsState& state = StateOf(context);
  Submission& submission = round.submission;
  if (!round.step.questions.empty() ||
      context.now < round.step.ask_not_before ||
      !HasRoomToSeek(context, round)) {
    return;
  }
  const std::optional<ProcessId> asker = ChooseAsker(context);
  if (!asker) {
    state.seeking.insert({*submission.queued_as, submission.id});
    return;
  }
  Search search = ChooseWorkers(context, round);
  if (search.workers.empty()) {
    return;
  }
  AskAdvice ask;
  ask.workers = std::move(search.workers);
  ask.number = NextNumber(context);
  ask.submission = submission.id;
  ask.step = round.index;
  round.step.questions.insert(ask.number);
  Helper& helper = state.helpers[asker->node];
  ++helper.open_questions;
  helper.busy_until = std::max(helper.busy_until, context.now) +
                      CostOf(*submission.policy.advice, ask.workers.size());
  state.questions[ask.number] = {submission.id,
                                 round.index,
                                 *submission.queued_as,
                                 Times(round.spec.demand, round.waiting.size()),
                                 *asker,
                                 ask.workers,
                                 helper.busy_until + kQuestionPatience};
  if (*asker == context.state.settings.self) {
    context.Emit(std::move(ask));
  } else {
    context.Emit(SendToPeer{asker->node, AdviceCall{std::move(ask)}});
  }
}

void OnGiven(Context& context, const AdviceGiven& event) {
  SubmissionsState& state = StateOf(context);
  const auto asked = state.asked_for.extract(event.number);
  if (!asked.empty()) {
    context.Emit(SendToPeer{asked.mapped().node, AdviceAnswer{event}});
    return;
  }
  const auto found = state.questions.find(event.number);
  if (found == state.questions.end()) {
    return;
  }
  const Question question = found->second;
  StepState* step = FindStep(context, event.number, question);
  Finish(context, event.number, question);
  step_placement::OnLineFree(context);
  if (step == nullptr) {
    return;
  }
  step->questions.erase(event.number);
  NoteTime(context, question);
  if (event.ok) {
    TakeTickets(context, question, *step, event);
  } else {
    step->ask_not_before = context.now + kAskAgainDelay;
    context.Log(LogLevel::kInfo, kPart, "A question was not answered.",
                {{"submission", question.submission.value},
                 {"step", question.step},
                 {"asker", question.asker.node.value}});
  }
  if (Submission* submission =
          submission_progress::Find(context, question.submission)) {
    step_placement::Wake(context, *submission);
  }
}

void OnTimer(Context& context) {
  std::vector<std::uint64_t> overdue;
  for (const auto& [number, question] : StateOf(context).questions) {
    if (own_load::CaughtUpTo(context) >= question.give_up_at) {
      overdue.push_back(number);
    }
  }
  for (const std::uint64_t number : overdue) {
    OnGiven(context, AdviceGiven{number, false, {}, {}});
  }
}

void OnHelper(Context& context, const ProcessId& from,
              const HelperReport& report) {
  SubmissionsState& state = StateOf(context);
  Helper& helper = state.helpers[from.node];
  if (helper.process != from) {
    helper = Helper{};
    helper.process = from;
    helper.address = report.address;
    ++state.helper_changes;
    hands::OnHelperGone(context, from.node);
    context.Emit(ConnectPeer{from.node, report.address});
  }
  hands::OnHelper(context, helper, report);
  helper.heard_at = context.now;
  candidacy::OnHelper(context, helper, report);
  TellLeader(context, helper);
}

void OnCall(Context& context, const ProcessId& from, const AdviceCall& call) {
  StateOf(context).asked_for[call.ask.number] = from;
  context.Emit(call.ask);
}

void OnAnswer(Context& context, const AdviceAnswer& answer) {
  OnGiven(context, answer.given);
}

void OnHelperGone(Context& context, const NodeName& node) {
  SubmissionsState& state = StateOf(context);
  if (!leadership::IsLeading(context)) {
    return;
  }
  state.helpers.erase(node);
  ++state.helper_changes;
  hands::OnHelperGone(context, node);
  std::vector<std::uint64_t> lost;
  for (const auto& [number, question] : state.questions) {
    if (question.asker.node == node) {
      lost.push_back(number);
    }
  }
  for (const std::uint64_t number : lost) {
    OnGiven(context, AdviceGiven{number, false, {}, {}});
  }
}

}  // namespace basilspread::internal::step_advice
