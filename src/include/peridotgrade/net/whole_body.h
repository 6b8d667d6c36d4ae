// Reads a body to its end.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/net/body_memory.h"
#include "peridotgrade/net/net_error.h"
#include "peridotgrade/net/timer_driver.h"

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <variant>

namespace peridotgrade {

/// Source of a body in parts; an empty part is its end.
template <typename Source>
concept BodySource = requires(Source& source, Duration timeout)
{
    {
        source.readBody(timeout)
        } -> std::same_as<boost::asio::awaitable<std::variant<std::string, NetError>>>;
};

/// How much of a body is read.
struct BodyLimits {
    std::size_t maxBytes = 0;
    /// Takes the bytes of the body, and keeps them for as long as its owner keeps the body; null for a body
    /// that is small by its own limit.
    BodyMemory::Share* share = nullptr;
    /// Longest wait for the next part.
    Duration maxPause = Duration::max();
};

/// Appends the rest of the body to `body`, by `deadline` and within `limits`, however fast or slowly it
/// arrives. After the error `NoMemory` `body` has all that was read and the rest can still be read; after any
/// other one the connection cannot be used again. The source must outlive the call.
template <BodySource Source>
boost::asio::awaitable<std::optional<NetError>> appendWholeBody(
    Source& source, TimePoint deadline, BodyLimits limits, std::string& body)
{
    while (true) {
        Duration left = deadline - TimerDriver::now();
        if (left <= Duration::zero())
            co_return NetError { NetErrorKind::TimedOut, true, "the body did not end in time" };
        auto piece = co_await source.readBody(std::min(left, limits.maxPause));
        if (auto* error = std::get_if<NetError>(&piece))
            co_return std::move(*error);
        std::string& bytes = std::get<std::string>(piece);
        if (bytes.empty())
            co_return std::nullopt;
        std::size_t needed = body.size() + bytes.size();
        if (needed > limits.maxBytes)
            co_return NetError { NetErrorKind::TooLarge, true,
                "the body exceeds " + std::to_string(limits.maxBytes) + " bytes" };
        bool hasMemory = true;
        if (needed > body.capacity()) {
            // What a string allocates counts, not only what it holds.
            std::size_t grown = std::min(limits.maxBytes, std::max(needed, 2 * body.capacity()));
            hasMemory = limits.share == nullptr || limits.share->tryAdd(grown - body.capacity());
            body.reserve(hasMemory ? grown : needed);
        }
        body += bytes;
        if (!hasMemory)
            co_return NetError { NetErrorKind::NoMemory, true, "no memory is left for the body" };
    }
}

/// The same for a body that is of use as a whole only.
template <BodySource Source>
boost::asio::awaitable<std::variant<std::string, NetError>> readWholeBody(
    Source& source, TimePoint deadline, BodyLimits limits)
{
    std::string body;
    auto error = co_await appendWholeBody(source, deadline, limits, body);
    if (error)
        co_return std::move(*error);
    co_return body;
}

} // namespace peridotgrade
