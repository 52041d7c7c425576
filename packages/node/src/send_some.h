#ifndef BASILSPREAD_NODE_SEND_SOME_H_
#define BASILSPREAD_NODE_SEND_SOME_H_

#include <Poco/Net/StreamSocket.h>

#include <string>

namespace basilspread::node {

/// Writes what a socket that does not block takes of `bytes` from `begin` on.
/// Returns how much that was; 0 while it takes nothing. Throws
/// Poco::Exception when the connection broke.
std::size_t SendSome(Poco::Net::StreamSocket& socket, const std::string& bytes,
                     std::size_t begin);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_SEND_SOME_H_
