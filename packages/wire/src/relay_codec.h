#ifndef BASILSPREAD_WIRE_SRC_RELAY_CODEC_H_
#define BASILSPREAD_WIRE_SRC_RELAY_CODEC_H_

#include "basilspread/core/peer_message.h"
#include "basilspread/core/relay_message.h"
#include "job_codec.h"

/// Packs and unpacks the orders of a leader to its relays, and their reports.
/// Runs refer to a table of submissions in the message, so that each id, and
/// each command that a start needs, is sent once per message.
namespace basilspread::wire::relay_codec {

using job_codec::Builder;

PackedBody Pack(Builder& builder, const RelayOrders& message);
PackedBody Pack(Builder& builder, const RelayReports& message);

/// Errors: kBadRequest for a run of a submission that is not in the message,
/// for a text above its limit, and for a message of another kind.
Result<PeerMessage> UnpackMessage(const fb::Frame& frame);

}  // namespace basilspread::wire::relay_codec

#endif  // BASILSPREAD_WIRE_SRC_RELAY_CODEC_H_
