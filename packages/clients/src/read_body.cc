#include "read_body.h"

#include <Poco/Exception.h>

#include <array>

namespace basilspread::clients {
namespace {

constexpr std::size_t kChunkBytes = std::size_t{16} << 10U;
/// A response without an end would otherwise grow until it exhausts the memory.
constexpr std::size_t kMaxBodyBytes = std::size_t{16} << 20U;

}  // namespace

std::string ReadBody(std::istream& in, int descriptor,
                     const OpenResponse& open) {
  const HoldResponse hold = open ? open(descriptor) : HoldResponse();
  std::string body;
  std::array<char, kChunkBytes> chunk;
  while (in) {
    in.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
    body.append(chunk.data(), static_cast<std::size_t>(in.gcount()));
    if (body.size() > kMaxBodyBytes) {
      throw Poco::IOException("the response exceeds the limit of 16 MiB");
    }
    if (hold && !hold(body.capacity())) {
      throw Poco::IOException(
          "the response exceeds the memory of all connections");
    }
  }
  return body;
}

}  // namespace basilspread::clients
