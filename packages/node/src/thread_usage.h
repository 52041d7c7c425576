#ifndef BASILSPREAD_NODE_THREAD_USAGE_H_
#define BASILSPREAD_NODE_THREAD_USAGE_H_

#include <string>
#include <string_view>
#include <vector>

#include "basilspread/core/time.h"

namespace basilspread::node {

/// Names the thread that makes it, as long as it lives, so that the thread's
/// processor time is measured. Threads of one name are counted together.
class NamedThread {
 public:
  /// `thread_name` is a literal.
  explicit NamedThread(std::string_view thread_name);
  ~NamedThread();
  NamedThread(const NamedThread&) = delete;
  NamedThread& operator=(const NamedThread&) = delete;

 private:
  const std::string_view name;
};

struct ThreadUsage {
  std::string name;
  /// Processor time, that of ended threads included.
  Duration cpu_time{};
};

/// The processor time of all named threads.
std::vector<ThreadUsage> ReadThreadUsage();

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_THREAD_USAGE_H_
