// Accepts HTTP connections and starts a session for each.
#include "peridotgrade/net/http_server.h"

#include "http_session.h"
#include "listen_on.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridotgrade {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {
    // After a failed accept (for example without free descriptors) the next one is delayed, to avoid a busy
    // loop.
    constexpr std::chrono::milliseconds AcceptRetryDelay { 20 };
} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
public:
    Impl(asio::any_io_executor executor, HttpServerSettings settings, HttpHandler handler)
        : shared(std::make_shared<HttpSessionShared>(std::move(settings), std::move(handler)))
        , strand(asio::make_strand(executor))
        , base(std::move(executor))
        , acceptor(this->strand)
    {
    }

    std::variant<Endpoint, NetError> start()
    {
        auto bound = listenOn(this->acceptor, this->shared->settings.listen);
        if (auto size = static_cast<int>(this->shared->settings.receiveBufferBytes); size > 0) {
            // Accepted sockets inherit it, so that the window never grows beyond it.
            boost::system::error_code ignored;
            this->acceptor.set_option(asio::socket_base::receive_buffer_size(size), ignored);
        }
        if (std::holds_alternative<Endpoint>(bound))
            asio::co_spawn(this->strand, this->acceptLoop(this->shared_from_this()), asio::detached);
        return bound;
    }

    void disableKeepAlive()
    {
        this->shared->isClosing = true;
        this->shared->idle.endAll();
    }

    void stopAccepting()
    {
        this->shared->isStopping = true;
        this->shared->isClosing = true;
        asio::post(this->strand, [self = this->shared_from_this()] {
            self->acceptWaiting();
            boost::system::error_code ignored;
            self->acceptor.close(ignored);
        });
        this->shared->idle.endAll();
    }

    void refuseArriving() { this->shared->arriving.endAll(); }

    std::size_t arrivingRequests() const { return this->shared->arriving.count(); }
    std::size_t openConnections() const { return this->shared->openConnections.load(); }
    std::size_t openExchanges() const { return this->shared->openExchanges.load(); }

private:
    asio::awaitable<void> acceptLoop(std::shared_ptr<Impl>)
    {
        while (this->acceptor.is_open()) {
            boost::system::error_code error;
            auto connectionStrand = asio::make_strand(this->base);
            auto socket = co_await this->acceptor.async_accept(
                connectionStrand, asio::redirect_error(asio::use_awaitable, error));
            if (!error)
                this->serve(std::move(socket));
            if (this->shared->isStopping)
                co_return;
            if (error) {
                asio::steady_timer pause(this->strand, AcceptRetryDelay);
                co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
            }
        }
    }

    /// Clients whose connections the kernel has accepted may have sent their requests; they would be reset
    /// with the acceptor.
    void acceptWaiting()
    {
        boost::system::error_code error;
        this->acceptor.non_blocking(true, error);
        while (!error) {
            auto socket = this->acceptor.accept(asio::make_strand(this->base), error);
            if (!error)
                this->serve(std::move(socket));
        }
    }

    template <typename Socket> void serve(Socket socket)
    {
        if (this->shared->openConnections < this->shared->settings.maxConnections)
            startHttpSession(std::move(socket), this->shared);
    }

    std::shared_ptr<HttpSessionShared> shared;
    asio::strand<asio::any_io_executor> strand;
    asio::any_io_executor base;
    tcp::acceptor acceptor;
};

HttpServer::HttpServer(asio::any_io_executor executor, HttpServerSettings settings, HttpHandler handler)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(settings), std::move(handler)))
{
}

HttpServer::~HttpServer() { this->impl->stopAccepting(); }

std::variant<Endpoint, NetError> HttpServer::start() { return this->impl->start(); }

void HttpServer::disableKeepAlive() { this->impl->disableKeepAlive(); }

void HttpServer::stopAccepting() { this->impl->stopAccepting(); }

void HttpServer::refuseArriving() { this->impl->refuseArriving(); }

std::size_t HttpServer::arrivingRequests() const { return this->impl->arrivingRequests(); }

std::size_t HttpServer::openConnections() const { return this->impl->openConnections(); }

std::size_t HttpServer::openExchanges() const { return this->impl->openExchanges(); }

} // namespace peridotgrade
