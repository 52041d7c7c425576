#include "internal/step_advice.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

#include "internal/advice_selection.h"
#include "internal/candidacy.h"
#include "internal/fleet.h"
#include "internal/leadership.h"
#include "internal/leadership_proof.h"
#include "internal/other_runs.h"
#include "internal/own_load.h"
#include "internal/relays.h"
#include "internal/step_offers.h"
#include "internal/step_placement.h"
#include "internal/submission_progress.h"

namespace basilspread::internal::step_advice {
namespace {

using advice_selection::CostOf;
using advice_selection::kHelperTimeout;
using advice_selection::kMaxWorkersPerQuery;
using step_offers::PendingStep;

constexpr std::string_view kPart = "advice";
/// A ticket must stay valid until the start reaches its worker.
constexpr Duration kTicketMargin = std::chrono::milliseconds(60);
/// A query times out this long after its answer was due. The advisor completes
/// it anyway, so that a shorter time-out only lengthens the backlog.
constexpr Duration kQueryTimeout = std::chrono::milliseconds(1500);
/// One that the advisor processes and one in transit.
constexpr std::uint32_t kMaxOpenQueries = 2;
constexpr Duration kRetryDelay = std::chrono::milliseconds(60);
/// A process with a longer backlog of queries gets no more.
constexpr Duration kMaxBacklog = std::chrono::milliseconds(250);
/// Consecutive reports, one second apart, that miss the leader before the link
/// is reopened: the second shows that the answer to the first was lost.
constexpr std::uint32_t kReportsPerReopen = 2;
/// Weight of the newest answer in the moving average of the allowed share.
constexpr double kShareWeight = 0.05;
/// A query is split until the time for its named workers is at most the inverse
/// of this times the time of the decision.
constexpr std::int64_t kMinDecisionFactor = 4;

SubmissionsState& StateOf(Context& context) {
  return context.state.submissions;
}

/// The process whose backlog of queries ends first; unset when none has
/// capacity for another query.
std::optional<ProcessId> ChooseAsker(Context& context) {
  SubmissionsState& state = StateOf(context);
  const ProcessId& self = context.state.settings.self;
  Helper& own = state.helpers[self.node];
  own.process = self;
  own.heard_at = context.now;
  std::optional<ProcessId> best;
  TimePoint best_free = context.now + kMaxBacklog;
  for (const auto& [node, helper] : state.helpers) {
    const bool is_heard =
        own_load::CaughtUpTo(context) < helper.heard_at + kHelperTimeout;
    const bool is_free = is_heard && helper.open_queries < kMaxOpenQueries;
    if (is_free && helper.busy_until < best_free) {
      best = helper.process;
      best_free = helper.busy_until;
    }
  }
  return best;
}

/// Query numbers include the leader's epoch, so that a process that queried for
/// an earlier leader and then leads itself cannot confuse the answers.
std::uint64_t NextNumber(Context& context) {
  constexpr unsigned kEpochShift = 32;
  SubmissionsState& state = StateOf(context);
  return (state.leadership.epoch.value << kEpochShift) +
         ++state.last_query_number;
}

/// Answers a helper's report with what this process knows of the leader. The
/// leader answers only if its list of members has changed since the last
/// answer.
void ReportLeader(Context& context, Helper& helper) {
  SubmissionsState& state = StateOf(context);
  const LeadershipState& leadership = state.leadership;
  if (!leadership.leader || leadership.leader->process == helper.process) {
    return;
  }
  LeaderReport report;
  report.leader = ToString(*leadership.leader);
  report.generation = leadership.leader_generation;
  if (leadership.holds_leadership) {
    if (helper.sent_helper_changes == state.helper_changes) {
      return;
    }
    helper.sent_helper_changes = state.helper_changes;
    candidacy::Describe(context, report);
    for (const auto& [node, member] : state.helpers) {
      if (member.address.empty()) {
        // This process itself, which also queries the advisor.
        continue;
      }
      report.members.push_back(ToString({member.process, member.address}));
    }
  }
  context.Emit(SendToPeer{helper.process.node, std::move(report)});
}

/// Answers a helper that has not heard from the leader. If the previous answer
/// did not arrive either, the connection is silent and is reopened.
void AnswerMissedLeader(Context& context, Helper& helper) {
  const NodeName& node = helper.process.node;
  ++helper.reports_missing_leader;
  if (helper.reports_missing_leader % kReportsPerReopen != 0) {
    leadership::TellLeadership(context, node);
    return;
  }
  context.Log(LogLevel::kWarning, kPart,
              "The link to the peer is silent; reopening it.",
              {{"peer", node.value}});
  context.Emit(ReopenLink{node});
}

/// Number of queries over which the workers are split. The capacity that a step
/// asks for is idle until the answer, and the time for each named worker can
/// exceed that of the decision.
std::size_t CountQueries(const Context& context, const AdvicePolicy& policy,
                         std::size_t workers) {
  const Duration named =
      policy.time_per_worker * static_cast<std::int64_t>(workers);
  const auto useful = static_cast<std::size_t>(
      named * kMinDecisionFactor /
      std::max<Duration>(policy.decision_time, std::chrono::milliseconds(1)));
  const std::size_t available = advice_selection::CountAskers(context);
  const std::size_t least =
      (workers + kMaxWorkersPerQuery - 1) / kMaxWorkersPerQuery;
  return std::max({std::min(useful, available), least, std::size_t{1}});
}

/// Deals the workers out to `parts` lists in turn, so that each has its share
/// of the preferred ones.
std::vector<std::vector<HostName>> Split(const std::vector<HostName>& workers,
                                         std::size_t parts) {
  std::vector<std::vector<HostName>> lists(parts);
  for (std::size_t i = 0; i < workers.size(); ++i) {
    lists[i % parts].push_back(workers[i]);
  }
  return lists;
}

/// Sends a query that asks for the resources on behalf of the step.
void Ask(Context& context, PendingStep& pending, const ProcessId& asker,
         std::vector<HostName> workers, const Resources& requested) {
  SubmissionsState& state = StateOf(context);
  const Submission& submission = pending.submission;
  AskAdvice ask;
  ask.workers = std::move(workers);
  ask.number = NextNumber(context);
  ask.submission = submission.id;
  ask.step = pending.index;
  pending.step.advice_queries.insert(ask.number);
  Helper& helper = state.helpers[asker.node];
  ++helper.open_queries;
  helper.busy_until = std::max(helper.busy_until, context.now) +
                      CostOf(*submission.policy.advice, ask.workers.size());
  state.advice_queries[ask.number] = {
      submission.id, pending.index, *submission.queue_rank,           requested,
      asker,         ask.workers,   helper.busy_until + kQueryTimeout};
  if (asker == context.state.settings.self) {
    context.Emit(std::move(ask));
  } else {
    other_runs::Send(context, asker, AdviceCall{std::move(ask)});
  }
}

/// Removes a query that is answered or has timed out.
void CloseQuery(Context& context, std::uint64_t number,
                const AdviceQuery& query) {
  SubmissionsState& state = StateOf(context);
  state.advice_queries.erase(number);
  const auto helper = state.helpers.find(query.asker.node);
  if (helper == state.helpers.end() || helper->second.open_queries == 0) {
    return;
  }
  --helper->second.open_queries;
  if (helper->second.open_queries == 0) {
    helper->second.busy_until = context.now;
  }
}

/// Records the advisor's response time without the time that the query waited
/// in its asker's backlog, which consists of this leader's own queries.
void RecordAdviceTime(Context& context, const AdviceQuery& query) {
  const Submission* submission =
      submission_progress::Find(context, query.submission);
  if (submission == nullptr || !submission->policy.advice) {
    return;
  }
  const TimePoint due = query.give_up_at - kQueryTimeout;
  const TimePoint turn =
      due - CostOf(*submission->policy.advice, query.workers.size());
  context.Observe(Metric::kAdviceTime,
                  std::max(context.now - turn, Duration::zero()),
                  submission->route.value);
}

/// The step of a query, if the query is still outstanding; null otherwise.
StepState* FindStep(Context& context, std::uint64_t number,
                    const AdviceQuery& query) {
  Submission* submission = submission_progress::Find(context, query.submission);
  if (submission == nullptr || query.step >= submission->steps.size()) {
    return nullptr;
  }
  StepState& step = submission->steps[query.step];
  return step.advice_queries.contains(number) ? &step : nullptr;
}

void StoreTickets(Context& context, const AdviceQuery& query, StepState& step,
                  const AdviceGiven& event) {
  for (const HostName& worker : query.workers) {
    step.forbidden.insert(worker);
  }
  for (const AdviceTicket& ticket : event.tickets) {
    step.forbidden.erase(ticket.worker);
    step.allowed[ticket.worker] = {
        ticket.ticket, context.now + event.validity - kTicketMargin};
    if (FleetWorker* worker = fleet::Find(context, ticket.worker)) {
      worker->waiting_submissions.insert(query.submission);
    }
  }
  const Submission* submission =
      submission_progress::Find(context, query.submission);
  double& share = StateOf(context).advice[submission->route].allowed_share;
  const double seen = static_cast<double>(event.tickets.size()) /
                      static_cast<double>(query.workers.size());
  share += (seen - share) * kShareWeight;
}

}  // namespace

void RequestAdvice(Context& context, PendingStep& pending) {
  SubmissionsState& state = StateOf(context);
  Submission& submission = pending.submission;
  if (!pending.step.advice_queries.empty() ||
      context.now < pending.step.ask_not_before ||
      !advice_selection::MayQuery(context, pending)) {
    return;
  }
  if (!ChooseAsker(context)) {
    state.awaiting_advisor.insert({*submission.queue_rank, submission.id});
    return;
  }
  const std::vector<HostName> chosen =
      advice_selection::ChooseWorkers(context, pending);
  if (chosen.empty()) {
    return;
  }
  Resources requested = Times(pending.spec.demand, pending.waiting.size());
  for (std::vector<HostName>& workers :
       Split(chosen,
             CountQueries(context, *submission.policy.advice, chosen.size()))) {
    // An asker that is chosen here has been idle, or is the one found above.
    if (const std::optional<ProcessId> asker = ChooseAsker(context)) {
      Ask(context, pending, *asker, std::move(workers),
          std::exchange(requested, Resources{}));
    }
  }
}

void OnGiven(Context& context, const AdviceGiven& event) {
  SubmissionsState& state = StateOf(context);
  const auto asked = state.relayed_queries.extract(event.number);
  if (!asked.empty()) {
    other_runs::Send(context, asked.mapped(), AdviceAnswer{event});
    return;
  }
  const auto found = state.advice_queries.find(event.number);
  if (found == state.advice_queries.end()) {
    return;
  }
  const AdviceQuery query = found->second;
  StepState* step = FindStep(context, event.number, query);
  CloseQuery(context, event.number, query);
  step_placement::OnAskerAvailable(context);
  if (step == nullptr) {
    return;
  }
  step->advice_queries.erase(event.number);
  RecordAdviceTime(context, query);
  if (event.ok) {
    StoreTickets(context, query, *step, event);
  } else {
    step->ask_not_before = context.now + kRetryDelay;
    context.Log(
        LogLevel::kInfo, kPart,
        "An advice query got no answer; the step will be queried again.",
        {{"submission", query.submission.value},
         {"step", query.step},
         {"asker", query.asker.node.value}});
  }
  if (Submission* submission =
          submission_progress::Find(context, query.submission)) {
    step_placement::Wake(context, *submission);
  }
}

void OnTimer(Context& context) {
  std::vector<std::uint64_t> overdue;
  for (const auto& [number, query] : StateOf(context).advice_queries) {
    if (own_load::CaughtUpTo(context) >= query.give_up_at) {
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
    relays::OnHelperGone(context, from.node);
    context.Emit(ConnectPeer{from.node, report.address});
  }
  relays::OnHelper(context, helper, report);
  helper.heard_at = context.now;
  candidacy::OnHelper(context, helper, report);
  if (report.misses_leader &&
      context.state.submissions.leadership.holds_leadership) {
    AnswerMissedLeader(context, helper);
  } else {
    helper.reports_missing_leader = 0;
    ReportLeader(context, helper);
  }
  leadership_proof::OnReport(context, from, report);
}

void OnCall(Context& context, const ProcessId& from, const AdviceCall& call) {
  StateOf(context).relayed_queries[call.ask.number] = from;
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
  relays::OnHelperGone(context, node);
  std::vector<std::uint64_t> lost;
  for (const auto& [number, query] : state.advice_queries) {
    if (query.asker.node == node) {
      lost.push_back(number);
    }
  }
  for (const std::uint64_t number : lost) {
    OnGiven(context, AdviceGiven{number, false, {}, {}});
  }
}

}  // namespace basilspread::internal::step_advice
