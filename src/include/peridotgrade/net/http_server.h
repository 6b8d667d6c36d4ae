// A small HTTP server: connections, limits and time-outs; what is served is the handler's matter.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/http_message.h"
#include "peridotgrade/net/net_error.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace peridotgrade {

/// One request and the way to answer it. Lives on its connection's strand: handlers use it from there only.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    /// Sends a whole response. False if the client is gone.
    virtual boost::asio::awaitable<bool> respond(HttpResponse response) = 0;

    /// Starts a chunked response; `response.body` is sent as its first chunk if it is not empty.
    virtual boost::asio::awaitable<bool> beginStream(HttpResponse response) = 0;
    /// Sends one chunk; false if the client is gone or does not read within the write time-out.
    virtual boost::asio::awaitable<bool> writeChunk(std::string chunk) = 0;
    virtual boost::asio::awaitable<bool> endStream() = 0;

    /// Closes the connection at once, without an answer or in the middle of one.
    virtual void abandon() { }

    /// Calls `callback` once, on the strand, when the client closes its connection before the answer is
    /// complete.
    virtual void onClientGone(std::function<void()> callback) = 0;

    /// The strand that the exchange lives on.
    virtual boost::asio::any_io_executor executor() = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

struct HttpServerSettings {
    /// Port 0 lets the kernel choose.
    Endpoint listen;
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    std::uint32_t maxConnections = 10'000;
    /// From the first byte of a request to its last.
    std::chrono::milliseconds readTimeout { 10'000 };
    /// Between requests on a kept connection.
    std::chrono::milliseconds idleTimeout { 60'000 };
    /// For one chunk or response to be taken by the client's side of the connection.
    std::chrono::milliseconds writeTimeout { 10'000 };
    /// Memory that the kernel may hold for a client that does not read; 0 leaves it to the kernel, which may
    /// let it grow to megabytes, so that the write time-out comes late.
    std::uint32_t sendBufferBytes = 0;
    /// Added to the answers to requests that no handler saw: malformed, too large or too slow ones.
    std::vector<HttpField> refusalFields;
};

/// Accepts connections and calls the handler for each request, one at a time on a connection. Requests over a
/// limit, malformed ones and slow senders get an error status (400, 408, 413, 431) and cost no other
/// connection anything. An exception that leaves the handler ends that connection only. Thread safe.
class HttpServer {
public:
    HttpServer(boost::asio::any_io_executor executor, HttpServerSettings settings, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Listens; gives the endpoint with the port that is in use.
    std::variant<Endpoint, NetError> start();
    /// Closes idle connections and each other one after its answer; new ones are still accepted, for one
    /// request each.
    void stopKeeping();
    /// The same, and accepts nothing more; exchanges in progress are finished.
    void stopAccepting();
    std::size_t openExchanges() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
