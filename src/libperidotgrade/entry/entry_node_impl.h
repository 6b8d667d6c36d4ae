// Components of an entry process.
#pragma once

#include "admin_api.h"
#include "caller_api.h"
#include "claims_feed.h"
#include "peer_exchange.h"
#include "quarantine_feed.h"
#include "vm_list_feed.h"

#include "peridotgrade/entry/entry_node.h"
#include "peridotgrade/entry/shard_host.h"
#include "peridotgrade/ops/hybrid_clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <memory>

namespace peridotgrade {

class EntryNode::Impl final : public ShardHost {
public:
    Impl(EntrySettings settings, std::uint64_t seed);
    ~Impl() override;

    std::variant<EntryAddresses, NetError> start();
    bool run();

    void appendClaims(std::size_t shard, AppendClaims claims) override;
    void publishQuarantine(std::size_t shard, Fingerprint fingerprint) override;
    void onQuarantineReported(std::size_t shard, std::vector<Fingerprint> fingerprints) override;
    void onVersionReported(std::size_t shard, const AgentId& agent, ConfigVersion version) override;
    void onConfigurationRequested(std::size_t shard, const AgentId& agent, ConfigVersion have) override;
    void onConfigurationReceived(ConfigurationSnapshot snapshot) override;

private:
    void makeShards(std::uint64_t seed);
    void makeHttpServers();
    PlanningView planningView() const;
    void addMetrics();
    void addShardMetric(
        const MetricName& name, std::function<double(const EntryShardStatus&)> read, bool isCounter);
    void followConfiguration();
    void waitForSignal();
    boost::asio::awaitable<void> drain();
    bool isDrained() const;
    void stopAll();

    const EntrySettings settings;
    const std::uint64_t seed;
    boost::asio::io_context io;
    /// Runs everything that communicates with the platform or with peers.
    const boost::asio::any_io_executor strand;
    HybridClock clock;
    Logger logger;
    MetricsRegistry metrics;
    Timeline timeline;
    ConfigurationFollower follower;
    EntryContext context;
    EntryMetrics entryMetrics;
    Admission admission;
    ClaimsFeed claims;
    QuarantineFeed quarantines;
    VmListFeed vmList;
    PeerExchange peers;
    CallerApi callerApi;
    OperatorApi operators;
    AdminApi adminApi;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> adminServer;
    boost::asio::signal_set signals;
    boost::asio::steady_timer drainTimer;
    /// Version in force, readable without a lock from the shards' calls.
    std::atomic<std::uint64_t> versionInForce = 0;
    bool isGracefulExit = true;
};

} // namespace peridotgrade
