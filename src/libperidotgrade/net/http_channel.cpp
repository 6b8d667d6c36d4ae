// Pooled client connections over Boost.Beast.
#include "peridotgrade/net/http_channel.h"

#include "beast_convert.h"
#include "peridotgrade/net/timer_driver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <optional>

namespace peridotgrade {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

    // Idle connections beyond this number are closed.
    constexpr std::size_t MaxIdleConnections = 16;
    constexpr std::size_t ReadBytes = 16 * 1024;
    // Bytes that have been received and belong to no body: fields, chunk extensions and trailers.
    constexpr std::size_t MaxBufferBytes = 64 * 1024;
    // Interim responses (status 100 to 199) before one actual response; a server sends one or two.
    constexpr std::uint32_t MaxInterimResponses = 8;
    // An idle connection is used for at most half of the time for which the server keeps it, so that no
    // request is sent while the server closes it.
    constexpr int KeepAliveDivisor = 2;
    // Time for which a server that names none is assumed to keep an idle connection.
    constexpr std::chrono::milliseconds DefaultKeepAlive { 4000 };

    /// Status 101 ends the protocol on its connection, which no request asks for.
    bool isInterim(unsigned status) { return status >= 100 && status <= 199 && status != 101; }

    /// Value of `timeout=` in a Keep-Alive field.
    std::optional<std::chrono::seconds> parseKeepAliveTimeout(std::string_view value)
    {
        constexpr std::string_view Key = "timeout=";
        std::size_t at = value.find(Key);
        if (at == std::string_view::npos)
            return std::nullopt;
        std::string_view digits = value.substr(at + Key.size());
        int seconds = 0;
        auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
        if (status != std::errc {})
            return std::nullopt;
        return std::chrono::seconds { seconds };
    }

    class BeastChannel final : public HttpChannel, public std::enable_shared_from_this<BeastChannel> {
    public:
        BeastChannel(beast::tcp_stream connected, Endpoint server)
            : stream(std::move(connected))
            , server(std::move(server))
        {
        }

        void send(HttpRequest request, SharedBody body) override
        {
            this->isHead = request.method == "HEAD";
            this->outgoing.emplace();
            fillRequestHead(*this->outgoing, request, this->server);
            if (body)
                this->outgoing->body() = { body->data(), body->size() };
            this->outgoing->prepare_payload();
            this->writeState = RequestWriteState::InProgress;
            this->hasBegun = false;
            this->isConnectionReused = this->exchanges++ > 0;
            this->stream.expires_never();
            http::async_write(this->stream, *this->outgoing,
                [self = this->shared_from_this(), body = std::move(body)](
                    const boost::system::error_code& error, std::size_t) {
                    self->writeState = error ? RequestWriteState::Failed : RequestWriteState::Written;
                    self->wasReset = error == asio::error::connection_reset;
                    self->outgoing.reset();
                });
        }

        asio::awaitable<std::variant<HttpResponse, NetError>> readHead(Duration timeout) override
        {
            auto self = this->shared_from_this();
            TimePoint deadline = TimerDriver::now() + timeout;
            for (std::uint32_t interim = 0;; ++interim) {
                this->parser.emplace();
                this->parser->body_limit(boost::none);
                this->parser->skip(this->isHead);
                boost::system::error_code error;
                this->expireAt(deadline);
                co_await http::async_read_header(this->stream, this->buffer, *this->parser,
                    asio::redirect_error(asio::use_awaitable, error));
                this->hasBegun = this->hasBegun || this->parser->got_some();
                if (error)
                    co_return this->fail(error);
                unsigned status = this->parser->get().result_int();
                if (!isFinalStatus(status) && !isInterim(status))
                    co_return this->fail(http::error::bad_status);
                // An interim response is followed by the actual one.
                if (!isInterim(status))
                    break;
                if (interim == MaxInterimResponses)
                    co_return this->fail(http::error::header_limit);
                if (TimerDriver::now() >= deadline)
                    co_return this->fail(beast::error::timeout);
            }
            const auto& head = this->parser->get();
            HttpResponse response;
            response.status = static_cast<std::uint16_t>(head.result_int());
            response.contentType.clear();
            response.fields = fieldsFrom(head);
            this->keepAliveTimeout = parseKeepAliveTimeout(head[http::field::keep_alive]);
            co_return response;
        }

