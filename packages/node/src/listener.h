#ifndef BASILSPREAD_NODE_SRC_LISTENER_H_
#define BASILSPREAD_NODE_SRC_LISTENER_H_

#include <Poco/Net/ServerSocket.h>

#include "basilspread/config/node_settings.h"

namespace basilspread::node {

/// Connections that may wait to be accepted.
inline constexpr int kDefaultBacklog = 64;

/// A socket that listens on the address alone. Throws Poco::Net::NetException
/// when the address is in use.
Poco::Net::ServerSocket Listen(const config::Endpoint& endpoint,
                               int backlog = kDefaultBacklog);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_SRC_LISTENER_H_
