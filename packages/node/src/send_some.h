#ifndef BASILSPREAD_NODE_SEND_SOME_H_
#define BASILSPREAD_NODE_SEND_SOME_H_

#include <Poco/Net/StreamSocket.h>

#include <string>

namespace basilspread::node {

/// Writes as much of `bytes`, starting at `begin`, as a non-blocking socket
/// accepts. Returns the number of bytes written; 0 if the socket is not
/// writable. Throws Poco::Exception if the connection failed.
std::size_t SendSome(Poco::Net::StreamSocket& socket, const std::string& bytes,
                     std::size_t begin);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_SEND_SOME_H_
