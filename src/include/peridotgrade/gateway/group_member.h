// The entry's membership in the group that shares out duties and retries.
#pragma once

#include "peridotgrade/core/serving/leader_lease.h"
#include "peridotgrade/core/serving/role_plan.h"
#include "peridotgrade/gateway/gateway_state.h"
#include "platform/store_client.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <string>

namespace peridotgrade {

/// Joins a group over partitions of the store. Each partition is an equal part of the retries that all
/// entries together may add, so the parts sum to one whatever the number of entries. The holder of the first
/// partition orders engines between prefill and decode, and nobody else does.
class GroupMember {
public:
    GroupMember(GatewayState& state, StoreClient& store);
    void start();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> join();
    boost::asio::awaitable<void> assignRoles();
    boost::asio::awaitable<void> changeRoleOf(ServiceId service, RoleAssignment assignment);
    void noteMembership(const GroupMembership& membership, TimePoint requestedAt);
    bool mayAct() const;
    Duration renewalDelay() const;
    std::vector<const ServerRecord*> enginesOf(
        const ServiceId& service, std::vector<ServerRecord>& planned) const;

    struct PendingRoleChange {
        ServerRole role;
        TimePoint until;
    };

    GatewayState& state;
    StoreClient& store;
    const std::string member;
    RolePlan plan;
    std::uint64_t generation = 0;
    /// The last answer brought a new generation, so partitions may be on their way.
    bool isSettling = false;
    double retryShare = 0;
    LeaderLease leaderLease;
    /// On the clock that goes on while the machine is suspended.
    TimePoint confirmedAt {};
    /// Orders that may still take effect: the engine counts as what it was ordered to be.
    std::map<ServerId, PendingRoleChange> pendingChanges;
};

} // namespace peridotgrade
