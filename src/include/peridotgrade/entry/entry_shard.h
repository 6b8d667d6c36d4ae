// One shard of an entry's state: routers, sessions and connections under one lock.
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

/// Knobs of a shard.
struct EntryShardSettings {
    std::size_t number = 0;
    /// Name of the process and number of the shard.
    EntryId entry;
    Incarnation incarnation;
    DataCentreId dataCentre;
    std::uint64_t seed = 0;
    /// Engines of one model and role that this shard connects to.
    std::size_t subsetSize = 16;
    /// The log surely keeps claims this long.
    std::chrono::milliseconds logRetention { std::chrono::minutes { 60 } };
    FrameSettings frames;
};

/// Totals of one shard, read at one moment.
struct EntryShardStatus {
    ModelRouterCounters models;
    ActionRouterCounters calls;
    std::size_t openRequests = 0;
    std::size_t heldAttempts = 0;
    std::size_t connectedAgents = 0;
    FrameTraffic traffic;
};

/// Towards agents each shard is an entry of its own, with its own sessions and connections, so that shards
/// share no lock. All calls are thread safe and do not block on the network.
class EntryShard {
public:
    EntryShard(boost::asio::any_io_executor executor, EntryShardSettings settings, ShardHost& host,
        EventSink& events, HybridClock& clock);
    ~EntryShard();
    EntryShard(const EntryShard&) = delete;
    EntryShard& operator=(const EntryShard&) = delete;

    /// A request id that no other request of this shard has.
    RequestId newRequestId();

    void submit(ModelRequest request, std::shared_ptr<ModelAnswerListener> listener);
    void submit(CallRequest request, std::shared_ptr<CallAnswerListener> listener);
    /// The caller is gone: its listener is called no more.
    void cancel(RequestId request);

    void onVmList(std::vector<VmRecord> vms);
    void onConfiguration(std::shared_ptr<const ConfigurationInForce> configuration);

    void onAppendResult(AppendId append, AppendResult result);
    void onClaimRecords(const std::vector<LogRecord>& records);
    void onClaimsCaughtUp(LogOffset offset, TimePoint readBegan);
    void onClaimsGap(LogOffset offset);
    void setLogAvailable(bool isAvailable);

    /// These requests crash their servers. With `notifiesAgents` the agents of this shard hear it too.
    void quarantine(const std::vector<Fingerprint>& fingerprints, bool notifiesAgents);
    void send(const AgentId& agent, const EntryMessage& message);
    void sendToAll(const EntryMessage& message);

    EntryShardStatus status() const;
    /// Ends timers and connections. Requests still open are left without an answer.
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
