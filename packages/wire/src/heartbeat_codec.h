#ifndef BASILSPREAD_WIRE_SRC_HEARTBEAT_CODEC_H_
#define BASILSPREAD_WIRE_SRC_HEARTBEAT_CODEC_H_

#include "basilspread/core/peer_message.h"
#include "basilspread_generated.h"

namespace basilspread::wire {

flatbuffers::Offset<fb::Heartbeat> PackHeartbeat(
    flatbuffers::FlatBufferBuilder& builder, const Heartbeat& message);

Heartbeat UnpackHeartbeat(const fb::Heartbeat& packed);

}  // namespace basilspread::wire

#endif  // BASILSPREAD_WIRE_SRC_HEARTBEAT_CODEC_H_
