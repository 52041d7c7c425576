#ifndef BASILSPREAD_WIRE_SRC_JOB_CODEC_H_
#define BASILSPREAD_WIRE_SRC_JOB_CODEC_H_

#include <vector>

#include "basilspread/core/peer_message.h"
#include "basilspread/core/record.h"
#include "basilspread/core/result.h"
#include "basilspread_generated.h"

namespace basilspread::wire {

struct PackedBody {
  fb::PeerBody type;
  flatbuffers::Offset<void> offset;
};

struct PackedRecord {
  fb::RecordBody type;
  flatbuffers::Offset<void> offset;
};

/// Codec of job messages and job records.
namespace job_codec {

using Builder = flatbuffers::FlatBufferBuilder;

PackedBody Pack(Builder& builder, const JobCall& message);
PackedBody Pack(Builder& builder, const JobAnswer& message);
PackedBody Pack(Builder& builder, const ReserveTasks& message);
PackedBody Pack(Builder& builder, const ReserveAnswer& message);
PackedBody Pack(Builder& builder, const ConfirmTasks& message);
PackedBody Pack(Builder& builder, const ReleaseHold& message);
PackedBody Pack(Builder& builder, const StopTasks& message);
PackedBody Pack(Builder& builder, const TaskReports& message);
PackedBody Pack(Builder& builder, const TaskReportsAck& message);

/// Errors: kBadRequest when the frame holds no job message.
Result<PeerMessage> UnpackMessage(const fb::Frame& frame);

using PackedUsage = flatbuffers::Offset<
    flatbuffers::Vector<flatbuffers::Offset<fb::TeamUsage>>>;

PackedUsage PackUsage(Builder& builder, const std::vector<TeamUsage>& usage);
std::vector<TeamUsage> UnpackUsage(
    const flatbuffers::Vector<flatbuffers::Offset<fb::TeamUsage>>* packed);

PackedRecord PackRecord(Builder& builder, const JobRecord& record);
PackedRecord PackRecord(Builder& builder, const IntentRecord& record);
PackedRecord PackRecord(Builder& builder, const OutcomeRecord& record);
PackedRecord PackRecord(Builder& builder, const CancelRecord& record);

/// Errors: kBadRequest when the body is not a job record.
Result<LogRecord> UnpackRecord(const fb::Record& record);

}  // namespace job_codec
}  // namespace basilspread::wire

#endif  // BASILSPREAD_WIRE_SRC_JOB_CODEC_H_
