// Lookup of the client for a server record.
#include "peridotgrade/gateway/server_clients.h"

namespace peridotgrade {

std::shared_ptr<ServerClient> ServerClients::clientFor(const ServerRecord& record)
{
    std::shared_ptr<ServerClient>& client = this->clients[record.id];
    bool isSameIncarnation = client && client->record().address == record.address
        && client->record().startedAt == record.startedAt;
    if (!isSameIncarnation)
        client
            = std::make_shared<ServerClient>(this->executor, record, this->callbacks, this->channelSettings);
    return client;
}

} // namespace peridotgrade
