// Connections of entry shards to an agent.
#pragma once

#include "peridotgrade/core/hosting/host_action.h"
#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/frame_connection.h"
#include "peridotgrade/ops/hybrid_clock.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <variant>

namespace peridotgrade {

/// Callbacks for connection events. Calls for one connection are made in order; those for different
/// connections may be concurrent.
struct AgentConnectionHandlers {
    std::function<void(ConnectionId)> onConnected;
    std::function<void(ConnectionId, const EntryMessage&)> onMessage;
    std::function<void(ConnectionId)> onDisconnected;
};

/// Accepts entry shards, assigns ids to their connections, and decodes and encodes messages. The connection
/// of a peer that sends an invalid message is closed. All functions are thread safe.
class AgentConnections {
public:
    AgentConnections(boost::asio::any_io_executor executor, Endpoint listen, FrameSettings settings,
        HybridClock& clock, AgentConnectionHandlers handlers);
    ~AgentConnections();
    AgentConnections(const AgentConnections&) = delete;
    AgentConnections& operator=(const AgentConnections&) = delete;

    /// Starts listening and returns the endpoint with the actual port.
    std::variant<Endpoint, NetError> start();
    void stopAccepting();

    /// Sends to a connection; has no effect if it is closed.
    void send(ConnectionId connection, const AgentMessage& message);
    void sendToAll(const AgentMessage& message);

    /// Total traffic of open and closed connections.
    FrameTraffic traffic() const;
    std::size_t size() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
