#ifndef BASILSPREAD_NODE_SRC_LISTENER_H_
#define BASILSPREAD_NODE_SRC_LISTENER_H_

#include <Poco/Net/ServerSocket.h>

#include "basilspread/config/node_settings.h"

namespace basilspread::node {

/// Maximum number of connections that wait to be accepted.
inline constexpr int kDefaultBacklog = 64;

/// Creates a listening socket that does not share its address with other
/// sockets. Throws Poco::Net::NetException if the address is in use.
Poco::Net::ServerSocket Listen(const config::Endpoint& endpoint,
                               int backlog = kDefaultBacklog);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_SRC_LISTENER_H_
