// Applies configuration and server records from the store.
#include "peridotgrade/gateway/store_follower.h"

#include "peridotgrade/core/base/invariant.h"
#include "peridotgrade/gateway/configuration_log.h"
#include "platform/configuration_codec.h"
#include "platform/server_record_codec.h"
#include "platform/wire_names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace peridotgrade {

namespace {

    // A change is known within a round trip. A connection that has gone silent is noticed within this wait
    // and the time-out of a call, and the listing that follows shows the change.
    constexpr std::chrono::milliseconds ConfigurationWait { 2000 };
    // Servers report every 1.2 s. Reading at this interval finds a draining server well within the two
    // seconds after which it must get no more requests, with few calls, since each call costs.
    constexpr std::chrono::milliseconds ServersInterval { 1400 };
    // Interval at which servers kept during an outage are checked for expiry.
    constexpr std::chrono::milliseconds ExpiryCheckInterval { 100 };

    std::vector<ListedServer> listedFrom(const std::vector<StoreRecord>& records)
    {
        std::vector<ListedServer> listed;
        for (const StoreRecord& record : records) {
            ListedServer each { ServerId { record.key }, record.offset, std::nullopt };
            if (record.value) {
                each.record = parseServerRecord(record.key, *record.value);
                // An unusable record does not change what is known of its server.
                if (!each.record)
                    continue;
            }
            listed.push_back(std::move(each));
        }
        return listed;
    }

} // namespace

StoreFollower::StoreFollower(GatewayState& state, StoreClient& store)
    : state(state)
    , configurationWatch(state, store,
          { std::string { wire_names::ConfigurationTopic }, ConfigurationWait,
              std::chrono::milliseconds { 0 } },
          { [this](const StoreListing& listing) { this->applyConfiguration(listing.records); },
              [this](const std::vector<StoreRecord>& records) { this->applyConfiguration(records); }, [] {},
              [] {}, [] {}, [](TimePoint) {} })
    , serverWatch(state, store,
          { std::string { wire_names::ServersTopic }, std::chrono::milliseconds { 0 }, ServersInterval },
          { [this](const StoreListing& listing) { this->replaceServers(listing); },
              [this](const std::vector<StoreRecord>& records) { this->applyServers(records); },
              [this] { this->state.directory.noteStoreLost(this->state.now()); },
              [this] { this->state.directory.noteStoreBack(this->state.now()); },
              [this] { this->state.directory.startEra(this->state.now()); },
              [this](TimePoint asked) { this->state.noteServersRead(asked); } })
{
}

void StoreFollower::start()
{
    boost::asio::co_spawn(this->state.executor, this->configurationWatch.run(), boost::asio::detached);
    boost::asio::co_spawn(this->state.executor, this->serverWatch.run(), boost::asio::detached);
    this->expireLater();
}

void StoreFollower::applyConfiguration(const std::vector<StoreRecord>& records)
{
    for (const StoreRecord& record : records) {
        if (record.key != wire_names::ConfigurationKey || !record.value)
            continue;
        std::vector<ConfigurationFinding> findings;
        auto parsed = parseRoutingConfiguration(*record.value, findings);
        if (auto* problem = std::get_if<std::string>(&parsed)) {
            this->state.log.write(LogLevel::Error, "configuration_unreadable",
                { { "offset", std::to_string(record.offset.raw()) }, { "detail", *problem } });
            continue;
        }
        auto& configuration = std::get<RoutingConfiguration>(parsed);
        ConfigVersion current
            = this->state.configuration ? this->state.configuration->version : ConfigVersion { 0 };
        if (this->state.configuration && configuration.version <= current)
            continue;
        checkInvariant(!this->state.configuration || current < configuration.version,
            Invariant::ConfigurationNeverReverts, "an older configuration would come into force");
        std::optional<Duration> delayBound;
        if (auto before = this->configurationWatch.currentBefore())
            delayBound = this->state.now() - *before;
        logConfiguration(
            this->state.log, this->state.configuration.get(), configuration, findings, delayBound);
        if (delayBound)
            this->state.metrics.addConfigurationDelayBound(*delayBound);
        this->state.configuration = std::make_shared<const RoutingConfiguration>(std::move(configuration));
        this->state.updateLoadAwareness();
    }
}

void StoreFollower::applyServers(const std::vector<StoreRecord>& records)
{
    this->state.onDirectoryChanges(this->state.directory.apply(listedFrom(records), this->state.now()));
}

void StoreFollower::replaceServers(const StoreListing& listing)
{
    this->state.hasServers = true;
    this->state.onDirectoryChanges(
        this->state.directory.replace(listedFrom(listing.records), listing.end, this->state.now()));
    if (this->state.onServersListed)
        this->state.onServersListed();
}

void StoreFollower::expireLater()
{
    this->state.subscribeAfter(ExpiryCheckInterval, [this] {
        this->state.onDirectoryChanges(this->state.directory.expire(this->state.now()));
        this->expireLater();
    });
}

} // namespace peridotgrade
