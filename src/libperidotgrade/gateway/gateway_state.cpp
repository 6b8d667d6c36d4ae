// Timers, retry budgets, server selection and directory changes of the shared state.
#include "peridotgrade/gateway/gateway_state.h"

#include "peridotgrade/gateway/request_trace.h"

#include <algorithm>
#include <set>
#include <utility>

namespace peridotgrade {

namespace {

    // Full decode engines refuse, so the fastest one that has room is worth a few refusals.
    constexpr double DecodeSelectivity = 3;
    // Prefill engines queue what they get. In placement_load_test 4 to 10 differ little, 2 has a third more
    // late answers near saturation.
    constexpr double PrefillSelectivity = 5;

} // namespace

GatewayState::GatewayState(boost::asio::any_io_executor executor, GatewaySettings settings,
    MetricsRegistry& registry, std::uint64_t seed)
    : executor(executor)
    , settings(std::move(settings))
    , memoryBudgets(memoryBudgetsFor(this->settings.memoryMb))
    , timers(TimerDriver::now())
    , driver(executor,
          [this] {
              TimePoint now = TimerDriver::now();
              auto due = this->timers.nextDue();
              if (due && *due <= now)
                  this->loop.noteTurn(*due, now, LoopWatch::processorTime());
              this->timers.advance(now);
              this->armTimers();
          })
    , random(seed)
    , log(LoggerOptions { this->settings.nodeName, this->settings.logLevel, LogTarget::StandardOutput,
          this->settings.maxLogLinesPerSecond })
    , metrics(registry)
    , loop(this->log, registry)
    , limits(this->random.unit())
    , requestMemory(this->memoryBudgets.requestBytes
              ? std::make_shared<BodyMemory>(*this->memoryBudgets.requestBytes)
              : nullptr)
    , clients(executor,
          { [this](const ServerRecord& server) { this->limits.recordCall(server, this->now()); },
              [this](const ServerRecord& server, const ServerNotice& notice) {
                  this->noteServerNotice(server, notice);
              },
              [this](const ServerRecord& server) {
                  const ServerRecord* current = this->directory.find(server.id);
                  return current != nullptr && current->startedAt == server.startedAt;
              },
              [this](const ServerRecord& server, WallTime startedAt) {
                  this->noteServerStart(server, startedAt);
              } },
          HttpChannelSettings { this->memoryBudgets.socketBufferBytes })
    , endProbe(executor)
    , unusedRetryBudget(this->settings.retries)
{
    this->reservedLoad.usePace(this->pace, DecodeSelectivity);
    this->prefillLoad.usePace(this->pace, PrefillSelectivity);
    this->prefillLoad.useBacklog(this->backlog);
    this->pace.setInUse(false);
    this->updateLoadAwareness();
}

void GatewayState::watchLoop()
{
    this->subscribeAfter(LoopWatch::Interval, [this] { this->watchLoop(); });
}

GatewayState::~GatewayState() { this->driver.stop(); }

void GatewayState::subscribeAfter(Duration delay, TimerService::Callback callback)
{
    this->subscribeAt(this->now() + delay, std::move(callback));
}

void GatewayState::subscribeAt(TimePoint due, TimerService::Callback callback)
{
    this->timers.subscribeAt(due, std::move(callback));
    this->armTimers();
}

RetryBudgetShare& GatewayState::retryBudgetOf(const ServiceId& service)
{
    this->endExpiredMembership();
    return this->retryBudgets.try_emplace(service, this->unusedRetryBudget).first->second;
}

void GatewayState::noteMembership(double share, const HeldPartitions& partitions, TimePoint endsAt)
{
    this->membershipEndsAt = endsAt;
    this->heldPartitions = partitions;
    this->setRetryShare(share);
    this->limits.setPartitions(partitions, this->now());
}

void GatewayState::endExpiredMembership()
{
    if (!this->heldPartitions.isConfirmed || TimerDriver::bootNow() <= this->membershipEndsAt)
        return;
    this->heldPartitions.isConfirmed = false;
    this->setRetryShare(0);
    this->limits.setPartitions(this->heldPartitions, this->now());
    this->log.write(LogLevel::Warn, "membership_lost", {});
}

void GatewayState::setRetryShare(double share)
{
    this->retryShare = share;
    this->unusedRetryBudget.setShare(share, this->now());
    for (auto& [service, budget] : this->retryBudgets)
        budget.setShare(share, this->now());
    this->crashes.setEntryCount(this->entryCount());
}

std::uint32_t GatewayState::entryCount() const
{
    return this->retryShare > 0 ? static_cast<std::uint32_t>(std::lround(1 / this->retryShare)) : 1;
}

std::vector<const ServerRecord*> GatewayState::healthyServers(const ServiceId& service, ServerRole role)
{
    std::vector<const ServerRecord*> servers = this->directory.usable(service);
    std::erase_if(
        servers, [&](const ServerRecord* server) { return server->role != role || !this->mayCall(*server); });
    std::vector<const ServerRecord*> healthy;
    TimePoint now = this->now();
    for (const ServerRecord* server : servers) {
        if (!this->health.isEjected(server->id, now))
            healthy.push_back(server);
    }
    return healthy.empty() ? servers : healthy;
}

std::optional<TimePoint> GatewayState::closedUntil(const ServerRecord& server)
{
    this->endExpiredMembership();
    TimePoint now = this->now();
    auto backoffEnd = this->backoff.until(server, now);
    auto nextCall = this->limits.nextCallAt(server, now);
    return backoffEnd && nextCall ? std::max(backoffEnd, nextCall) : backoffEnd ? backoffEnd : nextCall;
}

std::optional<TimePoint> GatewayState::allClosedUntil(const ServiceId& service, ServerRole role)
{
    std::optional<TimePoint> first;
    for (const ServerRecord* server : this->directory.usable(service)) {
        if (server->role != role)
            continue;
        auto until = this->closedUntil(*server);
        if (!until)
            return std::nullopt;
        first = first ? std::min(*first, *until) : *until;
    }
    return first;
}

std::string_view GatewayState::closedReason(const ServiceId& service, ServerRole role)
{
    for (const ServerRecord* server : this->directory.usable(service)) {
        if (server->role == role && !this->isBackingOff(*server))
            return "servers_limited";
    }
    return "servers_back_off";
}

std::string GatewayState::notePace(const ServerId& server)
{
    const ServerRecord* record = this->directory.find(server);
    if (record == nullptr)
        return "";
    this->metrics.addServerPace(this->pace.factor(*record, this->now()));
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f*%.2f", this->pace.ratio(*record),
        this->pace.slowness(*record, this->now()));
    return text;
}

