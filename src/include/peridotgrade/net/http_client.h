// An HTTP client for one server: whole responses, or bodies read as they come.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/http_message.h"
#include "peridotgrade/net/net_error.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <variant>

namespace peridotgrade {

/// A response whose body is still coming.
class HttpStream {
public:
    virtual ~HttpStream() = default;

    /// Status and fields; the body is empty.
    virtual const HttpResponse& head() const = 0;
    /// The next part of the body; empty at its end.
    virtual boost::asio::awaitable<std::variant<std::string, NetError>> read(
        std::chrono::milliseconds timeout)
        = 0;
    /// Ends the connection; a read in progress fails. To be called on the stream's executor.
    virtual void close() = 0;
};

/// Sends requests to one server, over kept connections where the request may be repeated, since a kept
/// connection can turn out dead after sending. A request sent with `isRepeatable` false always gets a
/// connection of its own and is sent once. All calls must run on the executor that was given (a strand, or a
/// context with one thread).
class HttpClient {
public:
    HttpClient(boost::asio::any_io_executor executor, Endpoint server);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    const Endpoint& server() const;

    boost::asio::awaitable<std::variant<HttpResponse, NetError>> send(
        HttpRequest request, std::chrono::milliseconds timeout, bool isRepeatable = true);

    /// Sends on a connection of its own and gives the response as soon as its head is there.
    boost::asio::awaitable<std::variant<std::unique_ptr<HttpStream>, NetError>> open(
        HttpRequest request, std::chrono::milliseconds timeout);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
