#include "internal/job_calls.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "internal/configuration.h"
#include "internal/job_checks.h"
#include "internal/job_lookup.h"
#include "internal/job_progress.h"
#include "internal/log.h"

namespace basilspread::internal::jobs {
namespace {

/// Upper limit of the time-out of a caller.
constexpr Duration kMaxWait = std::chrono::seconds(30);
/// Time allowed for an owner's answer to arrive after the caller's time-out.
constexpr Duration kAnswerGrace = std::chrono::seconds(1);

void Answer(Context& context, CallId call, ErrorKind kind,
            const std::string& detail, std::vector<JobStatus> jobs) {
  context.state.jobs.callers.erase(call);
  JobAnswer answer;
  answer.call = call;
  answer.kind = kind;
  answer.detail = detail;
  answer.jobs = std::move(jobs);
  context.Emit(AnswerJobCaller{std::move(answer)});
}

/// Answers a caller when the owner that was asked does not.
void AnswerLost(Context& context, CallId call) {
  const JobOperation operation = context.state.jobs.callers.at(call).operation;
  const bool has_effect =
      operation == JobOperation::kSubmit || operation == JobOperation::kCancel;
  Answer(context, call,
         has_effect ? ErrorKind::kOutcomeUnknown : ErrorKind::kOwnerUnreachable,
         "the owner of the job's shard gave no answer", {});
}

/// Asks the owner of the caller's next home shard.
void Ask(Context& context, CallId call) {
  JobCaller& caller = context.state.jobs.callers.at(call);
  if (caller.targets.empty()) {
    const bool is_list = caller.operation == JobOperation::kList;
    Answer(context, call, is_list ? ErrorKind::kNone : ErrorKind::kUnknownJob,
           is_list ? "" : caller.spec.id.value, std::move(caller.found));
    return;
  }
  JobCall message;
  message.call = call;
  message.operation = caller.operation;
  message.shard = caller.targets.front();
  message.spec = caller.spec;
  message.time_left = caller.deadline - kAnswerGrace - context.now;
  const auto owner = LiveOwnerOf(context, message.shard);
  caller.asked = owner ? owner->node : NodeName{};
  if (!Deliver(context, message.shard, message)) {
    Answer(context, call, ErrorKind::kOwnerUnreachable, message.shard.value,
           {});
  }
}

/// Errors: kUnknownRoute, kBadRequest.
Result<ShardId> HomeForSubmit(const Context& context, const JobSpec& spec) {
  const auto& routes = context.state.configuration.tables.routes;
  const auto route = routes.find(spec.route);
  if (route == routes.end()) {
    return Error{ErrorKind::kUnknownRoute, spec.route.value};
  }
  const Pool* pool = FindWorkerPool(context, route->second.pool);
  if (pool == nullptr) {
    return Error{ErrorKind::kBadRequest, "the route's pool has no workers"};
  }
  return HomeOf(*pool, spec.id);
}

/// The home shards that a call may concern: all for a list, else one per pool,
/// because a job id does not contain its pool.
std::vector<ShardId> TargetsFor(const Context& context, JobOperation operation,
                                const JobId& id) {
  std::vector<ShardId> targets;
  for (const auto& [name, pool] : context.state.configuration.tables.pools) {
    if (pool.kind != PoolKind::kWorkers) {
      continue;
    }
    if (operation == JobOperation::kList) {
      const std::vector<ShardId> shards = ShardsOf(pool);
      targets.insert(targets.end(), shards.begin(), shards.end());
    } else {
      targets.push_back(HomeOf(pool, id));
    }
  }
  return targets;
}

std::optional<Error> WhyNotWritable(const Context& context,
                                    const ShardId& shard) {
  if (context.state.stopping) {
    return Error{ErrorKind::kStopping, "the owner is stopping"};
  }
  if (!ownership::MayAct(context, shard) ||
      !log::IsWritable(context, ownership::StreamOf(shard))) {
    return Error{ErrorKind::kLogUnavailable, "not accepted"};
  }
  return std::nullopt;
}

/// Why the route accepts no new jobs; unset when it does. Only for new jobs: a
/// known job is answered even when its route was removed.
std::optional<Error> WhyRouteRefuses(const Context& context,
                                     const RouteName& name) {
  const auto& routes = context.state.configuration.tables.routes;
  const auto route = routes.find(name);
  if (route != routes.end() && !route->second.draining) {
    return std::nullopt;
  }
  return Error{ErrorKind::kUnknownRoute, name.value};
}

void Submit(Context& context, const JobWaiter& waiter, const JobCall& call,
            JobShard& shard) {
  Job* known = FindJob(shard, call.spec.id);
  if (known != nullptr && known->spec != call.spec) {
    AnswerJob(context, waiter.caller, ErrorKind::kConflict,
              "another job has this id", known);
    return;
  }
  if (known != nullptr) {
    known->waiters.push_back(waiter);
    AnswerWaiters(context, *known);
    return;
  }
  std::optional<Error> refusal = WhyNotWritable(context, call.shard);
  if (!refusal) {
    refusal = WhyRouteRefuses(context, call.spec.route);
  }
  if (!refusal) {
    refusal = WhyNeverFits(context, shard, call.spec);
  }
  if (refusal) {
    AnswerJob(context, waiter.caller, refusal->kind, refusal->detail, nullptr);
    return;
  }
  Job& job = AddJob(context, call.shard, shard, call.spec);
  job.waiters.push_back(waiter);
  job.reason = "waits for the log to confirm its acceptance";
  log::Append(context, ownership::StreamOf(call.shard),
              JobRecord{call.shard,
                        ownership::EpochOf(context, call.shard),
                        call.spec,
                        false,
                        {}});
  Refresh(context, shard, job);
}

void Cancel(Context& context, const JobWaiter& waiter, const ShardId& id,
            Job& job) {
  if (job.ended || job.cancelled) {
    AnswerJob(context, waiter.caller, ErrorKind::kNone, "", &job);
    return;
  }
  const std::optional<Error> refusal = WhyNotWritable(context, id);
  if (refusal) {
    AnswerJob(context, waiter.caller, refusal->kind, refusal->detail, nullptr);
    return;
  }
  job.waiters.push_back(waiter);
  if (!job.cancelling) {
    job.cancelling = true;
    log::Append(
        context, ownership::StreamOf(id),
        CancelRecord{id, ownership::EpochOf(context, id), {job.spec.id}});
  }
}

void List(Context& context, const RequestKey& caller, const JobShard& shard) {
  JobAnswer answer;
  answer.call = caller.call;
  for (const auto& [name, job] : shard.jobs) {
    if (!job->ended) {
      answer.jobs.push_back(StatusOf(*job));
    }
  }
  Reply(context, caller.origin, answer);
}

}  // namespace

void OnArrived(Context& context, const JobArrived& event) {
  JobCaller caller;
  caller.operation = event.operation;
  caller.spec = event.spec;
  caller.deadline =
      context.now + std::min(event.timeout, kMaxWait) + kAnswerGrace;
  if (context.state.stopping) {
    Answer(context, event.call, ErrorKind::kStopping, "", {});
    return;
  }
  if (!configuration::IsReady(context)) {
    Answer(context, event.call, ErrorKind::kNotReady, "", {});
    return;
  }
  if (event.operation == JobOperation::kSubmit) {
    if (caller.spec.id.value.empty()) {
      caller.spec.id =
          JobId{fmt::format("job-{:016x}", context.state.random.Next())};
    }
    const Result<ShardId> home = HomeForSubmit(context, caller.spec);
    if (!home) {
      Answer(context, event.call, home.error().kind, home.error().detail, {});
      return;
    }
    caller.targets = {home.value()};
  } else {
    caller.targets = TargetsFor(context, event.operation, event.spec.id);
  }
  context.state.jobs.callers[event.call] = std::move(caller);
  Ask(context, event.call);
}

void OnCallerGone(Context& context, const CallerDisconnected& event) {
  context.state.jobs.callers.erase(event.call);
}

void OnMessage(Context& context, const ProcessId& from,
               const JobCall& message) {
  JobWaiter waiter;
  waiter.caller = RequestKey{from, message.call};
  waiter.operation = message.operation;
  waiter.until = context.now + message.time_left;
  JobShard* shard = FindOwned(context, message.shard);
  if (shard == nullptr) {
    AnswerJob(context, waiter.caller, ErrorKind::kNotOwner, message.shard.value,
              nullptr);
    return;
  }
  if (message.operation == JobOperation::kSubmit) {
    Submit(context, waiter, message, *shard);
    return;
  }
  if (message.operation == JobOperation::kList) {
    List(context, waiter.caller, *shard);
    return;
  }
  Job* job = FindJob(*shard, message.spec.id);
  if (job == nullptr) {
    AnswerJob(context, waiter.caller, ErrorKind::kUnknownJob,
              message.spec.id.value, nullptr);
  } else if (message.operation == JobOperation::kCancel) {
    Cancel(context, waiter, message.shard, *job);
  } else if (message.operation == JobOperation::kWait && !job->ended) {
    job->waiters.push_back(waiter);
  } else {
    AnswerJob(context, waiter.caller, ErrorKind::kNone, "", job);
  }
}

void OnMessage(Context& context, const ProcessId& /*from*/,
               const JobAnswer& message) {
  const auto found = context.state.jobs.callers.find(message.call);
  if (found == context.state.jobs.callers.end()) {
    return;
  }
  JobCaller& caller = found->second;
  const bool is_list = caller.operation == JobOperation::kList;
  const bool is_elsewhere = message.kind == ErrorKind::kUnknownJob;
  if (message.kind != ErrorKind::kNone && !is_elsewhere) {
    Answer(context, message.call, message.kind, message.detail, message.jobs);
    return;
  }
  if (!is_list && !is_elsewhere) {
    Answer(context, message.call, ErrorKind::kNone, "", message.jobs);
    return;
  }
  caller.found.insert(caller.found.end(), message.jobs.begin(),
                      message.jobs.end());
  caller.targets.erase(caller.targets.begin());
  Ask(context, message.call);
}

void OnPeerLost(Context& context, const NodeName& peer) {
  std::vector<CallId> lost;
  for (const auto& [call, caller] : context.state.jobs.callers) {
    if (caller.asked == peer) {
      lost.push_back(call);
    }
  }
  for (const CallId call : lost) {
    AnswerLost(context, call);
  }
}

void ExpireCallers(Context& context) {
  std::vector<CallId> expired;
  for (const auto& [call, caller] : context.state.jobs.callers) {
    if (caller.deadline <= context.now) {
      expired.push_back(call);
    }
  }
  for (const CallId call : expired) {
    AnswerLost(context, call);
  }
}

}  // namespace basilspread::internal::jobs
