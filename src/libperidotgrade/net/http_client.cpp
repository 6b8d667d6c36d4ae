// HTTP client over Boost.Beast.
#include "peridotgrade/net/http_client.h"

#include "beast_convert.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <optional>
#include <vector>

namespace peridotgrade {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

    // Idle connections beyond this number are closed.
    constexpr std::size_t MaxIdleConnections = 8;
    constexpr std::uint64_t MaxResponseBytes = 64 * 1024 * 1024;
    constexpr std::size_t StreamBufferBytes = 16 * 1024;
    // Bytes of a stream that belong to no body: fields, chunk extensions and trailers.
    constexpr std::size_t MaxFramingBytes = 64 * 1024;

    template <typename Message> HttpResponse responseHead(const Message& message)
    {
        HttpResponse response;
        response.status = static_cast<std::uint16_t>(message.result_int());
        response.contentType = std::string { message[http::field::content_type] };
        response.fields = fieldsFrom(message);
        return response;
    }

    /// A response whose body is read as it arrives.
    class BeastStream final : public HttpStream {
    public:
        explicit BeastStream(beast::tcp_stream connection)
            : connection(std::move(connection))
        {
            this->parser.body_limit(boost::none);
        }

        asio::awaitable<std::optional<NetError>> start(
            const http::request<http::string_body>& request, std::chrono::milliseconds timeout)
        {
            boost::system::error_code error;
            this->connection.expires_after(timeout);
            co_await http::async_write(
                this->connection, request, asio::redirect_error(asio::use_awaitable, error));
            if (!error) {
                co_await http::async_read_header(this->connection, this->buffer, this->parser,
                    asio::redirect_error(asio::use_awaitable, error));
            }
            if (!error && !isFinalStatus(this->parser.get().result_int()))
                error = http::error::bad_status;
            if (error)
                co_return netErrorFrom(error, true);
            this->headOfResponse = responseHead(this->parser.get());
            co_return std::nullopt;
        }

        const HttpResponse& head() const override { return this->headOfResponse; }

        asio::awaitable<std::variant<std::string, NetError>> read(std::chrono::milliseconds timeout) override
        {
            while (!this->parser.is_done()) {
                std::array<char, StreamBufferBytes> space;
                this->parser.get().body().data = space.data();
                this->parser.get().body().size = space.size();
                boost::system::error_code error;
                this->connection.expires_after(timeout);
                co_await http::async_read_some(this->connection, this->buffer, this->parser,
                    asio::redirect_error(asio::use_awaitable, error));
                if (error && error != http::error::need_buffer)
                    co_return netErrorFrom(error, true);
                std::size_t size = space.size() - this->parser.get().body().size;
                if (size > 0)
                    co_return std::string { space.data(), size };
            }
            co_return std::string {};
        }

        void close() override
        {
            boost::system::error_code ignored;
            this->connection.socket().close(ignored);
        }

