// Failed calls, lost runs and ends of servers in the shared state.
#include "peridotgrade/gateway/gateway_state.h"

#include "peridotgrade/core/quarantine/request_content.h"
#include "peridotgrade/gateway/request_trace.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace peridotgrade {

namespace {

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

    std::string textOfTime(const std::optional<Duration>& time) { return time ? textOfTime(*time) : "none"; }

    ServerCrash incarnationOf(const ServerRecord& server)
    {
        return { server.id.raw(), static_cast<std::uint64_t>(server.startedAt.time_since_epoch().count()) };
    }

} // namespace

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
    bool hasEndedLater = check.liveness == Liveness::EndedLater;
    if (!hasEndedLater && current != nullptr && current->startedAt > watch->record().startedAt)
        check.liveness = Liveness::Ended;
    std::string result { nameOf(check.liveness) };
    this->metrics.countServerCheck(std::string { EndOfAnswer }, result);
    bool isListed = current != nullptr && current->startedAt == watch->record().startedAt;
    std::string_view state = !isListed ? "not_listed" : current->isDraining ? "draining" : "ready";
    this->log.write(LogLevel::Info, "server_checked",
        { { "request", request.attempt }, { "server", watch->record().id.raw() },
            { "purpose", std::string { EndOfAnswer } }, { "result", result },
            { "watched", check.wasWatched ? "true" : "false" }, { "state", std::string { state } },
            { "answered_after_us", textOfTime(check.answeredAfter) },
            { "closed_after_us", textOfTime(check.closedAfter) },
            { "waiting_after_us", textOfTime(check.waitingAfter) }, { "limit_us", textOfTime(times.timeout) },
            { "took_us", textOfTime(this->now() - endedAt) } });
    bool hasGoneOn = check.liveness == Liveness::Alive || check.liveness == Liveness::Silent;
    co_return !hasGoneOn && !hasEndedLater;
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
    std::vector<Fingerprint> lost;
    this->loop.run("crash", [&] { lost = this->crashes.recordEnd(incarnation, this->now()); });
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

} // namespace peridotgrade
