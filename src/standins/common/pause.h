// Delays in coroutines.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace peridotgrade::standins {

/// Completes after `duration`.
inline boost::asio::awaitable<void> pause(
    boost::asio::any_io_executor executor, std::chrono::nanoseconds duration)
{
    boost::asio::steady_timer timer(executor, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

} // namespace peridotgrade::standins
