// One connection of the HTTP server: reads requests, enforces limits, runs the handler.
#include "http_session.h"

#include "beast_convert.h"
#include "client_watch.h"
#include "response_writer.h"
#include "session_messages.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <optional>

namespace peridotgrade {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

    class HttpSession final : public HttpExchange, public std::enable_shared_from_this<HttpSession> {
    public:
        HttpSession(tcp::socket socket, std::shared_ptr<HttpSessionShared> shared)
            : stream(std::move(socket))
            , shared(std::move(shared))
            , writer(this->stream.socket(), this->shared->settings.writeTimeout)
            , watch(this->stream.socket())
            , bodyShare(this->shared->settings.bodyMemory.get())
        {
            ++this->shared->openConnections;
            boost::system::error_code error;
            tcp::endpoint client = this->stream.socket().remote_endpoint(error);
            if (!error)
                this->client = client.address().to_string();
        }

        ~HttpSession() override { --this->shared->openConnections; }

        asio::awaitable<void> run(std::shared_ptr<HttpSession>)
        {
            boost::system::error_code ignored;
            this->stream.socket().set_option(tcp::no_delay(true), ignored);
            auto sendBuffer = static_cast<int>(this->shared->settings.sendBufferBytes);
            if (sendBuffer > 0)
                this->stream.socket().set_option(asio::socket_base::send_buffer_size(sendBuffer), ignored);
            bool hasRequest = co_await this->readRequest();
            while (hasRequest) {
                ++this->shared->openExchanges;
                co_await this->serve();
                --this->shared->openExchanges;
                this->current = HttpRequest {};
                this->bodyShare.release();
                if (!this->keepAlive)
                    break;
                hasRequest = co_await this->readRequest();
            }
            this->reportDropped();
            this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        }

        const HttpRequest& request() const override { return this->current; }
        std::string takeBody() override { return std::exchange(this->current.body, {}); }
        std::string clientAddress() const override { return this->client; }

        asio::awaitable<bool> respond(HttpResponse response) override
        {
            this->isAnswered = true;
            co_return this->finishWrite(
                co_await this->writer.write(std::move(response), this->responseContext()));
        }

        asio::awaitable<bool> beginStream(HttpResponse response) override
        {
            this->isAnswered = true;
            co_return this->finishWrite(
                co_await this->writer.begin(std::move(response), this->responseContext()));
        }

        asio::awaitable<bool> writeChunk(std::string chunk) override
        {
            if (this->watch.isDisconnected())
                co_return false;
            co_return this->finishWrite(co_await this->writer.writeChunk(std::move(chunk)));
        }

        asio::awaitable<bool> endStream() override
        {
            if (this->watch.isDisconnected())
                co_return false;
            co_return this->finishWrite(co_await this->writer.end());
        }

        void abort() override
        {
            this->keepAlive = false;
            this->isAnswered = true;
            this->watch.setCallback(nullptr);
            this->watch.noteDisconnected();
            boost::system::error_code ignored;
            this->stream.socket().close(ignored);
        }

        void onClientDisconnect(std::function<void()> callback) override
        {
            this->watch.setCallback(std::move(callback));
        }

        asio::any_io_executor executor() override { return this->stream.get_executor(); }

    private:
        /// `Stopped`: the server no longer waits for the rest of the request.
        enum class ReadEnd : std::uint8_t { Complete, Failed, NoMemory, Stopped };

        struct MessageRead {
            ReadEnd end;
            /// Why it has failed.
            boost::system::error_code error;
        };

        /// Of the response that begins now. Afterwards `keepAlive` is what the client is told.
        ResponseContext responseContext()
        {
            this->keepAlive = this->keepAlive && !this->shared->isClosing;
            return { this->current.method == "HEAD", this->keepAlive };
        }

        bool finishWrite(const boost::system::error_code& error)
        {
            if (!error)
                return true;
            // The kernel drops what the client has not read, instead of keeping it after the connection.
            boost::system::error_code ignored;
            this->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
            this->stream.socket().close(ignored);
            this->keepAlive = false;
            this->watch.noteDisconnected();
            return false;
        }

        void reportRefused(std::uint16_t status, const std::string& detail) const
        {
            if (this->shared->settings.onRequestRefused)
                this->shared->settings.onRequestRefused({ this->client, status, detail });
        }

        void reportDropped()
        {
            bool wasTold = !this->keepAlive || this->watch.isDisconnected();
            if (this->buffer.size() == 0 || wasTold || !this->shared->settings.onRequestDropped)
                return;
            this->shared->settings.onRequestDropped(
                { this->client, this->buffer.size(), this->shared->isClosing });
        }

