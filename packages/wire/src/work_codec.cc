#include "basilspread/wire/work_codec.h"

#include <utility>
#include <vector>

#include "bounds.h"
#include "common.h"
#include "job_parts.h"
#include "run_times_codec.h"
#include "submission_codec.h"

namespace basilspread::wire {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;

/// Version of the encoding; raised by every change that an older process would
/// misread.
constexpr std::uint32_t kWorkVersion = 1;
/// Version of the records of workers with `unused_since`. A leader of a version
/// that ignores the field would start tasks there and leave it in place; as
/// the record is unreadable to it, it writes a new one first.
constexpr std::uint32_t kUnusedWorkerVersion = 2;
/// Largest number of failed runs of all tasks of a submission. The record takes
/// four bytes for each, and the log accepts 256 KiB per record.
constexpr std::size_t kMaxFailedRuns = 65536;
constexpr Duration kUnknownLeaseLeft = Duration(-1);
constexpr std::string_view kSpecPrefix = "s/";
constexpr std::string_view kProgressPrefix = "p/";
constexpr std::string_view kWorkerPrefix = "w/";
constexpr std::string_view kLeaderPrefix = "l/";
/// SubjectOf knows no such key, so that a process which cannot read the record
/// logs and ignores it.
constexpr std::string_view kRunTimesKey = "r/run-times";

Error Malformed(std::string_view key) {
  return Error{ErrorKind::kBadRequest,
               "the record of " + std::string(key) + " is malformed"};
}

template <typename Name>
std::string KeyOf(std::string_view prefix, const Name& name) {
  return std::string(prefix) + name.value;
}

std::string Finish(Builder& builder, fb::WorkBody type,
                   flatbuffers::Offset<void> body,
                   std::uint32_t version = kWorkVersion) {
  builder.Finish(fb::CreateWorkRecord(builder, version, type, body));
  return ToString(builder);
}

flatbuffers::Offset<fb::QueuePolicy> Pack(Builder& builder,
                                          const QueuePolicy& policy) {
  flatbuffers::Offset<fb::AdvicePolicy> advice;
  if (policy.advice) {
    advice =
        fb::CreateAdvicePolicy(builder, policy.advice->decision_time.count(),
                               policy.advice->time_per_worker.count(),
                               policy.advice->ticket_validity.count());
  }
  const auto pool = builder.CreateString(policy.pool.value);
  return fb::CreateQueuePolicy(builder, pool, policy.priority,
                               policy.max_attempts, policy.stretch,
                               policy.target_latency.count(), advice);
}

QueuePolicy Unpack(const fb::QueuePolicy& packed) {
  QueuePolicy policy;
  policy.pool = PoolName{packed.pool()->str()};
  policy.priority = packed.priority();
  policy.max_attempts = packed.max_attempts();
  policy.stretch = packed.stretch();
  policy.target_latency = Duration(packed.target_latency_ns());
  if (const auto* advice = packed.advice()) {
    policy.advice = AdvicePolicy{Duration(advice->decision_time_ns()),
                                 Duration(advice->time_per_worker_ns()),
                                 Duration(advice->ticket_validity_ns())};
  }
  return policy;
}

/// Visitor that encodes a record under its key.
struct Encoder {
  KeyedRecord operator()(const AcceptedRecord& record) const {
    Builder builder;
    const auto spec = submission_codec::PackSpec(builder, *record.spec);
    const auto policy = Pack(builder, record.policy);
    const auto body =
        fb::CreateAcceptedRecord(builder, spec, policy, record.epoch.value,
                                 record.is_beyond_share)
            .Union();
    return {KeyOf(kSpecPrefix, record.spec->id),
            Finish(builder, fb::WorkBody::AcceptedRecord, body)};
  }

  KeyedRecord operator()(const ProgressRecord& record) const {
    Builder builder;
    std::vector<flatbuffers::Offset<fb::TaskProgress>> tasks;
    for (const TaskProgress& task : record.tasks) {
      std::vector<std::uint32_t> failed_runs;
      for (const Attempt run : task.failed_runs) {
        failed_runs.push_back(run.value);
      }
      const auto failed = builder.CreateVector(failed_runs);
      tasks.push_back(fb::CreateTaskProgress(builder, task.step, task.index,
                                             task.succeeded, failed,
                                             task.run.value));
    }
    const auto packed = builder.CreateVector(tasks);
    const auto body = fb::CreateProgressRecord(
                          builder, static_cast<std::uint8_t>(record.state),
                          packed, record.cancelled_early)
                          .Union();
    return {KeyOf(kProgressPrefix, record.id),
            Finish(builder, fb::WorkBody::ProgressRecord, body)};
  }

