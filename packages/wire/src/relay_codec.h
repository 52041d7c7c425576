#ifndef BASILSPREAD_WIRE_SRC_RELAY_CODEC_H_
#define BASILSPREAD_WIRE_SRC_RELAY_CODEC_H_

#include "basilspread/core/peer_message.h"
#include "basilspread/core/relay_message.h"
#include "job_codec.h"

/// Packs and unpacks the calls that a leader has other processes make. A
/// message holds each submission's id, and its command where a start needs it,
/// once.
namespace basilspread::wire::relay_codec {

using job_codec::Builder;

PackedBody Pack(Builder& builder, const RelayOrders& message);
PackedBody Pack(Builder& builder, const RelayReports& message);

/// Errors: kBadRequest for a run of a submission that the message lacks, and
/// for another kind of message.
Result<PeerMessage> UnpackMessage(const fb::Frame& frame);

}  // namespace basilspread::wire::relay_codec

#endif  // BASILSPREAD_WIRE_SRC_RELAY_CODEC_H_
