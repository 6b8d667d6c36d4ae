// Handling of peers' messages, and requests for the configuration at start.
#include "peer_exchange.h"

#include "peridotgrade/wire/codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {
    constexpr std::chrono::milliseconds RequestInterval { 1000 };
} // namespace

PeerExchange::PeerExchange(
    asio::any_io_executor strand, EntryContext& context, HybridClock& clock, QuarantineFeed& quarantines)
    : strand(std::move(strand))
    , context(context)
    , clock(clock)
    , quarantines(quarantines)
    , server(this->strand, context.settings.node.peerListen, FrameSettings {},
          [this](std::shared_ptr<FrameConnection> connection) { this->onAccepted(std::move(connection)); })
    , requestTimer(this->strand)
{
}

std::variant<Endpoint, NetError> PeerExchange::start()
{
    auto result = this->server.start();
    if (std::holds_alternative<Endpoint>(result))
        asio::co_spawn(
            this->strand, [this] { return this->requestUntilReady(); }, asio::detached);
    return result;
}

void PeerExchange::stop()
{
    this->isStopped = true;
    this->requestTimer.cancel();
    this->server.stopAccepting();
}

void PeerExchange::onAccepted(std::shared_ptr<FrameConnection> connection)
{
    FrameHandlers handlers;
    handlers.onFrame = [this, connection](std::string_view frame) { this->onFrame(*connection, frame); };
    handlers.onClosed = [](const NetError&) {};
    connection->start(std::move(handlers));
}

void PeerExchange::onFrame(FrameConnection& connection, std::string_view frame)
{
    auto decoded = decodeEntryFrame(frame);
    auto* entryFrame = std::get_if<EntryFrame>(&decoded);
    if (entryFrame == nullptr) {
        connection.close();
        return;
    }
    this->clock.observe(entryFrame->clock);
    if (auto* request = std::get_if<FetchConfiguration>(&entryFrame->message))
        this->sendConfiguration(connection, *request);
    else if (auto* snapshot = std::get_if<ConfigurationSnapshot>(&entryFrame->message))
        this->context.follower.offer(std::move(*snapshot));
    else if (auto* notice = std::get_if<QuarantineNotice>(&entryFrame->message))
        this->quarantines.onReported(std::move(notice->quarantined));
}

void PeerExchange::sendConfiguration(FrameConnection& connection, const FetchConfiguration& request)
{
    auto current = this->context.follower.current();
    bool canAnswer = current->isReady && current->version >= request.have;
    if (!canAnswer)
        return;
    EntryMessage reply = this->context.follower.peerSnapshot();
    connection.send(encode(reply, this->clock.tick()));
}

asio::awaitable<void> PeerExchange::requestUntilReady()
{
    // The log is preferred: the first request to peers is sent one interval after the start.
    do {
        boost::system::error_code ignored;
        this->requestTimer.expires_after(RequestInterval);
        co_await this->requestTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        bool isNeeded = !this->context.follower.current()->isReady && !this->isStopped;
        if (!isNeeded)
            co_return;
        for (const Endpoint& peer : this->context.settings.node.peers)
            this->requestConfiguration(peer);
    } while (!this->isStopped);
}

void PeerExchange::requestConfiguration(const Endpoint& peer)
{
    connectFrames(this->strand, peer, FrameSettings {}, [this](ConnectResult result) {
        auto* connection = std::get_if<std::shared_ptr<FrameConnection>>(&result);
        if (connection == nullptr)
            return;
        FrameHandlers handlers;
        handlers.onFrame = [this, peerConnection = *connection](std::string_view frame) {
            this->onFrame(*peerConnection, frame);
            peerConnection->close();
        };
        handlers.onClosed = [](const NetError&) {};
        (*connection)->start(std::move(handlers));
        EntryMessage request = FetchConfiguration { this->context.follower.current()->version };
        (*connection)->send(encode(request, this->clock.tick()));
    });
}

} // namespace peridotgrade
