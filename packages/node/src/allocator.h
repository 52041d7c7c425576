#ifndef BASILSPREAD_NODE_ALLOCATOR_H_
#define BASILSPREAD_NODE_ALLOCATOR_H_

namespace basilspread::node {

/// Has the allocator return large buffers to the system when they are freed.
/// Called once, before other threads start.
void ConfigureAllocator();

/// Returns the free memory of all arenas to the system.
void ReleaseFreeMemory();

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_ALLOCATOR_H_
