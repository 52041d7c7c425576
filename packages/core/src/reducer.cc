#include "basilspread/core/reducer.h"

#include <variant>

#include "internal/configuration.h"
#include "internal/containment.h"
#include "internal/context.h"
#include "internal/fleet.h"
#include "internal/handover.h"
#include "internal/hosts.h"
#include "internal/jobs.h"
#include "internal/leadership.h"
#include "internal/log.h"
#include "internal/membership.h"
#include "internal/other_runs.h"
#include "internal/outdated_answers.h"
#include "internal/own_load.h"
#include "internal/peers.h"
#include "internal/queue_tables.h"
#include "internal/relay_agent.h"
#include "internal/relays.h"
#include "internal/report.h"
#include "internal/requests.h"
#include "internal/step_advice.h"
#include "internal/step_placement.h"
#include "internal/submission_calls.h"
#include "internal/submission_service.h"
#include "internal/takeover.h"
#include "internal/work_log.h"

namespace basilspread {
namespace {

using internal::Context;

/// Dispatches each event to the modules that handle it.
struct Dispatcher {
  Context& context;

  void operator()(const Started& /*event*/) const {
    if (this->UsesStore()) {
      internal::queue_tables::Start(this->context);
      internal::leadership::Start(this->context);
      internal::submission_calls::Start(this->context);
      return;
    }
    internal::log::Start(this->context);
    internal::configuration::Start(this->context);
    internal::hosts::Start(this->context);
    internal::membership::Start(this->context);
    internal::peers::Start(this->context);
    internal::takeover::Start(this->context);
    internal::jobs::Start(this->context);
  }

  void operator()(const RequestArrived& event) const {
    internal::requests::OnArrived(this->context, event);
  }

  void operator()(const CallerDisconnected& event) const {
    if (this->UsesStore()) {
      internal::submission_calls::OnCallerGone(this->context, event);
      return;
    }
    internal::requests::OnCallerGone(this->context, event);
    internal::jobs::OnCallerGone(this->context, event);
  }

  void operator()(const MinionAnswered& event) const {
    internal::requests::OnMinionAnswered(this->context, event);
  }

  void operator()(const PeerReceived& event) const {
    if (internal::other_runs::IsForOther(this->context, event)) {
      internal::other_runs::Drop(this->context, event);
      return;
    }
    if (this->UsesStore()) {
      internal::leadership::OnPeerMessage(this->context, event.from);
    }
    std::visit(PeerDispatcher{this->context, event.from}, event.message);
  }

  void operator()(const PeerLinkChanged& event) const {
    if (this->UsesStore()) {
      internal::submission_calls::OnLinkChanged(this->context, event);
      if (!event.connected) {
        internal::relay_agent::OnLinkLost(this->context, event.peer);
        internal::step_advice::OnHelperGone(this->context, event.peer);
      } else {
        internal::relays::OnLinked(this->context);
      }
      return;
    }
    internal::peers::OnLinkChanged(this->context, event);
  }

  void operator()(const PeerRefused& event) const {
    if (this->UsesStore()) {
      internal::leadership::OnPeerRefused(this->context, event);
      return;
    }
    internal::peers::OnRefused(this->context, event);
  }

  void operator()(const PeerVersionMismatched& event) const {
    internal::peers::OnMismatch(this->context, event);
  }

  void operator()(const PeerMessageNotSent& event) const {
    if (this->UsesStore()) {
      internal::submission_calls::OnMessageNotSent(this->context, event);
      internal::relays::OnMessageNotSent(this->context, event);
      return;
    }
    internal::requests::OnPeerMessageNotSent(this->context, event);
  }

  void operator()(const LogAppended& event) const {
    internal::log::OnAppended(this->context, event);
  }

  void operator()(const LogRead& event) const {
    internal::log::OnRead(this->context, event);
  }

  void operator()(const HostsListed& event) const {
    internal::hosts::OnListed(this->context, event);
  }

  void operator()(const TimerFired& event) const {
    switch (event.kind) {
      case TimerKind::kHeartbeat:
        return internal::membership::OnHeartbeatTimer(this->context);
      case TimerKind::kMembership:
        return internal::membership::OnMembershipTimer(this->context);
      case TimerKind::kOwnership:
        return internal::takeover::OnTimer(this->context);
      case TimerKind::kHostList:
        return internal::hosts::OnHostListTimer(this->context);
      case TimerKind::kConfiguration:
        return internal::configuration::OnTimer(this->context);
      case TimerKind::kLogRead:
        return internal::log::OnReadTimer(this->context);
      case TimerKind::kLogAppend:
        return internal::log::OnAppendTimer(this->context);
      case TimerKind::kRequests:
        return internal::requests::OnTimer(this->context);
      case TimerKind::kJobs:
        return internal::jobs::OnTimer(this->context);
      case TimerKind::kStop:
        return this->UsesStore()
                   ? internal::submission_calls::OnStopTimer(this->context)
                   : internal::handover::OnStopTimer(this->context);
      case TimerKind::kLeadership:
        return internal::leadership::OnTimer(this->context);
      case TimerKind::kCalls:
        internal::relays::OnTimer(this->context);
        return internal::submission_calls::OnTimer(this->context);
      case TimerKind::kRelayAgent:
        return internal::relay_agent::OnTimer(this->context);
      case TimerKind::kFleet:
        return internal::fleet::OnTimer(this->context);
      case TimerKind::kPlacement:
        return internal::step_placement::OnTimer(this->context);
      case TimerKind::kWorkLog:
        return internal::work_log::OnTimer(this->context);
      case TimerKind::kTablesRetry:
        return internal::queue_tables::OnRetryTimer(this->context);
      case TimerKind::kFleetRetry:
        return internal::fleet::OnRetryTimer(this->context);
      case TimerKind::kFleetFollow:
        return internal::fleet::OnFollowTimer(this->context);
      case TimerKind::kLoadRetry:
        return internal::work_log::OnLoadTimer(this->context);
    }
  }

