// Preloaded into a process under test: its steady clock falls behind by the
// nanoseconds in a mapped file, as after a suspension of its machine. The time
// of day and the boot clock run on.
#include <dlfcn.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>

namespace {

constexpr std::int64_t kSecond = 1000000000;

const std::atomic<std::int64_t>* MapOffset() {
  const char* path = getenv("SOAK_CLOCK_FILE");
  const int file = path == nullptr ? -1 : open(path, O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    return nullptr;
  }
  void* mapped =
      mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, file, 0);
  close(file);
  return mapped == MAP_FAILED
             ? nullptr
             : static_cast<const std::atomic<std::int64_t>*>(mapped);
}

std::int64_t Offset() {
  static const std::atomic<std::int64_t>* const kOffset = MapOffset();
  return kOffset == nullptr ? 0 : kOffset->load();
}

void Shift(timespec* time, std::int64_t nanoseconds) {
  const std::int64_t all = time->tv_sec * kSecond + time->tv_nsec + nanoseconds;
  time->tv_sec = all / kSecond;
  time->tv_nsec = all % kSecond;
}

template <typename Function>
Function Next(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  using Function = int (*)(clockid_t, timespec*);
  static const auto kNext = Next<Function>("clock_gettime");
  const int status = kNext(clock, time);
  if (status == 0 && clock == CLOCK_MONOTONIC) {
    Shift(time, -Offset());
  }
  return status;
}

extern "C" int pthread_cond_clockwait(pthread_cond_t* condition,
                                      pthread_mutex_t* mutex, clockid_t clock,
                                      const timespec* until) {
  using Function =
      int (*)(pthread_cond_t*, pthread_mutex_t*, clockid_t, const timespec*);
  static const auto kNext = Next<Function>("pthread_cond_clockwait");
  timespec shifted = *until;
  if (clock == CLOCK_MONOTONIC) {
    Shift(&shifted, Offset());
  }
  return kNext(condition, mutex, clock, &shifted);
}
