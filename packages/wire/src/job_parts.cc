#include "job_parts.h"

#include "common.h"

namespace basilspread::wire::job_codec {

flatbuffers::Offset<fb::Resources> PackPart(Builder& builder,
                                            const Resources& part) {
  return fb::CreateResources(builder, part.cpu_millicores,
                             part.memory_mebibytes, part.accelerators);
}

flatbuffers::Offset<fb::TeamUsage> PackPart(Builder& builder,
                                            const TeamUsage& part) {
  const auto team = builder.CreateString(part.team.value);
  const auto reserved = PackPart(builder, part.reserved);
  return fb::CreateTeamUsage(builder, team, reserved);
}

flatbuffers::Offset<fb::TaskGroup> PackPart(Builder& builder,
                                            const TaskGroup& part) {
  const auto demand = PackPart(builder, part.demand);
  return fb::CreateTaskGroup(builder, part.count, demand);
}

flatbuffers::Offset<fb::JobSpec> PackPart(Builder& builder,
                                          const JobSpec& part) {
  const auto id = builder.CreateString(part.id.value);
  const auto route = builder.CreateString(part.route.value);
  const auto team = builder.CreateString(part.team.value);
  const auto tasks = PackParts(builder, part.tasks);
  const auto run = builder.CreateString(part.run);
  return fb::CreateJobSpec(builder, id, route, team, part.priority, tasks,
                           part.gang, part.service, run,
                           part.expected_run_time.count(),
                           part.deadline.count(), part.max_attempts);
}

flatbuffers::Offset<fb::JobStatus> PackPart(Builder& builder,
                                            const JobStatus& part) {
  const auto id = builder.CreateString(part.id.value);
  const auto reason = builder.CreateString(part.reason);
  return fb::CreateJobStatus(builder, id, static_cast<std::uint8_t>(part.state),
                             reason, part.tasks, part.running, part.succeeded,
                             part.failed, part.attempts);
}

flatbuffers::Offset<fb::TaskAttempt> PackPart(Builder& builder,
                                              const TaskAttempt& part) {
  const auto task = builder.CreateString(part.task.value);
  return fb::CreateTaskAttempt(builder, task, part.attempt.value);
}

flatbuffers::Offset<fb::TaskStart> PackPart(Builder& builder,
                                            const TaskStart& part) {
  const auto name = PackPart(builder, part.name);
  const auto worker = builder.CreateString(part.worker.value);
  const auto reserved = PackPart(builder, part.reserved);
  const auto command = builder.CreateString(part.command);
  return fb::CreateTaskStart(builder, name, worker, reserved, part.priority,
                             part.service, command, part.granted_by.value);
}

flatbuffers::Offset<fb::TaskReport> PackPart(Builder& builder,
                                             const TaskReport& part) {
  const auto name = PackPart(builder, part.name);
  const auto worker = builder.CreateString(part.worker.value);
  const auto detail = builder.CreateString(part.detail);
  return fb::CreateTaskReport(builder, name, worker, part.running,
                              static_cast<std::uint8_t>(part.result), detail);
}

flatbuffers::Offset<fb::TaskDemand> PackPart(Builder& builder,
                                             const TaskDemand& part) {
  const auto name = PackPart(builder, part.name);
  const auto demand = PackPart(builder, part.demand);
  return fb::CreateTaskDemand(builder, name, demand);
}

flatbuffers::Offset<fb::TaskGrant> PackPart(Builder& builder,
                                            const TaskGrant& part) {
  const auto name = PackPart(builder, part.name);
  const auto worker = builder.CreateString(part.worker.value);
  return fb::CreateTaskGrant(builder, name, worker, part.granted_by.value);
}

flatbuffers::Offset<fb::HoldId> PackPart(Builder& builder, const HoldId& part) {
  const auto holder = Pack(builder, part.holder);
  return fb::CreateHoldId(builder, holder, part.number);
}

Resources UnpackPart(const fb::Resources& packed) {
  return Resources{packed.cpu_millicores(), packed.memory_mebibytes(),
                   packed.accelerators()};
}

TeamUsage UnpackPart(const fb::TeamUsage& packed) {
  return TeamUsage{TeamName{packed.team()->str()},
                   UnpackPart(*packed.reserved())};
}

TaskGroup UnpackPart(const fb::TaskGroup& packed) {
  return TaskGroup{packed.count(), UnpackPart(*packed.demand())};
}

JobSpec UnpackPart(const fb::JobSpec& packed) {
  JobSpec spec;
  spec.id = JobId{packed.id()->str()};
  spec.route = RouteName{packed.route()->str()};
  spec.team = TeamName{packed.team()->str()};
  spec.priority = packed.priority();
  spec.tasks = UnpackParts<TaskGroup>(packed.tasks());
  spec.gang = packed.gang();
  spec.service = packed.service();
  spec.run = packed.run()->str();
  spec.expected_run_time = Duration(packed.expected_run_time_ns());
  spec.deadline = Duration(packed.deadline_ns());
  spec.max_attempts = packed.max_attempts();
  return spec;
}

JobStatus UnpackPart(const fb::JobStatus& packed) {
  JobStatus status;
  status.id = JobId{packed.id()->str()};
  status.state = ToEnum(packed.state(), JobState::kCancelled);
  status.reason = packed.reason()->str();
  status.tasks = packed.tasks();
  status.running = packed.running();
  status.succeeded = packed.succeeded();
  status.failed = packed.failed();
  status.attempts = packed.attempts();
  return status;
}

TaskAttempt UnpackPart(const fb::TaskAttempt& packed) {
  return TaskAttempt{TaskId{packed.task()->str()}, Attempt{packed.attempt()}};
}

TaskStart UnpackPart(const fb::TaskStart& packed) {
  TaskStart start;
  start.name = UnpackPart(*packed.name());
  start.worker = HostName{packed.worker()->str()};
  start.reserved = UnpackPart(*packed.reserved());
  start.priority = packed.priority();
  start.service = packed.service();
  start.command = packed.command()->str();
  start.granted_by = Epoch{packed.granted_by()};
  return start;
}

TaskReport UnpackPart(const fb::TaskReport& packed) {
  TaskReport report;
  report.name = UnpackPart(*packed.name());
  report.worker = HostName{packed.worker()->str()};
  report.running = packed.running();
  report.result = ToEnum(packed.result(), TaskResult::kLost);
  report.detail = packed.detail()->str();
  return report;
}

TaskDemand UnpackPart(const fb::TaskDemand& packed) {
  return TaskDemand{UnpackPart(*packed.name()), UnpackPart(*packed.demand())};
}

TaskGrant UnpackPart(const fb::TaskGrant& packed) {
  return TaskGrant{UnpackPart(*packed.name()), HostName{packed.worker()->str()},
                   Epoch{packed.granted_by()}};
}

HoldId UnpackPart(const fb::HoldId& packed) {
  return HoldId{Unpack(*packed.holder()), packed.number()};
}

}  // namespace basilspread::wire::job_codec