  KeyedRecord operator()(const ForgottenRecord& record) const {
    return {KeyOf(kProgressPrefix, record.id), std::nullopt};
  }

  KeyedRecord operator()(const SpecDroppedRecord& record) const {
    return {KeyOf(kSpecPrefix, record.id), std::nullopt};
  }

  KeyedRecord operator()(const WorkerRecord& record) const {
    Builder builder;
    const auto address = builder.CreateString(record.address);
    std::vector<flatbuffers::Offset<fb::WorkerRun>> runs;
    for (const RunName& run : record.runs) {
      const auto id = builder.CreateString(run.task.submission.value);
      runs.push_back(fb::CreateWorkerRun(builder, id, run.task.step,
                                         run.task.index, run.run.value));
    }
    const auto packed = builder.CreateVector(runs);
    const auto body = fb::CreateWorkerRecord(
                          builder, address, record.incarnation,
                          record.is_closed, packed, record.unused_since.value)
                          .Union();
    return {KeyOf(kWorkerPrefix, record.worker),
            Finish(builder, fb::WorkBody::WorkerRecord, body,
                   record.unused_since.value > 0 ? kUnusedWorkerVersion
                                                 : kWorkVersion)};
  }

  KeyedRecord operator()(const WorkerGoneRecord& record) const {
    return {KeyOf(kWorkerPrefix, record.worker), std::nullopt};
  }

  KeyedRecord operator()(const LeaderRecord& record) const {
    Builder builder;
    const auto address = builder.CreateString(record.address);
    const auto body = fb::CreateLeaderRecord(
                          builder, record.process.incarnation, address,
                          record.epoch.value, record.has_ended,
                          record.lease_left.value_or(kUnknownLeaseLeft).count())
                          .Union();
    return {KeyOf(kLeaderPrefix, record.process.node),
            Finish(builder, fb::WorkBody::LeaderRecord, body)};
  }

  KeyedRecord operator()(const LeaderGoneRecord& record) const {
    return {KeyOf(kLeaderPrefix, record.node), std::nullopt};
  }

