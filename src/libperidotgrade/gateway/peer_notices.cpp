// Timer, messages, log lines and metrics of shared observations.
#include "peridotgrade/gateway/peer_notices.h"

#include "peridotgrade/gateway/member_address.h"

#include <algorithm>
#include <utility>

namespace peridotgrade {

namespace {

    std::string_view typeOf(const PeerMessage& message)
    {
        constexpr std::string_view Types[] = { "role", "end", "pace" };
        return Types[message.index()];
    }

} // namespace

PeerNotices::PeerNotices(GatewayState& state, PeerSocket& socket, MetricsRegistry& registry)
    : state(state)
    , socket(socket)
    , lookup([&state](const ServerId& id) { return state.directory.find(id); })
{
    if (!this->state.settings.peerListen)
        return;
    this->socket.setHandler(PeerMessageVersion,
        [this](const Endpoint& from, std::string_view datagram) { this->receive(from, datagram); });
    this->state.onServerEnded = [this](const ServerCrash& incarnation) { this->announceEnd(incarnation); };
    this->state.onRoleChangeSeen
        = [this](const ServerRecord& server, ServerRole role, std::chrono::milliseconds switchTime) {
              this->announceRole(server, role, switchTime);
          };
    registry.gauge(
        { "peridot_gateway_peer_sharing", "1 while observations are shared with other entries", "", "" },
        [this] { return this->isActive() ? 1.0 : 0.0; });
}

void PeerNotices::start()
{
    if (this->state.settings.peerListen)
        this->advance();
}

void PeerNotices::setOwners(const std::vector<std::string>& owners)
{
    this->peers.clear();
    this->addresses.clear();
    for (const std::string& name : owners) {
        auto address = memberAddress(name);
        if (!address || name == this->member)
            continue;
        this->peers[*address] = name;
        this->addresses[name] = *address;
    }
}

std::string_view PeerNotices::reason() const { return this->state.whyLoadAware(); }

void PeerNotices::advance()
{
    TimePoint now = this->state.now();
    std::string_view why = this->reason();
    if (!why.empty())
        this->observations.noteNeed(now);
    bool isActiveNow = this->isActive();
    if (std::exchange(this->wasActive, isActiveNow) != isActiveNow)
        this->state.log.write(LogLevel::Info, "peer_sharing",
            { { "active", isActiveNow ? "true" : "false" }, { "reason", std::string { why } } });
    // Goes on after the end of sharing until the evidence of peers has expired.
    this->observations.advance(this->state.pace, this->lookup, now);
    if (isActiveNow)
        this->sendDigests();
    this->state.subscribeAfter(PeerObservations::DigestInterval, [this] { this->advance(); });
}

void PeerNotices::sendDigests()
{
    std::vector<std::string> names;
    for (const auto& [name, address] : this->addresses)
        names.push_back(name);
    auto receivers = PeerObservations::drawReceivers(std::move(names), this->state.random);
    if (receivers.empty())
        return;
    for (const PaceDigest& digest : this->observations.nextDigests(this->state.pace)) {
        std::string datagram = encodePeerMessage(digest);
        for (const std::string& name : receivers) {
            this->socket.send(this->addresses.at(name), datagram);
            this->state.metrics.countPeerNotice("pace_sent");
        }
    }
}

void PeerNotices::sendToAll(const PeerMessage& message)
{
    std::string datagram = encodePeerMessage(message);
    for (const auto& [address, name] : this->peers)
        this->socket.send(address, datagram);
}

void PeerNotices::holdBack(const ServerRecord& server)
{
    auto change = this->announcedRole(server);
    if (!change)
        return;
    EngineLoad& oldRole
        = change->role == ServerRole::Prefill ? this->state.reservedLoad : this->state.prefillLoad;
    oldRole.noteAnnouncedRoleChange(server.id, change->until);
}

void PeerNotices::announceRole(
    const ServerRecord& server, ServerRole role, std::chrono::milliseconds switchTime)
{
    if (!this->isActive())
        return;
    RoleNotice notice { server.id, server.startedAt, role, switchTime };
    auto result = this->observations.announce(notice, this->state.now());
    bool isSent = result == PeerNoticeResult::Effective;
    this->state.metrics.countPeerNotice("role_" + std::string { isSent ? "sent" : nameOf(result) });
    if (!isSent)
        return;
    this->sendToAll(notice);
    this->holdBack(server);
    this->state.log.write(LogLevel::Info, "peer_notice",
        { { "type", "role" }, { "to", std::to_string(this->peers.size()) }, { "server", server.id.raw() },
            { "stage", std::string { nameOf(role) } }, { "for_ms", std::to_string(switchTime.count()) } });
}

void PeerNotices::announceEnd(const ServerCrash& incarnation)
{
    if (!this->isActive())
        return;
    EndNotice notice { ServerId { incarnation.server },
        WallTime { WallTime::duration { static_cast<std::int64_t>(incarnation.incarnation) } } };
    auto result = this->observations.announce(notice, this->state.now());
    bool isSent = result == PeerNoticeResult::Effective;
    this->state.metrics.countPeerNotice("end_" + std::string { isSent ? "sent" : nameOf(result) });
    if (!isSent)
        return;
    this->sendToAll(notice);
    this->state.log.write(LogLevel::Info, "peer_notice",
        { { "type", "end" }, { "to", std::to_string(this->peers.size()) },
            { "server", incarnation.server } });
}

void PeerNotices::receive(const Endpoint& from, std::string_view datagram)
{
    auto sender = this->peers.find(from);
    if (sender == this->peers.end() || !this->isActive()) {
        this->state.metrics.countPeerNotice("any_inactive");
        return;
    }
    auto message = decodePeerMessage(datagram);
    if (!message) {
        this->state.metrics.countPeerNotice("any_malformed");
        this->state.log.write(LogLevel::Warn, "peer_notice_malformed", { { "from", toString(from) } });
        return;
    }
    auto result = std::visit([&](const auto& each) { return this->apply(sender->second, each); }, *message);
    this->state.metrics.countPeerNotice(
        std::string { typeOf(*message) } + "_" + std::string { nameOf(result) });
}

std::chrono::milliseconds PeerNotices::roleSwitchTimeOf(const ServerId& server) const
{
    const ServerRecord* record = this->find(server);
    const auto& configuration = this->state.configuration;
    if (record == nullptr || !configuration)
        return {};
    const auto& services = configuration->services;
    auto found = std::find_if(services.begin(), services.end(),
        [&](const ServiceSpec& each) { return each.name == record->service; });
    bool hasRoles = found != services.end() && found->engine;
    return hasRoles ? found->engine->roleSwitchTime : std::chrono::milliseconds {};
}

PeerNoticeResult PeerNotices::apply(const std::string& peer, const RoleNotice& notice)
{
    auto result = this->observations.accept(
        notice, this->lookup, this->roleSwitchTimeOf(notice.server), this->state.now());
    if (result != PeerNoticeResult::Effective)
        return result;
    this->holdBack(*this->find(notice.server));
    this->state.log.write(LogLevel::Info, "peer_notice",
        { { "type", "role" }, { "from", peer }, { "server", notice.server.raw() },
            { "stage", std::string { nameOf(notice.role) } },
            { "for_ms", std::to_string(notice.duration.count()) } });
    return result;
}

PeerNoticeResult PeerNotices::apply(const std::string& peer, const EndNotice& notice)
{
    auto result = this->observations.accept(notice, this->lookup, this->state.now());
    if (result != PeerNoticeResult::Effective)
        return result;
    // No evidence for the quarantine: the sender reports the crash itself.
    this->state.health.record(notice.server, ServerCallResult::Absent, this->state.now());
    this->state.log.write(LogLevel::Info, "peer_notice",
        { { "type", "end" }, { "from", peer }, { "server", notice.server.raw() } });
    return result;
}

PeerNoticeResult PeerNotices::apply(const std::string& peer, const PaceDigest& digest)
{
    return this->observations.accept(peer, digest, this->lookup, this->state.now());
}

} // namespace peridotgrade
