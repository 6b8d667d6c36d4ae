// Opens outgoing frame connections.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/frame_connection.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <variant>

namespace peridotgrade {

using ConnectResult = std::variant<std::shared_ptr<FrameConnection>, NetError>;

/// Connects to a peer and calls `onResult` once, on the connection's strand, within the connect time-out.
void connectFrames(boost::asio::any_io_executor executor, const Endpoint& peer, const FrameSettings& settings,
    std::function<void(ConnectResult)> onResult);

} // namespace peridotgrade
