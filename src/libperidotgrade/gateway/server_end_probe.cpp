// Shared probes of servers that may have ended.
#include "peridotgrade/gateway/server_end_probe.h"

#include "peridotgrade/net/timer_driver.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {
    // A refusal takes one round trip. Requests wait for it before they are repeated.
    constexpr std::chrono::milliseconds ProbeTimeout { 150 };
    // The system of a process that ends accepts connections until it has closed the listener, and ends them
    // then.
    constexpr std::chrono::milliseconds AcceptedTime { 20 };
    // A process that ends by its own code, or on a busy machine, takes longer.
    constexpr std::chrono::milliseconds LongAcceptedTime { 500 };
} // namespace

struct ServerEndProbe::Probe {
    explicit Probe(const asio::any_io_executor& executor)
        : done(executor, asio::steady_timer::time_point::max())
    {
    }

    /// Never expires; it is cancelled to resume the waiting coroutines.
    asio::steady_timer done;
    bool isDone = false;
    ServerProbeResult result { false, false, TimerDriver::now() };
};

asio::awaitable<ServerProbeResult> ServerEndProbe::run(std::shared_ptr<ServerClient> server)
{
    const ServerId id = server->record().id;
    const TimePoint asked = TimerDriver::now();
    for (auto found = this->running.find(id); found != this->running.end(); found = this->running.find(id)) {
        auto probe = found->second;
        boost::system::error_code ignored;
        if (!probe->isDone)
            co_await probe->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        ServerProbeResult result = probe->result;
        result.isShared = true;
        // A server that has ended does not come back, but one that ran before may have ended since.
        if (result.isRefused || result.beganAt >= asked)
            co_return result;
    }
    auto probe = std::make_shared<Probe>(this->executor);
    this->running[id] = probe;
    probe->result.isRefused = co_await server->refusesConnections(ProbeTimeout, AcceptedTime);
    probe->isDone = true;
    this->running.erase(id);
    probe->done.cancel();
    co_return probe->result;
}

asio::awaitable<ServerProbeResult> ServerEndProbe::runLonger(std::shared_ptr<ServerClient> server)
{
    ServerProbeResult result { false, false, TimerDriver::now() };
    result.isRefused = co_await server->refusesConnections(LongAcceptedTime + ProbeTimeout, LongAcceptedTime);
    // An accepted connection may outlive the listener.
    if (!result.isRefused)
        result.isRefused = co_await server->refusesConnections(ProbeTimeout, Duration::zero());
    co_return result;
}

} // namespace peridotgrade
