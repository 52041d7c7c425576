#include "thread_usage.h"

#include <pthread.h>
#include <time.h>

#include <map>
#include <mutex>
#include <set>

namespace basilspread::node {
namespace {

struct Registry {
  struct Group {
    std::set<pthread_t> threads;
    Duration ended_cpu_time{};
  };

  std::mutex mutex;
  std::map<std::string_view, Group> groups;
};

Registry& GetRegistry() {
  // Never destroyed, since threads may end during process exit.
  static Registry& registry = *new Registry;
  return registry;
}

/// The CPU time of a thread; zero if the system does not report it.
Duration CpuTimeOf(pthread_t thread) {
  clockid_t clock{};
  timespec time{};
  if (pthread_getcpuclockid(thread, &clock) != 0 ||
      clock_gettime(clock, &time) != 0) {
    return Duration::zero();
  }
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace

NamedThread::NamedThread(std::string_view thread_name) : name(thread_name) {
  Registry& registry = GetRegistry();
  const std::lock_guard lock(registry.mutex);
  registry.groups[this->name].threads.insert(pthread_self());
}

NamedThread::~NamedThread() {
  Registry& registry = GetRegistry();
  const std::lock_guard lock(registry.mutex);
  Registry::Group& group = registry.groups[this->name];
  group.threads.erase(pthread_self());
  group.ended_cpu_time += CpuTimeOf(pthread_self());
}

std::vector<ThreadUsage> ReadThreadUsage() {
  Registry& registry = GetRegistry();
  const std::lock_guard lock(registry.mutex);
  std::vector<ThreadUsage> usage;
  for (const auto& [name, group] : registry.groups) {
    Duration time = group.ended_cpu_time;
    for (const pthread_t thread : group.threads) {
      time += CpuTimeOf(thread);
    }
    usage.push_back({std::string(name), time});
  }
  return usage;
}

}  // namespace basilspread::node
