#include "internal/step_advice.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
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
/// Reports without a sign of the leader, a second apart, of which the second
/// tells that the answer to the first was lost.
constexpr std::uint32_t kMissingReports = 2;
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

/// A sign for one that has heard nothing lately. What was sent after its last
/// report has not come either, so that the connection has gone silent.
void AnswerMissing(Context& context, Helper& helper) {
  const NodeName& node = helper.process.node;
  ++helper.missing_reports;
  if (helper.missing_reports % kMissingReports != 0) {
    leadership::TellLeadership(context, node);
    return;
  }
  context.Log(LogLevel::kWarning, kPart, "Reopens a silent link.",
              {{"peer", node.value}});
  context.Emit(ReopenLink{node});
}

double AllowedShare(const Context& context, const RouteName& route) {
  const auto& advice = context.state.submissions.advice;
  const auto found = advice.find(route);
  return found == advice.end() ? AdviceStatistics{}.allowed_share
                               : found->second.allowed_share;
}

/// Whether the pool has room beyond what open questions of more urgent
/// submissions look for. Without that, a crowd of waiting steps would ask
/// about the same room again and again.
bool HasRoomToSeek(const Context& context, const Round& round) {
  const SubmissionsState& state = context.state.submissions;
  const auto room = state.fleet.free_by_pool.find(round.submission.policy.pool);
  if (room == state.fleet.free_by_pool.end()) {
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

/// A gang also prepares for room that it keeps until it suffices.
bool MaySeek(const Context& context, const Round& round) {
  return HasRoomToSeek(context, round) ||
         (step_offers::IsNewGang(round) &&
          gang_claims::MayClaim(context, round.submission.id));
}

/// What a question is to name.
struct Search {
  std::vector<HostName> workers;
  /// Tasks for which there will likely be room.
  double expected = 0;
};

/// Those that are allowed and have room, whose tickets have expired.
void AddKnown(Context& context, const Round& round, Search& search) {
  search.expected = step_offers::TotalRoom(
      step_offers::Allowed(context, round, Tickets::kAny));
  for (const step_offers::Offer& offer :
       step_offers::Allowed(context, round, Tickets::kExpired)) {
    search.workers.push_back(offer.worker->entry.name);
  }
}

/// Adds offers of workers of which nothing is known, as many as will likely
/// do. Returns whether more are of use.
std::function<bool(const step_offers::Offer&)> Adder(Context& context,
                                                     const Round& round,
                                                     Search& search) {
  const double share = AllowedShare(context, round.submission.route);
  const double wanted =
      static_cast<double>(round.waiting.size()) * kSpareFactor;
  const std::size_t least = search.workers.size() + kSpareWorkers;
  return [&round, &search, share, wanted, least](const auto& offer) {
    const HostName& name = offer.worker->entry.name;
    if (!round.step.allowed.contains(name) &&
        !round.step.forbidden.contains(name)) {
      search.workers.push_back(name);
      search.expected += offer.room * share;
    }
    const bool is_enough =
        search.expected >= wanted && search.workers.size() >= least;
    return !is_enough && search.workers.size() < kMaxWorkers;
  };
}

/// Those that have room now.
void AddUnknown(Context& context, const Round& round, Search& search) {
  step_offers::VisitRoom(context, round, Adder(context, round, search));
}

/// Those whose room a gang may claim once it is allowed there.
void AddBusy(Context& context, const Round& round, Search& search) {
  search.expected = 0;
  for (const auto& [name, ticket] : round.step.allowed) {
    if (const FleetWorker* worker = fleet::Find(context, name)) {
      search.expected += step_offers::RoomWhenIdle(round, *worker);
    }
  }
  const double wanted =
      static_cast<double>(round.waiting.size()) * kSpareFactor;
  if (search.expected < wanted) {
    step_offers::VisitWhenIdle(context, round, Adder(context, round, search));
  }
}

/// Those whose room is kept for the gang and whose tickets would expire before
/// another answer came.
void AddClaimed(Context& context, const Round& round, Search& search) {
  const auto& claims = context.state.submissions.claims;
  const auto claim = claims.find(round.submission.id);
  if (claim == claims.end()) {
    return;
  }
  const TimePoint answered =
      context.now +
      CostOf(*round.submission.policy.advice, claim->second.size());
  for (const HostName& name : claim->second) {
    const auto ticket = round.step.allowed.find(name);
    if (ticket != round.step.allowed.end() &&
        ticket->second.valid_until < answered) {
      search.workers.push_back(name);
    }
  }
}

/// A gang is placed as a whole. Room that allowed workers have now is kept
/// while their tickets are renewed. If that is too little, others with room
/// are asked about; if those are too few as well, room is kept on allowed
/// workers until it comes together.
Search ChooseForGang(Context& context, const Round& round) {
  std::vector<step_offers::Offer> offers =
      step_offers::Allowed(context, round, Tickets::kAny);
  Search renewal;
  if (step_offers::TotalRoom(offers) >= round.waiting.size()) {
    gang_claims::Hold(context, round, std::move(offers));
    AddClaimed(context, round, renewal);
    return renewal;
  }
  Search search;
  AddKnown(context, round, search);
  const std::size_t known = search.workers.size();
  AddUnknown(context, round, search);
  if (search.expected >= static_cast<double>(round.waiting.size())) {
    gang_claims::Drop(context, round.submission.id);
    return search;
  }
  if (gang_claims::Claim(context, round)) {
    // Others may have room sooner than those that it knows.
    search.workers.erase(
        search.workers.begin(),
        search.workers.begin() + static_cast<std::ptrdiff_t>(known));
    AddClaimed(context, round, search);
    return search;
  }
  if (gang_claims::MayClaim(context, round.submission.id)) {
    Search ahead;
    AddBusy(context, round, ahead);
    return ahead;
  }
  // Without workers that are new, an answer would tell nothing.
  return search.workers.size() == known ? Search{} : search;
}

/// The workers to ask about now; none when no answer would help.
Search ChooseWorkers(Context& context, const Round& round) {
  if (step_offers::IsNewGang(round)) {
    return ChooseForGang(context, round);
  }
  Search search;
  AddKnown(context, round, search);
  if (search.expected < static_cast<double>(round.waiting.size())) {
    AddUnknown(context, round, search);
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
      worker->waiting_submissions.insert(question.submission);
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
      context.now < round.step.ask_not_before || !MaySeek(context, round)) {
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
  if (report.misses_leader && context.state.submissions.leadership.holds) {
    AnswerMissing(context, helper);
    return;
  }
  helper.missing_reports = 0;
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
