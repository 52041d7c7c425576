#include "job_codec.h"

#include <string>
#include <utility>

#include "common.h"
#include "job_parts.h"

namespace basilspread::wire::job_codec {
namespace {

JobCall Unpack(const fb::JobCall& packed) {
  JobCall message;
  message.call = CallId{packed.call()};
  message.operation = ToEnum(packed.operation(), JobOperation::kWait);
  message.shard = ShardId{packed.shard()->str()};
  message.spec = UnpackPart(*packed.spec());
  message.time_left = Duration(packed.time_left_ns());
  return message;
}

JobAnswer Unpack(const fb::JobAnswer& packed) {
  JobAnswer message;
  message.call = CallId{packed.call()};
  message.kind = ErrorKindNamed(packed.error()->string_view());
  message.detail = packed.detail()->str();
  message.jobs = UnpackParts<JobStatus>(packed.jobs());
  return message;
}

ReserveTasks Unpack(const fb::ReserveTasks& packed) {
  ReserveTasks message;
  message.hold = UnpackPart(*packed.hold());
  message.home = ShardId{packed.home()->str()};
  message.home_epoch = Epoch{packed.home_epoch()};
  message.place = ShardId{packed.place()->str()};
  message.tasks = UnpackParts<TaskDemand>(packed.tasks());
  message.hold_for = Duration(packed.hold_for_ns());
  return message;
}

ReserveAnswer Unpack(const fb::ReserveAnswer& packed) {
  return ReserveAnswer{UnpackPart(*packed.hold()),
                       ShardId{packed.place()->str()},
                       UnpackParts<TaskGrant>(packed.grants())};
}

ConfirmTasks Unpack(const fb::ConfirmTasks& packed) {
  ConfirmTasks message;
  message.hold = UnpackPart(*packed.hold());
  message.home = ShardId{packed.home()->str()};
  message.home_epoch = Epoch{packed.home_epoch()};
  message.place = ShardId{packed.place()->str()};
  message.tasks = UnpackParts<TaskStart>(packed.tasks());
  return message;
}

ReleaseHold Unpack(const fb::ReleaseHold& packed) {
  return ReleaseHold{UnpackPart(*packed.hold()),
                     ShardId{packed.place()->str()}};
}

StopTasks Unpack(const fb::StopTasks& packed) {
  return StopTasks{ShardId{packed.home()->str()}, Epoch{packed.home_epoch()},
                   ShardId{packed.place()->str()},
                   UnpackParts<TaskAttempt>(packed.tasks())};
}

TaskReports Unpack(const fb::TaskReports& packed) {
  return TaskReports{ShardId{packed.place()->str()},
                     ShardId{packed.home()->str()},
                     UnpackParts<TaskReport>(packed.tasks())};
}

TaskReportsAck Unpack(const fb::TaskReportsAck& packed) {
  return TaskReportsAck{ShardId{packed.place()->str()},
                        ShardId{packed.home()->str()},
                        UnpackParts<TaskAttempt>(packed.tasks())};
}

}  // namespace

PackedBody Pack(Builder& builder, const JobCall& message) {
  const auto shard = builder.CreateString(message.shard.value);
  const auto spec = PackPart(builder, message.spec);
  return {fb::PeerBody::JobCall,
          fb::CreateJobCall(builder, message.call.value,
                            static_cast<std::uint8_t>(message.operation), shard,
                            spec, message.time_left.count())
              .Union()};
}

PackedBody Pack(Builder& builder, const JobAnswer& message) {
  const auto error =
      builder.CreateString(std::string(AnswerFor(message.kind).name));
  const auto detail = builder.CreateString(message.detail);
  const auto jobs = PackParts(builder, message.jobs);
  return {fb::PeerBody::JobAnswer,
          fb::CreateJobAnswer(builder, message.call.value, error, detail, jobs)
              .Union()};
}

PackedBody Pack(Builder& builder, const ReserveTasks& message) {
  const auto hold = PackPart(builder, message.hold);
  const auto home = builder.CreateString(message.home.value);
  const auto place = builder.CreateString(message.place.value);
  const auto tasks = PackParts(builder, message.tasks);
  return {fb::PeerBody::ReserveTasks,
          fb::CreateReserveTasks(builder, hold, home, message.home_epoch.value,
                                 place, tasks, message.hold_for.count())
              .Union()};
}

PackedBody Pack(Builder& builder, const ReserveAnswer& message) {
  const auto hold = PackPart(builder, message.hold);
  const auto place = builder.CreateString(message.place.value);
  const auto grants = PackParts(builder, message.grants);
  return {fb::PeerBody::ReserveAnswer,
          fb::CreateReserveAnswer(builder, hold, place, grants).Union()};
}

PackedBody Pack(Builder& builder, const ConfirmTasks& message) {
  const auto hold = PackPart(builder, message.hold);
  const auto home = builder.CreateString(message.home.value);
  const auto place = builder.CreateString(message.place.value);
  const auto tasks = PackParts(builder, message.tasks);
  return {fb::PeerBody::ConfirmTasks,
          fb::CreateConfirmTasks(builder, hold, home, message.home_epoch.value,
                                 place, tasks)
              .Union()};
}

PackedBody Pack(Builder& builder, const ReleaseHold& message) {
  const auto hold = PackPart(builder, message.hold);
  const auto place = builder.CreateString(message.place.value);
  return {fb::PeerBody::ReleaseHold,
          fb::CreateReleaseHold(builder, hold, place).Union()};
}

PackedBody Pack(Builder& builder, const StopTasks& message) {
  const auto home = builder.CreateString(message.home.value);
  const auto place = builder.CreateString(message.place.value);
  const auto tasks = PackParts(builder, message.tasks);
  return {
      fb::PeerBody::StopTasks,
      fb::CreateStopTasks(builder, home, message.home_epoch.value, place, tasks)
          .Union()};
}

PackedBody Pack(Builder& builder, const TaskReports& message) {
  const auto place = builder.CreateString(message.place.value);
  const auto home = builder.CreateString(message.home.value);
  const auto tasks = PackParts(builder, message.tasks);
  return {fb::PeerBody::TaskReports,
          fb::CreateTaskReports(builder, place, home, tasks).Union()};
}

PackedBody Pack(Builder& builder, const TaskReportsAck& message) {
  const auto place = builder.CreateString(message.place.value);
  const auto home = builder.CreateString(message.home.value);
  const auto tasks = PackParts(builder, message.tasks);
  return {fb::PeerBody::TaskReportsAck,
          fb::CreateTaskReportsAck(builder, place, home, tasks).Union()};
}

Result<PeerMessage> UnpackMessage(const fb::Frame& frame) {
  switch (frame.body_type()) {
    case fb::PeerBody::JobCall:
      return PeerMessage(Unpack(*frame.body_as_JobCall()));
    case fb::PeerBody::JobAnswer:
      return PeerMessage(Unpack(*frame.body_as_JobAnswer()));
    case fb::PeerBody::ReserveTasks:
      return PeerMessage(Unpack(*frame.body_as_ReserveTasks()));
    case fb::PeerBody::ReserveAnswer:
      return PeerMessage(Unpack(*frame.body_as_ReserveAnswer()));
    case fb::PeerBody::ConfirmTasks:
      return PeerMessage(Unpack(*frame.body_as_ConfirmTasks()));
    case fb::PeerBody::ReleaseHold:
      return PeerMessage(Unpack(*frame.body_as_ReleaseHold()));
    case fb::PeerBody::StopTasks:
      return PeerMessage(Unpack(*frame.body_as_StopTasks()));
    case fb::PeerBody::TaskReports:
      return PeerMessage(Unpack(*frame.body_as_TaskReports()));
    case fb::PeerBody::TaskReportsAck:
      return PeerMessage(Unpack(*frame.body_as_TaskReportsAck()));
    default:
      return Error{ErrorKind::kBadRequest,
                   "the kind of the message is unknown"};
  }
}

PackedUsage PackUsage(Builder& builder, const std::vector<TeamUsage>& usage) {
  return PackParts(builder, usage);
}

std::vector<TeamUsage> UnpackUsage(
    const flatbuffers::Vector<flatbuffers::Offset<fb::TeamUsage>>* packed) {
  return UnpackParts<TeamUsage>(packed);
}

}  // namespace basilspread::wire::job_codec
