#ifndef BASILSPREAD_WIRE_SRC_SUBMISSION_CODEC_H_
#define BASILSPREAD_WIRE_SRC_SUBMISSION_CODEC_H_

#include "basilspread/core/peer_message.h"
#include "basilspread/core/result.h"
#include "basilspread/core/submission.h"
#include "basilspread_generated.h"
#include "job_codec.h"

/// Codec of submission, helper, leader and advice messages, and of the
/// specification, which records of the work log contain too.
namespace basilspread::wire::submission_codec {

using Builder = flatbuffers::FlatBufferBuilder;

PackedBody Pack(Builder& builder, const SubmissionCall& message);
PackedBody Pack(Builder& builder, const SubmissionAnswer& message);
PackedBody Pack(Builder& builder, const HelperReport& message);
PackedBody Pack(Builder& builder, const LeaderReport& message);
PackedBody Pack(Builder& builder, const AdviceCall& message);
PackedBody Pack(Builder& builder, const AdviceAnswer& message);

/// Errors: kBadRequest for a body of another kind or with invalid values.
Result<PeerMessage> UnpackMessage(const fb::Frame& frame);

flatbuffers::Offset<fb::SubmissionSpec> PackSpec(Builder& builder,
                                                 const SubmissionSpec& spec);
/// Errors: kBadRequest for a specification that exceeds its limits or has a
/// step that depends on itself or a later one.
Result<SubmissionSpecPtr> UnpackSpec(const fb::SubmissionSpec& packed);

}  // namespace basilspread::wire::submission_codec

#endif  // BASILSPREAD_WIRE_SRC_SUBMISSION_CODEC_H_
