// One connection of the HTTP server.
#pragma once

#include "peridotgrade/net/http_server.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace peridotgrade {

/// State shared by all connections of one server. Thread safe.
struct HttpSessionShared {
    HttpSessionShared(HttpServerSettings settings, HttpHandler handler)
        : settings(std::move(settings))
        , handler(std::move(handler))
    {
    }

    /// Closes the connections that wait for a request.
    void closeIdle();

    const HttpServerSettings settings;
    const HttpHandler handler;
    /// No more connections are accepted.
    std::atomic<bool> isStopping = false;
    /// Each connection is closed after its current response. Invariant: true if `isStopping` is.
    std::atomic<bool> isClosing = false;
    std::atomic<std::size_t> openConnections = 0;
    std::atomic<std::size_t> openExchanges = 0;
    std::atomic<std::size_t> arrivingRequests = 0;

    std::mutex mutex;
    std::uint64_t lastKey = 0;
    /// Functions that close the connections that are idle now. Guarded by `mutex`.
    std::unordered_map<std::uint64_t, std::function<void()>> idle;
};

/// Serves the connection until it ends. The socket's executor must be a strand.
void startHttpSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpSessionShared> shared);

} // namespace peridotgrade