        BodyFraming framing() const override
        {
            if (this->parser->need_eof())
                return BodyFraming::ConnectionEnd;
            return this->parser->chunked() ? BodyFraming::Chunked : BodyFraming::Length;
        }

        RequestWriteState requestWriteState() const override { return this->writeState; }

        asio::awaitable<std::variant<std::string, NetError>> readBody(Duration timeout) override
        {
            auto self = this->shared_from_this();
            TimePoint deadline = TimerDriver::now() + timeout;
            while (!this->parser->is_done()) {
                std::string space(ReadBytes, '\0');
                this->parser->get().body().data = space.data();
                this->parser->get().body().size = space.size();
                this->parser->get().body().more = true;
                boost::system::error_code error;
                this->expireAt(deadline);
                co_await http::async_read_some(this->stream, this->buffer, *this->parser,
                    asio::redirect_error(asio::use_awaitable, error));
                std::size_t size = space.size() - this->parser->get().body().size;
                if (size > 0 && (!error || error == http::error::need_buffer)) {
                    space.resize(size);
                    co_return space;
                }
                if (error && error != http::error::need_buffer)
                    co_return this->fail(error);
                if (TimerDriver::now() >= deadline && !this->parser->is_done())
                    co_return this->fail(beast::error::timeout);
            }
            if (this->wasReset && this->parser->need_eof())
                co_return this->fail(asio::error::connection_reset);
            co_return std::string {};
        }

        void close() override
        {
            this->isClosed = true;
            boost::system::error_code ignored;
            this->stream.socket().close(ignored);
        }

        ConnectionState state() const override
        {
            if (this->isClosed)
                return this->isPeerClosed ? ConnectionState::PeerClosed : ConnectionState::Lost;
            if (this->buffer.size() > 0)
                return ConnectionState::Lost;
            boost::system::error_code error = this->peek();
            if (error == asio::error::would_block)
                return ConnectionState::Open;
            return error == asio::error::eof ? ConnectionState::PeerClosed : ConnectionState::Lost;
        }

        void forbidReuse() override { this->isLast = true; }

        bool isReused() const override { return this->isConnectionReused; }
        TimePoint openedAt() const override { return this->opened; }
        bool hasAnswerBegun() const override { return this->hasBegun; }

        bool isReusable() const override
        {
            bool isWritten = this->writeState == RequestWriteState::Written;
            bool isComplete
                = !this->isClosed && !this->isLast && isWritten && this->parser && this->parser->is_done();
            return isComplete && this->parser->get().keep_alive() && this->buffer.size() == 0;
        }

        void markIdle(TimePoint now)
        {
            this->idleSince = now;
            this->stream.expires_never();
        }

        /// True if it can carry another request now.
        bool isUsable(Duration maxIdle, TimePoint now)
        {
            Duration limit = maxIdle;
            Duration kept = this->keepAliveTimeout ? Duration { *this->keepAliveTimeout } : DefaultKeepAlive;
            limit = std::min(limit, kept / KeepAliveDivisor);
            if (this->isClosed || now - this->idleSince > limit)
                return false;
            // Anything readable now is the end of the connection, or bytes that belong to no request.
            return this->peek() == asio::error::would_block;
        }

    private:
        /// The error of a read that does not wait; none if there are bytes to read.
        boost::system::error_code peek() const
        {
            char next = 0;
            boost::system::error_code error;
            this->stream.socket().non_blocking(true, error);
            this->stream.socket().receive(asio::buffer(&next, 1), tcp::socket::message_peek, error);
            return error;
        }

        /// A time that has passed expires at once; zero would mean no time-out.
        void expireAt(TimePoint deadline)
        {
            this->stream.expires_after(
                std::max<Duration>(deadline - TimerDriver::now(), std::chrono::milliseconds { 1 }));
        }

        NetError fail(const boost::system::error_code& error)
        {
            this->isPeerClosed = error == http::error::end_of_stream;
            this->close();
            return netErrorFrom(error, true);
        }

