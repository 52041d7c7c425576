#ifndef BASILSPREAD_WIRE_PEER_CODEC_H_
#define BASILSPREAD_WIRE_PEER_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "basilspread/core/ids.h"
#include "basilspread/core/peer_message.h"
#include "basilspread/core/result.h"

namespace basilspread::wire {

/// Raised by every change that an older process could misread.
inline constexpr std::uint32_t kProtocolVersion = 1;

/// Largest frame that is sent or taken.
inline constexpr std::uint32_t kMaxFrameBytes = 16U * 1024U * 1024U;

/// Bytes of the length that precedes each frame, little-endian.
inline constexpr std::size_t kLengthBytes = 4;

/// A message with the process that sent it.
struct PeerFrame {
  ProcessId sender;
  PeerMessage message;
};

/// The frame with its length in front, ready to be written.
/// Errors: kTooLarge when it exceeds kMaxFrameBytes.
Result<std::string> EncodeFrame(const PeerFrame& frame);

/// The length that the first kLengthBytes bytes of `prefix` state.
/// Errors: kBadRequest when it is 0, kTooLarge above kMaxFrameBytes.
Result<std::uint32_t> DecodeLength(std::string_view prefix);

/// The sender of a frame of another protocol version.
struct VersionMismatch {
  ProcessId sender;
  std::uint32_t version = 0;
};

/// Whether a frame is of another protocol version, and whose it is. Unset
/// for a frame of this version and for malformed bytes.
std::optional<VersionMismatch> FindVersionMismatch(std::string_view bytes);

/// Verifies and decodes a frame without its length.
/// Errors: kBadRequest for malformed bytes, kProtocolMismatch for a frame of
/// another protocol version.
Result<PeerFrame> DecodeFrame(std::string_view bytes);

}  // namespace basilspread::wire

#endif  // BASILSPREAD_WIRE_PEER_CODEC_H_
