// A completion as callers ask for it.
#pragma once

#include "peridotgrade/callers/api_error.h"
#include "peridotgrade/core/base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace peridotgrade {

/// Which of the two usual interfaces the caller speaks; they differ in the shape of request and answer.
enum class CompletionShape : std::uint8_t { Text, Chat };

/// What the product uses of a completion request; sampling parameters are accepted and ignored.
struct CompletionRequest {
    CompletionShape shape = CompletionShape::Text;
    ModelId model;
    /// Of a chat, its messages as `role: content` lines.
    std::string prompt;
    std::uint32_t maxTokens = 16;
    bool isStreaming = false;
};

/// Reads the JSON body. `maxTokensLimit` bounds `max_tokens`.
std::variant<CompletionRequest, ApiError> parseCompletion(
    CompletionShape shape, std::string_view body, std::uint32_t maxTokensLimit);

/// A token of a prompt is four bytes, rounded up; at least one.
std::uint32_t promptTokensOf(std::string_view prompt);

} // namespace peridotgrade
