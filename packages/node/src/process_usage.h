#ifndef BASILSPREAD_NODE_PROCESS_USAGE_H_
#define BASILSPREAD_NODE_PROCESS_USAGE_H_

#include <cstdint>

#include "basilspread/core/time.h"

namespace basilspread::node {

/// Resource usage of the current process.
struct ProcessUsage {
  std::uint64_t resident_kibibytes = 0;
  std::uint64_t threads = 0;
  /// CPU time of all threads since the start of the process.
  Duration cpu_time{};
};

/// Reads the usage from the operating system; values that cannot be read are 0.
ProcessUsage ReadProcessUsage();

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_PROCESS_USAGE_H_
