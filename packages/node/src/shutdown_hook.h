#ifndef BASILSPREAD_NODE_SHUTDOWN_HOOK_H_
#define BASILSPREAD_NODE_SHUTDOWN_HOOK_H_

#include <functional>

namespace basilspread::node {

/// Ends reading from and writing to the socket, whose thread then finds the
/// connection closed. Neither blocks nor throws. The descriptor must stay open
/// as long as the hook may be called.
std::function<void()> ShutdownOf(int descriptor);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_SHUTDOWN_HOOK_H_
