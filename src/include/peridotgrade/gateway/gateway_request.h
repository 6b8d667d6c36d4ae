// One attempt of a caller, as the gateway works with it.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/net/http_message.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace peridotgrade {

/// Sizes that a caller of a language model states.
struct GenerationSize {
    std::uint32_t promptTokens = 0;
    /// The most that it accepts; usually far more than it gets.
    std::uint32_t maxOutputTokens = 0;
    /// What it expects; 0 if it does not say.
    std::uint32_t expectedOutputTokens = 0;
};

struct GatewayRequest {
    /// What is passed on unchanged: method, target, end-to-end fields, body.
    HttpRequest message;
    /// The caller's id of this attempt.
    std::string attempt;
    std::string host;
    TimePoint arrivedAt;
    /// How long the caller waits, from its sending on.
    std::optional<std::chrono::milliseconds> callerTimeout;
    std::optional<GenerationSize> size;
    /// The last event that the caller has, if it resumes a stream.
    std::optional<std::uint64_t> lastEvent;
};

} // namespace peridotgrade
