// Lets a coroutine wait for an event that another thread signals.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace peridotgrade {

/// Auto-reset event for one waiter on one strand. `set` is thread safe; setting it twice before the waiter
/// runs has the effect of setting it once. It is not built on a timer, since a wait happens for each token.
/// The signal must outlive its waiter.
class AsyncSignal {
public:
    explicit AsyncSignal(boost::asio::any_io_executor strand)
        : strand(std::move(strand))
    {
    }

    void set()
    {
        std::function<void()> resume;
        {
            std::lock_guard lock(this->mutex);
            resume = std::exchange(this->waiter, nullptr);
            this->isSet = !resume;
        }
        if (resume)
            boost::asio::post(this->strand, std::move(resume));
    }

    /// Must be called on the strand.
    boost::asio::awaitable<void> wait()
    {
        auto begin = [this](auto handler) { this->begin(std::move(handler)); };
        co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>&, void()>(
            std::move(begin), boost::asio::use_awaitable);
    }

private:
    template <typename Handler> void begin(Handler handler)
    {
        // A std::function must be copyable, which the handler is not. The guard keeps `io_context::run` from
        // returning while the coroutine waits.
        auto kept = std::make_shared<Handler>(std::move(handler));
        auto work = boost::asio::make_work_guard(this->strand);
        std::function<void()> resume = [kept, work] { std::move (*kept)(); };
        std::unique_lock lock(this->mutex);
        if (!std::exchange(this->isSet, false)) {
            this->waiter = std::move(resume);
            return;
        }
        lock.unlock();
        boost::asio::post(this->strand, std::move(resume));
    }

    const boost::asio::any_io_executor strand;
    std::mutex mutex;
    /// Invariant: `isSet` is false while `waiter` is set. Both are guarded by `mutex`.
    std::function<void()> waiter;
    bool isSet = false;
};

} // namespace peridotgrade