  void operator()(const StopRequested& /*event*/) const {
    if (this->UsesStore()) {
      internal::submission_calls::OnStopRequested(this->context);
      return;
    }
    internal::handover::OnStopRequested(this->context);
  }

  void operator()(const JobArrived& event) const {
    internal::jobs::OnArrived(this->context, event);
  }

  void operator()(const WorkerAnswered& event) const {
    internal::jobs::OnWorkerAnswered(this->context, event);
  }

  void operator()(const SubmissionCallArrived& event) const {
    internal::submission_calls::OnArrived(this->context, event);
  }

  void operator()(const Resumed& event) const {
    if (this->UsesStore()) {
      internal::queue_tables::OnResumed(this->context);
      internal::leadership::OnResumed(this->context, event);
    }
  }

  void operator()(const GroupJoined& event) const {
    internal::leadership::OnJoined(this->context, event);
  }

  void operator()(const LeaderRead& event) const {
    internal::leadership::OnLeaderRead(this->context, event);
  }

  void operator()(const WorkAppended& event) const {
    internal::work_log::OnAppended(this->context, event);
  }

  void operator()(const WorkListed& event) const {
    if (internal::outdated_answers::IsOutdated(this->context, event)) {
      return;
    }
    internal::work_log::OnListed(this->context, event);
  }

  void operator()(const TablesRead& event) const {
    internal::queue_tables::OnRead(this->context, event);
  }

  void operator()(const FleetRead& event) const {
    if (internal::outdated_answers::IsOutdated(this->context, event)) {
      return;
    }
    internal::fleet::OnRead(this->context, event);
  }

  void operator()(const WorkerPolled& event) const {
    if (event.number != 0) {
      return internal::relay_agent::OnPolled(this->context, event);
    }
    if (internal::outdated_answers::IsOutdated(this->context, event)) {
      return;
    }
    internal::fleet::OnPolled(this->context, event);
  }

  void operator()(const RunOrdered& event) const {
    if (event.number != 0) {
      return internal::relay_agent::OnOrdered(this->context, event);
    }
    if (internal::outdated_answers::IsOutdated(this->context, event)) {
      return;
    }
    internal::fleet::OnOrdered(this->context, event);
  }

  void operator()(const AdviceGiven& event) const {
    internal::step_advice::OnGiven(this->context, event);
  }

  void operator()(const DumpRequested& event) const {
    this->context.Emit(
        AnswerDump{event.call, internal::report::Describe(this->context)});
  }

 private:
  bool UsesStore() const { return this->context.state.settings.store.enabled; }

  struct PeerDispatcher {
    Context& context;
    const ProcessId& from;

    void operator()(const Heartbeat& message) const {
      internal::membership::OnHeartbeat(this->context, this->from, message);
    }
    void operator()(const ForwardRequest& message) const {
      internal::requests::OnForwarded(this->context, this->from, message);
    }
    void operator()(const ForwardAnswer& message) const {
      internal::requests::OnForwardAnswered(this->context, this->from, message);
    }
    void operator()(const SubmissionCall& message) const {
      internal::service::OnCall(this->context, this->from, message);
    }
    void operator()(const SubmissionAnswer& message) const {
      internal::submission_calls::OnAnswer(this->context, this->from, message);
    }
    void operator()(const HelperReport& message) const {
      internal::step_advice::OnHelper(this->context, this->from, message);
    }
    void operator()(const AdviceCall& message) const {
      internal::step_advice::OnCall(this->context, this->from, message);
    }
    void operator()(const LeaderReport& message) const {
      internal::leadership::OnReport(this->context, this->from, message);
    }
    void operator()(const AdviceAnswer& message) const {
      internal::step_advice::OnAnswer(this->context, message);
    }
    void operator()(const RelayOrders& message) const {
      internal::relay_agent::OnOrders(this->context, this->from, message);
    }
    void operator()(const RelayReports& message) const {
      internal::relays::OnReports(this->context, this->from, message);
    }
    template <typename JobMessage>
    void operator()(const JobMessage& message) const {
      internal::jobs::OnMessage(this->context, this->from, message);
    }
  };
};

}  // namespace

Effects Reduce(State& state, const Event& event) {
  Effects effects;
  Context context{state, event.time, effects};
  internal::own_load::OnEvent(context, event.load);
  internal::containment::Run(context, event, [&context, &event] {
    if (context.state.settings.store.enabled) {
      std::visit(Dispatcher{context}, event.body);
      internal::relays::Flush(context);
      return;
    }
    internal::membership::OnEvent(context);
    std::visit(Dispatcher{context}, event.body);
    internal::jobs::Settle(context);
  });
  return effects;
}

}  // namespace basilspread
