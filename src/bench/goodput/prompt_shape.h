// Prompts of the goodput benchmark, which carry lengths instead of text.
#pragma once

#include <cstdint>
#include <string>

namespace peridotgrade::bench {

/// The lengths encoded in a prompt of the benchmark.
struct PromptShape {
    std::uint32_t prefixId = 0;
    std::uint32_t prefixTokens = 0;
    std::uint32_t ownTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint64_t unique = 0;

    std::uint32_t promptTokens() const { return this->prefixTokens + this->ownTokens; }
};

std::string encodeShape(const PromptShape& shape);
PromptShape decodeShape(const std::string& prompt);

} // namespace peridotgrade::bench
