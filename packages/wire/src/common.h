#ifndef BASILSPREAD_WIRE_SRC_COMMON_H_
#define BASILSPREAD_WIRE_SRC_COMMON_H_

#include <string>
#include <string_view>

#include "basilspread/core/ids.h"
#include "basilspread_generated.h"

namespace basilspread::wire {

inline flatbuffers::Offset<fb::ProcessId> Pack(
    flatbuffers::FlatBufferBuilder& builder, const ProcessId& process) {
  const auto node = builder.CreateString(process.node.value);
  return fb::CreateProcessId(builder, node, process.incarnation);
}

inline ProcessId Unpack(const fb::ProcessId& process) {
  return ProcessId{NodeName{process.node()->str()}, process.incarnation()};
}

inline std::string ToString(const flatbuffers::FlatBufferBuilder& builder) {
  const auto* data = reinterpret_cast<const char*>(builder.GetBufferPointer());
  return {data, builder.GetSize()};
}

inline flatbuffers::Verifier MakeVerifier(std::string_view bytes) {
  return {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()};
}

}  // namespace basilspread::wire

#endif  // BASILSPREAD_WIRE_SRC_COMMON_H_
