#include "internal/submission_calls.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

#include "internal/leadership.h"
#include "internal/load_shedding.h"
#include "internal/own_load.h"
#include "internal/queue_tables.h"
#include "internal/relay_agent.h"
#include "internal/submission_service.h"

namespace basilspread::internal::submission_calls {
namespace {

constexpr std::string_view kPart = "calls";
constexpr std::size_t kIdLength = 16;
/// Open calls are looked through this often.
constexpr Duration kCheckInterval = std::chrono::milliseconds(50);
/// A call that the leader declined, or did not answer, is sent again.
constexpr Duration kDeclinedDelay = std::chrono::milliseconds(100);
constexpr Duration kUnansweredDelay = std::chrono::milliseconds(800);
/// Time that an answer takes on its way back to the caller.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(150);
/// When a caller may try again: a takeover takes about as long.
constexpr Duration kRetryAfter = std::chrono::seconds(1);
constexpr Duration kReportInterval = std::chrono::seconds(1);
/// Kept for the exit itself at the end of a stop.
constexpr Duration kExitMargin = std::chrono::milliseconds(800);
/// Without store and leader, a process asks its peers every 500 ms.
constexpr Duration kLeaderPatience = std::chrono::milliseconds(600);
constexpr std::size_t kMaxOpenCalls = 2048;

SubmissionsState& StateOf(Context& context) {
  return context.state.submissions;
}

bool IsId(std::string_view text) {
  return text.size() == kIdLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char character) {
           return std::isxdigit(character) != 0;
         });
}

std::string_view NameOf(SubmissionOperation operation) {
  switch (operation) {
    case SubmissionOperation::kSubmit:
      return "submit";
    case SubmissionOperation::kStatus:
      return "status";
    case SubmissionOperation::kCancel:
      return "cancel";
    case SubmissionOperation::kCountWaiting:
      return "count-waiting";
  }
  return "unknown";
}

/// Status calls come often and change nothing: told only when refused.
LogLevel LevelOf(const SubmissionCall& message, ErrorKind kind) {
  const bool changes = message.operation == SubmissionOperation::kSubmit ||
                       message.operation == SubmissionOperation::kCancel;
  return changes || kind != ErrorKind::kNone ? LogLevel::kInfo
                                             : LogLevel::kDebug;
}

void NoteAnswer(Context& context, const OpenCall& call,
                const SubmissionAnswer& answer) {
  const SubmissionCall& message = call.message;
  const std::string_view outcome = AnswerFor(answer.kind).name;
  const Duration time = context.now - call.arrived;
  context.Count(Metric::kCalls, outcome);
  context.Observe(Metric::kCallTime, time, NameOf(message.operation));
  const LogLevel level = LevelOf(message, answer.kind);
  if (level == LogLevel::kDebug) {
    return;
  }
  const SubmissionsState& state = StateOf(context);
  const auto& leader = state.leadership.leader;
  context.Log(level, kPart, "A call was answered.",
              {{"id", message.id.value},
               {"operation", NameOf(message.operation)},
               {"route", message.route.value},
               {"outcome", outcome},
               {"retry_after_ms", answer.retry_after},
               {"took_ms", time},
               {"leader", leader ? leader->process.node.value : ""},
               {"generation", state.leadership.generation},
               {"tables", queue_tables::Version(context).value}});
}

void Answer(Context& context, const OpenCall& call, SubmissionAnswer answer) {
  // Submissions are known by their ids, so that one whose fate is not known may
  // come again too.
  const bool may_return = answer.kind == ErrorKind::kOutcomeUnknown ||
                          AnswerFor(answer.kind).retryable;
  if (may_return && answer.retry_after == Duration::zero()) {
    answer.retry_after = kRetryAfter;
  }
  NoteAnswer(context, call, answer);
  context.Emit(AnswerSubmissionCaller{answer});
}

