#ifndef BASILSPREAD_NODE_LIVENESS_H_
#define BASILSPREAD_NODE_LIVENESS_H_

#include <Poco/Net/StreamSocket.h>

#include "basilspread/core/time.h"

namespace basilspread::node {

/// Has the kernel give the connection up when the other side confirms nothing
/// for `silence`, and probe one that is idle. Throws Poco::Exception.
void DetectSilence(Poco::Net::StreamSocket& socket, Duration silence);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_LIVENESS_H_
