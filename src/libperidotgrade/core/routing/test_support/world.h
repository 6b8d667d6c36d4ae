// Simulation in virtual time of entries, agents and engines with the connections between them.
#pragma once

#include "fake_engine.h"
#include "fake_network.h"
#include "fake_process.h"
#include "fake_request.h"
#include "request_ledger.h"
#include "world_settings.h"

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

namespace peridotgrade::test {

class World {
public:
    explicit World(WorldSettings settings)
        : settings(std::move(settings))
        , random(this->settings.seed)
    {
        this->entries.resize(this->settings.entries);
        this->agents.resize(this->settings.engines.size());
        for (std::size_t i = 0; i < this->settings.engines.size(); ++i)
            this->addEngine(i);
        for (std::size_t i = 0; i < this->agents.size(); ++i)
            this->startAgent(i);
        for (std::size_t i = 0; i < this->entries.size(); ++i)
            this->startEntry(i);
    }

    RequestLedger ledger;
    EventLog log;
    TimerService clock;
    WorldSettings settings;
    RandomSource random;
    FakeNetwork network { this->clock, this->random };
    std::vector<std::unique_ptr<FakeEngine>> engines;
    std::vector<std::unique_ptr<FakeAgent>> agents;
    std::vector<std::unique_ptr<FakeEntry>> entries;
    /// Called when a poison request is refused, so that its caller can send it again.
    std::function<void(const LedgerEntry&)> onPoisonEnded;
    /// Fraction of the quarantine notices between entries that are lost.
    double lostQuarantineNotices = 0;

    // Requests.

    RequestId submit(std::size_t entry, std::uint64_t number, bool isPoison = false,
        std::chrono::milliseconds firstTokenIn = std::chrono::milliseconds { 1500 })
    {
        ModelRequest request = fakeRequest(this->random, number, isPoison);
        request.firstTokenDue = this->clock.now() + firstTokenIn;
        request.deadline = this->clock.now() + std::chrono::seconds { 6 };
        LedgerEntry opened;
        opened.prompt = request.prompt;
        opened.maxTokens = request.maxOutputTokens;
        opened.entry = entry;
        RequestId id = request.id;
        this->ledger.open(id, opened);
        if (!this->entries[entry]) {
            this->ledger.markAbandoned(id);
            return id;
        }
        FakeEntry* process = this->entries[entry].get();
        process->post([process, request] { process->router.submit(request); });
        return id;
    }

    void cancel(RequestId id)
    {
        const LedgerEntry& request = this->ledger.all().at(id);
        FakeEntry* process = this->entries[request.entry].get();
        if (!process || request.finalActions > 0 || request.isAbandoned)
            return;
        process->post([this, process, id] {
            if (this->ledger.all().at(id).finalActions > 0)
                return;
            this->ledger.markAbandoned(id);
            process->router.cancel(id);
        });
    }

    // Processes.

    void startEntry(std::size_t index)
    {
        if (this->entries[index])
            return;
        ModelRouterSettings router = this->settings.router;
        router.entry = EntryId { "entry" + std::to_string(index) };
        router.incarnation = Incarnation { this->random.next() };
        this->entries[index]
            = std::make_unique<FakeEntry>(router, this->clock.now(), this->random.next(), this->log);
        this->entries[index]->serial = ++this->lastSerial;
        RoutingView view;
        for (std::size_t i = 0; i < this->settings.engines.size(); ++i)
            view.engines.push_back(
                { agentId(i), DataCentreId {}, ModelId { "m" }, this->settings.engines[i] });
        this->entries[index]->router.updateView(view);
        for (std::size_t i = 0; i < this->agents.size(); ++i)
            this->connectLater(index, i);
    }

    void killEntry(std::size_t index)
    {
        for (const auto& [id, request] : this->ledger.all()) {
            if (request.entry == index && request.finalActions == 0)
                this->ledger.markAbandoned(id);
        }
        this->entries[index].reset();
        for (std::size_t i = 0; i < this->agents.size(); ++i)
            this->cut(index, i);
    }

    void startAgent(std::size_t index)
    {
        if (this->agents[index])
            return;
        ModelHostSettings host;
        host.agent = agentId(index);
        host.incarnation = Incarnation { this->random.next() };
        host.leaseDuration = this->settings.leaseDuration;
        this->agents[index]
            = std::make_unique<FakeAgent>(host, this->clock.now(), this->random.next(), this->log);
        this->agents[index]->serial = ++this->lastSerial;
        if (this->engines[index]->isUp())
            this->engines[index]->emit(this->engines[index]->description());
        for (std::size_t i = 0; i < this->entries.size(); ++i)
            this->connectLater(i, index);
    }