void Refuse(Context& context, const OpenCall& call, ErrorKind kind,
            Duration retry_after = Duration::zero()) {
  SubmissionAnswer answer;
  answer.retry_after = retry_after;
  answer.call = call.message.call;
  answer.operation = call.message.operation;
  answer.kind = kind;
  Answer(context, call, answer);
}

/// Why a submission cannot be taken at all; kNone when it can.
ErrorKind FindFault(const SubmissionSpec& spec) {
  // Steps that last, that fill idle room and that repeat by the clock are not
  // built yet.
  const bool is_unsupported =
      spec.repetitions > 0 || std::any_of(spec.steps.begin(), spec.steps.end(),
                                          [](const StepSpec& step) {
                                            return step.long_running ||
                                                   step.fills_idle_cpu;
                                          });
  return is_unsupported ? ErrorKind::kNotSupported : ErrorKind::kNone;
}

void Send(Context& context, OpenCall& call) {
  const auto& leader = StateOf(context).leadership.leader;
  if (!leader || own_load::CaughtUpTo(context) < call.send_not_before) {
    return;
  }
  if (!call.recipients.empty()) {
    leadership::SuspectLeader(context);
  }
  call.send_not_before = context.now + kUnansweredDelay;
  ++call.recipients[leader->process.node];
  const SubmissionCall message = call.message;
  if (leader->process == context.state.settings.self) {
    service::OnCall(context, leader->process, message);
  } else {
    context.Emit(SendToPeer{leader->process.node, message});
  }
}

/// Does the same with every open call; a call may end meanwhile.
void ForEachOpen(Context& context,
                 const std::function<void(CallId, OpenCall&)>& action) {
  auto& calls = StateOf(context).calls;
  std::vector<CallId> ids;
  ids.reserve(calls.size());
  for (const auto& [id, call] : calls) {
    ids.push_back(id);
  }
  for (const CallId id : ids) {
    const auto found = calls.find(id);
    if (found != calls.end()) {
      action(id, found->second);
    }
  }
}

/// The process did nothing with what it was sent.
void TakeBack(Context& context, OpenCall& call, const NodeName& taker) {
  const auto found = call.recipients.find(taker);
  if (found != call.recipients.end() && --found->second == 0) {
    call.recipients.erase(found);
  }
  call.send_not_before = context.now + kDeclinedDelay;
}

/// A leader knows of all that earlier ones stored, so its refusal is certain
/// unless a later one may have taken the call up.
bool IsCertain(const OpenCall& call, const NodeName& refuser) {
  return std::all_of(
      call.recipients.begin(), call.recipients.end(),
      [&refuser](const auto& taker) { return taker.first == refuser; });
}

/// No leader can come while the store takes no joins, so that waiting helps no
/// caller. Those who follow a leader, or may hear of one from their peers
/// within moments, wait on.
bool IsHopeless(const Context& context) {
  const LeadershipState& leadership = context.state.submissions.leadership;
  return !leadership.leader && leadership.joins_fail_since &&
         own_load::CaughtUpTo(context) >=
             *leadership.joins_fail_since + kLeaderPatience;
}

void Expire(Context& context, CallId id) {
  const auto open = StateOf(context).calls.extract(id);
  const bool maybe_taken = !open.mapped().recipients.empty();
  Refuse(context, open.mapped(),
         maybe_taken ? ErrorKind::kOutcomeUnknown : ErrorKind::kNoLeader);
}

/// Reads id and operation off the path behind the route's prefix.
/// False when the path names nothing there.
bool ReadTarget(const SubmissionCallArrived& event, const QueueRoute& route,
                SubmissionCall& message) {
  const std::string rest = event.path.substr(route.path_prefix.size());
  message.operation = event.operation;
  message.route = route.name;
  if (rest.empty() && event.operation == SubmissionOperation::kStatus) {
    message.operation = SubmissionOperation::kCountWaiting;
    return true;
  }
  message.id = SubmissionId{rest};
  return IsId(rest);
}

