// Bounds and lifetimes of shared observations.
#include "peridotgrade/core/serving/peer_observations.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotgrade {

namespace {
    // A datagram has 1,200 bytes. Besides the server's name, an item takes at most 16 bytes for its numbers,
    // 12 for times and lengths, and 7 for field headers.
    constexpr std::size_t DigestBytes = 1150;
    constexpr std::size_t ItemBytes = 35;
    // Times from microseconds to a day.
    constexpr double MaxMeanLog = 14;

    const ServerRecord* findIncarnation(const ServerLookup& find, const ServerId& id, WallTime startedAt)
    {
        const ServerRecord* server = find(id);
        return server != nullptr && server->startedAt == startedAt ? server : nullptr;
    }

    bool isValid(const PaceEvidence& evidence)
    {
        bool hasMean = std::isfinite(evidence.meanLog) && std::abs(evidence.meanLog) <= MaxMeanLog;
        bool hasWeight = evidence.weight >= 0 && evidence.weight <= PeerObservations::MaxWeight;
        return hasMean && hasWeight && static_cast<std::size_t>(evidence.kind) < PaceSampleKinds;
    }

} // namespace

std::string_view nameOf(PeerNoticeResult result)
{
    switch (result) {
    case PeerNoticeResult::Effective:
        return "effective";
    case PeerNoticeResult::Known:
        return "known";
    case PeerNoticeResult::UnknownServer:
        return "unknown_server";
    case PeerNoticeResult::Invalid:
        return "invalid";
    case PeerNoticeResult::Limited:
        return "limited";
    }
    return "";
}

bool PeerObservations::takeNotice(TimePoint now)
{
    this->notices.refill(NoticeRate, now);
    if (this->notices.tokens() < 1)
        return false;
    this->notices.take(1);
    return true;
}

bool PeerObservations::isAnnounced(const RoleNotice& notice, TimePoint now) const
{
    auto known = this->roleChanges.find(notice.server);
    return known != this->roleChanges.end() && known->second.startedAt == notice.startedAt
        && known->second.role == notice.role && now < known->second.until;
}

bool PeerObservations::isAnnounced(const EndNotice& notice, TimePoint now) const
{
    auto known = this->ends.find(notice.server);
    return known != this->ends.end() && known->second.startedAt == notice.startedAt
        && now < known->second.until;
}

PeerNoticeResult PeerObservations::announce(const RoleNotice& notice, TimePoint now)
{
    if (this->isAnnounced(notice, now))
        return PeerNoticeResult::Known;
    if (!this->takeNotice(now))
        return PeerNoticeResult::Limited;
    this->roleChanges[notice.server] = { notice.startedAt, notice.role, now + notice.duration };
    return PeerNoticeResult::Effective;
}

PeerNoticeResult PeerObservations::announce(const EndNotice& notice, TimePoint now)
{
    if (this->isAnnounced(notice, now))
        return PeerNoticeResult::Known;
    if (!this->takeNotice(now))
        return PeerNoticeResult::Limited;
    this->ends[notice.server] = { notice.startedAt, now + EndLifetime };
    return PeerNoticeResult::Effective;
}

std::vector<PaceDigest> PeerObservations::nextDigests(const ServerPace& pace)
{
    std::vector<PaceEvidence> own = pace.ownEvidence();
    std::erase_if(
        own, [](const PaceEvidence& each) { return each.server.raw().size() + ItemBytes > DigestBytes; });
    std::vector<PaceDigest> digests;
    std::size_t used = DigestBytes;
    for (std::size_t count = 0; count < own.size(); ++count) {
        PaceEvidence& evidence = own[this->nextEvidence % own.size()];
        std::size_t bytes = evidence.server.raw().size() + ItemBytes;
        if (used + bytes > DigestBytes) {
            if (digests.size() == MaxDatagrams)
                break;
            digests.emplace_back();
            used = 0;
        }
        used += bytes;
        digests.back().entries.push_back(std::move(evidence));
        this->nextEvidence = (this->nextEvidence + 1) % own.size();
    }
    return digests;
}

