// Observations of servers that this entry exchanges with the other entries of its group.
#pragma once

#include "peridotgrade/core/serving/peer_observations.h"
#include "peridotgrade/gateway/gateway_state.h"
#include "peridotgrade/gateway/peer_socket.h"
#include "peridotgrade/wire/peer_codec.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// Sends notices on role changes and ended servers to all members of the group, and digests of measured
/// speeds to some of them; applies those that it receives to the state of the entry. Does nothing without
/// `peerListen` or while there is no reason to share (see `PeerObservations::isActive`). Not thread safe.
class PeerNotices {
public:
    PeerNotices(GatewayState& state, PeerSocket& socket, MetricsRegistry& registry);

    void start();
    /// This entry's name in the group.
    void setMember(std::string name) { this->member = std::move(name); }
    /// Owners of the group's partitions; an empty name means none.
    void setOwners(const std::vector<std::string>& owners);
    /// True if observations are shared, so that the owners are needed.
    bool isActive() const { return this->observations.isActive(this->state.now()); }
    /// The engine takes this role. Tells the peers, and gives the engine no new work of its old role here.
    void announceRole(const ServerRecord& server, ServerRole role, std::chrono::milliseconds switchTime);
    /// The change of role that this entry or a peer has announced, if it has not expired.
    std::optional<PeerObservations::RoleChange> announcedRole(const ServerRecord& server) const
    {
        return this->observations.roleChange(server, this->state.now());
    }

private:
    void advance();
    /// Why observations are shared; empty if there is no reason.
    std::string_view reason() const;
    void sendDigests();
    void sendToAll(const PeerMessage& message);
    void announceEnd(const ServerCrash& incarnation);
    void receive(const Endpoint& from, std::string_view datagram);
    PeerNoticeResult apply(const std::string& peer, const RoleNotice& notice);
    PeerNoticeResult apply(const std::string& peer, const EndNotice& notice);
    PeerNoticeResult apply(const std::string& peer, const PaceDigest& digest);
    std::chrono::milliseconds roleSwitchTimeOf(const ServerId& server) const;
    void holdBack(const ServerRecord& server);
    const ServerRecord* find(const ServerId& id) const { return this->state.directory.find(id); }

    GatewayState& state;
    PeerSocket& socket;
    PeerObservations observations;
    const ServerLookup lookup;
    std::string member;
    /// Members by address, and the reverse; without this entry.
    std::map<Endpoint, std::string> peers;
    std::map<std::string, Endpoint> addresses;
    bool wasActive = false;
};

} // namespace peridotgrade
