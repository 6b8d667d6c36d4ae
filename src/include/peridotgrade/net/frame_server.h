// Accepts frame connections.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/frame_connection.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <variant>

namespace peridotgrade {

/// Listens for peers. Each accepted connection is handed to `onAccept`, which calls `start` on it. Thread
/// safe.
class FrameServer {
public:
    using AcceptHandler = std::function<void(std::shared_ptr<FrameConnection>)>;

    FrameServer(boost::asio::any_io_executor executor, Endpoint listen, FrameSettings settings,
        AcceptHandler onAccept);
    ~FrameServer();
    FrameServer(const FrameServer&) = delete;
    FrameServer& operator=(const FrameServer&) = delete;

    /// Listens; gives the endpoint with the port that is in use.
    std::variant<Endpoint, NetError> start();
    /// Accepts nothing more; open connections go on.
    void stopAccepting();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