std::vector<std::string> PeerObservations::drawReceivers(std::vector<std::string> peers, RandomSource& random)
{
    std::size_t count = std::min(DigestReceivers, peers.size());
    for (std::size_t index = 0; index < count; ++index)
        std::swap(peers[index], peers[index + random.below(peers.size() - index)]);
    peers.resize(count);
    return peers;
}

PeerNoticeResult PeerObservations::accept(
    const RoleNotice& notice, const ServerLookup& find, std::chrono::milliseconds switchTime, TimePoint now)
{
    bool isRole = notice.role == ServerRole::Prefill || notice.role == ServerRole::Decode;
    if (!isRole || notice.duration.count() <= 0)
        return PeerNoticeResult::Invalid;
    if (findIncarnation(find, notice.server, notice.startedAt) == nullptr || switchTime.count() <= 0)
        return PeerNoticeResult::UnknownServer;
    if (this->isAnnounced(notice, now))
        return PeerNoticeResult::Known;
    this->roleChanges[notice.server]
        = { notice.startedAt, notice.role, now + std::min(notice.duration, switchTime) };
    return PeerNoticeResult::Effective;
}

PeerNoticeResult PeerObservations::accept(const EndNotice& notice, const ServerLookup& find, TimePoint now)
{
    if (findIncarnation(find, notice.server, notice.startedAt) == nullptr)
        return PeerNoticeResult::UnknownServer;
    if (this->isAnnounced(notice, now))
        return PeerNoticeResult::Known;
    this->ends[notice.server] = { notice.startedAt, now + EndLifetime };
    return PeerNoticeResult::Effective;
}

PeerNoticeResult PeerObservations::accept(
    const std::string& peer, const PaceDigest& digest, const ServerLookup& find, TimePoint now)
{
    if (!std::all_of(digest.entries.begin(), digest.entries.end(), isValid))
        return PeerNoticeResult::Invalid;
    bool isAnyKnown = false;
    for (const PaceEvidence& each : digest.entries) {
        if (findIncarnation(find, each.server, each.startedAt) == nullptr)
            continue;
        isAnyKnown = true;
        this->received[each.server][peer][static_cast<std::size_t>(each.kind)]
            = { each.startedAt, each.meanLog, each.weight, now + DigestLifetime };
    }
    return isAnyKnown ? PeerNoticeResult::Effective : PeerNoticeResult::UnknownServer;
}

std::optional<PeerObservations::RoleChange> PeerObservations::roleChange(
    const ServerRecord& server, TimePoint now) const
{
    auto found = this->roleChanges.find(server.id);
    bool holds = found != this->roleChanges.end() && found->second.startedAt == server.startedAt
        && now < found->second.until;
    return holds ? std::optional { found->second } : std::nullopt;
}

void PeerObservations::advance(ServerPace& pace, const ServerLookup& find, TimePoint now)
{
    std::erase_if(this->roleChanges, [&](const auto& each) { return now >= each.second.until; });
    std::erase_if(this->ends, [&](const auto& each) { return now >= each.second.until; });
    std::vector<PaceEvidence> sums;
    for (auto& [id, peers] : this->received) {
        std::erase_if(peers, [&](const auto& each) {
            return std::all_of(each.second.begin(), each.second.end(),
                [&](const Received& kind) { return now >= kind.until; });
        });
        const ServerRecord* server = find(id);
        for (std::size_t kind = 0; server != nullptr && kind < PaceSampleKinds; ++kind) {
            PaceEvidence sum { id, server->startedAt, static_cast<PaceSample>(kind) };
            for (const auto& [peer, kinds] : peers) {
                const Received& each = kinds[kind];
                if (now >= each.until || each.startedAt != server->startedAt || each.weight == 0)
                    continue;
                sum.weight += each.weight;
                sum.meanLog += (each.meanLog - sum.meanLog) * each.weight / sum.weight;
            }
            if (sum.weight > 0)
                sums.push_back(std::move(sum));
        }
    }
    std::erase_if(this->received, [](const auto& each) { return each.second.empty(); });
    pace.setPeerEvidence(sums, find);
}

} // namespace peridotgrade
