// Connects to a peer, with a time-out.
#include "peridotgrade/net/frame_client.h"

#include "frame_socket.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace peridotgrade {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

    /// One attempt to connect: the connection or the timer, whichever ends first, decides the result.
    class ConnectAttempt : public std::enable_shared_from_this<ConnectAttempt> {
    public:
        ConnectAttempt(asio::any_io_executor executor, Endpoint peer, FrameSettings settings,
            std::function<void(ConnectResult)> onResult)
            : strand(asio::make_strand(std::move(executor)))
            , socket(this->strand)
            , timer(this->strand)
            , peer(std::move(peer))
            , settings(settings)
            , onResult(std::move(onResult))
        {
        }

        void start()
        {
            asio::post(this->strand, [self = this->shared_from_this()] { self->connect(); });
        }

    private:
        void connect()
        {
            boost::system::error_code error;
            tcp::endpoint endpoint(asio::ip::make_address(this->peer.address, error), this->peer.port);
            if (error) {
                this->finish(error);
                return;
            }
            this->timer.expires_after(this->settings.connectTimeout);
            this->timer.async_wait(
                [self = this->shared_from_this()](const boost::system::error_code& stopped) {
                    if (!stopped)
                        self->finish(asio::error::timed_out);
                });
            this->socket.async_connect(
                endpoint, [self = this->shared_from_this()](const boost::system::error_code& result) {
                    self->finish(result);
                });
        }

        void finish(const boost::system::error_code& error)
        {
            if (!this->onResult)
                return;
            auto report = std::move(this->onResult);
            this->onResult = nullptr;
            this->timer.cancel();
            if (!error) {
                report(std::make_shared<FrameSocket>(std::move(this->socket), this->settings));
                return;
            }
            boost::system::error_code ignored;
            this->socket.close(ignored);
            report(NetError {
                NetErrorKind::ConnectFailed, false, toString(this->peer) + ": " + error.message() });
        }

        asio::strand<asio::any_io_executor> strand;
        tcp::socket socket;
        asio::steady_timer timer;
        const Endpoint peer;
        const FrameSettings settings;
        std::function<void(ConnectResult)> onResult;
    };

} // namespace

void connectFrames(asio::any_io_executor executor, const Endpoint& peer, const FrameSettings& settings,
    std::function<void(ConnectResult)> onResult)
{
    std::make_shared<ConnectAttempt>(std::move(executor), peer, settings, std::move(onResult))->start();
}

} // namespace peridotgrade
