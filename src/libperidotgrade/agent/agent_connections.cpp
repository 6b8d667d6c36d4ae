// Table of an agent's connections, with decoding and encoding of messages.
#include "peridotgrade/agent/agent_connections.h"

#include "peridotgrade/net/frame_server.h"
#include "peridotgrade/wire/codec.h"

#include <map>
#include <mutex>

namespace peridotgrade {

namespace {

    void add(FrameTraffic& sum, const FrameTraffic& part)
    {
        sum.bytesSent += part.bytesSent;
        sum.bytesReceived += part.bytesReceived;
        sum.framesSent += part.framesSent;
        sum.framesReceived += part.framesReceived;
    }

} // namespace

class AgentConnections::Impl : public std::enable_shared_from_this<AgentConnections::Impl> {
public:
    Impl(boost::asio::any_io_executor executor, Endpoint listen, FrameSettings settings, HybridClock& clock,
        AgentConnectionHandlers handlers)
        : clock(clock)
        , handlers(std::move(handlers))
        , server(std::move(executor), std::move(listen), settings,
              [this](std::shared_ptr<FrameConnection> connection) { this->accept(std::move(connection)); })
    {
    }

    void accept(std::shared_ptr<FrameConnection> connection)
    {
        ConnectionId id = this->insert(connection);
        this->handlers.onConnected(id);
        FrameHandlers frames;
        std::weak_ptr<FrameConnection> weak = connection;
        frames.onFrame = [self = this->shared_from_this(), id, weak](
                             std::string_view frame) { self->onFrame(id, weak, frame); };
        frames.onClosed = [self = this->shared_from_this(), id](const NetError&) { self->onClosed(id); };
        connection->start(std::move(frames));
    }

    void send(ConnectionId id, const AgentMessage& message)
    {
        if (auto connection = this->find(id))
            connection->send(encode(message, this->clock.tick()));
    }

    void sendToAll(const AgentMessage& message)
    {
        std::string frame = encode(message, this->clock.tick());
        for (const auto& connection : this->all())
            connection->send(frame);
    }

    FrameTraffic traffic() const
    {
        std::lock_guard lock(this->mutex);
        FrameTraffic sum = this->closedTraffic;
        for (const auto& [id, connection] : this->connections)
            add(sum, connection->traffic());
        return sum;
    }

    std::size_t size() const
    {
        std::lock_guard lock(this->mutex);
        return this->connections.size();
    }

    HybridClock& clock;
    const AgentConnectionHandlers handlers;
    FrameServer server;

private:
    ConnectionId insert(const std::shared_ptr<FrameConnection>& connection)
    {
        std::lock_guard lock(this->mutex);
        ConnectionId id { ++this->lastId };
        this->connections[id] = connection;
        return id;
    }

    std::shared_ptr<FrameConnection> find(ConnectionId id) const
    {
        std::lock_guard lock(this->mutex);
        auto found = this->connections.find(id);
        return found == this->connections.end() ? nullptr : found->second;
    }

    std::vector<std::shared_ptr<FrameConnection>> all() const
    {
        std::lock_guard lock(this->mutex);
        std::vector<std::shared_ptr<FrameConnection>> result;
        for (const auto& [id, connection] : this->connections)
            result.push_back(connection);
        return result;
    }

    void onFrame(ConnectionId id, const std::weak_ptr<FrameConnection>& weak, std::string_view frame)
    {
        auto decoded = decodeEntryFrame(frame);
        const auto* entryFrame = std::get_if<EntryFrame>(&decoded);
        if (!entryFrame) {
            if (auto connection = weak.lock())
                connection->close();
            return;
        }
        this->clock.observe(entryFrame->clock);
        this->handlers.onMessage(id, entryFrame->message);
    }

    void onClosed(ConnectionId id)
    {
        {
            std::lock_guard lock(this->mutex);
            auto found = this->connections.find(id);
            if (found == this->connections.end())
                return;
            add(this->closedTraffic, found->second->traffic());
            this->connections.erase(found);
        }
        this->handlers.onDisconnected(id);
    }

    mutable std::mutex mutex;
    std::uint64_t lastId = 0;
    std::map<ConnectionId, std::shared_ptr<FrameConnection>> connections;
    FrameTraffic closedTraffic;
};

AgentConnections::AgentConnections(boost::asio::any_io_executor executor, Endpoint listen,
    FrameSettings settings, HybridClock& clock, AgentConnectionHandlers handlers)
    : impl(
        std::make_shared<Impl>(std::move(executor), std::move(listen), settings, clock, std::move(handlers)))
{
}

AgentConnections::~AgentConnections() { this->impl->server.stopAccepting(); }

std::variant<Endpoint, NetError> AgentConnections::start() { return this->impl->server.start(); }

void AgentConnections::stopAccepting() { this->impl->server.stopAccepting(); }

void AgentConnections::send(ConnectionId connection, const AgentMessage& message)
{
    this->impl->send(connection, message);
}

void AgentConnections::sendToAll(const AgentMessage& message) { this->impl->sendToAll(message); }

FrameTraffic AgentConnections::traffic() const { return this->impl->traffic(); }

std::size_t AgentConnections::size() const { return this->impl->size(); }

} // namespace peridotgrade