    void killAgent(std::size_t index)
    {
        this->agents[index].reset();
        for (std::size_t i = 0; i < this->entries.size(); ++i)
            this->cut(i, index);
    }

    void drainAgent(std::size_t index)
    {
        FakeAgent* agent = this->agents[index].get();
        if (!agent)
            return;
        agent->post([agent] {
            agent->isDrainRequested = true;
            agent->host.drain();
        });
    }

    // Connections.

    void cut(std::size_t entry, std::size_t agent)
    {
        auto found = this->connections.find({ entry, agent });
        if (found == this->connections.end())
            return;
        std::shared_ptr<Connection> connection = found->second;
        this->connections.erase(found);
        connection->isCut = true;
        this->clock.subscribeAfter(
            this->network.delayUpTo(this->network.faults.maxCutNoticeDelay), [this, connection] {
                FakeAgent* process = this->agents[connection->agent].get();
                if (process && process->serial == connection->agentSerial)
                    process->post([process, connection] { process->host.onDisconnected(connection->id); });
            });
        FakeEntry* process = this->entries[entry].get();
        if (process && process->serial == connection->entrySerial)
            process->post([process, agent] { process->router.onAgentLost(agentId(agent)); });
        this->connectLater(entry, agent);
    }

    // Time.

    void runFor(Duration span)
    {
        TimePoint end = this->clock.now() + span;
        this->settle();
        while (auto next = this->nextDue()) {
            if (*next > end)
                break;
            this->clock.advance(*next);
            this->settle();
        }
        this->clock.advance(end);
        this->settle();
    }

    static AgentId agentId(std::size_t index) { return AgentId { "agent" + std::to_string(index) }; }

private:
    using Connection = FakeConnection;
    using Pair = std::pair<std::size_t, std::size_t>;

    void addEngine(std::size_t index)
    {
        FakeEngineSettings engine;
        engine.name = "engine" + std::to_string(index);
        engine.role = this->settings.engines[index];
        this->engines.push_back(std::make_unique<FakeEngine>(engine, this->clock, this->random));
        FakeEngine& added = *this->engines.back();
        added.emit = [this, index](EngineEvent event) {
            if (std::holds_alternative<EngineDied>(event))
                this->restartEngineLater(index);
            this->toAgent(index, std::move(event));
        };
        added.importKv = [this](const std::string& exporter, const KvHandle& handle) {
            std::size_t from = std::stoul(exporter.substr(6));
            return this->engines[from]->exportKv(handle);
        };
        this->lastEngineEvent.emplace_back();
    }

    void restartEngineLater(std::size_t index)
    {
        Duration delay = this->network.delayUpTo(std::chrono::milliseconds { 1500 });
        this->clock.subscribeAfter(delay, [this, index] { this->engines[index]->restart(); });
    }

    /// Events of one engine arrive in order.
    void toAgent(std::size_t index, EngineEvent event)
    {
        FakeAgent* process = this->agents[index].get();
        if (!process)
            return;
        TimePoint due = this->clock.now() + this->network.delayUpTo(this->network.faults.maxDelay);
        due = std::max(due, this->lastEngineEvent[index]);
        this->lastEngineEvent[index] = due;
        this->clock.subscribeAt(due, [this, index, serial = process->serial, event = std::move(event)] {
            FakeAgent* receiver = this->agents[index].get();
            if (receiver && receiver->serial == serial)
                receiver->post([receiver, event] { receiver->host.onEngineEvent(event); });
        });
    }

    /// Commands are separate calls, so one may overtake another or be lost.
    void toEngine(std::size_t index, const EngineCommand& command)
    {
        if (this->random.unit() < this->network.faults.lossRate)
            return;
        this->clock.subscribeAfter(
            this->network.delayUpTo(this->network.faults.maxDelay), [this, index, command] {
                if (!this->engines[index]->isUp())
                    return;
                if (const auto* prefill = std::get_if<EnginePrefill>(&command))
                    this->ledger.onEngineStart(callersPart(prefill->prompt));
                if (const auto* decode = std::get_if<EngineDecode>(&command))
                    this->ledger.onEngineStart(callersPart(decode->prompt));
                this->engines[index]->onCommand(command);
            });
    }

    void connectLater(std::size_t entry, std::size_t agent)
    {
        Duration delay = this->network.delayUpTo(std::chrono::milliseconds { 300 });
        this->clock.subscribeAfter(delay, [this, entry, agent] { this->connect(entry, agent); });
    }

