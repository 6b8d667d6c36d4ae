// Membership renewal, retry shares, and role changes by the leader.
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
    // Engines appear and disappear around a failure or a release; role changes wait until those of the
    // service have been the same for this long.
    constexpr std::chrono::milliseconds ServerListStableTime { 3000 };
    constexpr std::chrono::milliseconds RoleChangeTimeout { 500 };
    // A report takes one round trip of some milliseconds. The membership is not renewed meanwhile, and the
    // partitions of a group that changes move no faster than its slowest member confirms.
    constexpr std::chrono::milliseconds ReportsTimeout { 200 };

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

std::vector<ServerRecord> GroupMember::plannedEnginesOf(const ServiceId& service) const
{
    std::vector<ServerRecord> planned;
    for (const ServerRecord* record : this->state.directory.usable(service)) {
        planned.push_back(*record);
        planned.back().role = this->changes.futureRole(*record);
    }
    return planned;
}

struct GroupMember::ReportRound {
    explicit ReportRound(const boost::asio::any_io_executor& executor)
        : done(executor, ReportsTimeout)
    {
    }

    /// Cancelled when no report is open, to resume the leader.
    boost::asio::steady_timer done;
    std::size_t asked = 0;
    /// Reports that have neither arrived nor failed.
    std::size_t open = 0;
};

boost::asio::awaitable<void> GroupMember::readReport(
    std::shared_ptr<ReportRound> round, std::shared_ptr<ServerClient> client)
{
    auto answer = co_await client->report(RoleChangeTimeout);
    std::optional<EngineReport> report;
    if (auto* found = std::get_if<EngineReport>(&answer))
        report = *found;
    // The list may have changed meanwhile.
    const ServerRecord* listed = this->state.directory.find(client->record().id);
    if (listed != nullptr && listed->startedAt == client->record().startedAt)
        this->changes.noteReport(*listed, report, this->state.now());
    if (--round->open == 0)
        round->done.cancel();
}

boost::asio::awaitable<void> GroupMember::learnChanges(ServiceId service)
{
    auto round = std::make_shared<ReportRound>(this->state.executor);
    std::size_t before = this->changes.countChanging(this->state.directory.usable(service));
    for (const ServerRecord* engine : this->changes.enginesToAsk(this->state.directory.usable(service))) {
        if (!this->state.mayCall(*engine))
            continue;
        ++round->asked;
        ++round->open;
        boost::asio::co_spawn(this->state.executor,
            this->readReport(round, this->state.clients.clientFor(*engine)), boost::asio::detached);
    }
    boost::system::error_code ignored;
    if (round->open > 0)
        co_await round->done.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    std::size_t after = this->changes.countChanging(this->state.directory.usable(service));
    this->state.log.write(LogLevel::Info, "former_changes_read",
        { { "service", service.raw() }, { "asked", std::to_string(round->asked) },
            { "open", std::to_string(round->open) }, { "changing_before", std::to_string(before) },
            { "changing", std::to_string(after) } });
}

boost::asio::awaitable<void> GroupMember::assignRoles()
{
    TimePoint now = this->state.now();
    this->changes.expire(now);
    if (this->tookOverAt != this->leaderLease.leadingSince()) {
        this->tookOverAt = this->leaderLease.leadingSince();
        this->changes.takeOver(now);
    }
    auto configuration = this->state.configuration;
    if (!configuration)
        co_return;
    for (const ServiceSpec& service : configuration->services) {
        bool isStable = now - this->state.serversChangedAt[service.name] >= ServerListStableTime;
        if (!service.engine || !isStable)
            continue;
        bool isLeader = co_await this->assignRolesOf(service.name, *service.engine);
        if (!isLeader)
            co_return;
    }
}

