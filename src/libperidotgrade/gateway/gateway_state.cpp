// Timers, retry budgets, server selection and directory changes of the shared state.
#include "peridotgrade/gateway/gateway_state.h"

#include "peridotgrade/core/quarantine/request_content.h"
#include "peridotgrade/gateway/request_trace.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>
#include <utility>

namespace peridotgrade {

namespace {

    // Full decode engines refuse, so the fastest one that has room is worth a few refusals.
    constexpr double DecodeSelectivity = 3;
    // Prefill engines queue what they get. In placement_load_test 4 to 10 differ little, 2 has a third more
    // late answers near saturation.
    constexpr double PrefillSelectivity = 5;

    // More lost requests of one server do not fit a line.
    constexpr std::size_t MaxLoggedContents = 8;

    // Evidence that a server has ended: its address refuses connections.
    constexpr std::string_view RefusedEvidence = "refused";

    // Purposes of the checks whether a server has ended.
    constexpr std::string_view LostRun = "lost_run";
    constexpr std::string_view LostRunLater = "lost_run_later";
    constexpr std::string_view EndOfAnswer = "end_of_answer";

    std::string textOfTime(Duration time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(time).count());
    }

    ServerCrash incarnationOf(const ServerRecord& server)
    {
        return { server.id.raw(), static_cast<std::uint64_t>(server.startedAt.time_since_epoch().count()) };
    }

} // namespace

GatewayState::GatewayState(boost::asio::any_io_executor executor, GatewaySettings settings,
    MetricsRegistry& registry, std::uint64_t seed)
    : executor(executor)
    , settings(std::move(settings))
    , memoryBudgets(memoryBudgetsFor(this->settings.memoryMb))
    , timers(TimerDriver::now())
    , driver(executor,
          [this] {
              this->timers.advance(TimerDriver::now());
              this->armTimers();
          })
    , random(seed)
    , log(LoggerOptions { this->settings.nodeName, this->settings.logLevel, LogTarget::StandardOutput,
          this->settings.maxLogLinesPerSecond })
    , metrics(registry)
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

void GatewayState::noteFailure(const ServerId& server, const CallFailure& failure)
{
    ServerCallResult result = ServerCallResult::Unreachable;
    if (failure.isMisdirected)
        result = ServerCallResult::Superseded;
    else if (failure.isConnectionRefused)
        result = ServerCallResult::Absent;
    this->health.record(server, result, this->now());
    const ServerRecord* record = this->directory.find(server);
    if (failure.isConnectionRefused && record != nullptr)
        this->noteEnd(incarnationOf(*record), RefusedEvidence);
}

boost::asio::awaitable<void> GatewayState::tryProbation(GatewayRequest& request)
{
    auto trial = this->crashes.beginTrial(request.fingerprint, this->now());
    if (!trial || !this->claimTrial)
        co_return;
    bool isClaimed = co_await this->claimTrial(request.fingerprint);
    if (!isClaimed)
        co_return;
    request.trial = std::move(trial);
    this->log.write(LogLevel::Info, "trial_begun",
        { { "request", request.attempt }, { "content", textOf(request.fingerprint) },
            { "crashes", std::to_string(this->crashes.crashesOf(request.fingerprint)) } });
}

bool GatewayState::isHeld(const GatewayRequest& request) const
{
    bool isUntried = !request.trial && this->crashes.isOnProbation(request.fingerprint);
    return isUntried || this->crashes.quarantinedAmong(request.suspects()).has_value();
}

boost::asio::awaitable<void> GatewayState::noteLostRun(ServerId server, const GatewayRequest& request)
{
    // A server that leaves is expected to end.
    const ServerRecord* record = this->directory.find(server);
    if (record == nullptr) {
        this->noteUncheckedServer(server, LostRun, request.attempt, "not_listed");
        co_return;
    }
    ServerCrash incarnation = incarnationOf(*record);
    this->crashes.recordLoss(incarnation, request.suspects(), this->now(), request.trial != nullptr);
    // The list may show another incarnation after the check.
    auto client = this->clients.clientFor(*record);
    TimePoint asked = this->now();
    ServerProbeResult result = co_await this->endProbe.run(client);
    this->logCheck(server, LostRun, request.attempt, asked, result);
    if (result.isRefused)
        this->noteEnd(incarnation, RefusedEvidence);
    else
        this->checkLater(client, incarnation, request.attempt);
}

void GatewayState::checkLater(
    std::shared_ptr<ServerClient> server, const ServerCrash& incarnation, const std::string& attempt)
{
    auto [check, isFirst] = this->laterChecks.try_emplace(incarnation);
    check->second = attempt;
    if (isFirst)
        boost::asio::co_spawn(
            this->executor, this->runLaterChecks(std::move(server), incarnation), boost::asio::detached);
}

boost::asio::awaitable<void> GatewayState::runLaterChecks(
    std::shared_ptr<ServerClient> server, ServerCrash incarnation)
{
    bool isRefused = false;
    while (auto attempt = std::exchange(this->laterChecks[incarnation], std::nullopt)) {
        TimePoint asked = this->now();
        ServerProbeResult result = co_await this->endProbe.runLonger(server);
        this->logCheck(server->record().id, LostRunLater, *attempt, asked, result);
        isRefused = result.isRefused;
        if (isRefused)
            break;
    }
    this->laterChecks.erase(incarnation);
    if (isRefused)
        this->noteEnd(incarnation, RefusedEvidence);
}

