// Timed wait in a coroutine, over a steady timer.
#include "peridotgrade/net/sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridotgrade {

boost::asio::awaitable<void> sleepFor(boost::asio::any_io_executor executor, Duration duration)
{
    boost::asio::steady_timer timer(std::move(executor), duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

} // namespace peridotgrade