  KeyedRecord operator()(const RunTimesRecord& record) const {
    Builder builder;
    const auto body = run_times_codec::Pack(builder, record).Union();
    return {std::string(kRunTimesKey),
            Finish(builder, fb::WorkBody::RunTimesRecord, body)};
  }
};

Result<WorkRecord> DecodeAccepted(const fb::AcceptedRecord& packed) {
  BOOST_OUTCOME_TRY(spec, submission_codec::UnpackSpec(*packed.spec()));
  return WorkRecord(AcceptedRecord{std::move(spec), Unpack(*packed.policy()),
                                   Epoch{packed.epoch()},
                                   packed.is_beyond_share()});
}

/// Whether the record has no more tasks and failed runs than a submission can
/// have. Checked before the lists are copied.
bool IsSmall(const fb::ProgressRecord& packed) {
  if (packed.tasks() == nullptr) {
    return true;
  }
  std::size_t failed_runs = 0;
  for (const auto* task : *packed.tasks()) {
    failed_runs +=
        task->failed_runs() == nullptr ? 0 : task->failed_runs()->size();
  }
  return packed.tasks()->size() <= limits::kMaxTasks &&
         failed_runs <= kMaxFailedRuns;
}

WorkRecord DecodeProgress(SubmissionId id, const fb::ProgressRecord& packed) {
  ProgressRecord record;
  record.id = std::move(id);
  record.state = job_codec::ToEnum(packed.state(), SubmissionState::kCancelled);
  record.cancelled_early = packed.cancelled_early();
  if (packed.tasks() != nullptr) {
    for (const auto* task : *packed.tasks()) {
      TaskProgress progress;
      progress.step = task->step();
      progress.index = task->index();
      progress.succeeded = task->succeeded();
      progress.run = Attempt{task->run()};
      if (task->failed_runs() != nullptr) {
        for (const std::uint32_t run : *task->failed_runs()) {
          progress.failed_runs.push_back(Attempt{run});
        }
      }
      record.tasks.push_back(std::move(progress));
    }
  }
  return record;
}

bool IsSmall(const fb::WorkerRecord& packed) {
  return packed.runs() == nullptr ||
         packed.runs()->size() <= limits::kMaxRecordedRuns;
}

WorkRecord DecodeWorker(HostName name, const fb::WorkerRecord& packed) {
  WorkerRecord record;
  record.worker = std::move(name);
  record.address = packed.address()->str();
  record.incarnation = packed.incarnation();
  record.is_closed = packed.is_closed();
  record.unused_since = Epoch{packed.unused_since()};
  if (packed.runs() != nullptr) {
    for (const auto* run : *packed.runs()) {
      record.runs.push_back(
          {{SubmissionId{run->submission()->str()}, run->step(), run->index()},
           Attempt{run->run()}});
    }
  }
  return record;
}

/// Unpacks the body, whose kind must be the one of the key's prefix.
Result<WorkRecord> UnpackBody(std::string_view key,
                              const fb::WorkRecord& record) {
  const auto* accepted = record.body_as_AcceptedRecord();
  if (accepted != nullptr &&
      key == KeyOf(kSpecPrefix, SubmissionId{accepted->spec()->id()->str()})) {
    return DecodeAccepted(*accepted);
  }
  const auto* progress = record.body_as_ProgressRecord();
  if (progress != nullptr && key.starts_with(kProgressPrefix) &&
      IsSmall(*progress)) {
    return DecodeProgress(
        SubmissionId{std::string(key.substr(kProgressPrefix.size()))},
        *progress);
  }
  const auto* worker = record.body_as_WorkerRecord();
  if (worker != nullptr && key.starts_with(kWorkerPrefix) && IsSmall(*worker)) {
    return DecodeWorker(HostName{std::string(key.substr(kWorkerPrefix.size()))},
                        *worker);
  }
  const auto* leader = record.body_as_LeaderRecord();
  if (leader != nullptr && key.starts_with(kLeaderPrefix)) {
    const NodeName node{std::string(key.substr(kLeaderPrefix.size()))};
    LeaderRecord decoded{{node, leader->incarnation()},
                         leader->address()->str(),
                         Epoch{leader->epoch()},
                         leader->has_ended()};
    if (leader->lease_left_ns() >= 0) {
      decoded.lease_left = Duration(leader->lease_left_ns());
    }
    return WorkRecord(std::move(decoded));
  }
  const auto* run_times = record.body_as_RunTimesRecord();
  if (run_times != nullptr && key == kRunTimesKey) {
    BOOST_OUTCOME_TRY(decoded, run_times_codec::Unpack(*run_times));
    return WorkRecord(std::move(decoded));
  }
  return Malformed(key);
}

}  // namespace

KeyedRecord EncodeWork(const WorkRecord& record) {
  return std::visit(Encoder{}, record);
}

Result<WorkRecord> DecodeWork(std::string_view key, std::string_view value) {
  flatbuffers::Verifier verifier = MakeVerifier(value);
  if (!verifier.VerifyBuffer<fb::WorkRecord>(nullptr)) {
    return Malformed(key);
  }
  const auto* record = flatbuffers::GetRoot<fb::WorkRecord>(value.data());
  if (record->version() != kWorkVersion &&
      record->version() != kUnusedWorkerVersion) {
    return Error{ErrorKind::kProtocolMismatch,
                 "the record of " + std::string(key) +
                     " has encoding version " +
                     std::to_string(record->version())};
  }
  BOOST_OUTCOME_TRY(body, UnpackBody(key, *record));
  if (!IsWithinBounds(body)) {
    return Malformed(key);
  }
  return WorkRecord(std::move(body));
}

std::optional<RecordSubject> SubjectOf(std::string_view key) {
  const std::string_view prefix = key.substr(0, kSpecPrefix.size());
  std::string name(key.substr(prefix.size()));
  if (name.empty() || name.size() > limits::kMaxNameBytes) {
    return std::nullopt;
  }
  if (prefix == kSpecPrefix || prefix == kProgressPrefix) {
    return SubmissionId{std::move(name)};
  }
  if (prefix == kWorkerPrefix) {
    return HostName{std::move(name)};
  }
  if (prefix == kLeaderPrefix) {
    return NodeName{std::move(name)};
  }
  return std::nullopt;
}

}  // namespace basilspread::wire
