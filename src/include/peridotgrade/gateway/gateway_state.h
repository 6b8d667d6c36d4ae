// State shared by all components of a gateway.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/quarantine/crash_registry.h"
#include "peridotgrade/core/serving/engine_demand.h"
#include "peridotgrade/core/serving/engine_load.h"
#include "peridotgrade/core/serving/output_estimate.h"
#include "peridotgrade/core/serving/prompt_cache_map.h"
#include "peridotgrade/core/serving/request_cost.h"
#include "peridotgrade/core/serving/retry_budget_share.h"
#include "peridotgrade/core/serving/routing_configuration.h"
#include "peridotgrade/core/serving/server_backoff.h"
#include "peridotgrade/core/serving/server_directory.h"
#include "peridotgrade/core/serving/server_health.h"
#include "peridotgrade/core/serving/server_limits.h"
#include "peridotgrade/core/serving/server_pace.h"
#include "peridotgrade/core/serving/version_history.h"
#include "peridotgrade/gateway/gateway_metrics.h"
#include "peridotgrade/gateway/gateway_request.h"
#include "peridotgrade/gateway/gateway_settings.h"
#include "peridotgrade/gateway/loop_watch.h"
#include "peridotgrade/gateway/memory_budgets.h"
#include "peridotgrade/gateway/server_clients.h"
#include "peridotgrade/gateway/server_end_probe.h"
#include "peridotgrade/gateway/server_liveness.h"
#include "peridotgrade/net/body_framing.h"
#include "peridotgrade/net/body_memory.h"
#include "peridotgrade/net/timer_driver.h"
#include "peridotgrade/ops/logger.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace peridotgrade {

/// Parameters of `ServerLiveness::check`.
struct EndCheckTimes {
    Duration settleTime;
    Duration timeout;
    /// An answer that ends this soon after its head may be confirmed on a connection that its server had not
    /// answered on before.
    Duration newConnectionAllowance;
};

/// The state of the gateway's single thread; it has no locks.
class GatewayState {
public:
    /// Longest answer in one piece; as long as the longest request that operators allow by default.
    static constexpr std::size_t MaxAnswerBytes = 4 * 1024 * 1024;

    /// Longest wait for a server to show that it goes on after the end of its answer. Callers abandon a
    /// stream after four seconds without an event.
    static constexpr std::chrono::milliseconds MaxEndCheckTime { 3000 };
    /// Servers stop work at the time limit of a request, which they reckon from its arrival there. An answer
    /// that ends with less than this left may have been ended so.
    static constexpr std::chrono::milliseconds MinEndCheckTime { 50 };
    /// Why an answer is incomplete that only the end of its connection marks.
    static constexpr std::string_view EndedWithAnswer
        = "the server has not shown that it runs after its answer";
    /// Why a success is none that carries no signature.
    static constexpr std::string_view UnsignedAnswer = "a success without the server's signature";

    GatewayState(boost::asio::any_io_executor executor, GatewaySettings settings, MetricsRegistry& registry,
        std::uint64_t seed);
    ~GatewayState();

