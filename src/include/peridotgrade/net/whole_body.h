// Reads a body to its end.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/net/net_error.h"
#include "peridotgrade/net/timer_driver.h"

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <concepts>
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

/// Reads the rest of the body, by `deadline`. The source must outlive the call.
template <BodySource Source>
boost::asio::awaitable<std::variant<std::string, NetError>> readWholeBody(Source& source, TimePoint deadline)
{
    std::string body;
    while (true) {
        // Zero would mean no time-out for the socket.
        Duration left = std::max<Duration>(deadline - TimerDriver::now(), std::chrono::milliseconds { 1 });
        auto piece = co_await source.readBody(left);
        if (auto* error = std::get_if<NetError>(&piece))
            co_return std::move(*error);
        std::string& bytes = std::get<std::string>(piece);
        if (bytes.empty())
            co_return body;
        body += bytes;
    }
}

} // namespace peridotgrade
