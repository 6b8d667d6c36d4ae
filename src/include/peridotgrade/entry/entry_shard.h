// One shard of an entry's state: routers, sessions and agent connections under one lock.
#pragma once

#include "peridotgrade/core/actions/action_router.h"
#include "peridotgrade/core/membership/vm_record.h"
#include "peridotgrade/core/messages/log_record.h"
#include "peridotgrade/core/routing/model_router.h"
#include "peridotgrade/entry/answer_listener.h"
#include "peridotgrade/entry/shard_host.h"
#include "peridotgrade/net/frame_connection.h"
#include "peridotgrade/ops/hybrid_clock.h"
#include "peridotgrade/services/configuration_follower.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace peridotgrade {

/// Settings of an entry shard.
struct EntryShardSettings {
    std::size_t number = 0;
    /// Name of the process and number of the shard, as `<name>/<number>`.
    EntryId entry;
    Incarnation incarnation;
    DataCentreId dataCentre;
    std::uint64_t seed = 0;
    /// Maximum number of backend servers that this shard connects to, per model and role or per service.
    std::size_t subsetSize = 16;
    /// Time for which the log is sure to keep claims.
    std::chrono::milliseconds logRetention { std::chrono::minutes { 60 } };
    FrameSettings frames;
};

/// Consistent snapshot of the totals of one shard.
struct EntryShardStatus {
    ModelRouterCounters models;
    ActionRouterCounters calls;
    std::size_t openRequests = 0;
    std::size_t heldAttempts = 0;
    std::size_t connectedAgents = 0;
    FrameTraffic traffic;
};

/// To agents each shard is a separate entry with its own sessions and connections, so that shards share no
/// lock. All functions are thread safe and do not block on the network.
class EntryShard {
public:
    EntryShard(boost::asio::any_io_executor executor, EntryShardSettings settings, ShardHost& host,
        EventSink& events, HybridClock& clock);
    ~EntryShard();
    EntryShard(const EntryShard&) = delete;
    EntryShard& operator=(const EntryShard&) = delete;

    /// Returns an id that no open request of this shard has.
    RequestId newRequestId();

    void submit(ModelRequest request, std::shared_ptr<ModelAnswerListener> listener);
    void submit(CallRequest request, std::shared_ptr<CallAnswerListener> listener);
    /// Cancels a request whose caller disconnected; its listener is not called again.
    void cancel(RequestId request);

    void onVmList(std::vector<VmRecord> vms);
    void onConfiguration(std::shared_ptr<const ConfigurationInForce> configuration);

    void onAppendResult(AppendId append, AppendResult result);
    void onClaimRecords(const std::vector<LogRecord>& records);
    void onClaimsCaughtUp(LogOffset offset, TimePoint readBegan);
    void onClaimsGap(LogOffset offset);
    void setLogAvailable(bool isAvailable);

    /// Quarantines requests that crash their servers. With `notifiesAgents` the connected agents are notified
    /// too.
    void quarantine(const std::vector<Fingerprint>& fingerprints, bool notifiesAgents);
    void send(const AgentId& agent, const EntryMessage& message);
    void sendToAll(const EntryMessage& message);

    EntryShardStatus status() const;
    /// Stops timers and closes connections. Open requests get no answer.
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
