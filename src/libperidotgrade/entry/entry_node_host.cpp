// The services that an entry process provides to its shards, and the metrics summed over them.
#include "entry_node_impl.h"

#include <boost/asio/post.hpp>

namespace peridotgrade {

namespace asio = boost::asio;

void EntryNode::Impl::appendClaims(std::size_t shard, AppendClaims appended)
{
    this->claims.append(shard, std::move(appended));
}

void EntryNode::Impl::publishQuarantine(std::size_t, Fingerprint fingerprint)
{
    this->quarantines.publish(fingerprint);
}

void EntryNode::Impl::onQuarantineReported(std::size_t, std::vector<Fingerprint> fingerprints)
{
    this->quarantines.onReported(std::move(fingerprints));
}

void EntryNode::Impl::onVersionReported(std::size_t shard, const AgentId& agent, ConfigVersion version)
{
    if (version.raw() <= this->versionInForce)
        return;
    asio::post(this->strand, [this, shard, agent, version] {
        // While the log is available, the follower gets the records from it without asking a peer.
        bool needsPeer = this->follower.isBehind(version) && !this->follower.isLogAvailable();
        if (needsPeer)
            this->context.shards[shard]->send(
                agent, FetchConfiguration { this->follower.current()->version });
    });
}

void EntryNode::Impl::onConfigurationRequested(std::size_t shard, const AgentId& agent, ConfigVersion have)
{
    asio::post(this->strand, [this, shard, agent, have] {
        auto current = this->follower.current();
        if (current->isReady && current->version >= have)
            this->context.shards[shard]->send(agent, this->follower.peerSnapshot());
    });
}

void EntryNode::Impl::onConfigurationReceived(ConfigurationSnapshot snapshot)
{
    asio::post(this->strand,
        [this, offered = std::move(snapshot)]() mutable { this->follower.offer(std::move(offered)); });
}

void EntryNode::Impl::addShardMetric(
    const MetricName& name, std::function<double(const EntryShardStatus&)> read, bool isCounter)
{
    auto sum = [this, read = std::move(read)] {
        double total = 0;
        for (const auto& shard : this->context.shards)
            total += read(shard->status());
        return total;
    };
    if (isCounter)
        this->metrics.callbackCounter(name, std::move(sum));
    else
        this->metrics.gauge(name, std::move(sum));
}

void EntryNode::Impl::addMetrics()
{
    using Status = EntryShardStatus;
    addProcessMetrics(this->metrics);
    this->addShardMetric(
        { "peridot_open_requests", "Requests in progress.", "", "" },
        [](const Status& status) { return static_cast<double>(status.openRequests); }, false);
    this->addShardMetric(
        { "peridot_leases_held", "Holds at all agents.", "", "" },
        [](const Status& status) { return static_cast<double>(status.heldAttempts); }, false);
    this->addShardMetric(
        { "peridot_connected_agents", "Connections to agents, over all shards.", "", "" },
        [](const Status& status) { return static_cast<double>(status.connectedAgents); }, false);
    this->addShardMetric(
        { "peridot_attempts_total", "Attempts at model requests.", "", "" },
        [](const Status& status) { return static_cast<double>(status.models.attempts); }, true);
    this->addShardMetric(
        { "peridot_retries_total", "Tries after the first.", "kind", "model" },
        [](const Status& status) { return static_cast<double>(status.models.retries); }, true);
    this->addShardMetric(
        { "peridot_retries_total", "Tries after the first.", "kind", "call" },
        [](const Status& status) { return static_cast<double>(status.calls.retries); }, true);
    this->addShardMetric(
        { "peridot_prefill_tokens_total", "Prompt tokens of prefills started.", "", "" },
        [](const Status& status) { return static_cast<double>(status.models.prefillTokens); }, true);
    this->addShardMetric(
        { "peridot_prefill_tokens_wasted_total", "Prompt tokens of prefills for nothing.", "", "" },
        [](const Status& status) { return static_cast<double>(status.models.prefillTokensWasted); }, true);
    this->addShardMetric(
        { "peridot_claims_appended_total", "Claims written to the log.", "", "" },
        [](const Status& status) { return static_cast<double>(status.calls.claimsAppended); }, true);
    this->addShardMetric(
        { "peridot_claim_appends_total", "Appends of claims to the log.", "", "" },
        [](const Status& status) { return static_cast<double>(status.calls.appends); }, true);
    this->addShardMetric(
        { "peridot_agent_bytes_total", "Bytes on connections to agents.", "direction", "sent" },
        [](const Status& status) { return static_cast<double>(status.traffic.bytesSent); }, true);
    this->addShardMetric(
        { "peridot_agent_bytes_total", "Bytes on connections to agents.", "direction", "received" },
        [](const Status& status) { return static_cast<double>(status.traffic.bytesReceived); }, true);
    this->metrics.gauge({ "peridot_configuration_version", "Configuration in force.", "", "" },
        [this] { return static_cast<double>(this->versionInForce.load()); });
    this->metrics.gauge({ "peridot_ready", "1 if callers are served.", "", "" },
        [this] { return this->context.isReady() ? 1.0 : 0.0; });
    this->metrics.callbackCounter({ "peridot_timeline_events_lost_total", "Events that made room.", "", "" },
        [this] { return static_cast<double>(this->timeline.lostEvents()); });
}

} // namespace peridotgrade