/// Works out what the call asks for; an error when it cannot be passed on.
ErrorKind Admit(const Context& context, const SubmissionCallArrived& event,
                SubmissionCall& message) {
  const SubmissionsState& state = context.state.submissions;
  if (context.state.stopping && context.now >= state.refuse_calls_from) {
    return ErrorKind::kStopping;
  }
  if (!queue_tables::IsKnown(context)) {
    return ErrorKind::kNotReady;
  }
  const QueueRoute* route =
      queue_tables::Match(context, event.authority, event.path);
  if (route == nullptr) {
    message.id = SubmissionId{event.path};
    return ErrorKind::kUnknownRoute;
  }
  if (!ReadTarget(event, *route, message)) {
    return ErrorKind::kBadRequest;
  }
  if (event.spec) {
    event.spec->id = message.id;
    event.spec->route = route->name;
    message.spec = event.spec;
    const ErrorKind fault = FindFault(*event.spec);
    if (fault != ErrorKind::kNone) {
      return fault;
    }
  }
  return state.calls.size() >= kMaxOpenCalls ? ErrorKind::kOverloaded
                                             : ErrorKind::kNone;
}

}  // namespace

void Start(Context& context) {
  context.ArmIn(TimerKind::kCalls, kCheckInterval);
}

void OnArrived(Context& context, const SubmissionCallArrived& event) {
  OpenCall call;
  call.message.call = event.call;
  call.message.operation = event.operation;
  call.arrived = own_load::CaughtUpTo(context);
  const ErrorKind fault = Admit(context, event, call.message);
  if (fault != ErrorKind::kNone) {
    return Refuse(context, call, fault);
  }
  if (call.message.operation == SubmissionOperation::kSubmit) {
    const auto wait = load_shedding::RefuseAtEntry(context, call.message.route);
    if (wait) {
      return Refuse(context, call, ErrorKind::kOverloaded, *wait);
    }
  }
  SubmissionsState& state = StateOf(context);
  call.deadline = call.arrived + event.time_left - kAnswerMargin;
  if (context.state.stopping) {
    call.deadline = std::min(call.deadline, state.stop_by);
  }
  OpenCall& open = state.calls[event.call];
  open = std::move(call);
  Send(context, open);
}

void OnCallerGone(Context& context, const CallerDisconnected& event) {
  StateOf(context).calls.erase(event.call);
}

void OnTimer(Context& context) {
  ForEachOpen(context, [&context](CallId id, OpenCall& call) {
    if (context.now >= call.deadline || IsHopeless(context)) {
      Expire(context, id);
    } else {
      Send(context, call);
    }
  });
  service::OnTimer(context);
  context.ArmIn(TimerKind::kCalls, kCheckInterval);
}

void OnAnswer(Context& context, const NodeName& from,
              const SubmissionAnswer& answer) {
  SubmissionsState& state = StateOf(context);
  const auto found = state.calls.find(answer.call);
  if (found == state.calls.end()) {
    return;
  }
  const bool is_declined = answer.kind == ErrorKind::kNotOwner ||
                           answer.kind == ErrorKind::kNotReady;
  if (is_declined) {
    TakeBack(context, found->second, from);
    if (answer.kind == ErrorKind::kNotOwner) {
      leadership::SuspectLeader(context);
    }
    return;
  }
  if (answer.kind == ErrorKind::kOverloaded) {
    load_shedding::OnLeaderRefused(context, found->second.message.route,
                                   answer.retry_after);
  }
  const bool is_refusal = answer.kind == ErrorKind::kLogUnavailable ||
                          answer.kind == ErrorKind::kOverloaded;
  const auto taker = found->second.recipients.find(from);
  if (is_refusal && taker != found->second.recipients.end() &&
      taker->second > 1) {
    // The call was sent again meanwhile, and that copy may be taken.
    --taker->second;
    return;
  }
  SubmissionAnswer told = answer;
  told.operation = found->second.message.operation;
  if (is_refusal && !IsCertain(found->second, from)) {
    told.kind = ErrorKind::kOutcomeUnknown;
  }
  const OpenCall call = std::move(found->second);
  state.calls.erase(found);
  Answer(context, call, told);
}

