// Keeps a process's configuration up to date from the log, and from peers when the log is out of reach.
#pragma once

#include "peridotgrade/core/config/configuration_replica.h"
#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/services/log_client.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace peridotgrade {

/// The configuration in force at one moment; shared by threads without copying.
struct ConfigurationInForce {
    ConfigVersion version;
    /// The plan that made this version; empty at version 0.
    PlanId plan;
    std::uint64_t digest = 0;
    /// False until the node knows a version, from the log or from a peer.
    bool isReady = false;
    SiteConfiguration configuration;
};

struct ConfigurationFollowerSettings {
    Endpoint platform;
    /// Spreads retries and snapshots of many processes.
    std::uint64_t seed = 0;
    std::chrono::milliseconds logRetention { std::chrono::minutes { 60 } };
    /// Entries append snapshots; agents only read.
    bool appendsSnapshots = false;
    /// Time of day, for the snapshots' schedule.
    std::function<WallTime()> wallNow;
};

/// Follows the stream `configuration` and gives each new configuration to its subscribers. Reading and the
/// subscribers' calls happen on the given executor, which must be a strand or have one thread; all functions
/// may be called from any thread.
class ConfigurationFollower {
public:
    using Subscriber = std::function<void(std::shared_ptr<const ConfigurationInForce>)>;
    /// `result` tells what a record did; for the time line.
    using ApplyObserver = std::function<void(const ApplyResult& result)>;

    ConfigurationFollower(boost::asio::any_io_executor executor, ConfigurationFollowerSettings settings);
    ~ConfigurationFollower();
    ConfigurationFollower(const ConfigurationFollower&) = delete;
    ConfigurationFollower& operator=(const ConfigurationFollower&) = delete;

    /// Called after each change of version or readiness. To be set before `start`.
    void subscribe(Subscriber subscriber);
    void observeApplyResults(ApplyObserver observer);

    void start();
    void stop();

    std::shared_ptr<const ConfigurationInForce> current() const;
    bool isLogAvailable() const;

    /// True if a peer that has `version` in force is ahead of this process. While the log is available the
    /// records are on their way; otherwise ask the peer with FetchConfiguration.
    bool isBehind(ConfigVersion version) const;

    /// The answer to a peer's FetchConfiguration.
    ConfigurationSnapshot peerSnapshot() const;
    /// A peer's configuration; adopted if it is newer.
    void offer(ConfigurationSnapshot snapshot);

    /// Runs `reader` with the fold, under its lock; `reader` must not call this object.
    void withReplica(const std::function<void(const ConfigurationReplica&)>& reader) const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
