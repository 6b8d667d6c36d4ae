// Means of logarithms by server, compared with their median.
#include "peridotgrade/core/serving/server_pace.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace peridotgrade {

namespace {
    // Weight of the assumption that a server is like the others, in prefills or plain calls.
    constexpr double PriorWeight = 1;
    // Events of a stream are not independent of each other: a stream of 50 weighs as much as five prefills.
    constexpr double EventWeight = 0.1;
    // Weight of times above the mean, compared with those below: waits, other streams and other users of the
    // machine only add to a time, and a busy server is not to be taken for a slow one.
    constexpr double LongTimeWeight = 0.2;
    // Standard deviation of the logarithm of one time, of prefills that wait or not.
    constexpr double SampleSpread = 0.5;
    // A server differs from the others if its mean does by so many standard deviations.
    constexpr double MinDeviations = 3;
    // Evidence that a server needs to count in the median.
    constexpr double MinMedianWeight = 1;
    // Samples of a service after which its medians are computed again.
    constexpr std::uint32_t MedianInterval = 16;
    // Samples taken while the server reports that it is slower than this are taken for a fraction.
    constexpr double CalmSlowness = 1.3;
    constexpr double SlowSampleWeight = 0.2;
    // Weight of the newest comparison of a report with a measured time.
    constexpr double NewestTrustWeight = 0.1;
    // Reports within this logarithm of the usual time neither confirm nor contradict anything.
    constexpr double CheckedSlowness = 0.2;
    // Bounds of a reported slowness that is used.
    constexpr double MinSlowness = 0.5;
    constexpr double MaxSlowness = 8;
    // A report older than this many time constants says nothing.
    constexpr int Expired = 8;

    std::size_t indexOf(PaceSample kind) { return static_cast<std::size_t>(kind); }

    double decay(Duration age, Duration lifetime)
    {
        if (age >= lifetime * Expired)
            return 0;
        return std::exp(-std::chrono::duration<double>(age) / std::chrono::duration<double>(lifetime));
    }