void GatewayState::updateLoadAwareness()
{
    bool hasTenants = this->configuration && !this->configuration->tenants.empty();
    std::string_view reason = peridotgrade::loadAwareReason(
        this->settings.loadAwareScheduling, hasTenants, this->pace.hasSlownessReports());
    if (reason == this->loadAwareReason)
        return;
    this->loadAwareReason = reason;
    this->pace.setInUse(this->isLoadAware());
    this->log.write(LogLevel::Info, "load_aware_scheduling",
        { { "active", this->isLoadAware() ? "true" : "false" }, { "reason", std::string { reason } } });
}

void GatewayState::noteServerNotice(const ServerRecord& server, const ServerNotice& notice)
{
    if (notice.backoff) {
        this->backoff.note(server, *notice.backoff, this->now());
        this->log.write(LogLevel::Info, "server_backoff",
            { { "server", server.id.raw() }, { "for_ms", std::to_string(notice.backoff->count()) } });
    }
    this->noteLimit(server, notice);
    if (notice.load) {
        this->pace.noteReport(server, *notice.load, this->now());
        this->updateLoadAwareness();
    }
    if (notice.isLeaving)
        this->onDirectoryChanges(this->directory.noteLeaving(server.id, server.startedAt));
}

void GatewayState::noteServerStart(const ServerRecord& server, WallTime startedAt)
{
    if (startedAt == server.startedAt || server.startedAt == WallTime {})
        return;
    // One line for each incarnation, however many answers state it.
    if (std::exchange(this->unlistedStarts[server.id], startedAt) == startedAt)
        return;
    auto text = [](WallTime time) {
        return std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
    };
    this->log.write(LogLevel::Info, "server_start_differs",
        { { "server", server.id.raw() }, { "listed_start", text(server.startedAt) },
            { "stated_start", text(startedAt) }, { "listed_version", server.softwareVersion.raw() },
            { "list_age_ms", millisecondsText(this->now() - this->serversReadAt) } });
}

