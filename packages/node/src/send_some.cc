#include "send_some.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <cerrno>

namespace basilspread::node {

std::size_t SendSome(Poco::Net::StreamSocket& socket, const std::string& bytes,
                     std::size_t begin) {
  const std::size_t left = bytes.size() - begin;
  try {
    const int count =
        socket.sendBytes(bytes.data() + begin, static_cast<int>(left));
    return static_cast<std::size_t>(std::max(count, 0));
  } catch (const Poco::IOException& exception) {
    // POCO throws if the send buffer of a non-blocking socket is full.
    if (exception.code() == EAGAIN || exception.code() == EWOULDBLOCK) {
      return 0;
    }
    throw;
  }
}

}  // namespace basilspread::node
