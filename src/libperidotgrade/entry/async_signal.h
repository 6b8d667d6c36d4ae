// Lets a coroutine wait for something that another thread does.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <memory>

namespace peridotgrade {

/// One waiter on one strand. `set` is thread safe; setting twice before the waiter runs counts once. A waiter
/// may wake once without cause and has to look again.
class AsyncSignal : public std::enable_shared_from_this<AsyncSignal> {
public:
    explicit AsyncSignal(boost::asio::any_io_executor strand)
        : timer(std::move(strand))
    {
        this->timer.expires_at(boost::asio::steady_timer::time_point::max());
    }

    void set()
    {
        if (this->isSet.exchange(true))
            return;
        boost::asio::post(
            this->timer.get_executor(), [self = this->shared_from_this()] { self->timer.cancel(); });
    }

    /// To be called on the strand.
    boost::asio::awaitable<void> wait()
    {
        auto self = this->shared_from_this();
        if (this->isSet.exchange(false))
            co_return;
        boost::system::error_code ignored;
        co_await this->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        this->isSet = false;
    }

private:
    boost::asio::steady_timer timer;
    std::atomic<bool> isSet = false;
};

} // namespace peridotgrade