    void connect(std::size_t entry, std::size_t agent)
    {
        FakeEntry* entryProcess = this->entries[entry].get();
        FakeAgent* agentProcess = this->agents[agent].get();
        if (!entryProcess || !agentProcess || this->connections.contains({ entry, agent }))
            return;
        auto connection = std::make_shared<Connection>();
        connection->id = ConnectionId { ++this->lastConnection };
        connection->entry = entry;
        connection->agent = agent;
        connection->entrySerial = entryProcess->serial;
        connection->agentSerial = agentProcess->serial;
        this->connections[{ entry, agent }] = connection;
        agentProcess->post([agentProcess, id = connection->id] { agentProcess->host.onConnected(id); });
        entryProcess->post([entryProcess, agent] { entryProcess->router.onAgentConnected(agentId(agent)); });
    }

    void perform(std::size_t entry, const SendToAgent& action)
    {
        std::size_t agent = std::stoul(action.agent.raw().substr(5));
        auto found = this->connections.find({ entry, agent });
        if (found == this->connections.end())
            return;
        std::shared_ptr<Connection> connection = found->second;
        this->network.transmit(connection->lastToAgent, [this, connection, message = action.message] {
            FakeAgent* process = this->agents[connection->agent].get();
            if (connection->isCut || !process || process->serial != connection->agentSerial)
                return;
            process->post([process, id = connection->id, message] { process->host.onMessage(id, message); });
        });
    }

    void perform(std::size_t, const DeliverTokens& action) { this->ledger.onTokens(action); }
    void perform(std::size_t, const FinishAnswer& action) { this->ledger.onFinish(action); }

    void perform(std::size_t, const RefuseRequest& action)
    {
        const LedgerEntry* entry = this->ledger.onRefuse(action);
        if (entry && isPoison(entry->prompt) && this->onPoisonEnded)
            this->onPoisonEnded(*entry);
    }

    void perform(std::size_t from, const PublishQuarantine& action)
    {
        for (std::size_t i = 0; i < this->entries.size(); ++i) {
            if (i == from || this->random.unit() < this->lostQuarantineNotices)
                continue;
            this->clock.subscribeAfter(
                this->network.delayUpTo(std::chrono::milliseconds { 300 }), [this, i, action] {
                    FakeEntry* process = this->entries[i].get();
                    QuarantineNotice notice { { action.fingerprint } };
                    if (process)
                        process->post([process, notice] { process->router.onMessage(AgentId {}, notice); });
                });
        }
    }

    void perform(std::size_t agent, const SendToEntry& action)
    {
        for (const auto& [pair, connection] : this->connections) {
            if (connection->id != action.connection || pair.second != agent)
                continue;
            auto kept = connection;
            this->network.transmit(kept->lastToEntry, [this, kept, message = action.message] {
                FakeEntry* process = this->entries[kept->entry].get();
                if (kept->isCut || !process || process->serial != kept->entrySerial)
                    return;
                process->post([process, from = agentId(kept->agent), message] {
                    process->router.onMessage(from, message);
                });
            });
            return;
        }
    }

    void perform(std::size_t agent, const SendToEngine& action) { this->toEngine(agent, action.command); }

    template <typename Core> void performActions(std::size_t index, Core& core)
    {
        for (const auto& action : core.takeActions())
            std::visit([&](const auto& typed) { this->perform(index, typed); }, action);
    }

    /// Runs one iteration of each process that has work to do; returns false if none has.
    template <typename Process, typename CoreOf>
    bool runAllOnce(std::vector<std::unique_ptr<Process>>& processes, CoreOf coreOf)
    {
        bool wasBusy = false;
        for (std::size_t i = 0; i < processes.size(); ++i) {
            if (!processes[i] || !processes[i]->isDue(this->clock.now()))
                continue;
            wasBusy = true;
            processes[i]->runOnce(this->clock.now());
            this->performActions(i, coreOf(*processes[i]));
        }
        return wasBusy;
    }

    void settle()
    {
        bool wasBusy = true;
        while (wasBusy) {
            bool haveEntriesWorked = this->runAllOnce(
                this->entries, [](FakeEntry & entry) -> auto& { return entry.router; });
            bool haveAgentsWorked = this->runAllOnce(
                this->agents, [](FakeAgent & agent) -> auto& { return agent.host; });
            wasBusy = haveEntriesWorked || haveAgentsWorked;
        }
    }

    std::optional<TimePoint> nextDue() const
    {
        std::optional<TimePoint> next = this->clock.nextDue();
        auto consider = [&](const FakeProcess* process) {
            if (!process || process->isFrozen)
                return;
            auto due = process->timers.nextDue();
            if (due && (!next || *due < *next))
                next = due;
        };
        for (const auto& entry : this->entries)
            consider(entry.get());
        for (const auto& agent : this->agents)
            consider(agent.get());
        return next;
    }

    std::uint64_t lastConnection = 0;
    std::uint64_t lastSerial = 0;
    std::map<Pair, std::shared_ptr<Connection>> connections;
    std::vector<TimePoint> lastEngineEvent;
};

} // namespace peridotgrade::test
