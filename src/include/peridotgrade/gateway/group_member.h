// The entry's membership in the group of entries, which shares the retry budget and has one leader.
#pragma once

#include "peridotgrade/core/admission/quota_group.h"
#include "peridotgrade/core/serving/leader_lease.h"
#include "peridotgrade/core/serving/role_changes.h"
#include "peridotgrade/core/serving/role_plan.h"
#include "peridotgrade/gateway/gateway_state.h"
#include "peridotgrade/gateway/peer_notices.h"
#include "peridotgrade/gateway/quota_service.h"
#include "platform/store_client.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotgrade {

/// Joins a group over partitions of the store. Each partition is an equal share of the retry budget of all
/// entries, so the shares sum to one for any number of entries. The owner of the first partition is the
/// leader: it alone changes engines between prefill and decode.
class GroupMember {
public:
    GroupMember(GatewayState& state, StoreClient& store, QuotaService& quotas, PeerNotices& notices);
    void start();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> join();
    /// True if this entry may act as the leader, if need be after the store has confirmed its membership.
    boost::asio::awaitable<bool> confirmLeadership();
    /// Reads who owns the partitions, if that may have changed since they were last read.
    boost::asio::awaitable<void> readOwners();
    /// Ends the memberships of earlier processes at this place, which hold partitions until they expire.
    boost::asio::awaitable<void> removePredecessors(const QuotaGroup& group);
    boost::asio::awaitable<void> assignRoles();
    boost::asio::awaitable<void> changeRoleOf(
        ServiceId service, RoleAssignment assignment, std::chrono::milliseconds switchTime);
    void enterEra(std::uint64_t newEra);
    /// Never decreases, also when the store comes back from an older copy.
    std::uint64_t fencingToken() const;
    void logTarget(const ServiceId& service, std::size_t engines, std::uint32_t before,
        const std::optional<RoleDemand>& demand);
    void noteMembership(const GroupMembership& membership, TimePoint requestedAt);
    bool mayAct() const;
    /// Waits for the next renewal, and reads the owners as soon as the first configuration asks for it.
    boost::asio::awaitable<void> waitForRenewal(bool isMember);
    bool needsOwners() const { return this->quotas.needsOwners() || this->notices.isActive(); }
    Duration renewalDelay() const;
    boost::asio::awaitable<bool> assignRolesOf(ServiceId service, EngineSpec engine);
    /// The usable engines with the roles that they have or will have.
    std::vector<ServerRecord> plannedEnginesOf(const ServiceId& service) const;
    EngineSpeeds speedsOf(const std::vector<const ServerRecord*>& engines) const;
    /// Reports that are being read.
    struct ReportRound;
    /// Reads reports of engines, all at the same time, for role changes that a former leader has begun.
    /// Reports that take long count when they arrive.
    boost::asio::awaitable<void> learnChanges(ServiceId service);
    boost::asio::awaitable<void> readReport(
        std::shared_ptr<ReportRound> round, std::shared_ptr<ServerClient> client);

    GatewayState& state;
    StoreClient& store;
    QuotaService& quotas;
    PeerNotices& notices;
    const std::string member;
    /// Predecessors that the store has been told of.
    std::set<std::string> removed;
    std::map<ServiceId, RolePlan> plans;
    /// Era of the store to which `generation` belongs.
    std::uint64_t era = 0;
    std::uint64_t generation = 0;
    /// The last answer had a new generation, so partitions may still be moving between members.
    bool isSettling = false;
    bool areOwnersRead = false;
    LeaderLease leaderLease;
    /// On a clock that advances while the machine is suspended.
    TimePoint confirmedAt {};
    RoleChanges changes;
    /// Start of the leadership for which `changes` has been told of the takeover.
    std::optional<TimePoint> tookOverAt;
};

} // namespace peridotgrade
