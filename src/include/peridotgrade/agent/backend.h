// The backend server of an agent, as the rest of the agent sees it.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/hosting/host_action.h"
#include "peridotgrade/core/messages/messages.h"

#include <functional>

namespace peridotgrade {

/// Sends a message to an entry's connection. Must be thread safe and not call back.
using SendToEntryHandler = std::function<void(ConnectionId, const AgentMessage&)>;

/// A host of either kind with its client. All calls are thread safe.
class Backend {
public:
    virtual ~Backend() = default;

    virtual void start() = 0;
    virtual void stop() = 0;
    virtual void onConnected(ConnectionId connection) = 0;
    virtual void onDisconnected(ConnectionId connection) = 0;
    virtual void onMessage(ConnectionId connection, const EntryMessage& message) = 0;
    virtual void setVersion(ConfigVersion version) = 0;
    virtual void drain() = 0;
    virtual bool isDrained() const = 0;
};

} // namespace peridotgrade
