#ifndef BASILSPREAD_WIRE_SRC_PAYLOAD_CODEC_H_
#define BASILSPREAD_WIRE_SRC_PAYLOAD_CODEC_H_

#include "basilspread/core/payload.h"
#include "basilspread_generated.h"

namespace basilspread::wire {

/// Packs a payload; a null payload gives a null offset.
flatbuffers::Offset<fb::Payload> Pack(flatbuffers::FlatBufferBuilder& builder,
                                      const PayloadPtr& payload);
PayloadPtr Unpack(const fb::Payload* packed);

}  // namespace basilspread::wire

#endif  // BASILSPREAD_WIRE_SRC_PAYLOAD_CODEC_H_