void GatewayState::noteLimit(const ServerRecord& server, const ServerNotice& notice)
{
    std::optional<ServerLimitChange> change;
    if (notice.requestsPerSecond)
        change = this->limits.note(server, *notice.requestsPerSecond, this->now());
    else if (!notice.isLimitUnreadable)
        change = this->limits.noteAbsent(server, this->now());
    if (!change)
        return;
    auto text = [](std::optional<double> limit) { return limit ? std::to_string(*limit) : "none"; };
    this->log.write(LogLevel::Info, "server_limit",
        { { "server", server.id.raw() }, { "per_second", text(change->now) },
            { "before", text(change->before) }, { "calls", std::to_string(change->calls) } });
}

void GatewayState::onDirectoryChanges(const std::vector<DirectoryChange>& changes)
{
    for (const DirectoryChange& change : changes) {
        const ServerRecord* record = this->directory.find(change.id);
        this->log.write(LogLevel::Info, "server_changed",
            { { "server", change.id.raw() }, { "change", std::string { nameOf(change.kind) } },
                { "address", record ? record->address : "" },
                { "version", record ? record->softwareVersion.raw() : "" },
                { "stage", record ? std::string { nameOf(record->role) } : "" },
                { "data_centre", record ? record->dataCentre.raw() : "" } });
        this->noteEndsInList(change);
        if (change.kind == DirectoryChange::Kind::Changed)
            this->health.forget(change.id);
        else
            this->serversChangedAt[change.service] = this->now();
        if (change.kind != DirectoryChange::Kind::Gone)
            continue;
        this->clients.forget(change.id);
        this->unlistedStarts.erase(change.id);
        this->health.forget(change.id);
        this->backoff.forget(change.id);
        this->limits.forget(change.id);
        this->pace.forget(change.id);
        this->backlog.forget(change.id);
        this->reservedLoad.forget(change.id);
        this->prefillLoad.forget(change.id);
    }
    std::set<ServiceId> services;
    for (const DirectoryChange& change : changes)
        services.insert(change.service);
    for (const ServiceId& service : services)
        this->updateVersions(service);
}

void GatewayState::updateVersions(const ServiceId& service)
{
    std::set<SoftwareVersion> serving;
    for (const ServerRecord* record : this->directory.all()) {
        if (record->service == service)
            serving.insert(record->softwareVersion);
    }
    VersionHistory& history = this->versions[service];
    history.update(serving, this->now());
    if (this->onVersionsChanged)
        this->onVersionsChanged();
    if (history.isMixed(this->now()) && this->onMixedVersions)
        this->onMixedVersions();
}

std::optional<SoftwareVersion> GatewayState::onlyVersion(const ServiceId& service)
{
    if (!this->areVersionsKnown || !this->isListCurrent())
        return std::nullopt;
    return this->versions[service].onlyVersion(this->now());
}

bool GatewayState::isListCurrent() const
{
    return TimerDriver::bootNow() - this->serversAskedAt <= VersionHistory::MaxListAge;
}

void GatewayState::noteServersRead(TimePoint asked)
{
    // Versions may have come and gone between two reads that are further apart.
    bool isGap = asked - this->serversAskedAt > VersionHistory::MaxListAge;
    this->serversReadAt = this->now();
    this->serversAskedAt = asked;
    if (isGap && this->onServersListed)
        this->onServersListed();
}

} // namespace peridotgrade
