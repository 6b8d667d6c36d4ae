// Datagrams over Asio.
#include "peridotgrade/gateway/peer_socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <utility>

namespace peridotgrade {

namespace asio = boost::asio;
using asio::ip::udp;

class PeerSocket::Impl : public std::enable_shared_from_this<PeerSocket::Impl> {
public:
    explicit Impl(asio::any_io_executor executor)
        : socket(std::move(executor))
    {
    }

    std::optional<NetError> listen(const Endpoint& address)
    {
        boost::system::error_code error;
        auto ip = asio::ip::make_address(address.address, error);
        udp::endpoint local { ip, address.port };
        if (!error)
            this->socket.open(local.protocol(), error);
        if (!error)
            this->socket.bind(local, error);
        if (!error)
            this->socket.non_blocking(true, error);
        if (error)
            return NetError { NetErrorKind::CannotListen, false,
                "peerListen " + toString(address) + ": " + error.message() };
        this->receive();
        return std::nullopt;
    }

    void send(const Endpoint& to, std::string_view datagram)
    {
        boost::system::error_code error;
        auto ip = asio::ip::make_address(to.address, error);
        if (!error && datagram.size() <= MaxDatagramBytes)
            this->socket.send_to(asio::buffer(datagram), udp::endpoint { ip, to.port }, 0, error);
        // The sender repeats what is not answered.
        if (error || datagram.size() > MaxDatagramBytes)
            ++this->dropped;
    }

    void receive()
    {
        this->socket.async_receive_from(asio::buffer(this->buffer), this->sender,
            [self = this->shared_from_this()](
                const boost::system::error_code& error, std::size_t size) { self->received(error, size); });
    }

    void received(const boost::system::error_code& error, std::size_t size)
    {
        if (!this->socket.is_open() || error == asio::error::operation_aborted)
            return;
        Endpoint from { this->sender.address().to_string(), this->sender.port() };
        bool isTooLarge = size > MaxDatagramBytes;
        // The kernel reports here that an earlier datagram found no listener; reading goes on.
        if (!error && !isTooLarge && this->peers.contains(from))
            this->dispatch(from, { this->buffer.data(), size });
        else if (!error)
            ++this->dropped;
        this->receive();
    }

    void dispatch(const Endpoint& from, std::string_view datagram)
    {
        auto found = datagram.empty() ? this->handlers.end()
                                      : this->handlers.find(static_cast<std::uint8_t>(datagram.front()));
        const Handler& handler = found == this->handlers.end() ? this->defaultHandler : found->second;
        if (handler)
            handler(from, datagram);
        else
            ++this->dropped;
    }

    udp::socket socket;
    /// By first byte.
    std::map<std::uint8_t, Handler> handlers;
    Handler defaultHandler;
    std::set<Endpoint> peers;
    udp::endpoint sender;
    /// One byte longer than a datagram may be, so that longer ones are noticed.
    std::array<char, MaxDatagramBytes + 1> buffer {};
    std::uint64_t dropped = 0;
};

PeerSocket::PeerSocket(asio::any_io_executor executor)
    : impl(std::make_shared<Impl>(std::move(executor)))
{
}

PeerSocket::~PeerSocket()
{
    boost::system::error_code ignored;
    this->impl->socket.close(ignored);
}

std::optional<NetError> PeerSocket::listen(const Endpoint& address) { return this->impl->listen(address); }

void PeerSocket::setHandler(std::uint8_t firstByte, Handler handler)
{
    this->impl->handlers[firstByte] = std::move(handler);
}

void PeerSocket::setDefaultHandler(Handler handler) { this->impl->defaultHandler = std::move(handler); }

void PeerSocket::setPeers(std::set<Endpoint> peers) { this->impl->peers = std::move(peers); }

void PeerSocket::send(const Endpoint& to, std::string_view datagram) { this->impl->send(to, datagram); }

std::uint64_t PeerSocket::dropped() const { return this->impl->dropped; }

} // namespace peridotgrade
