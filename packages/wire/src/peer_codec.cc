#include "basilspread/wire/peer_codec.h"

#include <utility>
#include <vector>

#include "bounds.h"
#include "common.h"
#include "heartbeat_codec.h"
#include "job_codec.h"
#include "payload_codec.h"
#include "relay_codec.h"
#include "submission_codec.h"

namespace basilspread::wire {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;

using job_codec::Pack;
using relay_codec::Pack;
using submission_codec::Pack;

PackedBody Pack(Builder& builder, const Heartbeat& message) {
  return {fb::PeerBody::Heartbeat, PackHeartbeat(builder, message).Union()};
}

PackedBody Pack(Builder& builder, const ForwardRequest& message) {
  const auto shard = builder.CreateString(message.shard.value);
  const auto route = builder.CreateString(message.route.value);
  const auto team = builder.CreateString(message.team.value);
  const auto key = builder.CreateString(message.idempotency_key);
  const auto payload = wire::Pack(builder, message.payload);
  return {fb::PeerBody::ForwardRequest,
          fb::CreateForwardRequest(builder, message.call.value, shard, route,
                                   team, key, message.time_left.count(),
                                   payload, message.attempt)
              .Union()};
}

PackedBody Pack(Builder& builder, const ForwardAnswer& message) {
  const auto error =
      builder.CreateString(std::string(AnswerFor(message.kind).name));
  const auto detail = builder.CreateString(message.detail);
  const auto payload = wire::Pack(builder, message.payload);
  return {fb::PeerBody::ForwardAnswer,
          fb::CreateForwardAnswer(builder, message.call.value, error, detail,
                                  payload, message.attempt)
              .Union()};
}

ForwardRequest Unpack(const fb::ForwardRequest& packed) {
  ForwardRequest message;
  message.call = CallId{packed.call()};
  message.shard = ShardId{packed.shard()->str()};
  message.route = RouteName{packed.route()->str()};
  message.team = TeamName{packed.team()->str()};
  message.idempotency_key = packed.idempotency_key()->str();
  message.time_left = Duration(packed.time_left_ns());
  message.payload = wire::Unpack(packed.payload());
  message.attempt = packed.attempt();
  return message;
}

ForwardAnswer Unpack(const fb::ForwardAnswer& packed) {
  ForwardAnswer message;
  message.call = CallId{packed.call()};
  message.kind = ErrorKindNamed(packed.error()->string_view());
  message.detail = packed.detail()->str();
  message.payload = wire::Unpack(packed.payload());
  message.attempt = packed.attempt();
  return message;
}

Result<PeerMessage> UnpackBody(const fb::Frame& frame) {
  // The verifier accepts a body type without a body.
  if (frame.body() == nullptr) {
    return Error{ErrorKind::kBadRequest, "the frame has no body"};
  }
  switch (frame.body_type()) {
    case fb::PeerBody::Heartbeat:
      return PeerMessage(UnpackHeartbeat(*frame.body_as_Heartbeat()));
    case fb::PeerBody::ForwardRequest:
      return PeerMessage(Unpack(*frame.body_as_ForwardRequest()));
    case fb::PeerBody::ForwardAnswer:
      return PeerMessage(Unpack(*frame.body_as_ForwardAnswer()));
    case fb::PeerBody::SubmissionCall:
    case fb::PeerBody::SubmissionAnswer:
    case fb::PeerBody::HelperReport:
    case fb::PeerBody::AdviceCall:
    case fb::PeerBody::AdviceAnswer:
    case fb::PeerBody::LeaderReport:
      return submission_codec::UnpackMessage(frame);
    case fb::PeerBody::HandOrders:
    case fb::PeerBody::HandReports:
      return relay_codec::UnpackMessage(frame);
    default:
      return job_codec::UnpackMessage(frame);
  }
}

}  // namespace

Result<std::string> EncodeFrame(const PeerFrame& frame) {
  Builder builder;
  const auto sender = wire::Pack(builder, frame.sender);
  const PackedBody body = std::visit(
      [&builder](const auto& message) { return Pack(builder, message); },
      frame.message);
  fb::FrameBuilder frame_builder(builder);
  frame_builder.add_version(kProtocolVersion);
  frame_builder.add_sender(sender);
  frame_builder.add_body_type(body.type);
  frame_builder.add_body(body.offset);
  frame_builder.add_receiver_incarnation(frame.receiver_incarnation);
  builder.Finish(frame_builder.Finish());
  if (builder.GetSize() > kMaxFrameBytes) {
    return Error{ErrorKind::kTooLarge, "the frame exceeds the limit of 16 MiB"};
  }
  // The length is not part of the buffer: a prefix inside it would shift the
  // alignment that the verifier checks.
  std::string bytes(kLengthBytes, '\0');
  flatbuffers::WriteScalar<std::uint32_t>(bytes.data(), builder.GetSize());
  return bytes + ToString(builder);
}

Result<std::uint32_t> DecodeLength(std::string_view prefix) {
  const auto length = flatbuffers::ReadScalar<std::uint32_t>(prefix.data());
  if (length == 0) {
    return Error{ErrorKind::kBadRequest, "the frame has a length of 0 bytes"};
  }
  if (length > kMaxFrameBytes) {
    return Error{ErrorKind::kTooLarge, "the frame exceeds the limit of 16 MiB"};
  }
  return length;
}

std::optional<VersionMismatch> FindVersionMismatch(std::string_view bytes) {
  flatbuffers::Verifier verifier = MakeVerifier(bytes);
  if (!verifier.VerifyBuffer<fb::Frame>(nullptr)) {
    return std::nullopt;
  }
  const auto* frame = flatbuffers::GetRoot<fb::Frame>(bytes.data());
  if (frame->version() == kProtocolVersion) {
    return std::nullopt;
  }
  return VersionMismatch{Unpack(*frame->sender()), frame->version()};
}

Result<PeerFrame> DecodeFrame(std::string_view bytes) {
  flatbuffers::Verifier verifier = MakeVerifier(bytes);
  if (!verifier.VerifyBuffer<fb::Frame>(nullptr)) {
    return Error{ErrorKind::kBadRequest, "the frame is malformed"};
  }
  const auto* frame = flatbuffers::GetRoot<fb::Frame>(bytes.data());
  if (frame->version() != kProtocolVersion) {
    return Error{ErrorKind::kProtocolMismatch,
                 "the peer uses protocol version " +
                     std::to_string(frame->version()) + ", not " +
                     std::to_string(kProtocolVersion)};
  }
  BOOST_OUTCOME_TRY(message, UnpackBody(*frame));
  if (!IsWithinBounds(message)) {
    return Error{ErrorKind::kBadRequest,
                 "a value of the frame is out of bounds"};
  }
  return PeerFrame{wire::Unpack(*frame->sender()), std::move(message),
                   frame->receiver_incarnation()};
}

}  // namespace basilspread::wire
