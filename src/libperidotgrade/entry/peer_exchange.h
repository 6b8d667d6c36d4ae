// Exchange of configurations and quarantine notices between entries, without the log.
#pragma once

#include "quarantine_feed.h"

#include "peridotgrade/entry/entry_context.h"
#include "peridotgrade/net/frame_client.h"
#include "peridotgrade/net/frame_server.h"

#include <boost/asio/steady_timer.hpp>

namespace peridotgrade {

/// Sends the configuration to peers that request it, and requests it from peers while this process has no
/// version. Runs on one strand.
class PeerExchange {
public:
    PeerExchange(boost::asio::any_io_executor strand, EntryContext& context, HybridClock& clock,
        QuarantineFeed& quarantines);

    std::variant<Endpoint, NetError> start();
    void stop();

private:
    void onAccepted(std::shared_ptr<FrameConnection> connection);
    void onFrame(FrameConnection& connection, std::string_view frame);
    void sendConfiguration(FrameConnection& connection, const FetchConfiguration& request);
    boost::asio::awaitable<void> requestUntilReady();
    void requestConfiguration(const Endpoint& peer);

    const boost::asio::any_io_executor strand;
    EntryContext& context;
    HybridClock& clock;
    QuarantineFeed& quarantines;
    FrameServer server;
    boost::asio::steady_timer requestTimer;
    bool isStopped = false;
};

} // namespace peridotgrade