boost::asio::awaitable<bool> GroupMember::assignRolesOf(ServiceId service, EngineSpec engine)
{
    RolePlan& plan = this->plans[service];
    for (const ServerRecord* record : this->state.directory.usable(service)) {
        auto announced = this->notices.announcedRole(*record);
        if (announced && announced->role != record->role)
            this->changes.noteAnnounced(record->id, announced->role, announced->until);
    }
    auto planned = this->plannedEnginesOf(service);
    std::vector<const ServerRecord*> engines;
    for (const ServerRecord& record : planned)
        engines.push_back(&record);
    const auto& expected = this->state.settings.expectedDemand;
    auto demand = expected && this->state.isLoadAware() ? this->state.demandOf(service).currentNear(*expected)
                                                        : this->state.demandOf(service).current();
    std::uint32_t before = plan.prefillTarget();
    plan.setSpeeds(this->speedsOf(engines));
    if (expected && this->state.demandOf(service).isUnused())
        plan.updateIdle(engines, *expected);
    else
        plan.update(engines, demand, { engine.roleSwitchTime, this->state.entryCount() }, this->state.now());
    if (plan.prefillTarget() != before)
        this->logTarget(service, engines.size(), before, demand);
    bool isChangeDue
        = plan.nextAssignment(engines, this->changes.countChanging(this->state.directory.usable(service)))
              .has_value();
    if (isChangeDue && this->changes.isLearning(this->state.now())) {
        co_await this->learnChanges(service);
        planned = this->plannedEnginesOf(service);
        engines.clear();
        for (const ServerRecord& record : planned)
            engines.push_back(&record);
    }
    std::size_t changing = this->changes.countChanging(this->state.directory.usable(service));
    // One call makes several changes: after a start with wrong roles they are due at once, and leadership is
    // confirmed for each.
    while (auto assignment = plan.nextAssignment(engines, changing)) {
        auto at = std::find_if(planned.begin(), planned.end(),
            [&](const ServerRecord& record) { return record.id == assignment->server; });
        at->role = assignment->role;
        ++changing;
        bool isLeader = co_await this->confirmLeadership();
        if (!isLeader)
            co_return false;
        co_await this->changeRoleOf(service, *assignment, engine.roleSwitchTime);
    }
    co_return true;
}

boost::asio::awaitable<bool> GroupMember::confirmLeadership()
{
    if (this->mayAct())
        co_return true;
    bool hasJoined = co_await this->join();
    co_return hasJoined&& this->mayAct();
}

EngineSpeeds GroupMember::speedsOf(const std::vector<const ServerRecord*>& engines) const
{
    EngineSpeeds speeds;
    for (const ServerRecord* engine : engines)
        speeds[engine->id] = 1 / this->state.pace.ratio(*engine);
    return speeds;
}

void GroupMember::logTarget(const ServiceId& service, std::size_t engines, std::uint32_t before,
    const std::optional<RoleDemand>& demand)
{
    auto microseconds = [](Duration time) {
        return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(time).count());
    };
    this->state.log.write(LogLevel::Info, "role_target",
        { { "service", service.raw() }, { "engines", std::to_string(engines) },
            { "prefill_before", std::to_string(before) },
            { "prefill", std::to_string(this->plans[service].prefillTarget()) },
            { "prefill_us", demand ? microseconds(demand->prefill) : "unknown" },
            { "decode_us", demand ? microseconds(demand->decode) : "unknown" } });
}

boost::asio::awaitable<void> GroupMember::changeRoleOf(
    ServiceId service, RoleAssignment assignment, std::chrono::milliseconds switchTime)
{
    const ServerRecord* record = this->state.directory.find(assignment.server);
    if (record == nullptr || this->changes.contains(assignment.server) || !this->state.mayCall(*record))
        co_return;
    auto client = this->state.clients.clientFor(*record);
    auto report = co_await client->report(RoleChangeTimeout);
    auto* engineReport = std::get_if<EngineReport>(&report);
    if (engineReport == nullptr || engineReport->isCommandInProgress
        || engineReport->role == assignment.role) {
        // An engine that gives no report or needs no command is checked again when this change expires.
        this->changes.begin(assignment.server, assignment.role, this->state.now());
        co_return;
    }
    bool isConfirmed = co_await this->confirmLeadership();
    if (!isConfirmed || !this->state.mayCall(client->record()))
        co_return;
    this->changes.begin(assignment.server, assignment.role, this->state.now());
    RoleChange change { assignment.role, this->member, this->fencingToken(), engineReport->acceptedCommands };
    this->notices.announceRole(client->record(), assignment.role, switchTime);
    bool isLeaseOver = false;
    // The connection may take longer to open than the lease lasts, or the process may be paused meanwhile.
    SendPermission maySend = [this, &isLeaseOver] {
        isLeaseOver = !this->mayAct();
        return !isLeaseOver;
    };
    auto failure = co_await client->changeRole(change, maySend, RoleChangeTimeout);
    if (isLeaseOver)
        this->changes.cancel(assignment.server);
    std::string_view outcome = failure ? "unanswered" : "accepted";
    this->state.log.write(LogLevel::Info, "stage_ordered",
        { { "server", assignment.server.raw() }, { "service", service.raw() },
            { "stage", std::string { nameOf(assignment.role) } },
            { "generation", std::to_string(this->generation) },
            { "outcome", std::string { isLeaseOver ? "not_sent" : outcome } },
            { "detail", failure ? failure->detail : "" } });
}

} // namespace peridotgrade
