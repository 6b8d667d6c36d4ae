// Serialization of whole and chunked responses.
#include "response_writer.h"

#include "beast_convert.h"
#include "steady_write.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>

namespace peridotgrade {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

    /// One chunk of a chunked body. The data must not be empty, since an empty chunk would end the body.
    std::string chunkOf(const std::string& data)
    {
        constexpr std::string_view LineEnd = "\r\n";
        constexpr int Hexadecimal = 16;
        char digits[16];
        auto [end, status] = std::to_chars(digits, digits + sizeof(digits), data.size(), Hexadecimal);
        std::string framed;
        framed.reserve(data.size() + sizeof(digits) + 2 * LineEnd.size());
        framed.append(digits, end).append(LineEnd).append(data).append(LineEnd);
        return framed;
    }

} // namespace

ResponseWriter::ResponseWriter(tcp::socket& socket, std::chrono::milliseconds timeout)
    : socket(socket)
    , timeout(timeout)
{
}

asio::awaitable<boost::system::error_code> ResponseWriter::write(
    HttpResponse response, ResponseContext context)
{
    http::response<http::string_body> message;
    fillHead(message, response);
    message.keep_alive(context.keepAlive);
    bool canHaveBody
        = message.result() != http::status::no_content && message.result() != http::status::not_modified;
    if (canHaveBody)
        message.body() = std::move(response.body);
    message.prepare_payload();
    // The length that a body would have is not known from a server's own answer to HEAD.
    if (!canHaveBody || (context.isHead && message.body().empty()))
        message.erase(http::field::content_length);
    http::response_serializer<http::string_body> serializer { message };
    co_return co_await writeSteadily(this->socket, this->timeout, [&](boost::system::error_code& error) {
        if (context.isHead)
            http::write_header(this->socket, serializer, error);
        else
            http::write_some(this->socket, serializer, error);
        return context.isHead ? serializer.is_header_done() : serializer.is_done();
    });
}

asio::awaitable<boost::system::error_code> ResponseWriter::begin(
    HttpResponse response, ResponseContext context)
{
    this->isHead = context.isHead;
    http::response<http::empty_body> message;
    fillHead(message, response);
    message.keep_alive(context.keepAlive);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer { message };
    auto error = co_await writeSteadily(this->socket, this->timeout, [&](boost::system::error_code& failure) {
        http::write_header(this->socket, serializer, failure);
        return serializer.is_header_done();
    });
    if (!error)
        error = co_await this->writeChunk(std::move(response.body));
    co_return error;
}

asio::awaitable<boost::system::error_code> ResponseWriter::writeChunk(std::string chunk)
{
    if (chunk.empty() || this->isHead)
        co_return boost::system::error_code {};
    co_return co_await this->writeBytes(chunkOf(std::exchange(chunk, {})));
}

asio::awaitable<boost::system::error_code> ResponseWriter::end()
{
    if (this->isHead)
        co_return boost::system::error_code {};
    co_return co_await this->writeBytes("0\r\n\r\n");
}

asio::awaitable<boost::system::error_code> ResponseWriter::writeBytes(std::string bytes)
{
    std::size_t written = 0;
    co_return co_await writeSteadily(this->socket, this->timeout, [&](boost::system::error_code& error) {
        written += this->socket.write_some(asio::buffer(bytes) + written, error);
        return written == bytes.size();
    });
}

} // namespace peridotgrade
