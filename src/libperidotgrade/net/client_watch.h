// Detects that a client has closed its connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace peridotgrade {

/// Watches a connection while nothing is read from it, such as during the handler of its request. Used on the
/// strand of the connection.
class ClientWatch {
public:
    explicit ClientWatch(boost::asio::ip::tcp::socket& socket);

    /// Calls `onDisconnect` once if the client closes before `end`. `owner` keeps this object alive
    /// meanwhile.
    void begin(std::shared_ptr<void> owner, std::function<void()> onDisconnect);
    /// Cancels what waits for the socket.
    void end();

private:
    void waitReadable(std::shared_ptr<void> owner);
    void onReadable(std::shared_ptr<void> owner);

    boost::asio::ip::tcp::socket& socket;
    std::function<void()> onDisconnect;
    bool isWatching = false;
};

} // namespace peridotgrade
