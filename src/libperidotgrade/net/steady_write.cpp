// Wait for a peer that reads slowly.
#include "steady_write.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <linux/sockios.h>
#include <memory>
#include <sys/ioctl.h>

namespace peridotgrade {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

    /// Bytes in the send buffer that the peer has not confirmed.
    int unconfirmedBytes(tcp::socket& socket)
    {
        int bytes = 0;
        return ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 ? bytes : 0;
    }

} // namespace

asio::awaitable<boost::system::error_code> waitWritable(
    tcp::socket& socket, std::chrono::milliseconds timeout)
{
    while (true) {
        int before = unconfirmedBytes(socket);
        // The handler of the timer may run after this coroutine has gone on.
        auto stop = std::make_shared<asio::cancellation_signal>();
        asio::steady_timer limit(socket.get_executor(), timeout);
        limit.async_wait([stop](const boost::system::error_code& aborted) {
            if (!aborted)
                stop->emit(asio::cancellation_type::terminal);
        });
        boost::system::error_code error;
        co_await socket.async_wait(tcp::socket::wait_write,
            asio::bind_cancellation_slot(stop->slot(), asio::redirect_error(asio::use_awaitable, error)));
        bool hasTimedOut = error == asio::error::operation_aborted && socket.is_open();
        if (!hasTimedOut)
            co_return error;
        // The kernel reports space only once a third of the buffer is free, so the peer may have read.
        if (unconfirmedBytes(socket) >= before)
            co_return asio::error::timed_out;
    }
}

} // namespace peridotgrade
