// The connections of entry shards to an agent.
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

/// Who hears of connections. Calls for one connection come in order, those for several may come at once.
struct AgentConnectionHandlers {
    std::function<void(ConnectionId)> onConnected;
    std::function<void(ConnectionId, const EntryMessage&)> onMessage;
    std::function<void(ConnectionId)> onDisconnected;
};

/// Accepts entry shards, numbers their connections, and decodes and encodes their messages. A peer that sends
/// what is no message of ours is cut off. All calls are thread safe.
class AgentConnections {
public:
    AgentConnections(boost::asio::any_io_executor executor, Endpoint listen, FrameSettings settings,
        HybridClock& clock, AgentConnectionHandlers handlers);
    ~AgentConnections();
    AgentConnections(const AgentConnections&) = delete;
    AgentConnections& operator=(const AgentConnections&) = delete;

    /// Listens; gives the endpoint with the port that is in use.
    std::variant<Endpoint, NetError> start();
    void stopAccepting();

    /// Sends to a connection; one that is gone is passed over.
    void send(ConnectionId connection, const AgentMessage& message);
    void sendToAll(const AgentMessage& message);

    /// Traffic of all connections since the start.
    FrameTraffic traffic() const;
    std::size_t size() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
