// State of an entry shard.
#pragma once

#include "agent_links.h"
#include "candidates.h"

#include "peridotgrade/core/membership/membership.h"
#include "peridotgrade/core/policy/two_choice_policy.h"
#include "peridotgrade/entry/entry_shard.h"
#include "peridotgrade/net/timer_driver.h"

#include <mutex>
#include <unordered_map>

namespace peridotgrade {

/// All state is under one lock. Each call takes the lock, advances the timers, runs the state machines and
/// performs the actions that they return.
class EntryShard::Impl final : public AgentLinkListener,
                               public std::enable_shared_from_this<EntryShard::Impl> {
public:
    Impl(boost::asio::any_io_executor executor, EntryShardSettings settings, ShardHost& host,
        EventSink& events, HybridClock& clock);

    /// Runs `call` under the lock with the timers advanced, then performs the resulting actions.
    template <typename Call> void run(Call call)
    {
        std::lock_guard lock(this->mutex);
        this->timers.advance(TimerDriver::now());
        call();
        this->perform();
        this->driver->arm(this->timers.nextDue());
    }

    void begin();
    void onConnectEnded(const AgentId& agent, LinkId link, ConnectResult result) override;
    void onFrame(const AgentId& agent, LinkId link, std::string_view frame) override;
    void onClosed(const AgentId& agent, LinkId link) override;

    void cancel(RequestId request);
    void quarantineAll(const std::vector<Fingerprint>& fingerprints, bool notifiesAgents);
    void sendTo(const AgentId& agent, const EntryMessage& message);
    void sendToAll(const EntryMessage& message);
    /// Recomputes connections and candidates after a change of membership or configuration.
    void refreshCandidates();

    const EntryShardSettings settings;
    ShardHost& host;
    EventSink& events;
    HybridClock& clock;

    mutable std::mutex mutex;
    TimerService timers;
    RandomSource random;
    Quarantine quarantine;
    Membership membership;
    std::shared_ptr<const ConfigurationInForce> configuration;
    ModelRouter<TwoChoicePolicy> models;
    ActionRouter calls;
    AgentLinks links;
    /// Invariant: one listener for each request that is open in `models`, and none for others.
    std::unordered_map<RequestId, std::shared_ptr<ModelAnswerListener>> modelListeners;
    /// Invariant: one listener for each call that is open in `calls` and not cancelled.
    std::unordered_map<RequestId, std::shared_ptr<CallAnswerListener>> callListeners;
    std::unique_ptr<TimerDriver> driver;

private:
    void perform();
    void onAgentLost(const AgentId& agent);

    void handle(const AgentId& agent, const AgentMessage& message);
    void handle(const AgentId& agent, const SessionOpened& message);
    void handle(const AgentId& agent, const Draining& message);
    void handle(const AgentId& agent, const ReadAnswered& message);
    void handle(const AgentId& agent, const ReadFailed& message);
    void handle(const AgentId& agent, const ActionReport& message);
    void handle(const AgentId& agent, const VersionNotice& message);
    void handle(const AgentId& agent, const FetchConfiguration& message);
    void handle(const AgentId& agent, const ConfigurationSnapshot& message);
    void handle(const AgentId& agent, const QuarantineNotice& message);
    /// All other messages go to the model router.
    template <typename Message> void handle(const AgentId& agent, const Message& message)
    {
        this->models.onMessage(agent, message);
    }

    void perform(SendToAgent&& action);
    void perform(DeliverTokens&& action);
    void perform(FinishAnswer&& action);
    void perform(PublishQuarantine&& action);
    void perform(AppendClaims&& action);
    void perform(FinishCall&& action);
    void refuseModel(const RefuseRequest& action);
    void refuseCall(const RefuseRequest& action);
};

} // namespace peridotgrade
