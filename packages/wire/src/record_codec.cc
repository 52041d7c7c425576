#include "basilspread/wire/record_codec.h"

#include <utility>
#include <vector>

#include "basilspread/wire/peer_codec.h"
#include "bounds.h"
#include "common.h"
#include "job_codec.h"
#include "payload_codec.h"

namespace basilspread::wire {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;

using job_codec::PackRecord;

flatbuffers::Offset<fb::TablesRecord> PackTables(Builder& builder,
                                                 const TablesRecord& record) {
  const auto author = builder.CreateString(record.author);
  const auto routes = builder.CreateString(record.route_table);
  const auto pools = builder.CreateString(record.pool_table);
  return fb::CreateTablesRecord(builder, record.base.value, author, routes,
                                pools);
}

PackedRecord PackRecord(Builder& builder, const TablesRecord& record) {
  return {fb::RecordBody::TablesRecord, PackTables(builder, record).Union()};
}

PackedRecord PackRecord(Builder& builder,
                        const TablesCheckpointRecord& record) {
  const auto source = PackTables(builder, record.record);
  return {fb::RecordBody::TablesCheckpointRecord,
          fb::CreateTablesCheckpointRecord(builder, record.version.value,
                                           source, record.covered.value)
              .Union()};
}

PackedRecord PackRecord(Builder& builder, const ClaimRecord& record) {
  const auto shard = builder.CreateString(record.shard.value);
  const auto claimant = Pack(builder, record.claimant);
  return {fb::RecordBody::ClaimRecord,
          fb::CreateClaimRecord(builder, shard, record.epoch.value, claimant)
              .Union()};
}

PackedRecord PackRecord(Builder& builder, const ReleaseRecord& record) {
  const auto shard = builder.CreateString(record.shard.value);
  const auto owner = Pack(builder, record.owner);
  const auto successor = builder.CreateString(record.successor.value);
  return {fb::RecordBody::ReleaseRecord,
          fb::CreateReleaseRecord(builder, shard, record.epoch.value, owner,
                                  successor, record.unsettled.count())
              .Union()};
}

PackedRecord PackRecord(Builder& builder, const CheckpointRecord& record) {
  const auto shard = builder.CreateString(record.shard.value);
  const auto owner = Pack(builder, record.owner);
  return {fb::RecordBody::CheckpointRecord,
          fb::CreateCheckpointRecord(builder, shard, record.epoch.value, owner)
              .Union()};
}

PackedRecord PackRecord(Builder& builder, const MemberRecord& record) {
  const auto process = Pack(builder, record.process);
  const auto address = builder.CreateString(record.address);
  return {fb::RecordBody::MemberRecord,
          fb::CreateMemberRecord(builder, process, address, record.leaving)
              .Union()};
}

PackedRecord PackRecord(Builder& builder, const KeyIntentRecord& record) {
  const auto shard = builder.CreateString(record.shard.value);
  const auto runner = Pack(builder, record.runner);
  const auto route = builder.CreateString(record.route.value);
  const auto team = builder.CreateString(record.team.value);
  const auto key = builder.CreateString(record.key);
  return {fb::RecordBody::KeyIntentRecord,
          fb::CreateKeyIntentRecord(builder, shard, record.epoch.value, runner,
                                    route, team, key, record.fingerprint)
              .Union()};
}

PackedRecord PackRecord(Builder& builder, const KeyOutcomeRecord& record) {
  const auto shard = builder.CreateString(record.shard.value);
  const auto runner = Pack(builder, record.runner);
  const auto route = builder.CreateString(record.route.value);
  const auto team = builder.CreateString(record.team.value);
  const auto key = builder.CreateString(record.key);
  const auto error =
      builder.CreateString(std::string(AnswerFor(record.kind).name));
  const auto answer = Pack(builder, record.answer);
  return {fb::RecordBody::KeyOutcomeRecord,
          fb::CreateKeyOutcomeRecord(builder, shard, runner, route, team, key,
                                     error, answer)
              .Union()};
}

TablesRecord UnpackTables(const fb::TablesRecord& packed) {
  return TablesRecord{TablesVersion{packed.base()}, packed.author()->str(),
                      packed.route_table()->str(), packed.pool_table()->str()};
}

LogRecord UnpackRecord(const fb::TablesRecord& packed) {
  return UnpackTables(packed);
}

LogRecord UnpackRecord(const fb::TablesCheckpointRecord& packed) {
  return TablesCheckpointRecord{TablesVersion{packed.version()},
                                UnpackTables(*packed.record()),
                                Offset{packed.covered()}};
}

LogRecord UnpackRecord(const fb::ClaimRecord& packed) {
  return ClaimRecord{ShardId{packed.shard()->str()}, Epoch{packed.epoch()},
                     Unpack(*packed.claimant())};
}

LogRecord UnpackRecord(const fb::ReleaseRecord& packed) {
  return ReleaseRecord{ShardId{packed.shard()->str()}, Epoch{packed.epoch()},
                       Unpack(*packed.owner()),
                       NodeName{packed.successor()->str()},
                       Duration(packed.unsettled_ns())};
}

LogRecord UnpackRecord(const fb::CheckpointRecord& packed) {
  return CheckpointRecord{ShardId{packed.shard()->str()}, Epoch{packed.epoch()},
                          Unpack(*packed.owner())};
}

LogRecord UnpackRecord(const fb::MemberRecord& packed) {
  return MemberRecord{Unpack(*packed.process()), packed.address()->str(),
                      packed.leaving()};
}

LogRecord UnpackRecord(const fb::KeyIntentRecord& packed) {
  KeyIntentRecord record;
  record.shard = ShardId{packed.shard()->str()};
  record.epoch = Epoch{packed.epoch()};
  record.runner = Unpack(*packed.runner());
  record.route = RouteName{packed.route()->str()};
  record.team = TeamName{packed.team()->str()};
  record.key = packed.key()->str();
  record.fingerprint = packed.fingerprint();
  return record;
}

LogRecord UnpackRecord(const fb::KeyOutcomeRecord& packed) {
  KeyOutcomeRecord record;
  record.shard = ShardId{packed.shard()->str()};
  record.runner = Unpack(*packed.runner());
  record.route = RouteName{packed.route()->str()};
  record.team = TeamName{packed.team()->str()};
  record.key = packed.key()->str();
  record.kind = ErrorKindNamed(packed.error()->string_view());
  record.answer = Unpack(packed.answer());
  return record;
}

Result<LogRecord> UnpackBody(const fb::Record& record) {
  // The verifier accepts a body type without a body.
  if (record.body() == nullptr) {
    return Error{ErrorKind::kBadRequest, "the log record has no body"};
  }
  switch (record.body_type()) {
    case fb::RecordBody::TablesRecord:
      return UnpackRecord(*record.body_as_TablesRecord());
    case fb::RecordBody::ClaimRecord:
      return UnpackRecord(*record.body_as_ClaimRecord());
    case fb::RecordBody::ReleaseRecord:
      return UnpackRecord(*record.body_as_ReleaseRecord());
    case fb::RecordBody::CheckpointRecord:
      return UnpackRecord(*record.body_as_CheckpointRecord());
    case fb::RecordBody::MemberRecord:
      return UnpackRecord(*record.body_as_MemberRecord());
    case fb::RecordBody::KeyIntentRecord:
      return UnpackRecord(*record.body_as_KeyIntentRecord());
    case fb::RecordBody::KeyOutcomeRecord:
      return UnpackRecord(*record.body_as_KeyOutcomeRecord());
    case fb::RecordBody::TablesCheckpointRecord:
      return UnpackRecord(*record.body_as_TablesCheckpointRecord());
    default:
      return job_codec::UnpackRecord(record);
  }
}

}  // namespace

