#ifndef BASILSPREAD_NODE_THREAD_USAGE_H_
#define BASILSPREAD_NODE_THREAD_USAGE_H_

#include <string>
#include <string_view>
#include <vector>

#include "basilspread/core/time.h"

namespace basilspread::node {

/// Registers the calling thread under a name for the lifetime of this object,
/// to measure its CPU time. Threads with the same name are added up.
class NamedThread {
 public:
  /// `thread_name` must be a string literal.
  explicit NamedThread(std::string_view thread_name);
  ~NamedThread();
  NamedThread(const NamedThread&) = delete;
  NamedThread& operator=(const NamedThread&) = delete;

 private:
  const std::string_view name;
};

struct ThreadUsage {
  std::string name;
  /// CPU time, including that of ended threads.
  Duration cpu_time{};
};

/// Returns the CPU time of all registered threads, by name.
std::vector<ThreadUsage> ReadThreadUsage();

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_THREAD_USAGE_H_
