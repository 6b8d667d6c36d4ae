// How the memory of a gateway's process is divided.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace peridotgrade {

struct MemoryBudgets {
    /// Bytes of request bodies that are held at the same time; nothing for no limit on their sum.
    std::optional<std::size_t> requestBytes;
    /// Bytes of answers that are held as a whole at the same time. The smallest machines have 88 MB.
    std::size_t answerBytes = 24 * 1024 * 1024;
    /// Each direction of each connection to a caller or server; 0 leaves it to the kernel.
    std::uint32_t socketBufferBytes = 0;
};

/// Budgets of a process that is ended above `memoryMb` megabytes; the defaults if there is no such limit.
MemoryBudgets memoryBudgetsFor(std::optional<std::uint32_t> memoryMb);

} // namespace peridotgrade
