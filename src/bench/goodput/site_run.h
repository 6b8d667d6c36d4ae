// One benchmark run in virtual time: the library's routers and hosts with simulated engines and network.
#pragma once

#include "run_result.h"
#include "site_settings.h"
#include "virtual_network.h"

#include "peridotgrade/core/hosting/model_host.h"
#include "peridotgrade/core/quarantine/quarantine.h"
#include "peridotgrade/core/routing/model_router.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotgrade::bench {

/// Drives the library's routers and hosts under `Policy` and counts the outcomes of requests. All components
/// share one timer service, which is both the virtual clock and the delivery queue of the network.
template <PlacementPolicy Policy> class SiteRun {
public:
    explicit SiteRun(SiteSettings settings)
        : settings(std::move(settings))
        , capacity(capacityOf(this->settings))
        , arrivalRandom(this->settings.seed)
        , networkRandom(this->settings.seed + 1)
        , entryRandom(this->settings.seed + 3)
        , network(this->timers, this->networkRandom, this->settings.networkDelay,
              this->settings.crossDataCentreDelay)
        , workload(this->settings.workload, this->settings.seed + 2)
    {
        this->result.idealShare = this->capacity.idealShare(this->settings.load);
        auto seconds = std::chrono::duration_cast<std::chrono::seconds>(this->settings.length).count() + 1;
        this->result.goodBySecond.resize(static_cast<std::size_t>(seconds));
        this->result.offeredBySecond.resize(static_cast<std::size_t>(seconds));
    }

    RunResult run()
    {
        this->buildNodes();
        this->buildEntries();
        this->connectAll();
        this->scheduleArrival();
        this->scheduleReports();
        this->scheduleFault();
        this->timers.advance(TimePoint {} + this->settings.length);
        // Open requests run to their end, so that every counted request has an outcome.
        this->isArriving = false;
        constexpr Duration DrainTime = std::chrono::seconds { 180 };
        this->timers.advance(TimePoint {} + this->settings.length + DrainTime);
        this->collect();
        return this->result;
    }

private:
    struct Node {
        AgentId agent;
        DataCentreId dataCentre;
        EngineRole role = EngineRole::Decode;
        std::unique_ptr<EngineModel> engine;
        std::unique_ptr<RandomSource> random;
        std::unique_ptr<ModelHost> host;
        bool isUp = true;
        std::uint32_t freeSeen = 0;
    };
    struct EntryNode {
        DataCentreId dataCentre;
        std::unique_ptr<RandomSource> random;
        std::unique_ptr<Quarantine> quarantine;
        std::unique_ptr<ModelRouter<Policy>> router;
    };
    struct RequestProgress {
        PromptShape shape;
        TimePoint arrived;
        TimePoint lastToken;
        std::uint32_t tokens = 0;
        std::uint32_t slowGaps = 0;
        bool isFirstInTime = false;
        bool isCounted = false;
        bool isRetry = false;
    };

    DataCentreId dataCentreOf(std::uint32_t index) const
    {
        return DataCentreId { "dc" + std::to_string(index % this->settings.dataCentres) };
    }

    void buildNodes()
    {
        std::uint32_t total = this->settings.prefillEngines + this->settings.decodeEngines;
        for (std::uint32_t i = 0; i < total; ++i) {
            auto node = std::make_unique<Node>();
            node->agent = AgentId { "vm" + std::to_string(i) };
            node->role = i < this->settings.prefillEngines ? EngineRole::Prefill : EngineRole::Decode;
            node->dataCentre = this->dataCentreOf(i);
            EngineModelSettings engine = this->settings.engine;
            engine.role = node->role;
            engine.model = this->model;
            node->engine = std::make_unique<EngineModel>(
                engine, node->agent.raw(), this->timers, this->engineDirectory);
            node->random = std::make_unique<RandomSource>(this->settings.seed + 1000 + i);
            this->nodes.push_back(std::move(node));
            this->startHost(i, 1);
        }
    }

    void startHost(std::uint32_t index, std::uint64_t incarnation)
    {
        Node& node = *this->nodes[index];
        ModelHostSettings host;
        host.agent = node.agent;
        host.incarnation = Incarnation { index * 1000 + incarnation };
        node.host = std::make_unique<ModelHost>(host, this->timers, *node.random, this->events);
        node.engine->setHandler([this, index](const EngineEvent& event) {
            this->nodes[index]->host->onEngineEvent(event);
            this->drainHost(index);
        });
        node.engine->start();
    }

    void buildEntries()
    {
        for (std::uint32_t i = 0; i < this->settings.entries; ++i) {
            auto entry = std::make_unique<EntryNode>();
            entry->dataCentre = this->dataCentreOf(i);
            entry->random = std::make_unique<RandomSource>(this->settings.seed + 5000 + i);
            entry->quarantine = std::make_unique<Quarantine>();
            ModelRouterSettings router = this->settings.router;
            router.entry = EntryId { "entry" + std::to_string(i) + "/0" };
            router.incarnation = Incarnation { 7000 + i };
            router.dataCentre = entry->dataCentre;
            entry->router = std::make_unique<ModelRouter<Policy>>(
                router, Policy {}, this->timers, *entry->random, *entry->quarantine, this->events);
            this->entries.push_back(std::move(entry));
        }
    }

    void connectAll()
    {
        RoutingView view = this->viewNow();
        for (std::uint32_t e = 0; e < this->entries.size(); ++e) {
            this->entries[e]->router->updateView(view);
            for (std::uint32_t n = 0; n < this->nodes.size(); ++n) {
                this->nodes[n]->host->onConnected(this->connection(e));
                this->entries[e]->router->onAgentConnected(this->nodes[n]->agent);
            }
            this->drainRouter(e);
        }
    }

    RoutingView viewNow() const
    {
        RoutingView view;
        view.version = ConfigVersion { 1 };
        for (const auto& node : this->nodes) {
            if (node->isUp)
                view.engines.push_back({ node->agent, node->dataCentre, this->model, node->role });
        }
        return view;
    }

    static ConnectionId connection(std::uint32_t entry) { return ConnectionId { entry + 1 }; }

    void drainRouter(std::uint32_t e)
    {
        for (RouterAction& action : this->entries[e]->router->takeActions()) {
            if (auto* message = std::get_if<SendToAgent>(&action))
                this->toAgent(e, std::move(*message));
            else if (auto* tokens = std::get_if<DeliverTokens>(&action))
                this->onTokens(*tokens);
            else if (auto* finished = std::get_if<FinishAnswer>(&action))
                this->onFinished(*finished);
            else if (auto* refused = std::get_if<RefuseRequest>(&action))
                this->onRefused(*refused);
        }
    }

    void toAgent(std::uint32_t e, SendToAgent message)
    {
        auto n = static_cast<std::uint32_t>(std::stoul(message.agent.raw().substr(2)));
        auto deliver = [this, e, n, message = std::move(message.message)] {
            if (!this->nodes[n]->isUp)
                return;
            this->nodes[n]->host->onMessage(connection(e), message);
            this->drainHost(n);
        };
        this->network.send(
            e * 100'000ull + n, this->entries[e]->dataCentre, this->nodes[n]->dataCentre, std::move(deliver));
    }

    void drainHost(std::uint32_t n)
    {
        for (HostAction& action : this->nodes[n]->host->takeActions()) {
            if (auto* command = std::get_if<SendToEngine>(&action)) {
                this->nodes[n]->engine->onCommand(command->command);
                continue;
            }
            auto& message = std::get<SendToEntry>(action);
            auto e = static_cast<std::uint32_t>(message.connection.raw() - 1);
            auto deliver = [this, e, n, message = std::move(message.message)] {
                if (!this->nodes[n]->isUp)
                    return;
                this->entries[e]->router->onMessage(this->nodes[n]->agent, message);
                this->drainRouter(e);
            };
            this->network.send((1ull << 40) + n * 100'000ull + e, this->nodes[n]->dataCentre,
                this->entries[e]->dataCentre, std::move(deliver));
        }
    }

    void scheduleArrival()
    {
        double rate = this->settings.load * this->capacity.requestsPerSecond;
        this->timers.subscribeAfter(poissonGap(this->arrivalRandom, rate), [this] {
            if (!this->isArriving)
                return;
            this->submit(this->workload.next(), false);
            this->scheduleArrival();
        });
    }

    void submit(PromptShape shape, bool isRetry)
    {
        // Has a generator of its own: retries differ between policies and would otherwise shift the arrivals
        // of later requests.
        auto e = static_cast<std::uint32_t>(this->entryRandom.below(this->entries.size()));
        RequestId id { ++this->lastRequest };
        RequestProgress progress;
        progress.shape = shape;
        progress.arrived = this->timers.now();
        progress.isRetry = isRetry;
        progress.isCounted = !isRetry && this->timers.now() >= TimePoint {} + this->settings.warmUp;
        this->result.offered += progress.isCounted;
        if (!isRetry)
            ++this->result.offeredBySecond[this->secondOf(progress)];
        this->result.retries += isRetry;
        this->openRequests[id] = progress;
        this->entries[e]->router->submit(this->makeRequest(id, shape));
        this->drainRouter(e);
    }

    ModelRequest makeRequest(RequestId id, const PromptShape& shape) const
    {
        constexpr Duration RequestTimeout = std::chrono::seconds { 170 };
        ModelRequest request;
        request.id = id;
        request.workspace = WorkspaceId { "w" };
        request.model = this->model;
        request.prompt = encodeShape(shape);
        request.promptTokens = shape.promptTokens();
        request.maxOutputTokens = shape.outputTokens;
        request.firstTokenDue = this->timers.now() + this->settings.firstTokenTarget;
        request.deadline = this->timers.now() + RequestTimeout;
        return request;
    }

    std::size_t secondOf(const RequestProgress& progress) const
    {
        auto second
            = std::chrono::duration_cast<std::chrono::seconds>(progress.arrived.time_since_epoch()).count();
        return std::min(static_cast<std::size_t>(second), this->result.offeredBySecond.size() - 1);
    }

    void onTokens(const DeliverTokens& tokens)
    {
        auto found = this->openRequests.find(tokens.request);
        if (found == this->openRequests.end())
            return;
        RequestProgress& progress = found->second;
        TimePoint now = this->timers.now();
        if (progress.tokens == 0)
            progress.isFirstInTime = now - progress.arrived <= this->settings.firstTokenTarget;
        else if (now - progress.lastToken > this->settings.interTokenTarget)
            ++progress.slowGaps;
        progress.lastToken = now;
        progress.tokens += static_cast<std::uint32_t>(tokens.pieces.size());
    }

    void onFinished(const FinishAnswer& finished)
    {
        auto found = this->openRequests.find(finished.request);
        if (found == this->openRequests.end())
            return;
        const RequestProgress& progress = found->second;
        // At least 95 % of the gaps between tokens have to be within the target.
        bool isGood = progress.isFirstInTime && progress.slowGaps * 20 <= progress.tokens;
        this->result.good += progress.isCounted && isGood;
        this->result.late += progress.isCounted && !isGood;
        this->result.retriesAdmitted += progress.isRetry;
        if (isGood && !progress.isRetry)
            ++this->result.goodBySecond[this->secondOf(progress)];
        this->openRequests.erase(found);
    }

    void onRefused(const RefuseRequest& refused)
    {
        auto found = this->openRequests.find(refused.request);
        if (found == this->openRequests.end())
            return;
        RequestProgress progress = found->second;
        this->openRequests.erase(found);
        this->result.refused += progress.isCounted && progress.tokens == 0;
        this->result.broken += progress.isCounted && progress.tokens > 0;
        bool willRetry = !progress.isRetry && refused.refusal.retryAfter
            && this->networkRandom.unit() < this->settings.retryShare;
        if (!willRetry || !this->isArriving)
            return;
        this->timers.subscribeAfter(*refused.refusal.retryAfter, [this, shape = progress.shape] {
            if (this->isArriving)
                this->submit(shape, true);
        });
    }

    /// Load reports arrive at the routers one interval after the state that they describe.
    void scheduleReports()
    {
        this->timers.subscribeAfter(this->settings.reportInterval, [this] {
            bool isStopped = this->settings.fault == Fault::LoadReportsStop
                && this->timers.now() >= TimePoint {} + this->settings.faultAt;
            if (!isStopped)
                this->reportLoads();
            if (this->isArriving)
                this->scheduleReports();
        });
    }

    void reportLoads()
    {
        for (std::uint32_t n = 0; n < this->nodes.size(); ++n) {
            if (!this->nodes[n]->isUp)
                continue;
            LiveLoad load = this->nodes[n]->engine->load();
            this->timers.subscribeAfter(this->settings.reportInterval, [this, n, load] {
                for (auto& entry : this->entries)
                    entry->router->onLoadReport(this->nodes[n]->agent, load);
            });
        }
    }

    void scheduleFault()
    {
        if (this->settings.fault == Fault::None || this->settings.fault == Fault::LoadReportsStop)
            return;
        this->timers.subscribeAt(TimePoint {} + this->settings.faultAt, [this] {
            if (this->settings.fault == Fault::EngineCrash)
                this->loseNode(this->settings.prefillEngines);
            else
                this->loseDataCentre(DataCentreId { "dc0" });
        });
    }

    void loseDataCentre(const DataCentreId& lost)
    {
        for (std::uint32_t n = 0; n < this->nodes.size(); ++n) {
            if (this->nodes[n]->dataCentre == lost)
                this->loseNode(n);
        }
    }

    void loseNode(std::uint32_t n)
    {
        this->nodes[n]->isUp = false;
        this->nodes[n]->engine->crash();
        for (std::uint32_t e = 0; e < this->entries.size(); ++e) {
            this->entries[e]->router->onAgentLost(this->nodes[n]->agent);
            this->entries[e]->router->updateView(this->viewNow());
            this->drainRouter(e);
        }
    }

    void collect()
    {
        this->result.messages = this->network.messages();
        for (const auto& node : this->nodes) {
            this->result.prefillTokens += node->engine->counters().prefillTokens;
            this->result.prefillTokensWasted += node->engine->counters().prefillTokensWasted;
        }
    }

    const SiteSettings settings;
    const SiteCapacity capacity;
    const ModelId model { "m" };
    TimerService timers;
    NullEventSink events;
    EngineDirectory engineDirectory;
    RandomSource arrivalRandom;
    RandomSource networkRandom;
    RandomSource entryRandom;
    VirtualNetwork network;
    Workload workload;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<EntryNode>> entries;
    std::unordered_map<RequestId, RequestProgress> openRequests;
    std::uint64_t lastRequest = 0;
    bool isArriving = true;
    RunResult result;
};

} // namespace peridotgrade::bench
