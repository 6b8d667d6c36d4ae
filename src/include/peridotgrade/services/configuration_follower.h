// Keeps a process's configuration up to date from the log, and from peers while the log is unreachable.
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

/// An immutable copy of the configuration in force, shared between threads.
struct ConfigurationInForce {
    ConfigVersion version;
    /// The plan that created this version; empty at version 0.
    PlanId plan;
    std::uint64_t digest = 0;
    /// False until the node knows a version, from the log or from a peer.
    bool isReady = false;
    SiteConfiguration configuration;
};

struct ConfigurationFollowerSettings {
    Endpoint platform;
    /// Seeds the jitter that spreads the retries and snapshots of many processes.
    std::uint64_t seed = 0;
    std::chrono::milliseconds logRetention { std::chrono::minutes { 60 } };
    /// True for entries, which append snapshots; agents only read.
    bool appendsSnapshots = false;
    /// Wall clock for scheduling snapshots; required if `appendsSnapshots` is set.
    std::function<WallTime()> wallNow;
};

/// Follows the log stream `configuration` and passes each new configuration to its subscribers. Reads and the
/// calls to subscribers run on the given executor, which must be a strand or have one thread. All functions
/// may be called from any thread.
class ConfigurationFollower {
public:
    using Subscriber = std::function<void(std::shared_ptr<const ConfigurationInForce>)>;
    /// Receives the result of applying each record, for the timeline.
    using ApplyObserver = std::function<void(const ApplyResult& result)>;

    ConfigurationFollower(boost::asio::any_io_executor executor, ConfigurationFollowerSettings settings);
    ~ConfigurationFollower();
    ConfigurationFollower(const ConfigurationFollower&) = delete;
    ConfigurationFollower& operator=(const ConfigurationFollower&) = delete;

    /// `subscriber` is called after each change of version or readiness. Must be called before `start`.
    void subscribe(Subscriber subscriber);
    void observeApplyResults(ApplyObserver observer);

    void start();
    void stop();

    std::shared_ptr<const ConfigurationInForce> current() const;
    bool isLogAvailable() const;

    /// True if a peer that has `version` in force is ahead of this process. While the log is available, its
    /// records will arrive from there; otherwise the peer has to be asked with FetchConfiguration.
    bool isBehind(ConfigVersion version) const;

    /// The response to a peer's FetchConfiguration.
    ConfigurationSnapshot peerSnapshot() const;
    /// Adopts a peer's configuration if it is newer.
    void offer(ConfigurationSnapshot snapshot);

    /// Calls `reader` with the replica while holding its lock; `reader` must not call this object.
    void withReplica(const std::function<void(const ConfigurationReplica&)>& reader) const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
