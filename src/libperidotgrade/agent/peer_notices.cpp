// Handling of version, configuration and quarantine messages of entries.
#include "peridotgrade/agent/peer_notices.h"

#include "peridotgrade/net/timer_driver.h"

#include <optional>

namespace peridotgrade {

namespace {

    // Many messages carry a version; one fetch answers all those that arrive within this interval.
    constexpr std::chrono::milliseconds FetchInterval { 500 };

    std::optional<ConfigVersion> versionOf(const EntryMessage& message)
    {
        return std::visit(
            [](const auto& typed) -> std::optional<ConfigVersion> {
                if constexpr (requires { typed.version; })
                    return typed.version;
                return std::nullopt;
            },
            message);
    }

} // namespace

PeerNotices::PeerNotices(ConfigurationFollower& follower, AgentConnections& connections)
    : follower(follower)
    , connections(connections)
{
}

void PeerNotices::onConnected(ConnectionId connection)
{
    QuarantineNotice notice;
    {
        std::lock_guard lock(this->mutex);
        for (const Suspect& request : this->quarantine.quarantined())
            notice.quarantined.push_back(request.content);
    }
    if (!notice.quarantined.empty())
        this->connections.send(connection, notice);
}

bool PeerNotices::onMessage(ConnectionId connection, const EntryMessage& message)
{
    if (const auto* snapshot = std::get_if<ConfigurationSnapshot>(&message)) {
        this->follower.offer(*snapshot);
        return true;
    }
    if (const auto* request = std::get_if<FetchConfiguration>(&message)) {
        this->onFetchRequest(connection, *request);
        return true;
    }
    if (const auto* notice = std::get_if<QuarantineNotice>(&message)) {
        this->onQuarantined(*notice);
        return true;
    }
    if (auto version = versionOf(message))
        this->onVersionReported(connection, *version);
    return std::holds_alternative<VersionNotice>(message);
}

void PeerNotices::onVersion(ConfigVersion version) { this->connections.sendToAll(VersionNotice { version }); }

void PeerNotices::onVersionReported(ConnectionId connection, ConfigVersion version)
{
    bool isNeeded = this->follower.isBehind(version) && !this->follower.isLogAvailable();
    if (isNeeded && this->tryStartFetch())
        this->connections.send(connection, FetchConfiguration { this->follower.current()->version });
}

bool PeerNotices::tryStartFetch()
{
    std::lock_guard lock(this->mutex);
    TimePoint now = TimerDriver::now();
    if (now - this->lastFetchAt < FetchInterval)
        return false;
    this->lastFetchAt = now;
    return true;
}

void PeerNotices::onFetchRequest(ConnectionId connection, const FetchConfiguration& request)
{
    if (this->follower.current()->version > request.have)
        this->connections.send(connection, this->follower.peerSnapshot());
}

void PeerNotices::onQuarantined(const QuarantineNotice& notice)
{
    QuarantineNotice newlyQuarantined;
    {
        std::lock_guard lock(this->mutex);
        for (Fingerprint fingerprint : notice.quarantined) {
            if (this->quarantine.stateOf(fingerprint) == QuarantineState::Quarantined)
                continue;
            this->quarantine.quarantine(fingerprint);
            newlyQuarantined.quarantined.push_back(fingerprint);
        }
    }
    if (!newlyQuarantined.quarantined.empty())
        this->connections.sendToAll(newlyQuarantined);
}

} // namespace peridotgrade
