// Accepts incoming frame connections.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/frame_connection.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <variant>

namespace peridotgrade {

/// Listens for peers and passes each accepted connection to `onAccept`, which calls `start` on it. Thread
/// safe.
class FrameServer {
public:
    using AcceptHandler = std::function<void(std::shared_ptr<FrameConnection>)>;

    FrameServer(boost::asio::any_io_executor executor, Endpoint listen, FrameSettings settings,
        AcceptHandler onAccept);
    ~FrameServer();
    FrameServer(const FrameServer&) = delete;
    FrameServer& operator=(const FrameServer&) = delete;

    /// Starts listening; returns the endpoint with the actual port.
    std::variant<Endpoint, NetError> start();
    /// Stops accepting connections; open ones continue.
    void stopAccepting();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
