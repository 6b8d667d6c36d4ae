// Connecting, reconnecting and sending to agents.
#include "agent_links.h"

namespace peridotgrade {

namespace {

    constexpr std::chrono::milliseconds InitialReconnectDelay { 50 };
    constexpr std::chrono::milliseconds MaxReconnectDelay { 2000 };

    void add(FrameTraffic& sum, const FrameTraffic& traffic)
    {
        sum.bytesSent += traffic.bytesSent;
        sum.bytesReceived += traffic.bytesReceived;
        sum.framesSent += traffic.framesSent;
        sum.framesReceived += traffic.framesReceived;
    }

} // namespace

AgentLinks::AgentLinks(
    boost::asio::any_io_executor executor, FrameSettings settings, TimerService& timers, RandomSource& random)
    : executor(std::move(executor))
    , settings(settings)
    , timers(timers)
    , random(random)
{
}

void AgentLinks::setListener(std::weak_ptr<AgentLinkListener> value) { this->listener = std::move(value); }

void AgentLinks::setTargets(const std::vector<VmRecord>& agents)
{
    for (auto& [agent, link] : this->links)
        link.isTarget = false;
    for (const VmRecord& vm : agents) {
        AgentId agent { vm.name };
        auto found = this->links.find(agent);
        if (found == this->links.end())
            found = this->links
                        .emplace(agent, Link { .backoff = Backoff(InitialReconnectDelay, MaxReconnectDelay) })
                        .first;
        Link& link = found->second;
        link.vm = vm;
        link.isTarget = true;
        bool isIdle = !link.connection && !link.isConnecting;
        if (isIdle)
            this->connect(agent, link);
    }
    std::erase_if(this->links, [](const auto& entry) {
        const Link& link = entry.second;
        return !link.isTarget && !link.connection && !link.isConnecting;
    });
}

void AgentLinks::connect(const AgentId& agent, Link& link)
{
    auto endpoint = parseEndpoint(link.vm.address);
    if (!endpoint || this->isStopped)
        return;
    link.isConnecting = true;
    link.currentId = LinkId { ++this->lastLinkId };
    auto report = [weak = this->listener, agent, id = link.currentId](ConnectResult result) {
        if (auto target = weak.lock())
            target->onConnectEnded(agent, id, std::move(result));
    };
    connectFrames(this->executor, *endpoint, this->settings, std::move(report));
}

bool AgentLinks::onConnectEnded(const AgentId& agent, LinkId id, ConnectResult result)
{
    auto* connection = std::get_if<std::shared_ptr<FrameConnection>>(&result);
    if (!this->isCurrent(agent, id) || this->isStopped) {
        if (connection != nullptr)
            (*connection)->close();
        return false;
    }
    Link& link = this->links.at(agent);
    link.isConnecting = false;
    if (connection == nullptr) {
        this->scheduleReconnect(agent, link);
        return false;
    }
    link.connection = std::move(*connection);
    FrameHandlers handlers;
    handlers.onFrame = [weak = this->listener, agent, id](std::string_view frame) {
        if (auto target = weak.lock())
            target->onFrame(agent, id, frame);
    };
    handlers.onClosed = [weak = this->listener, agent, id](const NetError&) {
        if (auto target = weak.lock())
            target->onClosed(agent, id);
    };
    link.connection->start(std::move(handlers));
    return true;
}

void AgentLinks::scheduleReconnect(const AgentId& agent, Link& link)
{
    // The link counts as connecting while it waits, so that a new VM list does not start a second attempt.
    link.isConnecting = true;
    LinkId failed = link.currentId;
    this->timers.subscribeAfter(link.backoff.next(this->random), [this, agent, failed] {
        auto found = this->links.find(agent);
        if (found == this->links.end() || found->second.currentId != failed)
            return;
        found->second.isConnecting = false;
        if (found->second.isTarget)
            this->connect(agent, found->second);
        else
            this->links.erase(found);
    });
}

void AgentLinks::noteFrame(const AgentId& agent)
{
    auto found = this->links.find(agent);
    if (found != this->links.end())
        found->second.backoff.reset();
}

bool AgentLinks::onClosed(const AgentId& agent, LinkId id)
{
    if (!this->isCurrent(agent, id))
        return false;
    Link& link = this->links.at(agent);
    if (!link.connection)
        return false;
    add(this->closedTraffic, link.connection->traffic());
    link.connection.reset();
    if (!this->isStopped)
        this->scheduleReconnect(agent, link);
    return true;
}

bool AgentLinks::isCurrent(const AgentId& agent, LinkId id) const
{
    auto found = this->links.find(agent);
    return found != this->links.end() && found->second.currentId == id;
}

void AgentLinks::send(const AgentId& agent, std::string_view frame)
{
    auto found = this->links.find(agent);
    if (found != this->links.end() && found->second.connection)
        found->second.connection->send(frame);
}

void AgentLinks::sendToAll(std::string_view frame)
{
    for (auto& [agent, link] : this->links) {
        if (link.connection)
            link.connection->send(frame);
    }
}

void AgentLinks::close(const AgentId& agent)
{
    auto found = this->links.find(agent);
    if (found != this->links.end() && found->second.connection)
        found->second.connection->close();
}

void AgentLinks::closeAll()
{
    this->isStopped = true;
    for (auto& [agent, link] : this->links) {
        if (link.connection)
            link.connection->close();
    }
}

std::size_t AgentLinks::connectedCount() const
{
    std::size_t count = 0;
    for (const auto& [agent, link] : this->links)
        count += link.connection ? 1 : 0;
    return count;
}

FrameTraffic AgentLinks::traffic() const
{
    FrameTraffic sum = this->closedTraffic;
    for (const auto& [agent, link] : this->links) {
        if (link.connection)
            add(sum, link.connection->traffic());
    }
    return sum;
}

} // namespace peridotgrade
