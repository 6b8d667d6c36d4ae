// Interface between an agent and its backend server.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/hosting/host_action.h"
#include "peridotgrade/core/messages/messages.h"

#include <functional>

namespace peridotgrade {

/// Sends a message to an entry's connection. Must be thread safe and must not call the backend.
using SendToEntryHandler = std::function<void(ConnectionId, const AgentMessage&)>;

/// A host state machine (ModelHost or ActionHost) with the client of its server. All functions are thread
/// safe.
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