        /// Mutable, since a look at the socket sets its mode.
        mutable beast::tcp_stream stream;
        Endpoint server;
        beast::flat_buffer buffer { MaxBufferBytes };
        /// Present while it is being written; refers to a body that the write operation holds.
        std::optional<http::request<http::span_body<const char>>> outgoing;
        std::optional<http::response_parser<http::buffer_body>> parser;
        std::optional<std::chrono::seconds> keepAliveTimeout;
        const TimePoint opened = TimerDriver::now();
        TimePoint idleSince {};
        std::uint32_t exchanges = 0;
        bool isHead = false;
        RequestWriteState writeState = RequestWriteState::InProgress;
        /// The write of the request met a reset. The system reports it once, so a read sees an orderly end
        /// then.
        bool wasReset = false;
        bool hasBegun = false;
        bool isConnectionReused = false;
        bool isClosed = false;
        bool isPeerClosed = false;
        bool isLast = false;
    };

} // namespace

class HttpChannelPool::Impl {
public:
    Impl(asio::any_io_executor executor, Endpoint server, HttpChannelSettings settings)
        : executor(std::move(executor))
        , server(std::move(server))
        , settings(settings)
    {
    }

    std::shared_ptr<BeastChannel> takeIdle(Duration maxIdle, TimePoint now)
    {
        while (!this->idle.empty()) {
            auto channel = std::move(this->idle.back());
            this->idle.pop_back();
            if (channel->isUsable(maxIdle, now))
                return channel;
            channel->close();
        }
        return nullptr;
    }

    asio::awaitable<Opened> connect(Duration timeout)
    {
        beast::tcp_stream connection(this->executor);
        boost::system::error_code error;
        tcp::endpoint endpoint(asio::ip::make_address(this->server.address, error), this->server.port);
        if (!error) {
            connection.expires_after(timeout);
            this->boundBuffers(connection.socket(), endpoint.protocol());
            co_await connection.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
        }
        if (error) {
            bool isRefused = error == asio::error::connection_refused;
            co_return NetError { isRefused ? NetErrorKind::ConnectRefused : NetErrorKind::ConnectFailed,
                false, toString(this->server) + ": " + error.message() };
        }
        connection.socket().set_option(tcp::no_delay(true), error);
        std::shared_ptr<HttpChannel> channel
            = std::make_shared<BeastChannel>(std::move(connection), this->server);
        co_return channel;
    }

    /// The sizes hold from the first packet, so that the window never grows beyond them. A socket that cannot
    /// be opened or set fails or works like any other.
    void boundBuffers(tcp::socket& socket, const tcp& protocol) const
    {
        if (this->settings.socketBufferBytes == 0)
            return;
        auto size = static_cast<int>(this->settings.socketBufferBytes);
        boost::system::error_code ignored;
        socket.open(protocol, ignored);
        socket.set_option(asio::socket_base::send_buffer_size(size), ignored);
        socket.set_option(asio::socket_base::receive_buffer_size(size), ignored);
    }

    const asio::any_io_executor executor;
    const Endpoint server;
    const HttpChannelSettings settings;
    /// Invariant: each was reusable when it was added; the newest is last.
    std::deque<std::shared_ptr<BeastChannel>> idle;
};

HttpChannelPool::HttpChannelPool(
    asio::any_io_executor executor, Endpoint server, HttpChannelSettings settings)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(server), settings))
{
}

HttpChannelPool::~HttpChannelPool() { this->clear(); }

const Endpoint& HttpChannelPool::server() const { return this->impl->server; }

asio::awaitable<HttpChannelPool::Opened> HttpChannelPool::open(Duration maxIdle, Duration connectTimeout)
{
    auto self = this->impl;
    if (auto kept = self->takeIdle(maxIdle, TimerDriver::now()))
        co_return std::shared_ptr<HttpChannel> { std::move(kept) };
    co_return co_await self->connect(connectTimeout);
}

asio::awaitable<HttpChannelPool::Opened> HttpChannelPool::openNew(Duration connectTimeout)
{
    auto self = this->impl;
    co_return co_await self->connect(connectTimeout);
}

void HttpChannelPool::release(std::shared_ptr<HttpChannel> channel)
{
    auto kept = std::static_pointer_cast<BeastChannel>(std::move(channel));
    if (!kept->isReusable()) {
        kept->close();
        return;
    }
    kept->markIdle(TimerDriver::now());
    this->impl->idle.push_back(std::move(kept));
    if (this->impl->idle.size() > MaxIdleConnections) {
        this->impl->idle.front()->close();
        this->impl->idle.pop_front();
    }
}

void HttpChannelPool::clear()
{
    for (const auto& channel : this->impl->idle)
        channel->close();
    this->impl->idle.clear();
}

} // namespace peridotgrade
