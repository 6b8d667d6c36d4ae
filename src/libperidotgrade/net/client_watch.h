// Detects that a client has closed its connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace peridotgrade {

/// What is known of the client's end of a connection. Watches it while nothing is read from it, such as
/// during the handler of its request. Used on the strand of the connection.
class ClientWatch {
public:
    explicit ClientWatch(boost::asio::ip::tcp::socket& socket);

    /// Until `end`, a close by the client is noted. `owner` keeps this object alive meanwhile.
    void begin(std::shared_ptr<void> owner);
    /// Cancels what waits for the socket.
    void end();

    bool isDisconnected() const { return this->hasLeft; }
    /// `callback` is called once, when the client is first found to be disconnected; may be null.
    void setCallback(std::function<void()> callback);
    void noteDisconnected();

private:
    void waitReadable(std::shared_ptr<void> owner);
    void onReadable(std::shared_ptr<void> owner);

    boost::asio::ip::tcp::socket& socket;
    std::function<void()> callback;
    bool isWatching = false;
    bool hasLeft = false;
};

} // namespace peridotgrade
