// A connection to a server that carries one request after another, and a pool of such connections.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/net/body_framing.h"
#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/http_message.h"
#include "peridotgrade/net/net_error.h"
#include "peridotgrade/net/request_write_state.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace peridotgrade {

/// What is known of a connection that carries no exchange, or of one that has ended.
enum class ConnectionState : std::uint8_t {
    Open,
    /// The peer has closed it in an orderly way, and not after the bytes of a response.
    PeerClosed,
    /// It was reset or closed here, or carries bytes that belong to no response.
    Lost,
};

/// A connection on which a request is written while its response is read, since servers may respond before
/// they have read all of it. Not thread safe: all calls must run on the executor it was created with.
class HttpChannel {
public:
    virtual ~HttpChannel() = default;

    /// Starts writing a request; a failure shows when the response is read.
    void send(HttpRequest request)
    {
        auto body = std::make_shared<const std::string>(std::move(request.body));
        this->send(std::move(request), std::move(body));
    }
    /// The same with `body` (null for none) in place of the request's own body. It is held until it has been
    /// written or the connection is closed.
    virtual void send(HttpRequest request, SharedBody body) = 0;
    /// Reads status and fields of the next response; its body is empty. `timeout` holds for the whole call,
    /// as it does for `readBody`, and the bytes that belong to no body are bounded.
    virtual boost::asio::awaitable<std::variant<HttpResponse, NetError>> readHead(Duration timeout) = 0;
    /// How the end of the body is marked. Valid after `readHead`.
    virtual BodyFraming framing() const = 0;
    virtual RequestWriteState requestWriteState() const = 0;
    /// Reads the next part of the body; empty at its end.
    virtual boost::asio::awaitable<std::variant<std::string, NetError>> readBody(Duration timeout) = 0;
    /// Closes the connection; operations in progress fail.
    virtual void close() = 0;
    /// Looks at the socket without waiting. Valid while no exchange is in progress.
    virtual ConnectionState state() const = 0;
    /// True if both directions are at a message boundary and the server keeps the connection open.
    virtual bool isReusable() const = 0;
    /// The connection is closed when it is released to its pool.
    virtual void forbidReuse() = 0;

    /// True if the connection had carried another request before the current one. If it then ends before the
    /// first byte of the response, the server may merely have closed an idle connection.
    virtual bool isReused() const = 0;
    /// When the connection was opened.
    virtual TimePoint openedAt() const = 0;
    /// False until a byte of the current response has arrived.
    virtual bool hasAnswerBegun() const = 0;
};

struct HttpChannelSettings {
    /// Memory that the kernel may use for each direction of a connection whose bytes are not read. With 0 the
    /// kernel decides and may let it grow to megabytes.
    std::uint32_t socketBufferBytes = 0;
};

/// Pool of connections to one server. Not thread safe.
class HttpChannelPool {
public:
    using Opened = std::variant<std::shared_ptr<HttpChannel>, NetError>;

    HttpChannelPool(
        boost::asio::any_io_executor executor, Endpoint server, HttpChannelSettings settings = {});
    ~HttpChannelPool();
    HttpChannelPool(const HttpChannelPool&) = delete;
    HttpChannelPool& operator=(const HttpChannelPool&) = delete;

    const Endpoint& server() const;
    /// Returns an idle connection that was unused for at most `maxIdle`, or a new one.
    boost::asio::awaitable<Opened> open(Duration maxIdle, Duration connectTimeout);
    /// Returns a new connection.
    boost::asio::awaitable<Opened> openNew(Duration connectTimeout);
    /// Keeps the connection for later requests if its last exchange is complete in both directions and the
    /// server allows it; closes it otherwise.
    void release(std::shared_ptr<HttpChannel> channel);
    /// Closes the idle connections.
    void clear();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