        /// Waits for the next request. False at the end of the connection.
        asio::awaitable<bool> readRequest()
        {
            if (this->buffer.size() == 0) {
                bool hasBegun = co_await this->waitForFirstByte();
                if (!hasBegun)
                    co_return false;
            }
            auto [end, error] = co_await this->readMessage();
            if (end == ReadEnd::Complete) {
                this->parseRequest();
                co_return true;
            }
            if (end == ReadEnd::Failed)
                co_await this->refuse(error);
            else
                co_await this->refuseUnread(
                    end == ReadEnd::Stopped ? UnreadReason::Stopping : UnreadReason::NoMemory);
            co_return false;
        }

        asio::awaitable<MessageRead> readMessage()
        {
            this->stream.expires_never();
            this->parser.emplace();
            this->parser->header_limit(this->shared->settings.maxHeaderBytes);
            this->parser->body_limit(this->shared->settings.maxBodyBytes);
            auto end = std::make_shared<std::optional<ReadEnd>>();
            // A time-out of the stream itself would close the socket, and the client would get no status.
            auto cancelFor = [end](ReadEnd reason) {
                return [end, reason](HttpSession& self) {
                    if (end->has_value())
                        return;
                    *end = reason;
                    self.stream.cancel();
                };
            };
            SessionWaits::Member arriving(
                this->shared->arriving, this->onStrand(cancelFor(ReadEnd::Stopped)));
            asio::steady_timer limit(this->stream.get_executor(), this->shared->settings.readTimeout);
            limit.async_wait([self = this->shared_from_this(), cancel = cancelFor(ReadEnd::Failed)](
                                 const boost::system::error_code& aborted) {
                if (!aborted)
                    cancel(*self);
            });
            boost::system::error_code error;
            co_await http::async_read_header(
                this->stream, this->buffer, *this->parser, asio::redirect_error(asio::use_awaitable, error));
            if (!error && !hasUnambiguousFraming(this->parser->get()))
                error = http::error::bad_transfer_encoding;
            bool hasMemory = !error && this->bodyShare.tryAdd(this->parser->content_length().value_or(0));
            this->parser->eager(true);
            while (!error && hasMemory && !this->parser->is_done()) {
                std::size_t before = this->parser->get().body().capacity();
                co_await http::async_read_some(this->stream, this->buffer, *this->parser,
                    asio::redirect_error(asio::use_awaitable, error));
                if (this->parser->chunked())
                    hasMemory = this->bodyShare.tryAdd(this->parser->get().body().capacity() - before);
            }
            limit.cancel();
            auto cancelled = std::exchange(*end, ReadEnd::Complete);
            if (error && cancelled == ReadEnd::Failed)
                error = beast::error::timeout;
            if (error)
                co_return MessageRead { cancelled.value_or(ReadEnd::Failed), error };
            co_return MessageRead { hasMemory ? ReadEnd::Complete : ReadEnd::NoMemory, error };
        }

        asio::awaitable<bool> waitForFirstByte()
        {
            bool isNew = std::exchange(this->isFirstRequest, false);
            if (isNew && this->shared->isStopping)
                co_return co_await this->waitForLastRequest();
            if (!isNew && this->shared->isClosing)
                co_return co_await this->readArrived();
            boost::system::error_code error
                = co_await this->readFirstBytes(this->shared->settings.idleTimeout, this->shared->idle);
            bool isEnding = error == asio::error::operation_aborted && this->shared->isClosing;
            if (!isEnding)
                co_return !error;
            if (isNew)
                co_return co_await this->waitForLastRequest();
            co_return co_await this->readArrived();
        }

        /// A request may have arrived just before the connection is closed.
        asio::awaitable<bool> readArrived()
        {
            boost::system::error_code error;
            bool hasArrived = this->stream.socket().available(error) > 0;
            if (!hasArrived)
                co_return false;
            error = co_await this->readFirstBytes(LastRequestTime, this->shared->arriving);
            co_return !error;
        }

        /// A client that has just connected is about to send a request.
        asio::awaitable<bool> waitForLastRequest()
        {
            auto error = co_await this->readFirstBytes(LastRequestTime, this->shared->arriving);
            co_return !error;
        }

