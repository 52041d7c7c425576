#ifndef BASILSPREAD_NODE_PROCESS_USAGE_H_
#define BASILSPREAD_NODE_PROCESS_USAGE_H_

#include <cstdint>

#include "basilspread/core/time.h"

namespace basilspread::node {

/// What the running process takes of its machine.
struct ProcessUsage {
  std::uint64_t resident_kibibytes = 0;
  std::uint64_t threads = 0;
  /// Processor time of all threads since the start.
  Duration cpu_time{};
};

/// Reads the usage from the operating system; what cannot be read is 0.
ProcessUsage ReadProcessUsage();

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_PROCESS_USAGE_H_
