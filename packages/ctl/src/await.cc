#include "await.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace basilspread::ctl {
namespace {

constexpr Duration kInterval = std::chrono::milliseconds(100);

}  // namespace

bool Await(Duration timeout, const std::function<bool()>& condition) {
  const TimePoint end = std::chrono::steady_clock::now() + timeout;
  std::mutex mutex;
  std::condition_variable sleeper;
  std::unique_lock lock(mutex);
  while (!condition()) {
    const TimePoint now = std::chrono::steady_clock::now();
    if (now >= end) {
      return false;
    }
    // The condition depends on other processes, so nothing can notify this
    // variable; the wait only sleeps until the next poll.
    sleeper.wait_until(lock, std::min(end, now + kInterval),
                       [] { return false; });
  }
  return true;
}

}  // namespace basilspread::ctl
