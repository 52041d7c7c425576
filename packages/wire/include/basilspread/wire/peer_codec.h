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

/// Protocol version; raised by every change that an older process would
/// misread.
inline constexpr std::uint32_t kProtocolVersion = 1;

/// Largest frame that is sent or accepted, in bytes.
inline constexpr std::uint32_t kMaxFrameBytes = 16U * 1024U * 1024U;

/// Size of the little-endian length prefix of each frame, in bytes.
inline constexpr std::size_t kLengthBytes = 4;

/// A message and the process that sent it.
struct PeerFrame {
  ProcessId sender;
  PeerMessage message;
  /// Incarnation of the run that the message is for; 0: any, or a sender that
  /// does not tell.
  std::uint64_t receiver_incarnation = 0;
};

/// Encodes a frame with its length prefix, ready to be written.
/// Errors: kTooLarge when it exceeds kMaxFrameBytes.
Result<std::string> EncodeFrame(const PeerFrame& frame);

/// Decodes the frame length in bytes from the first kLengthBytes bytes of
/// `prefix`, which must not be shorter.
/// Errors: kBadRequest when it is 0, kTooLarge above kMaxFrameBytes.
Result<std::uint32_t> DecodeLength(std::string_view prefix);

/// The sender of a frame of another protocol version.
struct VersionMismatch {
  ProcessId sender;
  std::uint32_t version = 0;
};

/// Returns the sender and the version of a frame of another protocol version.
/// Unset for a frame of this version and for malformed bytes.
std::optional<VersionMismatch> FindVersionMismatch(std::string_view bytes);

/// Verifies and decodes a frame without its length prefix.
/// Errors: kBadRequest for malformed bytes, kProtocolMismatch for a frame of
/// another protocol version.
Result<PeerFrame> DecodeFrame(std::string_view bytes);

}  // namespace basilspread::wire

#endif  // BASILSPREAD_WIRE_PEER_CODEC_H_
