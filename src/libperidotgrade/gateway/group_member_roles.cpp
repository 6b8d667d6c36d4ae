// Role changes of engines by the leader.
#include "peridotgrade/gateway/group_member.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace peridotgrade {

namespace {
    // Engines appear and disappear around a failure or a release; role changes wait until those of the
    // service have been the same for this long.
    constexpr std::chrono::milliseconds ServerListStableTime { 3000 };
    constexpr std::chrono::milliseconds RoleChangeTimeout { 500 };
    // A report takes one round trip of some milliseconds. The membership is not renewed meanwhile, and the
    // partitions of a group that changes move no faster than its slowest member confirms.
    constexpr std::chrono::milliseconds ReportsTimeout { 200 };
} // namespace

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
    if (!hasJoined)
        co_return false;
    co_return this->mayAct();
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
