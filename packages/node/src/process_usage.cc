#include "process_usage.h"

#include <sys/resource.h>

#include <fstream>
#include <sstream>
#include <string>

namespace basilspread::node {
namespace {

Duration ToDuration(const timeval& time) {
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::microseconds(time.tv_usec);
}

}  // namespace

ProcessUsage ReadProcessUsage() {
  ProcessUsage usage;
  std::ifstream status("/proc/self/status");
  std::string line;
  while (std::getline(status, line)) {
    std::istringstream fields(line);
    std::string name;
    fields >> name;
    if (name == "VmRSS:") {
      fields >> usage.resident_kibibytes;
    } else if (name == "Threads:") {
      fields >> usage.threads;
    }
  }
  rusage times{};
  if (getrusage(RUSAGE_SELF, &times) == 0) {
    usage.cpu_time = ToDuration(times.ru_utime) + ToDuration(times.ru_stime);
  }
  return usage;
}

}  // namespace basilspread::node
