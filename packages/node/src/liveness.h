#ifndef BASILSPREAD_NODE_LIVENESS_H_
#define BASILSPREAD_NODE_LIVENESS_H_

#include <Poco/Net/StreamSocket.h>

#include "basilspread/core/time.h"

namespace basilspread::node {

/// Sets TCP_USER_TIMEOUT to `timeout` and enables keep-alive probes, so that
/// the kernel closes a connection whose peer acknowledges nothing for that
/// long. Throws Poco::Exception if a socket option cannot be set.
void EnableDeadPeerDetection(Poco::Net::StreamSocket& socket, Duration timeout);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_LIVENESS_H_
