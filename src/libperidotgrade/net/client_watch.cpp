// Waits for a connection to become readable and looks for its end.
#include "client_watch.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace peridotgrade {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

ClientWatch::ClientWatch(tcp::socket& socket)
    : socket(socket)
{
}

void ClientWatch::begin(std::shared_ptr<void> owner)
{
    this->isWatching = true;
    this->waitReadable(std::move(owner));
}

void ClientWatch::end()
{
    this->isWatching = false;
    boost::system::error_code ignored;
    this->socket.cancel(ignored);
}

void ClientWatch::setCallback(std::function<void()> newCallback) { this->callback = std::move(newCallback); }

void ClientWatch::noteDisconnected()
{
    if (std::exchange(this->hasLeft, true))
        return;
    if (auto call = std::exchange(this->callback, nullptr))
        call();
}

void ClientWatch::waitReadable(std::shared_ptr<void> owner)
{
    this->socket.async_wait(tcp::socket::wait_read,
        [this, owner = std::move(owner)](const boost::system::error_code& error) mutable {
            if (!error && this->isWatching)
                this->onReadable(std::move(owner));
        });
}

void ClientWatch::onReadable(std::shared_ptr<void> owner)
{
    // With several threads the wait also ends for bytes that were read before it began, so only the socket
    // itself shows whether the client has closed it.
    char next = 0;
    boost::system::error_code error;
    this->socket.non_blocking(true, error);
    this->socket.receive(asio::buffer(&next, 1), tcp::socket::message_peek, error);
    if (error == asio::error::would_block)
        this->waitReadable(std::move(owner));
    else if (error)
        this->noteDisconnected();
}

} // namespace peridotgrade