    private:
        beast::tcp_stream connection;
        beast::flat_buffer buffer { MaxFramingBytes };
        http::response_parser<http::buffer_body> parser;
        HttpResponse headOfResponse;
    };

} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
public:
    Impl(asio::any_io_executor executor, Endpoint server, ResponseEnd end)
        : executor(std::move(executor))
        , server(std::move(server))
        , end(end)
    {
    }

    asio::awaitable<std::variant<HttpResponse, NetError>> send(
        HttpRequest request, std::chrono::milliseconds timeout, bool isRepeatable)
    {
        auto self = this->shared_from_this();
        auto message = beastRequest(std::move(request), this->server);
        if (isRepeatable && !this->idle.empty()) {
            beast::tcp_stream kept = std::move(this->idle.back());
            this->idle.pop_back();
            auto result = co_await this->roundTrip(std::move(kept), message, timeout);
            // If the server has closed an idle connection meanwhile, that says nothing about the server's
            // state.
            bool isStale = std::holds_alternative<NetError>(result)
                && std::get<NetError>(result).kind == NetErrorKind::Closed;
            if (!isStale)
                co_return result;
            this->idle.clear();
        }
        auto connected = co_await this->connect(timeout);
        if (auto* error = std::get_if<NetError>(&connected))
            co_return std::move(*error);
        co_return co_await this->roundTrip(
            std::move(std::get<beast::tcp_stream>(connected)), message, timeout);
    }

    asio::awaitable<std::variant<std::unique_ptr<HttpStream>, NetError>> open(
        HttpRequest request, std::chrono::milliseconds timeout)
    {
        auto self = this->shared_from_this();
        auto message = beastRequest(std::move(request), this->server);
        auto connected = co_await this->connect(timeout);
        if (auto* error = std::get_if<NetError>(&connected))
            co_return std::move(*error);
        auto stream = std::make_unique<BeastStream>(std::move(std::get<beast::tcp_stream>(connected)));
        auto failure = co_await stream->start(message, timeout);
        if (failure)
            co_return std::move(*failure);
        co_return std::unique_ptr<HttpStream> { std::move(stream) };
    }

    const asio::any_io_executor executor;
    const Endpoint server;
    const ResponseEnd end;

private:
    asio::awaitable<std::variant<beast::tcp_stream, NetError>> connect(std::chrono::milliseconds timeout)
    {
        beast::tcp_stream connection(this->executor);
        boost::system::error_code error;
        tcp::endpoint endpoint(asio::ip::make_address(this->server.address, error), this->server.port);
        if (!error) {
            connection.expires_after(timeout);
            co_await connection.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
        }
        if (error)
            co_return NetError { NetErrorKind::ConnectFailed, false,
                toString(this->server) + ": " + error.message() };
        connection.socket().set_option(tcp::no_delay(true), error);
        co_return std::move(connection);
    }

    asio::awaitable<std::variant<HttpResponse, NetError>> roundTrip(beast::tcp_stream connection,
        const http::request<http::string_body>& message, std::chrono::milliseconds timeout)
    {
        boost::system::error_code error;
        connection.expires_after(timeout);
        co_await http::async_write(connection, message, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return netErrorFrom(error, true);
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(MaxResponseBytes);
        // The response to HEAD gives the length of a body that is not sent.
        parser.skip(message.method() == http::verb::head);
        co_await http::async_read(
            connection, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (!error && !isFinalStatus(parser.get().result_int()))
            error = http::error::bad_status;
        if (error)
            co_return netErrorFrom(error, true);
        // The system of a process that is killed closes its connections in an orderly way.
        if (this->end == ResponseEnd::Marked && parser.need_eof())
            co_return NetError { NetErrorKind::Closed, true,
                "the response has neither length nor chunks and may be truncated" };
        auto response = parser.release();
        HttpResponse result = responseHead(response);
        result.body = std::move(response.body());
        connection.expires_never();
        if (response.keep_alive() && this->idle.size() < MaxIdleConnections)
            this->idle.push_back(std::move(connection));
        co_return result;
    }

    std::vector<beast::tcp_stream> idle;
};

HttpClient::HttpClient(asio::any_io_executor executor, Endpoint server, ResponseEnd end)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(server), end))
{
}

HttpClient::~HttpClient() = default;

const Endpoint& HttpClient::server() const { return this->impl->server; }

asio::awaitable<std::variant<HttpResponse, NetError>> HttpClient::send(
    HttpRequest request, std::chrono::milliseconds timeout, bool isRepeatable)
{
    auto self = this->impl;
    co_return co_await self->send(std::move(request), timeout, isRepeatable);
}

asio::awaitable<std::variant<std::unique_ptr<HttpStream>, NetError>> HttpClient::open(
    HttpRequest request, std::chrono::milliseconds timeout)
{
    auto self = this->impl;
    co_return co_await self->open(std::move(request), timeout);
}

} // namespace peridotgrade
