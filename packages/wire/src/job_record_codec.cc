#include "common.h"
#include "job_codec.h"
#include "job_parts.h"

namespace basilspread::wire::job_codec {
namespace {

flatbuffers::Offset<fb::TaskRecord> PackPart(Builder& builder,
                                             const TaskRecord& part) {
  const auto worker = builder.CreateString(part.worker.value);
  const auto place = builder.CreateString(part.place.value);
  return fb::CreateTaskRecord(
      builder, part.attempt.value, static_cast<std::uint8_t>(part.result),
      part.failures, worker, place, part.granted_by.value);
}

TaskRecord Unpack(const fb::TaskRecord& packed) {
  return TaskRecord{Attempt{packed.attempt()},
                    ToEnum(packed.result(), TaskResult::kLost),
                    packed.failures(),
                    HostName{packed.worker()->str()},
                    ShardId{packed.place()->str()},
                    Epoch{packed.granted_by()}};
}

JobRecord Unpack(const fb::JobRecord& packed) {
  JobRecord record;
  record.shard = ShardId{packed.shard()->str()};
  record.epoch = Epoch{packed.epoch()};
  record.spec = UnpackPart(*packed.spec());
  record.cancelled = packed.cancelled();
  if (packed.tasks() != nullptr) {
    for (const fb::TaskRecord* task : *packed.tasks()) {
      record.tasks.push_back(Unpack(*task));
    }
  }
  return record;
}

IntentRecord Unpack(const fb::IntentRecord& packed) {
  return IntentRecord{ShardId{packed.shard()->str()}, Epoch{packed.epoch()},
                      ShardId{packed.home()->str()},
                      ShardId{packed.place()->str()},
                      UnpackPart(*packed.start())};
}

OutcomeRecord Unpack(const fb::OutcomeRecord& packed) {
  return OutcomeRecord{ShardId{packed.shard()->str()},
                       Epoch{packed.epoch()},
                       ShardId{packed.home()->str()},
                       UnpackPart(*packed.name()),
                       ToEnum(packed.result(), TaskResult::kLost),
                       packed.detail()->str()};
}

CancelRecord Unpack(const fb::CancelRecord& packed) {
  CancelRecord record;
  record.shard = ShardId{packed.shard()->str()};
  record.epoch = Epoch{packed.epoch()};
  if (packed.jobs() != nullptr) {
    for (const flatbuffers::String* job : *packed.jobs()) {
      record.jobs.push_back(JobId{job->str()});
    }
  }
  return record;
}

}  // namespace

PackedRecord PackRecord(Builder& builder, const JobRecord& record) {
  const auto shard = builder.CreateString(record.shard.value);
  const auto spec = PackPart(builder, record.spec);
  std::vector<flatbuffers::Offset<fb::TaskRecord>> parts;
  for (const TaskRecord& task : record.tasks) {
    parts.push_back(PackPart(builder, task));
  }
  const auto tasks = builder.CreateVector(parts);
  return {fb::RecordBody::JobRecord,
          fb::CreateJobRecord(builder, shard, record.epoch.value, spec,
                              record.cancelled, tasks)
              .Union()};
}

PackedRecord PackRecord(Builder& builder, const IntentRecord& record) {
  const auto shard = builder.CreateString(record.shard.value);
  const auto home = builder.CreateString(record.home.value);
  const auto place = builder.CreateString(record.place.value);
  const auto start = PackPart(builder, record.start);
  return {fb::RecordBody::IntentRecord,
          fb::CreateIntentRecord(builder, shard, record.epoch.value, home,
                                 place, start)
              .Union()};
}

PackedRecord PackRecord(Builder& builder, const OutcomeRecord& record) {
  const auto shard = builder.CreateString(record.shard.value);
  const auto home = builder.CreateString(record.home.value);
  const auto name = PackPart(builder, record.name);
  const auto detail = builder.CreateString(record.detail);
  return {
      fb::RecordBody::OutcomeRecord,
      fb::CreateOutcomeRecord(builder, shard, record.epoch.value, home, name,
                              static_cast<std::uint8_t>(record.result), detail)
          .Union()};
}

PackedRecord PackRecord(Builder& builder, const CancelRecord& record) {
  const auto shard = builder.CreateString(record.shard.value);
  std::vector<flatbuffers::Offset<flatbuffers::String>> ids;
  for (const JobId& job : record.jobs) {
    ids.push_back(builder.CreateString(job.value));
  }
  const auto jobs = builder.CreateVector(ids);
  return {
      fb::RecordBody::CancelRecord,
      fb::CreateCancelRecord(builder, shard, record.epoch.value, jobs).Union()};
}

Result<LogRecord> UnpackRecord(const fb::Record& record) {
  switch (record.body_type()) {
    case fb::RecordBody::JobRecord:
      return LogRecord(Unpack(*record.body_as_JobRecord()));
    case fb::RecordBody::IntentRecord:
      return LogRecord(Unpack(*record.body_as_IntentRecord()));
    case fb::RecordBody::OutcomeRecord:
      return LogRecord(Unpack(*record.body_as_OutcomeRecord()));
    case fb::RecordBody::CancelRecord:
      return LogRecord(Unpack(*record.body_as_CancelRecord()));
    default:
      return Error{ErrorKind::kBadRequest,
                   "the kind of the log record is unknown"};
  }
}

}  // namespace basilspread::wire::job_codec