    TimePoint now() const { return TimerDriver::now(); }
    /// Arms the timer for the next subscription that is due.
    void armTimers() { this->driver.arm(this->timers.nextDue()); }
    void subscribeAt(TimePoint due, TimerService::Callback callback);
    void subscribeAfter(Duration delay, TimerService::Callback callback);
    /// Arms a timer at least each second, so that the delays of the event loop are measured.
    void watchLoop();
    /// Asked before each spend, so that a membership that ended while this process was paused or its machine
    /// suspended pays for nothing.
    RetryBudgetShare& retryBudgetOf(const ServiceId& service);
    /// The group has confirmed the membership. `endsAt` is of the clock that advances in a suspension.
    void noteMembership(double share, const HeldPartitions& partitions, TimePoint endsAt);
    /// Gives up the share of the retries, and half of the part of servers' limits, if the membership has
    /// ended.
    void endExpiredMembership();
    /// The time of a retry that is about to be taken from a budget, after the check of the membership.
    TimePoint spendTime()
    {
        this->endExpiredMembership();
        return this->now();
    }
    /// Entries of the group, from this one's share of the retries; 1 if it has none.
    std::uint32_t entryCount() const;
    /// Scheduling follows learned speeds, waits and expected times to the first event.
    bool isLoadAware() const { return !this->loadAwareReason.empty(); }
    /// Why it does (core/serving/load_aware_scheduling.h); empty if it does not.
    std::string_view whyLoadAware() const { return this->loadAwareReason; }
    /// To be called when the configuration has been replaced.
    void updateLoadAwareness();
    EngineDemand& demandOf(const ServiceId& service) { return this->demands[service]; }
    /// Servers of a service that may get requests and are not ejected; all of them if every one is ejected.
    /// Servers that may get no call now are never among them.
    std::vector<const ServerRecord*> healthyServers(const ServiceId& service, ServerRole role);
    /// True if the server has asked for a backoff that has not ended.
    bool isBackingOff(const ServerRecord& server) const
    {
        return this->backoff.until(server, this->now()).has_value();
    }
    /// True if a call may be sent to the server now: it has asked for no backoff, and the limit that it may
    /// have named allows a call.
    bool mayCall(const ServerRecord& server) { return !this->closedUntil(server).has_value(); }
    /// When the server gets calls again; nothing if it may get one now.
    std::optional<TimePoint> closedUntil(const ServerRecord& server);
    /// When the first server of a role gets calls again, if none may get one now.
    std::optional<TimePoint> allClosedUntil(const ServiceId& service, ServerRole role);
    /// Why that is so: `servers_back_off` or `servers_limited`.
    std::string_view closedReason(const ServiceId& service, ServerRole role);
    /// The server has been chosen for a call. Counts its pace, and returns its learned ratio and its slowness
    /// at this moment for a line of the log.
    std::string notePace(const ServerId& server);
    void noteServerNotice(const ServerRecord& server, const ServerNotice& notice);
    /// Records a failed call in the health of its server.
    void noteFailure(const ServerId& server, const CallFailure& failure);
    /// Begins a trial if the request is on probation and no other entry has a trial of it, which lasts as
    /// long as `request`.
    boost::asio::awaitable<void> tryProbation(GatewayRequest& request);
    /// True if the request may not be sent to a server, or only as a trial and is none.
    bool isHeld(const GatewayRequest& request) const;
    /// The connection of a request to a server was lost while it may have been running there. Returns once
    /// it is known whether the server has ended, as far as that can be known at once.
    boost::asio::awaitable<void> noteLostRun(ServerId server, const GatewayRequest& request);
    /// The server did not answer a request in time. If it turns out to have ended, that counts like a lost
    /// connection: some servers end without a word.
    void noteSilentRun(const ServerId& server, const GatewayRequest& request);
    /// To be held while the body of an answer is received. Null if the body marks its own end.
    std::shared_ptr<ServerLiveness> watchServer(std::shared_ptr<ServerClient> server, BodyFraming framing);
    /// Called when an answer has ended that was received with `watch`. True if only the end of its connection
    /// marks its end, and the server has not shown in time that it goes on: its process may have ended inside
    /// the answer.
    boost::asio::awaitable<bool> isBrokenOff(
        std::shared_ptr<ServerLiveness> watch, const GatewayRequest& request, const EndCheckTimes& times);
    void onDirectoryChanges(const std::vector<DirectoryChange>& changes);
    /// The list of servers has been read; it was asked for at `asked`, on the clock that advances while the
    /// machine is suspended.
    void noteServersRead(TimePoint asked);
    /// True if the list shows every version at which streams may begin by now.
    bool isListCurrent() const;
    /// The software version of all resumable streams of a service, if they are known to be of one.
    std::optional<SoftwareVersion> onlyVersion(const ServiceId& service);

