// Replaces the global allocation functions of the benchmark program to count the bytes in use.
#include "live_bytes.h"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::atomic<std::uint64_t> bytesInUse = 0;

void* countedAllocate(std::size_t size)
{
    void* memory = std::malloc(size);
    if (!memory)
        throw std::bad_alloc();
    bytesInUse += malloc_usable_size(memory);
    return memory;
}

void countedFree(void* memory)
{
    if (!memory)
        return;
    bytesInUse -= malloc_usable_size(memory);
    std::free(memory);
}

} // namespace

void* operator new(std::size_t size) { return countedAllocate(size); }
void* operator new[](std::size_t size) { return countedAllocate(size); }
void operator delete(void* memory) noexcept { countedFree(memory); }
void operator delete[](void* memory) noexcept { countedFree(memory); }
void operator delete(void* memory, std::size_t) noexcept { countedFree(memory); }
void operator delete[](void* memory, std::size_t) noexcept { countedFree(memory); }

namespace peridotgrade::bench {

std::uint64_t liveBytes() { return bytesInUse; }

} // namespace peridotgrade::bench
