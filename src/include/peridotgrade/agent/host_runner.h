// Runs a host state machine under a lock with timers.
#pragma once

#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/hosting/host_action.h"
#include "peridotgrade/net/timer_driver.h"

#include <boost/asio/any_io_executor.hpp>

#include <concepts>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace peridotgrade {

/// The interface that ModelHost and ActionHost have in common.
template <typename Host>
concept BackendHost = requires(Host& host, ConnectionId connection, const EntryMessage& message)
{
    host.onConnected(connection);
    host.onDisconnected(connection);
    host.onMessage(connection, message);
    host.drain();
    {
        host.isDrained()
        } -> std::convertible_to<bool>;
    host.takeActions();
};

/// Provides a host with timers and a lock: each step advances the timers, calls the host, and performs the
/// resulting actions in order. `perform` is called under the lock and must neither block nor call the runner.
/// Thread safe.
template <BackendHost Host> class HostRunner : public std::enable_shared_from_this<HostRunner<Host>> {
public:
    using Action = typename decltype(std::declval<Host&>().takeActions())::value_type;
    using Perform = std::function<void(Action)>;
    using MakeHost = std::function<std::unique_ptr<Host>(TimerService&)>;

    HostRunner(const MakeHost& makeHost, Perform perform)
        : timers(TimerDriver::now())
        , host(makeHost(this->timers))
        , perform(std::move(perform))
    {
    }

    /// Starts the timers. Must be called before any other function.
    void start(boost::asio::any_io_executor executor)
    {
        std::weak_ptr<HostRunner> weak = this->weak_from_this();
        auto onDue = [weak] {
            if (auto self = weak.lock())
                self->step([](Host&) {});
        };
        this->driver = std::make_unique<TimerDriver>(std::move(executor), std::move(onDue));
        this->step([](Host&) {});
    }

    void stop() { this->driver->stop(); }

    /// Calls `action(host)` under the lock and performs the resulting actions.
    template <typename Step> void step(Step action)
    {
        std::lock_guard lock(this->mutex);
        this->timers.advance(TimerDriver::now());
        action(*this->host);
        for (Action& next : this->host->takeActions())
            this->perform(std::move(next));
        this->driver->arm(this->timers.nextDue());
    }

    /// Returns `read(host)`, called under the lock.
    template <typename Read> auto inspect(Read read) const
    {
        std::lock_guard lock(this->mutex);
        return read(std::as_const(*this->host));
    }

private:
    mutable std::mutex mutex;
    TimerService timers;
    std::unique_ptr<Host> host;
    const Perform perform;
    std::unique_ptr<TimerDriver> driver;
};

} // namespace peridotgrade
