// Membership renewal and retry shares.
#include "peridotgrade/gateway/group_member.h"

#include "peridotgrade/net/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace peridotgrade {

namespace {
    constexpr const char* Group = "peridotgrade.entries";
    // These topics have no records; only their partitions are assigned. Four topics of a dozen partitions
    // each are enough for some dozens of entries.
    constexpr const char* Topics[]
        = { "peridotgrade.share-0", "peridotgrade.share-1", "peridotgrade.share-2", "peridotgrade.share-3" };
    constexpr const char* LeaderTopic = Topics[0];
    constexpr std::uint32_t LeaderPartition = 0;
    // The membership is renewed at this interval and expires after three of them.
    constexpr std::chrono::milliseconds RenewalInterval { 1500 };
    constexpr std::chrono::milliseconds MembershipLifetime { 4500 };
    // Renewal interval after a change of the group. Partitions move only when each member has confirmed the
    // change, so the group settles within two or three of these.
    constexpr std::chrono::milliseconds SettleInterval { 300 };
    constexpr std::chrono::milliseconds JoinTimeout { 600 };
    // How often a member without a configuration looks for one.
    constexpr std::chrono::milliseconds FirstConfigurationInterval { 20 };
    // The next renewal comes this long after the end of the lease, not exactly at it.
    constexpr std::chrono::milliseconds LeaseWakeupMargin { 20 };

    /// Other entries send to the address after the `@`.
    std::string memberName(GatewayState& state)
    {
        std::string name = state.settings.nodeName + "/" + std::to_string(state.random.next());
        const auto& address = state.settings.peerListen;
        return address ? name + "@" + toString(*address) : name;
    }

    /// Number of a partition among those of all topics; nothing for other topics.
    std::optional<std::uint32_t> numberOf(const StorePartition& partition, std::uint32_t partitionsOfTopic)
    {
        auto topic = std::find(std::begin(Topics), std::end(Topics), partition.topic);
        if (topic == std::end(Topics) || partition.number >= partitionsOfTopic)
            return std::nullopt;
        return static_cast<std::uint32_t>(topic - std::begin(Topics)) * partitionsOfTopic + partition.number;
    }

    HeldPartitions heldPartitions(const GroupMembership& membership, std::uint32_t partitionsOfTopic)
    {
        HeldPartitions held;
        held.total = static_cast<std::uint32_t>(std::size(Topics)) * partitionsOfTopic;
        for (const StorePartition& each : membership.partitions) {
            if (auto number = numberOf(each, partitionsOfTopic))
                held.numbers.insert(*number);
        }
        return held;
    }

} // namespace

GroupMember::GroupMember(GatewayState& state, StoreClient& store, QuotaService& quotas, PeerNotices& notices)
    : state(state)
    , store(store)
    , quotas(quotas)
    , notices(notices)
    , member(memberName(state))
    , leaderLease(state.settings.leaderLease)
{
    // Until it has joined, an entry counts as one that holds a single partition.
    auto all = static_cast<double>(std::size(Topics)) * this->state.settings.storePartitions;
    this->quotas.setMember(this->member, 1 / all);
    this->notices.setMember(this->member);
}

void GroupMember::start() { boost::asio::co_spawn(this->state.executor, this->run(), boost::asio::detached); }

boost::asio::awaitable<void> GroupMember::run()
{
    while (!this->state.isStopping) {
        bool isMember = co_await this->join();
        TimePoint now = TimerDriver::bootNow();
        if (!isMember && now - this->confirmedAt > MembershipLifetime) {
            this->leaderLease.revoke();
            this->state.endExpiredMembership();
        }
        if (isMember && this->needsOwners())
            co_await this->readOwners();
        if (isMember && this->mayAct())
            co_await this->assignRoles();
        co_await this->waitForRenewal(isMember);
    }
}

boost::asio::awaitable<void> GroupMember::waitForRenewal(bool isMember)
{
    TimePoint until = this->state.now() + this->renewalDelay();
    // An entry that starts learns of quotas after it has joined. Until it has read the owners it uses its own
    // share beside what the holder grants, so a tenant would get more than its limit with each start.
    while (isMember && this->quotas.hasPeers() && !this->state.configuration && this->state.now() < until)
        co_await sleepFor(this->state.executor, FirstConfigurationInterval);
    if (isMember && this->needsOwners() && !this->areOwnersRead)
        co_await this->readOwners();
    if (this->state.now() < until)
        co_await sleepFor(this->state.executor, until - this->state.now());
}

Duration GroupMember::renewalDelay() const
{
    Duration longest = this->isSettling ? SettleInterval : RenewalInterval;
    // A new leader acts as soon as its predecessor's lease has expired.
    Duration leaseLeft = this->leaderLease.remainingWait(TimerDriver::bootNow());
    bool isWaiting = this->leaderLease.isLeader() && leaseLeft > Duration::zero();
    return isWaiting ? std::min<Duration>(longest, leaseLeft + LeaseWakeupMargin) : longest;
}

