#include "internal/submission_calls.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

#include "access/key_access.h"
#include "basilspread/core/limits.h"
#include "internal/leadership.h"
#include "internal/load_shedding.h"
#include "internal/other_runs.h"
#include "internal/own_load.h"
#include "internal/queue_tables.h"
#include "internal/relay_agent.h"
#include "internal/submission_service.h"
#include "quota/ledger.h"

namespace basilspread::internal::submission_calls {
namespace {

constexpr std::string_view kPart = "calls";
constexpr std::size_t kIdLength = 16;
/// Interval at which open calls are retried and expired.
constexpr Duration kCheckInterval = std::chrono::milliseconds(50);
/// Retry delays of a call that the leader declined or did not answer.
constexpr Duration kDeclinedDelay = std::chrono::milliseconds(100);
constexpr Duration kUnansweredDelay = std::chrono::milliseconds(800);
/// Time for the answer to reach the caller.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(150);
/// Retry delay for callers, about the duration of a takeover.
constexpr Duration kRetryAfter = std::chrono::seconds(1);
constexpr Duration kReportInterval = std::chrono::seconds(1);
/// Time reserved for the exit itself at the end of a stop.
constexpr Duration kExitMargin = std::chrono::milliseconds(800);
/// Covers one query of the peers for the leader, which a process without store
/// and leader sends every 500 ms.
constexpr Duration kNoLeaderTimeout = std::chrono::milliseconds(600);
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

/// Read-only calls are frequent and are logged at info level only on an error.
LogLevel LevelOf(const SubmissionCall& message, ErrorKind kind) {
  const bool changes = message.operation == SubmissionOperation::kSubmit ||
                       message.operation == SubmissionOperation::kCancel;
  return changes || kind != ErrorKind::kNone ? LogLevel::kInfo
                                             : LogLevel::kDebug;
}

void RecordAnswer(Context& context, const OpenCall& call,
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
  // Submissions are idempotent by their id, so that a call with an unknown
  // outcome can be retried too.
  const bool is_retryable = answer.kind == ErrorKind::kOutcomeUnknown ||
                            AnswerFor(answer.kind).retryable;
  if (is_retryable && answer.retry_after == Duration::zero()) {
    answer.retry_after = kRetryAfter;
  }
  RecordAnswer(context, call, answer);
  context.Emit(AnswerSubmissionCaller{answer});
}

/// Why the submission can never run; kNone if it can.
UnsupportedFeature FindFault(const Context& context,
                             const SubmissionSpec& spec) {
  const UnsupportedFeature fault = FindUnsupported(spec);
  const bool is_sound = fault == UnsupportedFeature::kNone;
  return is_sound && !quota::CanEverFit(context, spec)
             ? UnsupportedFeature::kGangBeyondQuota
             : fault;
}

void Refuse(Context& context, const OpenCall& call, ErrorKind kind,
            Duration retry_after = Duration::zero()) {
  SubmissionAnswer answer;
  answer.retry_after = retry_after;
  answer.call = call.message.call;
  answer.operation = call.message.operation;
  answer.kind = kind;
  if (kind == ErrorKind::kNotSupported && call.message.spec) {
    answer.unsupported = FindFault(context, *call.message.spec);
  }
  Answer(context, call, answer);
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
  ++call.recipients[leader->process];
  const SubmissionCall message = call.message;
  if (leader->process == context.state.settings.self) {
    service::OnCall(context, leader->process, message);
  } else {
    other_runs::Send(context, leader->process, message);
  }
}

/// Applies the action to every open call; the action may remove calls.
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

/// Records that the process did not process one copy of the call.
void RetractRecipient(Context& context, OpenCall& call,
                      const ProcessId& recipient) {
  const auto found = call.recipients.find(recipient);
  if (found != call.recipients.end() && --found->second == 0) {
    call.recipients.erase(found);
  }
  call.send_not_before = context.now + kDeclinedDelay;
}

/// Whether the refusal settles the call. A leader knows everything that earlier
/// leaders stored, so that its refusal is final unless another process may have
/// processed the call. An earlier run of its own node has ended.
bool IsRefusalFinal(const OpenCall& call, const NodeName& refuser) {
  return std::all_of(call.recipients.begin(), call.recipients.end(),
                     [&refuser](const auto& recipient) {
                       return recipient.first.node == refuser;
                     });
}

/// Whether to fail open calls early: no process can become the leader while the
/// store accepts no joins. A process that knows a leader, or may still learn of
/// one from its peers, keeps its calls open.
bool HasNoLeaderInReach(const Context& context) {
  const LeadershipState& leadership = context.state.submissions.leadership;
  return !leadership.leader && leadership.joins_fail_since &&
         own_load::CaughtUpTo(context) >=
             *leadership.joins_fail_since + kNoLeaderTimeout;
}

void Expire(Context& context, CallId id) {
  const auto open = StateOf(context).calls.extract(id);
  const bool may_be_processed = !open.mapped().recipients.empty();
  Refuse(context, open.mapped(),
         may_be_processed ? ErrorKind::kOutcomeUnknown : ErrorKind::kNoLeader);
}

/// Parses id and operation from the path after the route's prefix. Returns
/// false if the path is malformed.
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

/// Fills in the message for the leader. Returns an error if the call cannot be
/// forwarded.
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
  const ErrorKind refusal =
      access::Authenticate(context, *route, event.api_key, message.workspace);
  if (refusal != ErrorKind::kNone) {
    return refusal;
  }
  if (event.spec) {
    event.spec->id = message.id;
    event.spec->route = route->name;
    event.spec->workspace = message.workspace;
    message.spec = event.spec;
    if (!limits::IsWithin(*event.spec)) {
      return ErrorKind::kBadRequest;
    }
    if (FindFault(context, *event.spec) != UnsupportedFeature::kNone) {
      return ErrorKind::kNotSupported;
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
    const auto wait = load_shedding::RefuseAtEntry(context, call.message.route,
                                                   call.message.workspace);
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
    if (context.now >= call.deadline || HasNoLeaderInReach(context)) {
      Expire(context, id);
    } else {
      Send(context, call);
    }
  });
  access::OnTimer(context);
  service::OnTimer(context);
  context.ArmIn(TimerKind::kCalls, kCheckInterval);
}

void OnAnswer(Context& context, const ProcessId& from,
              const SubmissionAnswer& answer) {
  SubmissionsState& state = StateOf(context);
  const auto found = state.calls.find(answer.call);
  if (found == state.calls.end()) {
    return;
  }
  const bool is_declined = answer.kind == ErrorKind::kNotOwner ||
                           answer.kind == ErrorKind::kNotReady;
  if (is_declined) {
    RetractRecipient(context, found->second, from);
    if (answer.kind == ErrorKind::kNotOwner) {
      leadership::SuspectLeader(context);
    }
    return;
  }
  if (answer.kind == ErrorKind::kOverloaded) {
    const SubmissionCall& message = found->second.message;
    load_shedding::OnLeaderRefused(context, message.route, message.workspace,
                                   answer.retry_after);
  }
  const bool is_refusal = answer.kind == ErrorKind::kLogUnavailable ||
                          answer.kind == ErrorKind::kOverloaded ||
                          answer.kind == ErrorKind::kQueueFull;
  const auto recipient = found->second.recipients.find(from);
  if (is_refusal && recipient != found->second.recipients.end() &&
      recipient->second > 1) {
    // The call has been sent again, and that copy may be processed.
    --recipient->second;
    return;
  }
  SubmissionAnswer reply = answer;
  reply.operation = found->second.message.operation;
  if (is_refusal && !IsRefusalFinal(found->second, from.node)) {
    reply.kind = ErrorKind::kOutcomeUnknown;
  }
  const OpenCall call = std::move(found->second);
  state.calls.erase(found);
  Answer(context, call, reply);
}

void OnMessageNotSent(Context& context, const PeerMessageNotSent& event) {
  const auto* message = std::get_if<SubmissionCall>(&event.message);
  if (message == nullptr) {
    return;
  }
  const auto found = StateOf(context).calls.find(message->call);
  if (found != StateOf(context).calls.end()) {
    RetractRecipient(context, found->second,
                     ProcessId{event.peer, event.incarnation});
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
    // The link was opened to query the peer for the leader.
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
  // Messages on the old connection may be lost.
  ForEachOpen(context, [&](CallId /*id*/, OpenCall& call) {
    call.send_not_before = own_load::CaughtUpTo(context);
    Send(context, call);
  });
}

void OnLeaderChanged(Context& context) {
  // They hold for the load of the earlier leader.
  StateOf(context).refused_until.clear();
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
  state.waiting.clear();
  state.queue.clear();
  state.advice_queries.clear();
  state.due.clear();
  state.awaiting_advisor.clear();
  state.partial_gangs.clear();
  state.status_waits.clear();
  state.claims.clear();
  for (auto& [node, helper] : state.helpers) {
    helper.open_queries = 0;
  }
  state.fleet = FleetState{};
  state.quota = QuotaState{};
  state.fair_share = FairShareState{};
  state.admission = AdmissionState{};
  state.inherited_workers.clear();
  state.unreadable.clear();
  state.log = WorkLogState{};
}

void OnStopRequested(Context& context) {
  if (context.state.stopping) {
    return;
  }
  context.state.stopping = true;
  context.Log(LogLevel::kInfo, kPart,
              "A stop was requested; leaving the leader group and draining "
              "open calls.");
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
  // The load balancer no longer routes to this process; late calls are refused
  // immediately so that the number of open calls reaches zero.
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
