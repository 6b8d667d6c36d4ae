// Implementation of duties and shares among the entries.
#include "peridotgrade/gateway/group_member.h"

#include "peridotgrade/net/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace peridotgrade {

namespace {
    constexpr const char* Group = "peridotgrade.entries";
    // Topics without records: only their partitions are shared out. Four topics of a dozen partitions reach
    // for some dozens of entries.
    constexpr const char* Topics[]
        = { "peridotgrade.share-0", "peridotgrade.share-1", "peridotgrade.share-2", "peridotgrade.share-3" };
    constexpr const char* DutyTopic = Topics[0];
    constexpr std::uint32_t DutyPartition = 0;
    // How often the membership is renewed, against a lifetime of three of it.
    constexpr std::chrono::milliseconds RenewInterval { 1500 };
    constexpr std::chrono::milliseconds MembershipLifetime { 4500 };
    // After a change of the group: partitions go over only as each member confirms the change, so it settles
    // within two or three of these.
    constexpr std::chrono::milliseconds SettleInterval { 300 };
    constexpr std::chrono::milliseconds JoinTimeout { 600 };
    // So that the next turn is after the lease, not at its end.
    constexpr std::chrono::milliseconds TurnMargin { 20 };
    // Servers come and go around a loss or a release; orders wait until the list has been still this long.
    constexpr std::chrono::milliseconds CalmBeforeOrders { 3000 };
    constexpr std::chrono::milliseconds OrderTimeout { 500 };
    // Unanswered orders may be carried out up to 12 s later.
    constexpr std::chrono::seconds OrderMemory { 14 };
} // namespace

GroupMember::GroupMember(GatewayState& state, StoreClient& store)
    : state(state)
    , store(store)
    , member(state.settings.nodeName + "/" + std::to_string(state.random.next()))
    , duty(state.settings.dutyLease)
{
}

void GroupMember::start() { boost::asio::co_spawn(this->state.executor, this->run(), boost::asio::detached); }

boost::asio::awaitable<void> GroupMember::run()
{
    while (!this->state.isStopping) {
        bool isMember = co_await this->join();
        TimePoint now = TimerDriver::bootNow();
        if (!isMember && this->part > 0 && now - this->confirmedAt > MembershipLifetime) {
            this->part = 0;
            this->duty.lose();
            this->state.setRetryPart(0);
            this->state.log.write(LogLevel::Warn, "membership_lost", { { "member", this->member } });
        }
        if (isMember && this->mayAct())
            co_await this->orderStages();
        co_await sleepFor(this->state.executor, this->untilNextTurn());
    }
}

Duration GroupMember::untilNextTurn() const
{
    Duration longest = this->isSettling ? SettleInterval : RenewInterval;
    // A new holder acts as soon as its predecessor's lease has ended.
    Duration leaseLeft = this->duty.waitLeft(TimerDriver::bootNow());
    // Or once the list of servers has been still for long enough.
    Duration calmLeft = this->state.serversChangedAt + CalmBeforeOrders - this->state.now();
    Duration waitLeft = std::max(leaseLeft, calmLeft);
    bool isWaiting = this->duty.isHolder() && waitLeft > Duration::zero();
    return isWaiting ? std::min<Duration>(longest, waitLeft + TurnMargin) : longest;
}

boost::asio::awaitable<bool> GroupMember::join()
{
    GroupJoin request;
    request.group = Group;
    request.member = this->member;
    request.topics.assign(std::begin(Topics), std::end(Topics));
    request.lifetime = std::max(MembershipLifetime, this->state.settings.shortestMembership);
    request.generation = this->generation;
    TimePoint asked = TimerDriver::bootNow();
    auto joined = co_await this->store.join(std::move(request), JoinTimeout);
    if (std::holds_alternative<StoreError>(joined))
        co_return false;
    // The lifetime may count from the moment of asking.
    this->confirmedAt = asked;
    this->noteMembership(std::get<GroupMembership>(joined), asked);
    co_return true;
}