        asio::awaitable<boost::system::error_code> readFirstBytes(
            std::chrono::milliseconds timeout, SessionWaits& waits)
        {
            auto isWaiting = std::make_shared<bool>(true);
            SessionWaits::Member member(waits, this->onStrand([isWaiting](HttpSession& self) {
                // A request may have begun to arrive since; its read must not be cancelled.
                if (*isWaiting)
                    self.stream.cancel();
            }));
            this->stream.expires_after(timeout);
            boost::system::error_code error;
            auto space = this->buffer.prepare(ReadSize);
            std::size_t size = co_await this->stream.async_read_some(
                space, asio::redirect_error(asio::use_awaitable, error));
            *isWaiting = false;
            this->buffer.commit(size);
            co_return error;
        }

        /// A function for any thread that calls `action` on the strand, if the session still exists.
        std::function<void()> onStrand(std::function<void(HttpSession&)> action)
        {
            std::weak_ptr<HttpSession> weak = this->shared_from_this();
            return [weak, executor = this->stream.get_executor(), action = std::move(action)] {
                asio::post(executor, [weak, action] {
                    if (auto self = weak.lock())
                        action(*self);
                });
            };
        }

        asio::awaitable<void> refuse(const boost::system::error_code& error)
        {
            NetError netError = netErrorFrom(error, true);
            if (netError.kind == NetErrorKind::Closed) {
                this->watch.noteDisconnected();
                co_return;
            }
            this->keepAlive = false;
            this->current.method = std::string { this->parser->get().method_string() };
            HttpResponse response = errorResponse(statusFor(error, netError.kind), netError.detail);
            this->reportRefused(response.status, netError.detail);
            response.fields = this->shared->settings.refusalFields;
            co_await this->respondUnread(std::move(response));
        }

        asio::awaitable<void> refuseUnread(UnreadReason reason)
        {
            this->parseRequest();
            this->keepAlive = false;
            this->current.body = {};
            this->bodyShare.release();
            HttpResponse response = errorResponse(503, "the request was not read");
            response.fields.push_back({ "Retry-After", "1" });
            if (this->shared->settings.unreadResponse)
                response = this->shared->settings.unreadResponse(this->current, reason);
            co_await this->respondUnread(std::move(response));
        }

        /// Responds to a request that has not been read to its end. A connection that is closed with unread
        /// bytes is reset, and a client that still sends might not see the response. So what arrives is
        /// discarded until the client closes, within the limits of a request.
        asio::awaitable<void> respondUnread(HttpResponse response)
        {
            this->parser.reset();
            bool isSent = co_await this->respond(std::move(response));
            if (!isSent)
                co_return;
            boost::system::error_code error;
            this->stream.socket().shutdown(tcp::socket::shutdown_send, error);
            this->stream.expires_after(this->shared->settings.readTimeout);
            std::uint64_t discarded = this->buffer.size();
            while (!error && discarded <= this->shared->settings.maxBodyBytes) {
                this->buffer.clear();
                discarded += co_await this->stream.async_read_some(
                    this->buffer.prepare(ReadSize), asio::redirect_error(asio::use_awaitable, error));
            }
        }

        void parseRequest()
        {
            auto message = this->parser->release();
            this->keepAlive = message.keep_alive();
            this->current = requestFrom(std::move(message));
            this->isAnswered = false;
            this->watch.setCallback(nullptr);
        }

        asio::awaitable<void> serve()
        {
            this->watch.begin(this->shared_from_this());
            try {
                co_await this->shared->handler(*this);
            } catch (const std::exception&) {
                this->keepAlive = false;
            }
            this->watch.setCallback(nullptr);
            this->watch.end();
            if (!this->isAnswered && !this->watch.isDisconnected()) {
                constexpr std::uint16_t InternalError = 500;
                this->reportRefused(InternalError, "the handler has failed");
                co_await this->respond(errorResponse(InternalError, "the request was not handled"));
            }
        }

        static constexpr std::size_t ReadSize = 4096;
        // A client sends its request within a round trip after it has connected.
        static constexpr std::chrono::milliseconds LastRequestTime { 500 };

        beast::tcp_stream stream;
        std::shared_ptr<HttpSessionShared> shared;
        ResponseWriter writer;
        ClientWatch watch;
        beast::flat_buffer buffer;
        std::optional<http::request_parser<http::string_body>> parser;
        HttpRequest current;
        /// Memory of the body that is being read, or of the request that is being served.
        BodyMemory::Share bodyShare;
        std::string client;
        bool keepAlive = true;
        bool isFirstRequest = true;
        bool isAnswered = false;
    };

} // namespace

void startHttpSession(tcp::socket socket, std::shared_ptr<HttpSessionShared> shared)
{
    auto executor = socket.get_executor();
    auto session = std::make_shared<HttpSession>(std::move(socket), std::move(shared));
    asio::co_spawn(executor, session->run(session), asio::detached);
}

} // namespace peridotgrade
