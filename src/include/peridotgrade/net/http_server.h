// A small HTTP server that handles connections, limits and time-outs; the handler produces the responses.
#pragma once

#include "peridotgrade/net/body_memory.h"
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

/// One request and its response. It lives on the strand of its connection, and handlers must use it only
/// there.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;
    /// Moves the body out of the request, so that it is held once.
    virtual std::string takeBody() { return this->request().body; }
    /// IP address of the client; empty if it is not known.
    virtual std::string clientAddress() const { return {}; }

    /// Sends a complete response. False if the client has disconnected.
    virtual boost::asio::awaitable<bool> respond(HttpResponse response) = 0;

    /// Starts a chunked response; `response.body` is sent as its first chunk if it is not empty.
    virtual boost::asio::awaitable<bool> beginStream(HttpResponse response) = 0;
    /// Sends one chunk; false if the client has disconnected or does not read within the write time-out.
    virtual boost::asio::awaitable<bool> writeChunk(std::string chunk) = 0;
    virtual boost::asio::awaitable<bool> endStream() = 0;

    /// Closes the connection immediately, without a response or in the middle of one.
    virtual void abort() { }

    /// Calls `callback` once, on the strand, if the client closes its connection before the response is
    /// complete.
    virtual void onClientDisconnect(std::function<void()> callback) = 0;

    /// The strand on which the exchange lives.
    virtual boost::asio::any_io_executor executor() = 0;
};

/// Bytes of a request that a connection had read when the server ended it without a response. The client
/// cannot tell it from a request that was handled.
struct DroppedRequest {
    std::string client;
    /// Bytes that were read and not parsed.
    std::size_t bytes;
    /// The server was closing its connections.
    bool isClosing;
};

/// A request to which the server itself responds with an error status: it is malformed, too large or too
/// slow, or its handler has failed.
struct RefusedRequest {
    std::string client;
    std::uint16_t status;
    std::string detail;
};

/// Why a request is not read to its end.
enum class UnreadReason : std::uint8_t { NoMemory, Stopping };

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

struct HttpServerSettings {
    /// Port 0 lets the kernel choose.
    Endpoint listen;
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    std::uint32_t maxConnections = 10'000;
    /// Time-out from the first byte of a request to its last.
    std::chrono::milliseconds readTimeout { 10'000 };
    /// Time-out between requests on a connection.
    std::chrono::milliseconds idleTimeout { 60'000 };
    /// Longest time in which the client confirms no byte of a chunk or response. One that reads slowly but
    /// steadily is not cut.
    std::chrono::milliseconds writeTimeout { 10'000 };
    /// Memory that the kernel may use for a client that does not read. With 0 the kernel decides and may let
    /// it grow to megabytes, which delays the write time-out.
    std::uint32_t sendBufferBytes = 0;
    /// The same for bytes from a client that are not read, for example while its request is refused.
    std::uint32_t receiveBufferBytes = 0;
    /// Memory for the bodies of all requests, from before a body is read to the end of its exchange; null for
    /// no limit on their sum.
    std::shared_ptr<BodyMemory> bodyMemory;
    /// Makes the response to a request that is not read to its end for no fault of its own. It gets the
    /// request without its body; one whose header is not complete either has no fields. Empty for 503 with a
    /// Retry-After of a second.
    std::function<HttpResponse(const HttpRequest&, UnreadReason)> unreadResponse;
    /// Added to the responses to requests that reach no handler: malformed, too large or too slow ones.
    std::vector<HttpField> refusalFields;
    /// Called on the strand of the connection for each refused request; may be empty.
    std::function<void(const RefusedRequest&)> onRequestRefused;
    /// Called on the strand of the connection for each request that is dropped; may be empty.
    std::function<void(const DroppedRequest&)> onRequestDropped;
};

/// Accepts connections and calls the handler for each request, one at a time for each connection. Requests
/// over a limit, malformed ones and slow senders get an error status (400, 408, 413, 431, 503) and do not
/// affect other connections. An exception from the handler ends only its connection. Thread safe.
class HttpServer {
public:
    HttpServer(boost::asio::any_io_executor executor, HttpServerSettings settings, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Starts listening; returns the endpoint with the actual port.
    std::variant<Endpoint, NetError> start();
    /// Closes idle connections, and every other one after its current response. New connections are still
    /// accepted, for one request each.
    void disableKeepAlive();
    /// Does the same and stops accepting connections; exchanges in progress are completed.
    void stopAccepting();
    /// To be called after `stopAccepting`, when no more time is left for requests: those that have arrived in
    /// part get `unreadResponse`, and connections without a byte of one are closed.
    void refuseArriving();
    std::size_t openConnections() const;
    std::size_t openExchanges() const;
    /// Requests of which the first byte has arrived and not the last one, and new connections of a server
    /// that stops, which have half a second for their first byte.
    std::size_t arrivingRequests() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
