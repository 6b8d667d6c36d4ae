// The clients of all backend servers that an entry knows.
#pragma once

#include "platform/server_client.h"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>

namespace peridotgrade {

/// Keeps one client, and so one connection pool, for each incarnation of a server. Not thread safe.
class ServerClients {
public:
    ServerClients(boost::asio::any_io_executor executor, ServerClientCallbacks callbacks,
        HttpChannelSettings channelSettings)
        : executor(std::move(executor))
        , callbacks(std::move(callbacks))
        , channelSettings(channelSettings)
    {
    }

    /// Returns the client for that record; a new one if the server has a new address or start time.
    std::shared_ptr<ServerClient> clientFor(const ServerRecord& record);
    void forget(const ServerId& server) { this->clients.erase(server); }

private:
    boost::asio::any_io_executor executor;
    ServerClientCallbacks callbacks;
    HttpChannelSettings channelSettings;
    std::map<ServerId, std::shared_ptr<ServerClient>> clients;
};

} // namespace peridotgrade
