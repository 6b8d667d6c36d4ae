// The randomised run: agents, connections and what fails.
#include "random_world.h"

namespace peridotgrade::testing {

namespace {

    using std::chrono::hours;
    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;

} // namespace

// Agents.

void RandomWorld::startAgent(std::size_t index)
{
    WorldAgent& agent = this->agents.at(index);
    ++agent.run;
    agent.isAlive = true;
    agent.isFrozen = false;
    agent.inbox.clear();
    agent.host.reset();
    agent.timers = std::make_unique<TimerService>(this->now());
    agent.events = std::make_unique<JournalSink>(this->notes, agent.runName());
    // Some agents' clocks are far off, which may cost availability only.
    agent.clockError = milliseconds { 0 };
    if (!this->isCalm && this->chance(0.1))
        agent.clockError = std::chrono::duration_cast<milliseconds>(this->between(hours { -1 }, hours { 1 }));
    ActionHostSettings settings;
    settings.agent = AgentId { agent.name };
    settings.incarnation = Incarnation { agent.run };
    settings.startedAt = this->wallNow() + agent.clockError;
    agent.host = std::make_unique<ActionHost>(settings, *agent.timers, *agent.events);
}

void RandomWorld::pumpAgent(WorldAgent& agent)
{
    while (agent.isRunning()) {
        auto actions = agent.host->takeActions();
        if (actions.empty())
            return;
        for (const ActionHostAction& action : actions) {
            bool isHit = !this->isCalm && this->chance(this->faults.atAction);
            if (isHit && this->chance(0.5))
                this->kill(agent);
            if (!agent.isAlive)
                return;
            if (auto* call = std::get_if<CallApplication>(&action))
                this->callApplication(agent, *call);
            else
                this->sendToEntry(std::get<SendToEntry>(action));
            if (isHit)
                this->freeze(agent, this->outageLength());
        }
    }
}

void RandomWorld::callApplication(WorldAgent& agent, const CallApplication& call)
{
    auto ended = [this, &agent, number = call.number](
                     Duration delay, CallResult result, const std::string& body = {}) {
        ApplicationAnswer answer;
        answer.status = 200;
        answer.body = body;
        this->post(agent, delay,
            [&agent, number, result, answer] { agent.host->onCallEnded(number, result, answer); });
    };
    auto effect = [this, key = call.key, origin = agent.startingRequest, since = agent.startingSince](
                      Duration delay) {
        if (!key.raw().empty())
            this->after(delay, [this, key, origin, since] { this->runApplication(key, origin, since); });
    };
    Duration there = this->between(milliseconds { 1 }, milliseconds { 50 });
    if (!this->isCalm && this->chance(this->faults.slowCall))
        there = this->between(milliseconds { 50 }, seconds { 30 });
    Duration back = there + this->networkDelay();
    std::string answer = call.key.raw() + " for " + std::to_string(agent.startingRequest.raw());
    if (this->isCalm || !this->chance(this->faults.unusualEnd)) {
        effect(there);
        if (back < call.timeout)
            ended(back, CallResult::Answered, answer);
        else
            ended(call.timeout, CallResult::Lost);
        return;
    }
    switch (this->random.below(3)) {
    case 0:
        ended(there, CallResult::NotSent);
        return;
    case 1:
        ended(back, CallResult::Lost);
        return;
    default:
        effect(there);
        ended(back, CallResult::Lost);
        return;
    }
}

void RandomWorld::runApplication(const IdempotencyKey& key, RequestId origin, TimePoint startedAt)
{
    std::string answer = key.raw() + " for " + std::to_string(origin.raw());
    this->notes.note(this->now(), "application", "ran " + answer);
    this->notes.ran({ key, origin, startedAt, answer });
}

// Connections.

void RandomWorld::connect(std::size_t entry, std::size_t agent)
{
    Duration delay = this->between(milliseconds { 1 }, seconds { 2 });
    this->post(this->entries.at(entry), delay, [this, entry, agent] { this->tryConnect(entry, agent); });
}

void RandomWorld::tryConnect(std::size_t entryIndex, std::size_t agentIndex)
{
    WorldEntry& entry = this->entries.at(entryIndex);
    WorldAgent& agent = this->agents.at(agentIndex);
    if (this->linkOf(entryIndex, agentIndex))
        return;
    if (!agent.isRunning()) {
        this->connect(entryIndex, agentIndex);
        return;
    }
    WorldLink link;
    link.id = ConnectionId { ++this->lastId };
    link.entry = entryIndex;
    link.entryRun = entry.run;
    link.agent = agentIndex;
    link.agentRun = agent.run;
    this->links.emplace(link.id, link);
    agent.timers->advance(this->now());
    agent.host->onConnected(link.id);
    entry.router->onAgentConnected(AgentId { agent.name }, Incarnation { agent.run });
    this->notes.note(this->now(), entry.runName(), "connected to " + agent.runName());
}

WorldLink* RandomWorld::linkOf(std::size_t entry, std::size_t agent)
{
    for (auto& [id, link] : this->links) {
        if (link.entry == entry && link.agent == agent && !link.isCut)
            return &link;
    }
    return nullptr;
}

void RandomWorld::cut(std::size_t entryIndex, std::size_t agentIndex)
{
    WorldLink* link = this->linkOf(entryIndex, agentIndex);
    if (!link)
        return;
    link->isCut = true;
    link->survivesUntil = this->now();
    if (this->chance(0.5))
        link->survivesUntil += this->between(milliseconds { 0 }, seconds { 30 });
    WorldEntry& entry = this->entries.at(entryIndex);
    WorldAgent& agent = this->agents.at(agentIndex);
    this->notes.note(this->now(), entry.runName(), "cut from " + agent.runName());
    if (entry.isAlive && entry.run == link->entryRun) {
        this->post(entry, milliseconds { 0 },
            [&entry, name = AgentId { agent.name }] { entry.router->onAgentLost(name); });
        this->connect(entryIndex, agentIndex);
    }
    if (agent.isAlive && agent.run == link->agentRun)
        this->post(agent, link->survivesUntil - this->now(),
            [&agent, id = link->id] { agent.host->onDisconnected(id); });
}

void RandomWorld::sendToAgent(WorldEntry& entry, const SendToAgent& message)
{
    auto entryIndex = static_cast<std::size_t>(&entry - this->entries.data());
    std::size_t agentIndex = 0;
    while (agentIndex < AgentCount && this->agents.at(agentIndex).name != message.agent.raw())
        ++agentIndex;
    WorldLink* link = this->linkOf(entryIndex, agentIndex);
    if (!link)
        return;
    WorldAgent& agent = this->agents.at(agentIndex);
    link->lastAtAgent = std::max(link->lastAtAgent, this->now() + this->networkDelay());
    ConnectionId id = link->id;
    TimePoint arrival = link->lastAtAgent;
    auto handle = [this, &agent, id, message, sent = this->now()] {
        if (const auto* start = std::get_if<StartAction>(&message.message)) {
            agent.startingRequest = start->attempt.request;
            agent.startingSince = sent;
        }
        agent.host->onMessage(id, message.message);
        this->pumpAgent(agent);
    };
    this->after(arrival - this->now(), [this, &agent, id, arrival, handle] {
        const WorldLink& used = this->links.at(id);
        bool isLost = used.isCut && arrival > used.survivesUntil;
        if (!isLost && agent.isAlive && agent.run == used.agentRun)
            this->arrive(agent, handle);
    });
}

void RandomWorld::sendToEntry(const SendToEntry& message)
{
    auto found = this->links.find(message.connection);
    if (found == this->links.end() || found->second.isCut)
        return;
    WorldLink& link = found->second;
    WorldEntry& entry = this->entries.at(link.entry);
    AgentId agent { this->agents.at(link.agent).name };
    link.lastAtEntry = std::max(link.lastAtEntry, this->now() + this->networkDelay());
    ConnectionId id = link.id;
    this->after(link.lastAtEntry - this->now(), [this, &entry, id, agent, message] {
        const WorldLink& used = this->links.at(id);
        if (used.isCut || !entry.isAlive || entry.run != used.entryRun)
            return;
        this->arrive(entry, [&entry, agent, message] { entry.router->onMessage(agent, message.message); });
    });
}

// Faults.

void RandomWorld::someFault()
{
    if (this->isCalm)
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

void RandomWorld::kill(WorldNode& node)
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

void RandomWorld::killEntry(std::size_t index)
{
    WorldEntry& entry = this->entries.at(index);
    if (!entry.isAlive)
        return;
    this->notes.note(this->now(), entry.runName(), "killed");
    for (std::size_t agent = 0; agent < AgentCount; ++agent)
        this->cut(index, agent);
    entry.isAlive = false;
    for (RequestId request : entry.open)
        this->notes.deafen(request);
    entry.open.clear();
    this->after(
        this->between(milliseconds { 50 }, minutes { 1 }), [this, index] { this->startEntry(index); });
}

void RandomWorld::killAgent(std::size_t index)
{
    WorldAgent& agent = this->agents.at(index);
    if (!agent.isAlive)
        return;
    this->notes.note(this->now(), agent.runName(), "killed");
    for (std::size_t entry = 0; entry < EntryCount; ++entry)
        this->cut(entry, index);
    agent.isAlive = false;
    this->after(
        this->between(milliseconds { 50 }, minutes { 1 }), [this, index] { this->startAgent(index); });
}

void RandomWorld::freeze(WorldNode& node, Duration length)
{
    if (!node.isRunning())
        return;
    node.isFrozen = true;
    this->notes.note(this->now(), node.runName(), "frozen");
    this->after(length, [this, &node, run = node.run] {
        if (node.run == run)
            this->thaw(node);
    });
}

void RandomWorld::thaw(WorldNode& node)
{
    if (!node.isAlive || !node.isFrozen)
        return;
    node.isFrozen = false;
    this->notes.note(this->now(), node.runName(), "thawed");
    // What came in may be handled before the timers notice how long it was.
    if (this->chance(0.5))
        node.timers->advance(this->now());
    std::vector<std::function<void()>> inbox;
    inbox.swap(node.inbox);
    std::uint64_t run = node.run;
    for (const auto& work : inbox) {
        if (!node.isAlive || node.run != run)
            return;
        if (node.isFrozen)
            node.inbox.push_back(work);
        else
            work();
        this->pump(node);
    }
}

void RandomWorld::calmDown()
{
    this->isCalm = true;
    this->isLogUp = true;
    for (WorldEntry& entry : this->entries)
        this->thaw(entry);
    for (WorldAgent& agent : this->agents)
        this->thaw(agent);
    for (WorldEntry& entry : this->entries) {
        if (entry.isAlive)
            this->updateCandidates(entry);
    }
}

} // namespace peridotgrade::testing
