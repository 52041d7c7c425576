#include "allocator.h"

#include <malloc.h>

namespace basilspread::node {
namespace {

/// Buffers of this size and above are mapped, so that freeing them returns
/// their memory. Most messages are smaller and stay in the heap.
constexpr int kMapThresholdBytes = 128 * 1024;
/// Free memory at the top of the heap that is kept.
constexpr int kTrimThresholdBytes = 1024 * 1024;

}  // namespace

void ConfigureAllocator() {
  // Without fixed thresholds, glibc raises both when a mapped buffer is freed,
  // up to 32 MiB. Large buffers then come from the heap, where a small block
  // above them keeps their memory: 191 MB stayed resident after 300 answers of
  // 262,144 bytes.
  mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

void ReleaseFreeMemory() {
  // Buffers below the threshold leave free pages between blocks in use, which
  // only malloc_trim returns.
  malloc_trim(0);
}

}  // namespace basilspread::node
