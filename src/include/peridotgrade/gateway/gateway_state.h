// What all parts of a gateway share.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/serving/engine_use.h"
#include "peridotgrade/core/serving/output_estimate.h"
#include "peridotgrade/core/serving/retry_share.h"
#include "peridotgrade/core/serving/server_directory.h"
#include "peridotgrade/core/serving/server_standing.h"
#include "peridotgrade/core/serving/service_configuration.h"
#include "peridotgrade/gateway/gateway_metrics.h"
#include "peridotgrade/gateway/gateway_settings.h"
#include "peridotgrade/gateway/server_clients.h"
#include "peridotgrade/net/timer_driver.h"
#include "peridotgrade/ops/logger.h"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>

namespace peridotgrade {

/// The state of a gateway's one thread; nothing in it is locked.
class GatewayState {
public:
    GatewayState(boost::asio::any_io_executor executor, GatewaySettings settings, MetricsRegistry& registry,
        std::uint64_t seed);
    ~GatewayState();

    TimePoint now() const { return TimerDriver::now(); }
    /// Arms the clock for what was subscribed since.
    void armTimers() { this->driver.arm(this->timers.nextDue()); }
    void scheduleAt(TimePoint due, TimerService::Callback callback);
    void scheduleAfter(Duration delay, TimerService::Callback callback);
    RetryShare& retriesOf(const ServiceId& service);
    void setRetryPart(double part);
    /// Servers of a service that may get work and are not ejected; all of them if every one is ejected.
    std::vector<const ServerRecord*> trusted(const ServiceId& service, ServerStage stage);
    /// What a failed call says of its server.
    void noteFailure(const ServerId& server, const CallFailure& failure);
    void onDirectoryChanges(const std::vector<DirectoryChange>& changes);

    boost::asio::any_io_executor executor;
    GatewaySettings settings;
    TimerService timers;
    TimerDriver driver;
    RandomSource random;
    Logger log;
    GatewayMetrics metrics;
    /// The configuration in force; null before the first. Invariant: its version only grows.
    std::shared_ptr<const ServiceConfiguration> configuration;
    /// False until the list of servers has been read once.
    bool hasServers = false;
    bool isStopping = false;
    /// When a server last came or went.
    TimePoint serversChangedAt {};
    ServerDirectory directory;
    ServerStanding standing;
    EngineUse memory;
    /// The same for prompts that are being read.
    EngineUse prefills;
    OutputEstimate outputs;
    ServerClients clients;

private:
    double retryPart = 0;
    std::map<ServiceId, RetryShare> retries;
};

} // namespace peridotgrade
