// Division of the memory of a gateway's process.
#include "peridotgrade/gateway/memory_budgets.h"

#include <algorithm>

namespace peridotgrade {

namespace {
    // Platforms count memory in powers of ten or two; the smaller one is safe.
    constexpr std::size_t BytesPerMegabyte = 1'000'000;
    // Requests and answers get a quarter each. The program takes some 15 MB itself; the rest is for
    // connections, running streams and what the allocator keeps.
    constexpr std::size_t BudgetDivisor = 4;
    // A hundred connections with full buffers take a twentieth of the memory in one direction. The smallest
    // size is above the bandwidth-delay product of 10 Mbit/s and 20 ms, 25 KB.
    constexpr std::size_t SocketBufferDivisor = 2000;
    constexpr std::size_t MinSocketBuffer = 32 * 1024;
    constexpr std::size_t MaxSocketBuffer = 512 * 1024;
} // namespace

MemoryBudgets memoryBudgetsFor(std::optional<std::uint32_t> memoryMb)
{
    MemoryBudgets budgets;
    if (!memoryMb)
        return budgets;
    std::size_t bytes = *memoryMb * BytesPerMegabyte;
    budgets.requestBytes = bytes / BudgetDivisor;
    budgets.answerBytes = bytes / BudgetDivisor;
    budgets.socketBufferBytes = static_cast<std::uint32_t>(
        std::clamp(bytes / SocketBufferDivisor, MinSocketBuffer, MaxSocketBuffer));
    return budgets;
}

} // namespace peridotgrade
