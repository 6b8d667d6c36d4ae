// Waits on one Asio timer for the earliest time that was armed.
#include "peridotgrade/net/timer_driver.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <cstdint>
#include <mutex>

#include <time.h>

namespace peridotgrade {

namespace asio = boost::asio;

class TimerDriver::Impl : public std::enable_shared_from_this<TimerDriver::Impl> {
public:
    Impl(asio::any_io_executor executor, std::function<void()> onDue)
        : timer(asio::make_strand(std::move(executor)))
        , onDue(std::move(onDue))
    {
    }

    void arm(std::optional<TimePoint> due)
    {
        std::lock_guard lock(this->mutex);
        if (this->isStopped || !due)
            return;
        // A timer that fires too early costs one empty advance; moving the timer on each call would cost
        // more.
        if (this->armedFor && *this->armedFor <= *due)
            return;
        this->armedFor = due;
        asio::post(this->timer.get_executor(), [self = this->shared_from_this()] { self->wait(); });
    }

    void stop()
    {
        std::lock_guard lock(this->mutex);
        this->isStopped = true;
        asio::post(this->timer.get_executor(), [self = this->shared_from_this()] { self->timer.cancel(); });
    }

private:
    void wait()
    {
        std::chrono::steady_clock::time_point due;
        {
            std::lock_guard lock(this->mutex);
            if (this->isStopped || !this->armedFor)
                return;
            due = std::chrono::steady_clock::time_point { this->armedFor->time_since_epoch() };
        }
        this->timer.expires_at(due);
        // A wait that was replaced after its time had come is no longer cancelled.
        std::uint64_t wait = ++this->lastWait;
        this->timer.async_wait(
            [self = this->shared_from_this(), wait](const boost::system::error_code& error) {
                if (!error && wait == self->lastWait)
                    self->fire();
            });
    }

    void fire()
    {
        {
            std::lock_guard lock(this->mutex);
            if (this->isStopped)
                return;
            this->armedFor.reset();
        }
        this->onDue();
    }

    asio::steady_timer timer;
    /// Number of the newest wait. Used on the timer's strand only.
    std::uint64_t lastWait = 0;
    const std::function<void()> onDue;
    std::mutex mutex;
    /// Invariant: when set, a wait for this time or an earlier one is in progress or posted. Guarded by
    /// `mutex`.
    std::optional<TimePoint> armedFor;
    bool isStopped = false;
};

TimerDriver::TimerDriver(asio::any_io_executor executor, std::function<void()> onDue)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(onDue)))
{
}

TimerDriver::~TimerDriver() { this->impl->stop(); }

TimePoint TimerDriver::now()
{
    return TimePoint { std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now().time_since_epoch()) };
}

WallTime TimerDriver::wallNow()
{
    return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

TimePoint TimerDriver::bootNow()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint { std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec } };
}

void TimerDriver::arm(std::optional<TimePoint> due) { this->impl->arm(due); }

void TimerDriver::stop() { this->impl->stop(); }

} // namespace peridotgrade