void OnMessageNotSent(Context& context, const PeerMessageNotSent& event) {
  const auto* message = std::get_if<SubmissionCall>(&event.message);
  if (message == nullptr) {
    return;
  }
  const auto found = StateOf(context).calls.find(message->call);
  if (found != StateOf(context).calls.end()) {
    TakeBack(context, found->second, event.peer);
  }
}

void OnLinkChanged(Context& context, const PeerLinkChanged& event) {
  SubmissionsState& state = StateOf(context);
  if (event.connected) {
    state.leadership.linked_peers.insert(event.peer);
  } else {
    state.leadership.linked_peers.erase(event.peer);
  }
  const auto& leader = state.leadership.leader;
  if (!leader && event.connected &&
      state.leadership.peers.contains(event.peer)) {
    // Opened to ask who leads.
    context.Emit(SendToPeer{event.peer, relay_agent::Describe(context)});
  }
  if (state.leadership.holds_leadership && event.connected) {
    leadership::TellLeadership(context, event.peer);
  }
  if (!leader || leader->process.node != event.peer) {
    return;
  }
  if (!event.connected) {
    leadership::OnLeaderLost(context);
    return;
  }
  Report(context);
  // What was sent on the old connection may be lost.
  ForEachOpen(context, [&](CallId /*id*/, OpenCall& call) {
    call.send_not_before = own_load::CaughtUpTo(context);
    Send(context, call);
  });
}

void OnLeaderChanged(Context& context) {
  Report(context);
  ForEachOpen(context, [&context](CallId /*id*/, OpenCall& call) {
    call.send_not_before = own_load::CaughtUpTo(context);
    Send(context, call);
  });
}

void Report(Context& context) {
  SubmissionsState& state = StateOf(context);
  const auto& leader = state.leadership.leader;
  const bool is_other =
      leader && leader->process != context.state.settings.self;
  if (!is_other) {
    return;
  }
  state.next_report = context.now + kReportInterval;
  context.Emit(
      SendToPeer{leader->process.node, relay_agent::Describe(context)});
}

void OnLeading(Context& context) { OnLeaderChanged(context); }

void DropLeaderState(Context& context) {
  SubmissionsState& state = StateOf(context);
  state.all.clear();
  state.queue.clear();
  state.advice_queries.clear();
  state.due.clear();
  state.awaiting_advisor.clear();
  state.partial_gangs.clear();
  state.claims.clear();
  for (auto& [node, helper] : state.helpers) {
    helper.open_queries = 0;
  }
  state.fleet = FleetState{};
  state.inherited_workers.clear();
  state.log = WorkLogState{};
}

void OnStopRequested(Context& context) {
  if (context.state.stopping) {
    return;
  }
  context.state.stopping = true;
  context.Log(LogLevel::kInfo, kPart, "A stop was requested.");
  context.Emit(SetReadiness{false});
  Report(context);
  leadership::Leave(context, "the process stops");
  SubmissionsState& state = StateOf(context);
  const StoreSettings& settings = context.state.settings.store;
  state.refuse_calls_from = context.now + settings.drain_time;
  state.stop_by = context.now + settings.stop_grace - kExitMargin;
  ForEachOpen(context, [&state](CallId /*id*/, OpenCall& call) {
    call.deadline = std::min(call.deadline, state.stop_by);
  });
  context.ArmIn(TimerKind::kStop, settings.drain_time);
}

void OnStopTimer(Context& context) {
  SubmissionsState& state = StateOf(context);
  // By now the balancer has taken this process out; what still comes is
  // refused at once, so that the open calls come to an end.
  context.Emit(RefuseCallers{});
  const bool is_over = context.now >= state.stop_by + kCheckInterval;
  const bool is_idle = state.calls.empty() && relay_agent::IsIdle(context);
  if (is_idle || is_over) {
    context.Emit(ExitProcess{});
    return;
  }
  context.ArmIn(TimerKind::kStop, kCheckInterval);
}

}  // namespace basilspread::internal::submission_calls
