#ifndef BASILSPREAD_WIRE_SRC_COMMON_H_
#define BASILSPREAD_WIRE_SRC_COMMON_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

#include "basilspread/core/ids.h"
#include "basilspread/core/limits.h"
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

/// Limits of the verifier: nesting depth and number of tables of one message.
/// The deepest message has six levels; the largest has one table for each task
/// that a shard's owner reports.
inline constexpr flatbuffers::uoffset_t kMaxDepth = 16;
inline constexpr flatbuffers::uoffset_t kMaxTables = 262144;
/// Largest number of names in a list, such as the processes of a leader report
/// or the workers of an advice query.
inline constexpr flatbuffers::uoffset_t kMaxNameCount = 4096;

inline flatbuffers::Verifier MakeVerifier(std::string_view bytes) {
  return {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size(),
          kMaxDepth, kMaxTables};
}

// Several offsets of a FlatBuffer may refer to the same data, so a small buffer
// can unpack to a large message. Lists and strings are therefore checked for
// their size before they are copied.

inline bool IsShort(const flatbuffers::String* text, std::size_t max_bytes) {
  return text == nullptr || text->size() <= max_bytes;
}

inline bool AreBoundedNames(
    const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>*
        texts) {
  return texts == nullptr ||
         (texts->size() <= kMaxNameCount &&
          std::all_of(texts->begin(), texts->end(),
                      [](const flatbuffers::String* text) {
                        return IsShort(text, limits::kMaxTextBytes);
                      }));
}

}  // namespace basilspread::wire

#endif  // BASILSPREAD_WIRE_SRC_COMMON_H_