std::string EncodeBatch(const LogBatch& batch) {
  Builder builder;
  std::vector<flatbuffers::Offset<fb::Record>> records;
  for (const LogRecord& record : batch.records) {
    const PackedRecord packed = std::visit(
        [&builder](const auto& body) { return PackRecord(builder, body); },
        record);
    records.push_back(fb::CreateRecord(builder, packed.type, packed.offset));
  }
  const auto writer = Pack(builder, batch.writer);
  const auto packed_records = builder.CreateVector(records);
  builder.Finish(fb::CreateBatch(builder, kProtocolVersion, writer,
                                 batch.id.value, packed_records));
  return ToString(builder);
}

Result<LogBatch> DecodeBatch(std::string_view bytes) {
  flatbuffers::Verifier verifier = MakeVerifier(bytes);
  if (!verifier.VerifyBuffer<fb::Batch>(nullptr)) {
    return Error{ErrorKind::kBadRequest, "the log batch is malformed"};
  }
  const auto* packed = flatbuffers::GetRoot<fb::Batch>(bytes.data());
  if (packed->version() != kProtocolVersion) {
    return Error{ErrorKind::kProtocolMismatch,
                 "the log batch has another protocol version"};
  }
  LogBatch batch;
  batch.writer = Unpack(*packed->writer());
  batch.id = AppendId{packed->id()};
  if (packed->records() != nullptr) {
    for (const fb::Record* record : *packed->records()) {
      BOOST_OUTCOME_TRY(body, UnpackBody(*record));
      if (!IsWithinBounds(body)) {
        return Error{ErrorKind::kBadRequest,
                     "a value of the log record is out of bounds"};
      }
      batch.records.push_back(std::move(body));
    }
  }
  return batch;
}

}  // namespace basilspread::wire
