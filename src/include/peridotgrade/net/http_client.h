// An HTTP client for one server, for complete responses and for bodies that are read as they arrive.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/http_message.h"
#include "peridotgrade/net/net_error.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace peridotgrade {

/// A response whose body is still being received.
class HttpStream {
public:
    virtual ~HttpStream() = default;

    /// Status and fields; the body is empty.
    virtual const HttpResponse& head() const = 0;
    /// Reads the next part of the body; empty at its end.
    virtual boost::asio::awaitable<std::variant<std::string, NetError>> read(
        std::chrono::milliseconds timeout)
        = 0;
    /// Closes the connection; a read in progress fails. Must be called on the stream's executor.
    virtual void close() = 0;
};

/// Which complete responses `HttpClient::send` returns.
enum class ResponseEnd : std::uint8_t {
    /// Those that end with their connection as well, for bodies that show themselves whether they are whole.
    Any,
    /// Only those with a length, chunks or no body; any other one may be a part and counts as
    /// `NetErrorKind::Closed`.
    Marked,
};

/// Sends requests to one server. Requests that may be repeated use idle connections, which may prove to be
/// closed only after sending. A request with `isRepeatable` false always gets a connection of its own and is
/// sent once. All calls must run on the given executor (a strand, or a context with one thread).
class HttpClient {
public:
    HttpClient(boost::asio::any_io_executor executor, Endpoint server, ResponseEnd end = ResponseEnd::Any);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    const Endpoint& server() const;

    boost::asio::awaitable<std::variant<HttpResponse, NetError>> send(
        HttpRequest request, std::chrono::milliseconds timeout, bool isRepeatable = true);

    /// Sends on a connection of its own and returns the response as soon as its head has arrived.
    boost::asio::awaitable<std::variant<std::unique_ptr<HttpStream>, NetError>> open(
        HttpRequest request, std::chrono::milliseconds timeout);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