    double medianOf(std::vector<double>& values)
    {
        auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

} // namespace

const ServerPace::Server* ServerPace::find(const ServerRecord& server) const
{
    auto found = this->servers.find(server.id);
    bool isKnown = found != this->servers.end() && found->second.startedAt == server.startedAt;
    return isKnown ? &found->second : nullptr;
}

ServerPace::Server& ServerPace::at(const ServerRecord& server)
{
    Server& entry = this->servers[server.id];
    if (entry.startedAt != server.startedAt || entry.service != server.service) {
        entry = Server {};
        entry.service = server.service;
        entry.startedAt = server.startedAt;
    }
    return entry;
}

void ServerPace::forget(const ServerId& server) { this->servers.erase(server); }

void ServerPace::record(const ServerRecord& server, PaceSample kind, double time, TimePoint now)
{
    if (time > 0 && std::isfinite(time))
        this->add(this->at(server), kind, time, 1, now);
}

void ServerPace::recordEvents(const ServerRecord& server, std::uint32_t events, Duration took,
    std::chrono::milliseconds pauseLimit, TimePoint now)
{
    if (events == 0 || took <= Duration::zero())
        return;
    Server& entry = this->at(server);
    double gap = std::chrono::duration<double>(took).count() / events;
    this->add(entry, PaceSample::Event, gap, EventWeight * events, now);
    if (pauseLimit.count() <= 0)
        return;
    constexpr double NewestPauseWeight = 0.02;
    double before = entry.latePauses * decay(now - entry.pausedAt, LatePauseLifetime);
    entry.latePauses = before + NewestPauseWeight * ((took > pauseLimit ? 1.0 : 0.0) - before);
    entry.pausedAt = now;
}

void ServerPace::add(Server& server, PaceSample kind, double time, double weight, TimePoint now)
{
    double logTime = std::log(time);
    this->checkReport(server, kind, logTime, now);
    bool isFresh = server.report && now - server.reportedAt < SlownessLifetime;
    if (isFresh && server.report->slowness > CalmSlowness)
        weight *= SlowSampleWeight;
    Evidence& evidence = server.evidence[indexOf(kind)];
    double total = std::min(evidence.weight, MaxWeight) + weight;
    double step = (logTime - evidence.mean) * weight / total;
    bool hasMean = evidence.weight > 0;
    evidence.mean += hasMean && step > 0 ? step * LongTimeWeight : step;
    evidence.weight = std::min(total, MaxWeight);
    if (++this->services[server.service].samplesSinceMedian >= MedianInterval)
        this->updateMedians(server.service);
    else
        this->updateRatio(server);
}

void ServerPace::checkReport(Server& server, PaceSample kind, double logTime, TimePoint now)
{
    const Evidence& evidence = server.evidence[indexOf(kind)];
    bool isFresh = server.report && now - server.reportedAt < SlownessLifetime;
    if (!isFresh || evidence.weight < MinMedianWeight)
        return;
    double reported = std::log(server.report->slowness);
    if (std::abs(reported) < CheckedSlowness)
        return;
    double deviation = logTime - evidence.mean;
    double confirmed = std::abs(deviation - reported) <= std::abs(deviation) ? 1 : 0;
    server.trust += NewestTrustWeight * (confirmed - server.trust);
}

ServerPace::Evidence ServerPace::totalOf(const Server& server, std::size_t kind)
{
    const Evidence& own = server.evidence[kind];
    const Evidence& peers = server.peerEvidence[kind];
    if (peers.weight == 0)
        return own;
    double weight = own.weight + peers.weight;
    return { own.mean + (peers.mean - own.mean) * peers.weight / weight, weight };
}

void ServerPace::setPeerEvidence(const std::vector<PaceEvidence>& evidence, const ServerLookup& find)
{
    // Without peers nothing is computed at other times than before.
    if (evidence.empty() && !this->hasPeerEvidence)
        return;
    this->hasPeerEvidence = !evidence.empty();
    for (auto& [id, server] : this->servers)
        server.peerEvidence = {};
    for (const PaceEvidence& each : evidence) {
        const ServerRecord* record = find(each.server);
        if (record == nullptr || record->startedAt != each.startedAt)
            continue;
        Server& server = this->at(*record);
        server.peerEvidence[indexOf(each.kind)] = { each.meanLog, each.weight };
        this->services.try_emplace(server.service);
    }
    for (const auto& [id, service] : this->services)
        this->updateMedians(id);
}

std::vector<PaceEvidence> ServerPace::ownEvidence() const
{
    std::vector<PaceEvidence> own;
    for (const auto& [id, server] : this->servers) {
        for (std::size_t kind = 0; kind < Kinds; ++kind) {
            const Evidence& evidence = server.evidence[kind];
            if (evidence.weight >= MinMedianWeight)
                own.push_back(
                    { id, server.startedAt, static_cast<PaceSample>(kind), evidence.mean, evidence.weight });
        }
    }
    return own;
}

bool ServerPace::hasSlownessReports() const
{
    return std::any_of(this->servers.begin(), this->servers.end(),
        [](const auto& each) { return each.second.hasReportedSlowness; });
}

void ServerPace::updateMedians(const ServiceId& service)
{
    Service& group = this->services[service];
    group.samplesSinceMedian = 0;
    for (std::size_t kind = 0; kind < Kinds; ++kind) {
        std::vector<double> means;
        for (const auto& [id, server] : this->servers) {
            if (server.service != service)
                continue;
            Evidence total = totalOf(server, kind);
            if (total.weight >= MinMedianWeight)
                means.push_back(total.mean);
        }
        group.medians[kind] = means.size() >= MinServers ? std::optional { medianOf(means) } : std::nullopt;
    }
    for (auto& [id, server] : this->servers) {
        if (server.service == service)
            this->updateRatio(server);
    }
}

void ServerPace::updateRatio(Server& server) const
{
    const Service& group = this->services.at(server.service);
    double sum = 0;
    double weight = 0;
    for (std::size_t kind = 0; kind < Kinds; ++kind) {
        if (!group.medians[kind])
            continue;
        Evidence evidence = totalOf(server, kind);
        sum += evidence.weight * (evidence.mean - *group.medians[kind]);
        weight += evidence.weight;
    }
    double logRatio = sum / (weight + PriorWeight);
    // The logarithm of a mean varies by `SampleSpread` divided by the root of its evidence.
    double certain = MinDeviations * SampleSpread / std::sqrt(weight + PriorWeight);
    bool isEqual = std::abs(logRatio) < std::max(std::log(EqualFactor), certain);
    server.ratio = isEqual ? 1 : std::clamp(std::exp(logRatio), MinRatio, MaxRatio);
}

void ServerPace::noteReport(const ServerRecord& server, const ServerLoadReport& report, TimePoint now)
{
    Server& entry = this->at(server);
    entry.report = report;
    entry.report->slowness = std::clamp(report.slowness, MinSlowness, MaxSlowness);
    entry.reportedAt = now;
    entry.hasReportedSlowness = entry.hasReportedSlowness || report.slowness != 1;
    double total = 0;
    std::uint32_t count = 0;
    for (const auto& [id, each] : this->servers) {
        if (each.service != server.service || !each.report)
            continue;
        total += static_cast<double>(each.report->running) + each.report->waiting;
        ++count;
    }
    this->services[server.service].meanRequests = total / count;
}

double ServerPace::ratio(const ServerRecord& server) const
{
    const Server* found = this->find(server);
    return found == nullptr || !this->isInUse ? 1 : found->ratio;
}

double ServerPace::meanEngineFactor(
    const ServerRecord& server, const std::vector<const ServerRecord*>& pool) const
{
    double speeds = 0;
    for (const ServerRecord* each : pool)
        speeds += 1 / this->ratio(*each);
    if (pool.empty())
        return 1;
    return static_cast<double>(pool.size()) / speeds / this->ratio(server);
}

double ServerPace::slownessOf(const Server& server, TimePoint now)
{
    if (!server.report || server.report->slowness == 1)
        return 1;
    double weight = server.trust * decay(now - server.reportedAt, SlownessLifetime);
    return 1 + (server.report->slowness - 1) * weight;
}

double ServerPace::slowness(const ServerRecord& server, TimePoint now) const
{
    const Server* found = this->find(server);
    return found == nullptr || !this->isInUse ? 1 : slownessOf(*found, now);
}

ServerOutlook ServerPace::outlook(const ServerRecord& server, TimePoint now) const
{
    const Server* found = this->find(server);
    if (found == nullptr || !this->isInUse)
        return {};
    bool isLate = found->latePauses > MaxLatePauses
        && found->latePauses * decay(now - found->pausedAt, LatePauseLifetime) > MaxLatePauses;
    return { found->ratio * slownessOf(*found, now), isLate };
}

double ServerPace::expectedTime(const ServerRecord& server, double requests, TimePoint now) const
{
    double slots = std::max<double>(server.slots, 1);
    return requests + (slots + requests) * (this->factor(server, now) - 1);
}

std::optional<double> ServerPace::reportedRequests(const ServerRecord& server, TimePoint now) const
{
    auto service = this->services.find(server.service);
    if (!this->isInUse || service == this->services.end() || !service->second.meanRequests)
        return std::nullopt;
    double mean = *service->second.meanRequests;
    const Server* found = this->find(server);
    if (found == nullptr || !found->report)
        return mean;
    double reported = static_cast<double>(found->report->running) + found->report->waiting;
    return mean + (reported - mean) * decay(now - found->reportedAt, LoadLifetime);
}

} // namespace peridotgrade