void GroupMember::noteMembership(const GroupMembership& membership, TimePoint asked)
{
    bool isSame = membership.generation == this->generation;
    this->isSettling = !isSame;
    this->generation = membership.generation;
    double all = static_cast<double>(std::size(Topics)) * this->state.settings.storePartitions;
    this->part = std::min(1.0, static_cast<double>(membership.partitions.size()) / all);
    this->state.setRetryPart(this->part);
    bool holds = std::any_of(membership.partitions.begin(), membership.partitions.end(),
        [](const StorePartition& each) { return each.topic == DutyTopic && each.number == DutyPartition; });
    bool changed = holds != this->duty.isHolder();
    this->duty.confirm(this->generation, holds, asked, TimerDriver::bootNow());
    if (isSame && !changed)
        return;
    this->state.log.write(LogLevel::Info, "membership_changed",
        { { "generation", std::to_string(this->generation) }, { "part", std::to_string(this->part) },
            { "holds_duty", holds ? "true" : "false" } });
}

bool GroupMember::mayAct() const { return this->duty.mayAct(TimerDriver::bootNow()); }

std::vector<const ServerRecord*> GroupMember::enginesOf(
    const ServiceId& service, std::vector<ServerRecord>& planned) const
{
    for (const ServerRecord* record : this->state.directory.usable(service)) {
        planned.push_back(*record);
        auto found = this->pending.find(record->id);
        if (found != this->pending.end())
            planned.back().role = found->second.role;
    }
    std::vector<const ServerRecord*> engines;
    for (const ServerRecord& record : planned)
        engines.push_back(&record);
    return engines;
}

boost::asio::awaitable<void> GroupMember::orderStages()
{
    TimePoint now = this->state.now();
    if (now - this->state.serversChangedAt < CalmBeforeOrders)
        co_return;
    std::erase_if(this->pending, [&](const auto& each) { return now >= each.second.until; });
    auto configuration = this->state.configuration;
    if (!configuration)
        co_return;
    for (const ServiceSpec& service : configuration->services) {
        if (!service.engine)
            continue;
        std::vector<ServerRecord> planned;
        auto engines = this->enginesOf(service.name, planned);
        // Several orders in one turn: at a start all are due at once, and each is confirmed by itself.
        while (auto assignment = this->plan.nextOrder(engines)) {
            auto at = std::find_if(planned.begin(), planned.end(),
                [&](const ServerRecord& record) { return record.id == assignment->server; });
            at->role = assignment->role;
            if (!this->mayAct() && !(co_await this->join() && this->mayAct()))
                co_return;
            co_await this->orderOne(service.name, *assignment);
        }
    }
}

boost::asio::awaitable<void> GroupMember::orderOne(ServiceId service, RoleAssignment assignment)
{
    const ServerRecord* record = this->state.directory.find(assignment.server);
    if (record == nullptr || this->pending.contains(assignment.server))
        co_return;
    auto client = this->state.clients.of(*record);
    auto report = co_await client->report(OrderTimeout);
    auto* known = std::get_if<EngineReport>(&report);
    if (known == nullptr || known->isOrderInProgress || known->role == assignment.role) {
        // What cannot be asked now is looked at again when this memory ends.
        this->pending[assignment.server] = { assignment.role, this->state.now() + OrderMemory };
        co_return;
    }
    bool isConfirmed = this->mayAct() || (co_await this->join() && this->mayAct());
    if (!isConfirmed)
        co_return;
    this->pending[assignment.server] = { assignment.role, this->state.now() + OrderMemory };
    StageChange change { assignment.role, this->member, this->generation, known->acceptedOrders };
    auto failure = co_await client->changeRole(change, OrderTimeout);
    this->state.log.write(LogLevel::Info, "stage_ordered",
        { { "server", assignment.server.raw() }, { "service", service.raw() },
            { "stage", std::string { nameOf(assignment.role) } },
            { "generation", std::to_string(this->generation) },
            { "outcome", failure ? "unanswered" : "accepted" },
            { "detail", failure ? failure->detail : "" } });
}

} // namespace peridotgrade
