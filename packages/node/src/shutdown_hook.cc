#include "shutdown_hook.h"

#include <sys/socket.h>

namespace basilspread::node {

std::function<void()> ShutdownOf(int descriptor) {
  // Fails if the other side has closed meanwhile, which changes nothing.
  return [descriptor] { ::shutdown(descriptor, SHUT_RDWR); };
}

}  // namespace basilspread::node
