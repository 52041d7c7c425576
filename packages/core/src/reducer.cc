#include "basilspread/core/reducer.h"

#include <variant>

#include "internal/configuration.h"
#include "internal/context.h"
#include "internal/hosts.h"
#include "internal/jobs.h"
#include "internal/log.h"
#include "internal/membership.h"
#include "internal/ownership.h"
#include "internal/report.h"
#include "internal/requests.h"

namespace basilspread {
namespace {

using internal::Context;

constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(20);

/// Hands each event to the concern that it belongs to.
struct Dispatcher {
  Context& context;

  void operator()(const Started& /*event*/) const {
    internal::log::Start(this->context);
    internal::configuration::Start(this->context);
    internal::hosts::Start(this->context);
    internal::membership::Start(this->context);
    internal::ownership::Start(this->context);
    internal::jobs::Start(this->context);
  }

  void operator()(const RequestArrived& event) const {
    internal::requests::OnArrived(this->context, event);
  }

  void operator()(const CallerGone& event) const {
    internal::requests::OnCallerGone(this->context, event);
    internal::jobs::OnCallerGone(this->context, event);
  }

  void operator()(const MinionAnswered& event) const {
    internal::requests::OnMinionAnswered(this->context, event);
  }

  void operator()(const PeerReceived& event) const {
    std::visit(PeerDispatcher{this->context, event.from}, event.message);
  }

  void operator()(const PeerLinkChanged& event) const {
    internal::membership::OnLinkChanged(this->context, event);
  }

  void operator()(const PeerMessageNotSent& event) const {
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
        return internal::ownership::OnOwnershipTimer(this->context);
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
        return this->CheckDrained();
    }
  }

  void operator()(const StopRequested& /*event*/) const {
    this->context.state.stopping = true;
    this->context.Log(LogLevel::kInfo, "process", "Stop was requested.");
    this->context.Emit(RefuseCallers{});
    this->CheckDrained();
  }

  void operator()(const JobArrived& event) const {
    internal::jobs::OnArrived(this->context, event);
  }

  void operator()(const WorkerAnswered& event) const {
    internal::jobs::OnWorkerAnswered(this->context, event);
  }

  void operator()(const DumpRequested& event) const {
    this->context.Emit(
        AnswerDump{event.call, internal::report::Describe(this->context)});
  }

 private:
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
    template <typename JobMessage>
    void operator()(const JobMessage& message) const {
      internal::jobs::OnMessage(this->context, this->from, message);
    }
  };

  void CheckDrained() const {
    if (internal::requests::IsIdle(this->context) &&
        internal::jobs::IsIdle(this->context)) {
      this->context.Emit(ExitProcess{});
      return;
    }
    this->context.ArmIn(TimerKind::kStop, kDrainCheckInterval);
  }
};

}  // namespace

Effects Reduce(State& state, const Event& event) {
  Effects effects;
  Context context{state, event.time, effects};
  std::visit(Dispatcher{context}, event.body);
  internal::jobs::Settle(context);
  return effects;
}

}  // namespace basilspread
