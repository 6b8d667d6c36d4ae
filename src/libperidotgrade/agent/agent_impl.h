// Components of an agent.
#pragma once

#include "peridotgrade/agent/admin_pages.h"
#include "peridotgrade/agent/agent.h"
#include "peridotgrade/agent/agent_connections.h"
#include "peridotgrade/agent/backend.h"
#include "peridotgrade/agent/engine_backend.h"
#include "peridotgrade/agent/engine_configurator.h"
#include "peridotgrade/agent/peer_notices.h"
#include "peridotgrade/agent/vm_leaving_watcher.h"
#include "peridotgrade/net/http_server.h"
#include "peridotgrade/ops/hybrid_clock.h"
#include "peridotgrade/ops/logger.h"
#include "peridotgrade/ops/metrics.h"
#include "peridotgrade/ops/timeline.h"
#include "peridotgrade/services/configuration_follower.h"

#include <boost/asio/strand.hpp>

#include <atomic>

namespace peridotgrade {

class Agent::Impl {
public:
    Impl(boost::asio::any_io_executor executor, AgentSettings settings, std::uint64_t seed);

    std::variant<AgentEndpoints, NetError> start();
    void drain(const std::string& reason);
    bool isDrained() const { return this->backend->isDrained(); }
    void stop();

private:
    std::unique_ptr<Backend> makeBackend();
    std::unique_ptr<Backend> makeEngineBackend();
    std::unique_ptr<Backend> makeApplicationBackend();
    AgentConnectionHandlers connectionHandlers();
    ConfigurationFollowerSettings followerSettings() const;
    void onConfiguration(const ConfigurationInForce& configuration);
    void addMetrics();
    void addEngineMetrics(EngineBackend& engine);
    bool isReady() const;
    std::string status() const;

    const boost::asio::any_io_executor executor;
    const AgentSettings settings;
    const std::uint64_t seed;
    Logger logger;
    MetricsRegistry metrics;
    HybridClock clock;
    Timeline timeline;
    boost::asio::strand<boost::asio::any_io_executor> configurationStrand;
    ConfigurationFollower follower;
    AgentConnections connections;
    PeerNotices notices;
    /// Points to `backend` if it is an engine; null beside an application server.
    EngineBackend* engine = nullptr;
    std::unique_ptr<Backend> backend;
    /// Set only beside an engine.
    std::unique_ptr<EngineConfigurator> configurator;
    VmLeavingWatcher vmLeavingWatcher;
    AdminPages adminPages;
    HttpServer admin;
    std::atomic<bool> isDraining = false;
};

} // namespace peridotgrade