void GatewayState::noteSilentRun(const ServerId& server, const GatewayRequest& request)
{
    if (const ServerRecord* record = this->directory.find(server))
        this->crashes.recordLoss(
            incarnationOf(*record), request.suspects(), this->now(), request.trial != nullptr);
}

std::shared_ptr<ServerLiveness> GatewayState::watchServer(
    std::shared_ptr<ServerClient> server, BodyFraming framing)
{
    if (framing != BodyFraming::ConnectionEnd)
        return nullptr;
    std::erase_if(this->watches, [](const auto& each) { return each.second.expired(); });
    const ServerRecord& record = server->record();
    std::weak_ptr<ServerLiveness>& watch = this->watches[{ record.id, record.startedAt }];
    if (auto running = watch.lock())
        return running;
    std::string healthPath;
    for (const ServiceSpec& service : this->configuration->services) {
        if (service.name == record.service)
            healthPath = service.healthPath;
    }
    auto started = std::make_shared<ServerLiveness>(this->executor, server, std::move(healthPath),
        ServerLiveness::CallRules { [this, server] { return this->closedUntil(server->record()); },
            [this, server] { return this->limits.isLimited(server->record()); } });
    started->start();
    watch = started;
    return started;
}

boost::asio::awaitable<bool> GatewayState::isBrokenOff(
    std::shared_ptr<ServerLiveness> watch, const GatewayRequest& request, const EndCheckTimes& times)
{
    if (!watch)
        co_return false;
    TimePoint endedAt = this->now();
    LivenessCheck check;
    if (times.timeout >= MinEndCheckTime)
        check = co_await watch->check(times.settleTime, times.timeout, times.newConnectionAllowance);
    const ServerRecord* current = this->directory.find(watch->record().id);
    // Status answers need not state the start of their process.
    if (current != nullptr && current->startedAt > watch->record().startedAt)
        check.liveness = Liveness::Ended;
    std::string result { nameOf(check.liveness) };
    this->metrics.countServerCheck(std::string { EndOfAnswer }, result);
    bool isListed = current != nullptr && current->startedAt == watch->record().startedAt;
    std::string_view state = !isListed ? "not_listed" : current->isDraining ? "draining" : "ready";
    this->log.write(LogLevel::Info, "server_checked",
        { { "request", request.attempt }, { "server", watch->record().id.raw() },
            { "purpose", std::string { EndOfAnswer } }, { "result", result },
            { "watched", check.wasWatched ? "true" : "false" }, { "state", std::string { state } },
            { "limit_us", textOfTime(times.timeout) }, { "took_us", textOfTime(this->now() - endedAt) } });
    co_return check.liveness != Liveness::Alive;
}

void GatewayState::logCheck(const ServerId& server, std::string_view purpose, const std::string& attempt,
    TimePoint asked, const ServerProbeResult& result)
{
    std::string_view text = result.isRefused ? "refused" : "not_refused";
    this->metrics.countServerCheck(std::string { purpose }, std::string { text });
    this->log.write(LogLevel::Info, "server_checked",
        { { "request", attempt }, { "server", server.raw() }, { "purpose", std::string { purpose } },
            { "result", std::string { text } }, { "shared", result.isShared ? "true" : "false" },
            { "began_before_us", textOfTime(asked - result.beganAt) },
            { "took_us", textOfTime(this->now() - asked) } });
}

void GatewayState::noteUncheckedServer(
    const ServerId& server, std::string_view purpose, const std::string& attempt, std::string_view reason)
{
    this->metrics.countServerCheck(std::string { purpose }, "not_asked");
    this->log.write(LogLevel::Info, "server_checked",
        { { "request", attempt }, { "server", server.raw() }, { "purpose", std::string { purpose } },
            { "result", "not_asked" }, { "reason", std::string { reason } } });
}

void GatewayState::noteEnd(const ServerCrash& incarnation, std::string_view evidence)
{
    if (evidence == RefusedEvidence && this->onServerEnded)
        this->onServerEnded(incarnation);
    std::vector<Fingerprint> lost = this->crashes.recordEnd(incarnation, this->now());
    if (lost.empty())
        return;
    this->metrics.countServerCrash(std::string { evidence });
    this->log.write(LogLevel::Warn, "server_crashed",
        { { "server", incarnation.server }, { "evidence", std::string { evidence } },
            { "requests", std::to_string(lost.size()) }, { "contents", textOf(lost, MaxLoggedContents) } });
}

void GatewayState::noteEndsInList(const DirectoryChange& change)
{
    const ServerRecord* current = this->directory.find(change.id);
    bool isGone = change.kind == DirectoryChange::Kind::Gone;
    bool isReplaced = change.kind == DirectoryChange::Kind::Changed && current != nullptr;
    if (!isGone && !isReplaced)
        return;
    for (const ServerCrash& incarnation : this->crashes.undecided(change.id.raw(), this->now())) {
        if (isGone || incarnation.incarnation < incarnationOf(*current).incarnation)
            this->noteEnd(incarnation, "list");
    }
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