    boost::asio::any_io_executor executor;
    GatewaySettings settings;
    const MemoryBudgets memoryBudgets;
    TimerService timers;
    TimerDriver driver;
    RandomSource random;
    Logger log;
    GatewayMetrics metrics;
    LoopWatch loop;
    /// The configuration in force; null before the first one. Invariant: its version only increases.
    std::shared_ptr<const RoutingConfiguration> configuration;
    /// False until the list of servers has been read once.
    bool hasServers = false;
    /// When the list of servers was last read.
    TimePoint serversReadAt {};
    /// When it had been asked for, on the clock that advances while the machine is suspended.
    TimePoint serversAskedAt {};
    bool isStopping = false;
    /// When a server of a service last appeared, began to drain, disappeared or was kept in an outage.
    std::map<ServiceId, TimePoint> serversChangedAt;
    ServerDirectory directory;
    /// Software versions of the servers of each service.
    std::map<ServiceId, VersionHistory> versions;
    /// True while `versions` has all versions on record: from a reading of the records to the next gap in the
    /// list of servers, in which a version may have come and gone.
    bool areVersionsKnown = false;
    /// Called when the versions of a service have changed and are several.
    std::function<void()> onMixedVersions;
    /// Called when the versions of a service may have changed.
    std::function<void()> onVersionsChanged;
    /// Called when the servers have been listed: what the list has shown before and since may lack some.
    std::function<void()> onServersListed;
    /// Called when the address of a server refuses connections, also if no request was lost there.
    std::function<void(const ServerCrash&)> onServerEnded;
    /// Asks for the right to a trial of a request, which one entry gets at a time.
    std::function<boost::asio::awaitable<bool>(Suspect)> claimTrial;
    /// Called when a report shows that an engine is taking another role; the time is that of a role switch.
    std::function<void(const ServerRecord&, ServerRole, std::chrono::milliseconds)> onRoleChangeSeen;
    ServerHealth health;
    ServerBackoff backoff;
    ServerLimits limits;
    /// Speeds of the servers and their reports of load.
    ServerPace pace;
    /// Waits at prefill engines. Recorded only where `isLoadAware`.
    EngineBacklog backlog;
    PromptCacheMap promptCaches;
    /// Requests and parts of prompts that crash servers, as far as the entries know them.
    CrashRegistry crashes;
    /// Tokens reserved at decode engines; at plain servers, running requests.
    EngineLoad reservedLoad;
    /// Prompts in progress at prefill engines.
    EngineLoad prefillLoad;
    OutputEstimate outputs;
    /// Answers of servers that are read to their end before they are passed on, until the caller has them.
    BodyMemory answerMemory { this->memoryBudgets.answerBytes };
    /// Bodies of callers' requests; null for no limit on their sum.
    std::shared_ptr<BodyMemory> requestMemory;
    ServerClients clients;

private:
    void updateVersions(const ServiceId& service);
    void noteServerStart(const ServerRecord& server, WallTime startedAt);
    void noteLimit(const ServerRecord& server, const ServerNotice& notice);
    void noteEnd(const ServerCrash& incarnation, std::string_view evidence);
    /// Looks in the background whether a server ends that accepted a connection after a lost run. `server` is
    /// the incarnation that the run was lost at, `attempt` is for the log.
    void checkLater(
        std::shared_ptr<ServerClient> server, const ServerCrash& incarnation, const std::string& attempt);
    boost::asio::awaitable<void> runLaterChecks(
        std::shared_ptr<ServerClient> server, ServerCrash incarnation);
    void logCheck(const ServerId& server, std::string_view purpose, const std::string& attempt,
        TimePoint asked, const ServerProbeResult& result);
    void noteUncheckedServer(const ServerId& server, std::string_view purpose, const std::string& attempt,
        std::string_view reason);
    void noteEndsInList(const DirectoryChange& change);

    ServerEndProbe endProbe;
    /// Of each incarnation of a server with a check in the background. The value is the attempt of a run that
    /// was lost since that check began, which needs one more; none at first or if there is none.
    std::map<ServerCrash, std::optional<std::string>> laterChecks;
    /// Of each incarnation of a server, while answers are received that need it.
    std::map<std::pair<ServerId, WallTime>, std::weak_ptr<ServerLiveness>> watches;
    /// Starts that servers have stated last and that differ from those in the list.
    std::map<ServerId, WallTime> unlistedStarts;
    std::string_view loadAwareReason;

    void setRetryShare(double share);

    double retryShare = 0;
    /// Partitions of the group at the last confirmation.
    HeldPartitions heldPartitions { {}, 0, false };
    /// On a clock that advances while the machine is suspended.
    TimePoint membershipEndsAt {};
    /// Budget of a service without requests so far; it holds what the entry's share has brought until now.
    RetryBudgetShare unusedRetryBudget;
    std::map<ServiceId, RetryBudgetShare> retryBudgets;
    std::map<ServiceId, EngineDemand> demands;
};

} // namespace peridotgrade
