// Writes to a peer that may read slowly.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace peridotgrade {

/// Waits until the socket takes more bytes. The error is `timed_out` if the peer has confirmed no byte for
/// `timeout`; a peer that reads slowly but steadily is waited for.
boost::asio::awaitable<boost::system::error_code> waitWritable(
    boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout);

/// Calls `writeSome(error)`, which writes to the socket without blocking, until it returns true (all is
/// written) or fails. `timeout` limits the time without progress.
template <typename WriteSome>
boost::asio::awaitable<boost::system::error_code> writeSteadily(
    boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout, WriteSome writeSome)
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    while (!error && !writeSome(error)) {
        if (error == boost::asio::error::would_block || error == boost::asio::error::try_again)
            error = co_await waitWritable(socket, timeout);
    }
    co_return error;
}

} // namespace peridotgrade
