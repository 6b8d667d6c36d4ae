// Backend of an agent beside an application server.
#pragma once

#include "peridotgrade/agent/backend.h"
#include "peridotgrade/core/actions/action_host.h"
#include "peridotgrade/net/endpoint.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace peridotgrade {

/// Runs an ActionHost together with the client of its application server.
class ApplicationBackend final : public Backend {
public:
    ApplicationBackend(boost::asio::any_io_executor executor, ActionHostSettings settings, Endpoint server,
        EventSink& events, SendToEntryHandler send);
    ~ApplicationBackend() override;

    void start() override;
    void stop() override;
    void onConnected(ConnectionId connection) override;
    void onDisconnected(ConnectionId connection) override;
    void onMessage(ConnectionId connection, const EntryMessage& message) override;
    /// Has no effect: an application server has no configuration of its own.
    void setVersion(ConfigVersion version) override;
    void drain() override;
    bool isDrained() const override;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