boost::asio::awaitable<bool> GroupMember::join()
{
    GroupJoin request;
    request.group = Group;
    request.member = this->member;
    request.topics.assign(std::begin(Topics), std::end(Topics));
    request.lifetime = std::max(MembershipLifetime, this->state.settings.minMembershipLifetime);
    request.generation = this->generation;
    TimePoint requestedAt = TimerDriver::bootNow();
    auto joined = co_await this->store.join(std::move(request), JoinTimeout);
    if (std::holds_alternative<StoreError>(joined))
        co_return false;
    // The store may count the lifetime from the moment of the request.
    this->confirmedAt = requestedAt;
    this->enterEra(std::get<GroupMembership>(joined).era);
    this->noteMembership(std::get<GroupMembership>(joined), requestedAt);
    co_return true;
}

boost::asio::awaitable<void> GroupMember::readOwners()
{
    if (this->quotas.takeOwnersStale())
        this->areOwnersRead = false;
    if (this->areOwnersRead)
        co_return;
    auto read = co_await this->store.owners(Group, JoinTimeout);
    const auto* rows = std::get_if<std::vector<PartitionOwner>>(&read);
    if (rows == nullptr) {
        this->state.log.write(
            LogLevel::Warn, "owners_unreadable", { { "detail", std::get<StoreError>(read).detail } });
        co_return;
    }
    std::vector<std::string> owners(std::size(Topics) * this->state.settings.storePartitions);
    for (const PartitionOwner& each : *rows) {
        if (auto number = numberOf(each.partition, this->state.settings.storePartitions))
            owners[*number] = each.member;
    }
    this->areOwnersRead = true;
    QuotaGroup group(owners);
    this->notices.setOwners(owners);
    this->quotas.setOwners(std::move(owners));
    co_await this->removePredecessors(group);
}

boost::asio::awaitable<void> GroupMember::removePredecessors(const QuotaGroup& group)
{
    for (const std::string& name : group.predecessorsOf(this->member)) {
        if (!this->removed.insert(name).second)
            continue;
        auto failure = co_await this->store.leave(Group, name, JoinTimeout);
        this->state.log.write(LogLevel::Info, "predecessor_removed",
            { { "member", name }, { "detail", failure ? failure->detail : "" } });
        // Its partitions are given to others with the next generation.
        this->isSettling = true;
    }
}

void GroupMember::enterEra(std::uint64_t newEra)
{
    if (newEra == this->era)
        return;
    // Generations start anew, so an equal one says nothing about who led in between.
    this->leaderLease.revoke();
    this->generation = 0;
    this->state.log.write(LogLevel::Warn, "membership_era_changed",
        { { "era", std::to_string(newEra) }, { "before", std::to_string(this->era) } });
    this->era = newEra;
}

std::uint64_t GroupMember::fencingToken() const
{
    // Generations of one era stay far below this.
    constexpr std::uint64_t GenerationsPerEra = 1'000'000;
    return this->era * GenerationsPerEra + this->generation;
}

void GroupMember::noteMembership(const GroupMembership& membership, TimePoint requestedAt)
{
    bool isSame = membership.generation == this->generation;
    // Partitions may move within a generation until all members have confirmed it.
    this->areOwnersRead = this->areOwnersRead && isSame && !this->isSettling;
    this->isSettling = !isSame;
    this->generation = membership.generation;
    double all = static_cast<double>(std::size(Topics)) * this->state.settings.storePartitions;
    double share = std::min(1.0, static_cast<double>(membership.partitions.size()) / all);
    HeldPartitions held = heldPartitions(membership, this->state.settings.storePartitions);
    this->quotas.confirm({ held, this->fencingToken(), requestedAt });
    this->state.noteMembership(share, std::move(held), requestedAt + MembershipLifetime);
    bool isLeading = std::any_of(
        membership.partitions.begin(), membership.partitions.end(), [](const StorePartition& each) {
            return each.topic == LeaderTopic && each.number == LeaderPartition;
        });
    bool hasLeaderChanged = isLeading != this->leaderLease.isLeader();
    this->leaderLease.confirm(this->generation, isLeading, requestedAt, TimerDriver::bootNow());
    if (isSame && !hasLeaderChanged)
        return;
    this->state.log.write(LogLevel::Info, "membership_changed",
        { { "generation", std::to_string(this->generation) }, { "part", std::to_string(share) },
            { "holds_duty", isLeading ? "true" : "false" } });
}

bool GroupMember::mayAct() const { return this->leaderLease.mayAct(TimerDriver::bootNow()); }

} // namespace peridotgrade
