// Draining on a signal.
#include "drain.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <memory>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds DrainCheckInterval { 20 };
    // Lets the last frames be sent before the connections close.
    constexpr std::chrono::milliseconds FlushDelay { 200 };

    asio::awaitable<void> wait(asio::steady_timer& timer, std::chrono::milliseconds duration)
    {
        timer.expires_after(duration);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<void> drainAndStop(asio::io_context& context, std::shared_ptr<asio::signal_set> signals,
        Agent& agent, std::chrono::milliseconds timeout)
    {
        auto strand = co_await asio::this_coro::executor;
        boost::system::error_code ignored;
        co_await signals->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        agent.drain();
        asio::steady_timer timer(strand);
        for (auto waited = std::chrono::milliseconds { 0 }; !agent.isDrained() && waited < timeout;
             waited += DrainCheckInterval)
            co_await wait(timer, DrainCheckInterval);
        co_await wait(timer, FlushDelay);
        agent.stop();
        context.stop();
    }

} // namespace

void drainOnSignal(asio::io_context& context, Agent& agent, std::chrono::milliseconds timeout)
{
    auto strand = asio::make_strand(context);
    auto signals = std::make_shared<asio::signal_set>(strand, SIGTERM, SIGINT);
    asio::co_spawn(strand, drainAndStop(context, std::move(signals), agent, timeout), asio::detached);
}

} // namespace peridotgrade
