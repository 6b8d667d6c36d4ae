// Parsing of completion requests.
#pragma once

#include "peridotgrade/callers/api_error.h"
#include "peridotgrade/core/base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace peridotgrade {

/// Which of the two common completion APIs the caller uses; they differ in the JSON of request and answer.
enum class CompletionShape : std::uint8_t { Text, Chat };

/// The fields of a completion request that are used; sampling parameters are accepted and ignored.
struct CompletionRequest {
    CompletionShape shape = CompletionShape::Text;
    ModelId model;
    /// For a chat, its messages as lines of the form `role: content`.
    std::string prompt;
    std::uint32_t maxTokens = 16;
    bool isStreaming = false;
};

/// Parses the JSON body. A `max_tokens` above `maxTokensLimit` is an error.
std::variant<CompletionRequest, ApiError> parseCompletion(
    CompletionShape shape, std::string_view body, std::uint32_t maxTokensLimit);

/// Estimates the prompt's tokens as one per four bytes, rounded up, and at least one.
std::uint32_t promptTokensOf(std::string_view prompt);

} // namespace peridotgrade
