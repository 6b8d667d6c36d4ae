// The randomised simulation: agents, connections and faults.
#include "action_simulation.h"

namespace peridotgrade::testing {

namespace {

    using std::chrono::hours;
    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;

} // namespace

// Agents.

void ActionSimulation::startAgent(std::size_t index)
{
    SimulatedAgent& agent = this->agents.at(index);
    ++agent.incarnation;
    agent.isAlive = true;
    agent.isFrozen = false;
    agent.inbox.clear();
    agent.host.reset();
    agent.timers = std::make_unique<TimerService>(this->now());
    agent.events = std::make_unique<HistorySink>(this->runHistory, agent.incarnationName());
    // Some agents' clocks are far off, which may cost only availability.
    agent.clockError = milliseconds { 0 };
    if (!this->isFaultFree && this->chance(0.1))
        agent.clockError = std::chrono::duration_cast<milliseconds>(this->between(hours { -1 }, hours { 1 }));
    ActionHostSettings settings;
    settings.agent = AgentId { agent.name };
    settings.incarnation = Incarnation { agent.incarnation };
    settings.startedAt = this->wallNow() + agent.clockError;
    agent.host = std::make_unique<ActionHost>(settings, *agent.timers, *agent.events);
}

void ActionSimulation::pumpAgent(SimulatedAgent& agent)
{
    while (agent.isRunning()) {
        auto actions = agent.host->takeActions();
        if (actions.empty())
            return;
        for (const ActionHostAction& action : actions) {
            bool isFaulty = !this->isFaultFree && this->chance(this->faults.atAction);
            if (isFaulty && this->chance(0.5))
                this->kill(agent);
            if (!agent.isAlive)
                return;
            if (auto* call = std::get_if<CallApplication>(&action))
                this->callApplication(agent, *call);
            else
                this->sendToEntry(std::get<SendToEntry>(action));
            if (isFaulty)
                this->freeze(agent, this->outageLength());
        }
    }
}

void ActionSimulation::callApplication(SimulatedAgent& agent, const CallApplication& call)
{
    auto reportResult = [this, &agent, number = call.number](
                            Duration delay, ApplicationCallResult result, const std::string& body = {}) {
        ApplicationAnswer answer;
        answer.status = 200;
        answer.body = body;
        this->post(agent, delay,
            [&agent, number, result, answer] { agent.host->onCallEnded(number, result, answer); });
    };
    auto effect = [this, key = call.key, origin = agent.startingRequest, since = agent.startSentAt](
                      Duration delay) {
        if (!key.raw().empty())
            this->after(delay, [this, key, origin, since] { this->runApplication(key, origin, since); });
    };
    Duration requestDelay = this->between(milliseconds { 1 }, milliseconds { 50 });
    if (!this->isFaultFree && this->chance(this->faults.slowCall))
        requestDelay = this->between(milliseconds { 50 }, seconds { 30 });
    Duration responseDelay = requestDelay + this->networkDelay();
    std::string answer = call.key.raw() + " for " + std::to_string(agent.startingRequest.raw());
    if (this->isFaultFree || !this->chance(this->faults.abnormalResult)) {
        effect(requestDelay);
        if (responseDelay < call.timeout)
            reportResult(responseDelay, ApplicationCallResult::Answered, answer);
        else
            reportResult(call.timeout, ApplicationCallResult::Lost);
        return;
    }
    switch (this->random.below(3)) {
    case 0:
        reportResult(requestDelay, ApplicationCallResult::NotSent);
        return;
    case 1:
        reportResult(responseDelay, ApplicationCallResult::Lost);
        return;
    default:
        effect(requestDelay);
        reportResult(responseDelay, ApplicationCallResult::Lost);
        return;
    }
}

void ActionSimulation::runApplication(const IdempotencyKey& key, RequestId origin, TimePoint startedAt)
{
    std::string answer = key.raw() + " for " + std::to_string(origin.raw());
    this->runHistory.addLine(this->now(), "application", "ran " + answer);
    this->runHistory.recordEffect({ key, origin, startedAt, answer });
}

// Connections.

void ActionSimulation::connect(std::size_t entry, std::size_t agent)
{
    Duration delay = this->between(milliseconds { 1 }, seconds { 2 });
    this->post(this->entries.at(entry), delay, [this, entry, agent] { this->tryConnect(entry, agent); });
}

void ActionSimulation::tryConnect(std::size_t entryIndex, std::size_t agentIndex)
{
    SimulatedEntry& entry = this->entries.at(entryIndex);
    SimulatedAgent& agent = this->agents.at(agentIndex);
    if (this->connectionBetween(entryIndex, agentIndex))
        return;
    if (!agent.isRunning()) {
        this->connect(entryIndex, agentIndex);
        return;
    }
    SimulatedConnection connection;
    connection.id = ConnectionId { ++this->lastId };
    connection.entry = entryIndex;
    connection.entryIncarnation = entry.incarnation;
    connection.agent = agentIndex;
    connection.agentIncarnation = agent.incarnation;
    this->connections.emplace(connection.id, connection);
    agent.timers->advance(this->now());
    agent.host->onConnected(connection.id);
    entry.router->onAgentConnected(AgentId { agent.name }, Incarnation { agent.incarnation });
    this->runHistory.addLine(this->now(), entry.incarnationName(), "connected to " + agent.incarnationName());
}

SimulatedConnection* ActionSimulation::connectionBetween(std::size_t entry, std::size_t agent)
{
    for (auto& [id, connection] : this->connections) {
        if (connection.entry == entry && connection.agent == agent && !connection.isCut)
            return &connection;
    }
    return nullptr;
}

void ActionSimulation::cut(std::size_t entryIndex, std::size_t agentIndex)
{
    SimulatedConnection* connection = this->connectionBetween(entryIndex, agentIndex);
    if (!connection)
        return;
    connection->isCut = true;
    connection->deliversUntil = this->now();
    if (this->chance(0.5))
        connection->deliversUntil += this->between(milliseconds { 0 }, seconds { 30 });
    SimulatedEntry& entry = this->entries.at(entryIndex);
    SimulatedAgent& agent = this->agents.at(agentIndex);
    this->runHistory.addLine(this->now(), entry.incarnationName(), "cut from " + agent.incarnationName());
    if (entry.isAlive && entry.incarnation == connection->entryIncarnation) {
        this->post(entry, milliseconds { 0 },
            [&entry, name = AgentId { agent.name }] { entry.router->onAgentLost(name); });
        this->connect(entryIndex, agentIndex);
    }
    if (agent.isAlive && agent.incarnation == connection->agentIncarnation)
        this->post(agent, connection->deliversUntil - this->now(),
            [&agent, id = connection->id] { agent.host->onDisconnected(id); });
}

void ActionSimulation::sendToAgent(SimulatedEntry& entry, const SendToAgent& message)
{
    auto entryIndex = static_cast<std::size_t>(&entry - this->entries.data());
    std::size_t agentIndex = 0;
    while (agentIndex < AgentCount && this->agents.at(agentIndex).name != message.agent.raw())
        ++agentIndex;
    SimulatedConnection* connection = this->connectionBetween(entryIndex, agentIndex);
    if (!connection)
        return;
    SimulatedAgent& agent = this->agents.at(agentIndex);
    connection->lastAtAgent = std::max(connection->lastAtAgent, this->now() + this->networkDelay());
    ConnectionId id = connection->id;
    TimePoint arrival = connection->lastAtAgent;
    auto handle = [this, &agent, id, message, sent = this->now()] {
        if (const auto* start = std::get_if<StartAction>(&message.message)) {
            agent.startingRequest = start->attempt.request;
            agent.startSentAt = sent;
        }
        agent.host->onMessage(id, message.message);
        this->pumpAgent(agent);
    };
    this->after(arrival - this->now(), [this, &agent, id, arrival, handle] {
        const SimulatedConnection& used = this->connections.at(id);
        bool isLost = used.isCut && arrival > used.deliversUntil;
        if (!isLost && agent.isAlive && agent.incarnation == used.agentIncarnation)
            this->handleArrival(agent, handle);
    });
}

void ActionSimulation::sendToEntry(const SendToEntry& message)
{
    auto found = this->connections.find(message.connection);
    if (found == this->connections.end() || found->second.isCut)
        return;
    SimulatedConnection& connection = found->second;
    SimulatedEntry& entry = this->entries.at(connection.entry);
    AgentId agent { this->agents.at(connection.agent).name };
    connection.lastAtEntry = std::max(connection.lastAtEntry, this->now() + this->networkDelay());
    ConnectionId id = connection.id;
    this->after(connection.lastAtEntry - this->now(), [this, &entry, id, agent, message] {
        const SimulatedConnection& used = this->connections.at(id);
        if (used.isCut || !entry.isAlive || entry.incarnation != used.entryIncarnation)
            return;
        this->handleArrival(
            entry, [&entry, agent, message] { entry.router->onMessage(agent, message.message); });
    });
}

// Faults.

void ActionSimulation::injectFault()
{
    if (this->isFaultFree)
        return;
    auto entry = static_cast<std::size_t>(this->random.below(EntryCount));
    auto agent = static_cast<std::size_t>(this->random.below(AgentCount));
    switch (this->random.below(9)) {
    case 0:
        this->killEntry(entry);
        return;
    case 1:
        this->killAgent(agent);
        return;
    case 2:
        this->freeze(this->entries.at(entry), this->outageLength());
        return;
    case 3:
        this->freeze(this->agents.at(agent), this->outageLength());
        return;
    case 4:
    case 5:
        this->cut(entry, agent);
        return;
    case 6:
        this->isLogUp = false;
        this->after(this->outageLength(), [this] { this->isLogUp = true; });
        return;
    case 7:
        if (this->agents.at(agent).isRunning()) {
            this->agents.at(agent).host->drain();
            this->after(this->outageLength(), [this, agent] { this->killAgent(agent); });
        }
        return;
    default:
        if (this->entries.at(entry).isRunning())
            this->updateCandidates(this->entries.at(entry));
        return;
    }
}

void ActionSimulation::kill(SimulatedNode& node)
{
    for (std::size_t i = 0; i < EntryCount; ++i) {
        if (&this->entries.at(i) == &node)
            this->killEntry(i);
    }
    for (std::size_t i = 0; i < AgentCount; ++i) {
        if (&this->agents.at(i) == &node)
            this->killAgent(i);
    }
}

void ActionSimulation::killEntry(std::size_t index)
{
    SimulatedEntry& entry = this->entries.at(index);
    if (!entry.isAlive)
        return;
    this->runHistory.addLine(this->now(), entry.incarnationName(), "killed");
    for (std::size_t agent = 0; agent < AgentCount; ++agent)
        this->cut(index, agent);
    entry.isAlive = false;
    for (RequestId request : entry.submittedRequests)
        this->runHistory.markDisconnected(request);
    entry.submittedRequests.clear();
    this->after(
        this->between(milliseconds { 50 }, minutes { 1 }), [this, index] { this->startEntry(index); });
}

void ActionSimulation::killAgent(std::size_t index)
{
    SimulatedAgent& agent = this->agents.at(index);
    if (!agent.isAlive)
        return;
    this->runHistory.addLine(this->now(), agent.incarnationName(), "killed");
    for (std::size_t entry = 0; entry < EntryCount; ++entry)
        this->cut(entry, index);
    agent.isAlive = false;
    this->after(
        this->between(milliseconds { 50 }, minutes { 1 }), [this, index] { this->startAgent(index); });
}

void ActionSimulation::freeze(SimulatedNode& node, Duration length)
{
    if (!node.isRunning())
        return;
    node.isFrozen = true;
    this->runHistory.addLine(this->now(), node.incarnationName(), "frozen");
    this->after(length, [this, &node, incarnation = node.incarnation] {
        if (node.incarnation == incarnation)
            this->thaw(node);
    });
}

void ActionSimulation::thaw(SimulatedNode& node)
{
    if (!node.isAlive || !node.isFrozen)
        return;
    node.isFrozen = false;
    this->runHistory.addLine(this->now(), node.incarnationName(), "thawed");
    // Queued messages may be handled before the timers are advanced past the time spent frozen.
    if (this->chance(0.5))
        node.timers->advance(this->now());
    std::vector<std::function<void()>> inbox;
    inbox.swap(node.inbox);
    std::uint64_t incarnation = node.incarnation;
    for (const auto& work : inbox) {
        if (!node.isAlive || node.incarnation != incarnation)
            return;
        if (node.isFrozen)
            node.inbox.push_back(work);
        else
            work();
        this->pump(node);
    }
}

void ActionSimulation::stopFaults()
{
    this->isFaultFree = true;
    this->isLogUp = true;
    for (SimulatedEntry& entry : this->entries)
        this->thaw(entry);
    for (SimulatedAgent& agent : this->agents)
        this->thaw(agent);
    for (SimulatedEntry& entry : this->entries) {
        if (entry.isAlive)
            this->updateCandidates(entry);
    }
}

} // namespace peridotgrade::testing
