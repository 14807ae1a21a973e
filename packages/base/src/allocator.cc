#include "base/allocator.h"

#include <malloc.h>

namespace persimmon {

namespace {

// Blocks of at least this size, in bytes, are mapped one by one. Setting it also keeps the
// allocator from raising it when such a block is freed.
constexpr int mappedBlockBytes = 128 * 1024;

// Pools of smaller blocks, each of which keeps some freed memory.
constexpr int pools = 2;

} // namespace

void returnFreedMemory()
{
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_ARENA_MAX, pools);
}

} // namespace persimmon
