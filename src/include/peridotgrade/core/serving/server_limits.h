// Rates of requests that servers in need have named, and this entry's part of them.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/server_record.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace peridotgrade {

/// A limit that came into force, changed or ended.
struct ServerLimitChange {
    /// Requests a second; nothing if there was or is no limit.
    std::optional<double> before;
    std::optional<double> now;
    /// Calls of this entry while the former limit was in force.
    std::uint64_t calls = 0;
};

/// The partitions of the entries' group that this entry holds. Each belongs to one entry at a time.
struct HeldPartitions {
    std::set<std::uint32_t> numbers;
    /// Partitions of all entries together.
    std::uint32_t total = 0;
    /// False if this entry could not confirm its membership: others may have taken over its partitions.
    bool isConfirmed = true;
};

/// Keeps a call to a server in reserve that is certain to follow one which has been sent. Ends with `use` or
/// with its destruction.
class CallReserve {
public:
    explicit CallReserve(std::shared_ptr<std::uint32_t> count)
        : count(std::move(count))
    {
        ++*this->count;
    }
    ~CallReserve() { this->use(); }
    CallReserve(const CallReserve&) = delete;
    CallReserve& operator=(const CallReserve&) = delete;

    /// The call is being sent, or never will be.
    void use()
    {
        if (this->count)
            --*this->count;
        this->count.reset();
    }

private:
    /// Null once it is used. Shared, since it may outlive the limit.
    std::shared_ptr<std::uint32_t> count;
};

/// Keeps the limit that each server has named in its answers: the requests a second that it takes from all
/// entries together, for as long as it says so. Every call to the server counts, of whatever kind.
///
/// A limit is divided among some of the partitions of the entries' group, chosen by the server's name, so the
/// parts of all entries sum to at most the limit, whatever their number. This entry's part is a token bucket
/// that starts empty; a part that is gained brings no tokens, since its former holder may have spent them.
/// The smaller the limit, the fewer partitions share it, so that the tokens in all buckets together stay
/// small against it. Entries without a part send a call now and then, as they would not learn otherwise that
/// the limit has ended. An entry without a confirmed membership uses half of its part. Not thread safe.
class ServerLimits {
public:
    /// A smaller limit, zero included, counts as this: a server that gets no request could not say that its
    /// need is over.
    static constexpr double MinPerSecond = 0.4;
    static constexpr double MaxPerSecond = 1e6;
    /// A limit ends with an answer that names none, this long after the last one that did: answers on
    /// different connections overtake each other.
    static constexpr std::chrono::milliseconds MinAbsence { 500 };
    /// A bucket holds the tokens of this time, but at least one for each partition.
    static constexpr std::chrono::milliseconds BucketTime { 500 };

    /// `phase`, 0 to 1 and random, spreads the calls of entries without any partition over time.
    explicit ServerLimits(double phase = 0)
        : phase(phase)
    {
    }

    /// The server has named a limit in an answer.
    std::optional<ServerLimitChange> note(const ServerRecord& server, double perSecond, TimePoint now);
    /// The server has answered without a limit.
    std::optional<ServerLimitChange> noteAbsent(const ServerRecord& server, TimePoint now);
    void setPartitions(HeldPartitions newPartitions, TimePoint now);
    void forget(const ServerId& server) { this->servers.erase(server); }

    /// True if the server has named no limit, or this entry's part allows a call now.
    bool mayCall(const ServerRecord& server, TimePoint now)
    {
        return !this->nextCallAt(server, now).has_value();
    }
    /// True if the server has named a limit.
    bool isLimited(const ServerRecord& server) { return this->find(server) != nullptr; }
    /// When the next call is allowed; nothing if it is now.
    std::optional<TimePoint> nextCallAt(const ServerRecord& server, TimePoint now);
    /// A call is being sent to the server.
    void recordCall(const ServerRecord& server, TimePoint now);
    /// Reserves a further call; null if the server has named no limit.
    std::shared_ptr<CallReserve> reserve(const ServerRecord& server);

private:
    /// Calls a second of all entries without a part of a limit together.
    static constexpr double ProbesPerSecond = 0.2;
    /// Next call of an entry that has never been a member of the group.
    static constexpr std::chrono::seconds NoMemberDelay { 5 };

    struct Limit {
        WallTime startedAt {};
        ServerRole role = ServerRole::None;
        double perSecond = 0;
        TimePoint namedAt {};
        std::uint64_t calls = 0;
        /// This entry's part, in calls a second.
        double rate = 0;
        double capacity = 0;
        /// Invariant: at most `capacity`; below zero after a reserved call.
        double tokens = 0;
        TimePoint refilledAt {};
        std::shared_ptr<std::uint32_t> reserved = std::make_shared<std::uint32_t>(0);
    };

    /// The limit of this incarnation of the server; null if it has named none.
    Limit* find(const ServerRecord& server);
    static void refill(Limit& limit, TimePoint now);
    /// Part of the time between two probes after which this entry sends its first; entries with partitions
    /// have different ones.
    double probePhase() const;
    void computePart(const ServerId& server, Limit& limit, TimePoint now) const;

    const double phase;
    HeldPartitions partitions;
    std::map<ServerId, Limit> servers;
};

} // namespace peridotgrade
