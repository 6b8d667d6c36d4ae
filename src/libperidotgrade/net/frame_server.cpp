// Accepts frame connections, with a delay after errors.
#include "peridotgrade/net/frame_server.h"

#include "frame_socket.h"
#include "listen_on.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace peridotgrade {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {
    // After a failed accept (for example without free descriptors) the next one is delayed, to avoid a busy
    // loop.
    constexpr std::chrono::milliseconds AcceptRetryDelay { 20 };
} // namespace

class FrameServer::Impl : public std::enable_shared_from_this<FrameServer::Impl> {
public:
    Impl(asio::any_io_executor executor, Endpoint listen, FrameSettings settings, AcceptHandler onAccept)
        : base(std::move(executor))
        , strand(asio::make_strand(this->base))
        , acceptor(this->strand)
        , pause(this->strand)
        , listen(std::move(listen))
        , settings(settings)
        , onAccept(std::move(onAccept))
    {
    }

    std::variant<Endpoint, NetError> start()
    {
        auto bound = listenOn(this->acceptor, this->listen);
        if (std::holds_alternative<Endpoint>(bound))
            asio::post(this->strand, [self = this->shared_from_this()] { self->accept(); });
        return bound;
    }

    void stop()
    {
        asio::post(this->strand, [self = this->shared_from_this()] {
            boost::system::error_code ignored;
            self->acceptor.close(ignored);
            self->pause.cancel();
        });
    }

private:
    void accept()
    {
        if (!this->acceptor.is_open())
            return;
        auto connectionStrand = asio::make_strand(this->base);
        this->acceptor.async_accept(connectionStrand,
            [self = this->shared_from_this()](const boost::system::error_code& error, auto socket) {
                self->onAccepted(error, tcp::socket(std::move(socket)));
            });
    }

    void onAccepted(const boost::system::error_code& error, tcp::socket socket)
    {
        if (!this->acceptor.is_open())
            return;
        if (error) {
            this->pause.expires_after(AcceptRetryDelay);
            this->pause.async_wait(
                [self = this->shared_from_this()](const boost::system::error_code&) { self->accept(); });
            return;
        }
        this->onAccept(std::make_shared<FrameSocket>(std::move(socket), this->settings));
        this->accept();
    }

    asio::any_io_executor base;
    asio::strand<asio::any_io_executor> strand;
    tcp::acceptor acceptor;
    asio::steady_timer pause;
    const Endpoint listen;
    const FrameSettings settings;
    const AcceptHandler onAccept;
};

FrameServer::FrameServer(
    asio::any_io_executor executor, Endpoint listen, FrameSettings settings, AcceptHandler onAccept)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(listen), settings, std::move(onAccept)))
{
}

FrameServer::~FrameServer() { this->impl->stop(); }

std::variant<Endpoint, NetError> FrameServer::start() { return this->impl->start(); }

void FrameServer::stopAccepting() { this->impl->stop(); }

} // namespace peridotgrade
