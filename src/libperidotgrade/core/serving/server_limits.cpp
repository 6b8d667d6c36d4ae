// Limits of servers over their incarnations, and the division of a limit among entries.
#include "peridotgrade/core/serving/server_limits.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace peridotgrade {

namespace {

    /// Partitions that share a limit. Within the 4 s in which a limit is checked, the entries may spend what
    /// flows into their buckets and what these held, together less than one and a half times the limit and
    /// 5 requests. At an engine a reserved call may exceed the bucket of each partition by one.
    std::uint32_t sharersOf(double perSecond, ServerRole role, std::uint32_t total)
    {
        double sharers = role == ServerRole::None ? 1.5 * perSecond + 3 : perSecond / 2 + 1;
        return static_cast<std::uint32_t>(std::min<double>(sharers, total));
    }

    /// The partitions that share the limit of that server: those with the lowest hashes.
    std::vector<std::uint32_t> sharingPartitions(
        const ServerId& server, std::uint32_t sharers, std::uint32_t total)
    {
        std::vector<std::pair<XXH64_hash_t, std::uint32_t>> ranks;
        for (std::uint32_t number = 0; number < total; ++number)
            ranks.emplace_back(
                XXH3_64bits_withSeed(server.raw().data(), server.raw().size(), number), number);
        std::sort(ranks.begin(), ranks.end());
        std::vector<std::uint32_t> chosen;
        for (std::uint32_t index = 0; index < sharers; ++index)
            chosen.push_back(ranks[index].second);
        return chosen;
    }

} // namespace

std::optional<ServerLimitChange> ServerLimits::note(
    const ServerRecord& server, double perSecond, TimePoint now)
{
    double named = std::clamp(perSecond, MinPerSecond, MaxPerSecond);
    ServerLimitChange change { std::nullopt, named, 0 };
    Limit* limit = this->find(server);
    if (limit != nullptr) {
        limit->namedAt = now;
        if (limit->perSecond == named)
            return std::nullopt;
        change.before = limit->perSecond;
        change.calls = std::exchange(limit->calls, 0);
    } else {
        limit = &(this->servers[server.id] = Limit {});
        limit->startedAt = server.startedAt;
        limit->namedAt = now;
        limit->refilledAt = now;
        limit->tokens = -this->probePhase();
    }
    limit->perSecond = named;
    limit->role = server.role;
    this->computePart(server.id, *limit, now);
    return change;
}

std::optional<ServerLimitChange> ServerLimits::noteAbsent(const ServerRecord& server, TimePoint now)
{
    Limit* limit = this->find(server);
    if (limit == nullptr || now - limit->namedAt < MinAbsence)
        return std::nullopt;
    ServerLimitChange change { limit->perSecond, std::nullopt, limit->calls };
    this->servers.erase(server.id);
    return change;
}

void ServerLimits::setPartitions(HeldPartitions newPartitions, TimePoint now)
{
    this->partitions = std::move(newPartitions);
    for (auto& [server, limit] : this->servers)
        this->computePart(server, limit, now);
}

std::optional<TimePoint> ServerLimits::nextCallAt(const ServerRecord& server, TimePoint now)
{
    Limit* limit = this->find(server);
    if (limit == nullptr)
        return std::nullopt;
    refill(*limit, now);
    double missing = 1 - (limit->tokens - *limit->reserved);
    if (missing <= 0)
        return std::nullopt;
    if (limit->rate <= 0)
        return now + NoMemberDelay;
    return now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / limit->rate));
}

void ServerLimits::recordCall(const ServerRecord& server, TimePoint now)
{
    Limit* limit = this->find(server);
    if (limit == nullptr)
        return;
    refill(*limit, now);
    limit->tokens -= 1;
    ++limit->calls;
}

std::shared_ptr<CallReserve> ServerLimits::reserve(const ServerRecord& server)
{
    Limit* limit = this->find(server);
    return limit == nullptr ? nullptr : std::make_shared<CallReserve>(limit->reserved);
}

ServerLimits::Limit* ServerLimits::find(const ServerRecord& server)
{
    auto found = this->servers.find(server.id);
    bool isCurrent = found != this->servers.end() && found->second.startedAt == server.startedAt;
    return isCurrent ? &found->second : nullptr;
}

double ServerLimits::probePhase() const
{
    if (this->partitions.numbers.empty())
        return this->phase;
    // Partitions are dealt in turn, or in blocks.
    double entries = static_cast<double>(this->partitions.total) / this->partitions.numbers.size();
    double first = *this->partitions.numbers.begin();
    return first < entries ? first / entries : first / this->partitions.total;
}

void ServerLimits::refill(Limit& limit, TimePoint now)
{
    double seconds = std::chrono::duration<double>(now - limit.refilledAt).count();
    limit.tokens = std::min(limit.capacity, limit.tokens + limit.rate * std::max(seconds, 0.0));
    limit.refilledAt = now;
}

void ServerLimits::computePart(const ServerId& server, Limit& limit, TimePoint now) const
{
    refill(limit, now);
    std::uint32_t total = this->partitions.total;
    std::uint32_t sharers = sharersOf(limit.perSecond, limit.role, total);
    std::uint32_t held = 0;
    for (std::uint32_t number : sharingPartitions(server, sharers, total))
        held += this->partitions.numbers.contains(number) ? 1 : 0;
    if (sharers == 0)
        limit.rate = 0;
    else if (held > 0)
        limit.rate = limit.perSecond * held / sharers;
    else
        limit.rate = ProbesPerSecond * std::max<double>(1, this->partitions.numbers.size()) / total;
    if (!this->partitions.isConfirmed)
        limit.rate /= 2;
    double bucketSeconds = std::chrono::duration<double>(BucketTime).count();
    limit.capacity = std::max<double>({ 1, static_cast<double>(held), limit.rate * bucketSeconds });
    limit.tokens = std::min(limit.tokens, limit.capacity);
}

} // namespace peridotgrade
