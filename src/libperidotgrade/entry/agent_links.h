// The connections of one entry shard to agents.
#pragma once

#include "peridotgrade/core/base/backoff.h"
#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/membership/vm_record.h"
#include "peridotgrade/net/frame_client.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// Names one connection, so that late events of an earlier one to the same agent are told from it.
using LinkId = StrongId<struct LinkIdTag, std::uint64_t>;

/// Events of connections, called on their strands without any lock held.
class AgentLinkListener {
public:
    virtual ~AgentLinkListener() = default;
    virtual void onConnectEnded(const AgentId& agent, LinkId link, ConnectResult result) = 0;
    virtual void onFrame(const AgentId& agent, LinkId link, std::string_view frame) = 0;
    virtual void onClosed(const AgentId& agent, LinkId link) = 0;
};

/// Opens and reopens connections to the agents that are wanted. Used under the shard's lock; its listener is
/// kept alive by every connection.
class AgentLinks {
public:
    AgentLinks(boost::asio::any_io_executor executor, FrameSettings settings, TimerService& timers,
        RandomSource& random);

    /// To be called once, before anything else.
    void setListener(std::weak_ptr<AgentLinkListener> listener);

    /// These agents are to be connected; others are not reconnected once their connection ends.
    void setTargets(const std::vector<VmRecord>& agents);

    /// Takes the end of a try to connect. True if the agent is connected now.
    bool onConnectEnded(const AgentId& agent, LinkId link, ConnectResult result);
    /// True if this was the agent's current connection, which is to be reconnected if still wanted.
    bool onClosed(const AgentId& agent, LinkId link);
    bool isCurrent(const AgentId& agent, LinkId link) const;

    void send(const AgentId& agent, std::string_view frame);
    void sendToAll(std::string_view frame);
    /// Ends the agent's connection; `onClosed` follows.
    void close(const AgentId& agent);
    void closeAll();
    boost::asio::any_io_executor getExecutor() const { return this->executor; }

    std::size_t connectedCount() const;
    FrameTraffic traffic() const;

private:
    struct Link {
        VmRecord vm;
        LinkId currentId;
        bool isTarget = true;
        bool isConnecting = false;
        /// Set while connected.
        std::shared_ptr<FrameConnection> connection;
        Backoff backoff;
    };

    void connect(const AgentId& agent, Link& link);
    void scheduleReconnect(const AgentId& agent, Link& link);

    boost::asio::any_io_executor executor;
    const FrameSettings settings;
    TimerService& timers;
    RandomSource& random;
    std::weak_ptr<AgentLinkListener> listener;
    std::uint64_t lastLinkId = 0;
    bool isStopped = false;
    std::map<AgentId, Link> links;
    /// What connections that have ended carried.
    FrameTraffic closedTraffic;
};

} // namespace peridotgrade
