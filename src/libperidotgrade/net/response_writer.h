// Writes the responses of one connection.
#pragma once

#include "peridotgrade/net/http_message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <string>

namespace peridotgrade {

/// What a response depends on beside its content.
struct ResponseContext {
    /// The request was HEAD, so the response ends with its header.
    bool isHead;
    /// The connection stays open for another request.
    bool keepAlive;
};

/// Writes to a client that may read slowly. All functions return the error of the connection. Used on the
/// strand of the connection.
class ResponseWriter {
public:
    /// `timeout` is the longest time in which the client confirms no byte.
    ResponseWriter(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout);

    boost::asio::awaitable<boost::system::error_code> write(HttpResponse response, ResponseContext context);
    /// Starts a chunked response; its body is the first chunk if it is not empty.
    boost::asio::awaitable<boost::system::error_code> begin(HttpResponse response, ResponseContext context);
    boost::asio::awaitable<boost::system::error_code> writeChunk(std::string chunk);
    boost::asio::awaitable<boost::system::error_code> end();

private:
    /// Most chunks fit into the socket's buffer, so this takes one system call and no timer for each token.
    boost::asio::awaitable<boost::system::error_code> writeBytes(std::string bytes);

    boost::asio::ip::tcp::socket& socket;
    const std::chrono::milliseconds timeout;
    /// Of the chunked response that was begun.
    bool isHead = false;
};

} // namespace peridotgrade
