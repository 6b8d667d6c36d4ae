// Standing of fingerprints, from the crashes they were part of.
#include "peridotgrade/core/quarantine/quarantine.h"

#include <list>
#include <unordered_map>

namespace peridotgrade {

namespace {

    /// One death of one server.
    struct CrashSite {
        AgentId agent;
        Incarnation engine;

        friend bool operator==(const CrashSite&, const CrashSite&) = default;
    };

    using FingerprintOrder = std::list<Fingerprint>;

    struct Record {
        Standing standing = Standing::Suspect;
        /// The first server that died with it; a second one ends in quarantine.
        CrashSite firstCrash;
        /// Invariant: points into the order list of its standing.
        FingerprintOrder::iterator place;
    };

} // namespace

class Quarantine::Impl {
public:
    explicit Impl(std::size_t capacity)
        : capacity(capacity)
    {
    }

    Standing standingOf(Fingerprint fingerprint) const
    {
        auto found = this->records.find(fingerprint);
        return found == this->records.end() ? Standing::Clean : found->second.standing;
    }

    /// True if this crash made it quarantined.
    bool recordCrash(const CrashSite& site, Fingerprint fingerprint)
    {
        auto found = this->records.find(fingerprint);
        if (found == this->records.end()) {
            this->addSuspect(fingerprint, site);
            return false;
        }
        Record& record = found->second;
        if (record.standing == Standing::Quarantined)
            return false;
        // The same death is reported to every shard that had something there, and again on a reconnect.
        if (record.firstCrash == site)
            return false;
        this->quarantine(fingerprint);
        return true;
    }

    void clearSuspect(Fingerprint fingerprint)
    {
        auto found = this->records.find(fingerprint);
        if (found == this->records.end() || found->second.standing != Standing::Suspect)
            return;
        this->suspects.erase(found->second.place);
        this->records.erase(found);
    }

    void quarantine(Fingerprint fingerprint)
    {
        if (this->standingOf(fingerprint) == Standing::Quarantined)
            return;
        this->clearSuspect(fingerprint);
        auto place = this->quarantined.insert(this->quarantined.end(), fingerprint);
        this->records.emplace(fingerprint, Record { Standing::Quarantined, {}, place });
        this->forgetBeyondCapacity();
    }

    std::vector<Fingerprint> allQuarantined() const
    {
        return { this->quarantined.begin(), this->quarantined.end() };
    }

private:
    void addSuspect(Fingerprint fingerprint, const CrashSite& site)
    {
        auto place = this->suspects.insert(this->suspects.end(), fingerprint);
        this->records.emplace(fingerprint, Record { Standing::Suspect, site, place });
        this->forgetBeyondCapacity();
    }

    void forgetBeyondCapacity()
    {
        while (this->records.size() > this->capacity) {
            FingerprintOrder& order = this->suspects.empty() ? this->quarantined : this->suspects;
            this->records.erase(order.front());
            order.pop_front();
        }
    }

    const std::size_t capacity;
    /// Invariant: holds at most `capacity` records, each in exactly one of the two orders.
    std::unordered_map<Fingerprint, Record> records;
    /// Oldest first.
    FingerprintOrder suspects;
    FingerprintOrder quarantined;
};

Quarantine::Quarantine(std::size_t capacity)
    : impl(std::make_unique<Impl>(capacity))
{
}

Quarantine::~Quarantine() = default;

Standing Quarantine::standingOf(Fingerprint fingerprint) const { return this->impl->standingOf(fingerprint); }

std::vector<Fingerprint> Quarantine::recordCrash(
    const AgentId& agent, Incarnation engine, const std::vector<Fingerprint>& running)
{
    CrashSite site { agent, engine };
    std::vector<Fingerprint> added;
    for (Fingerprint fingerprint : running) {
        if (this->impl->recordCrash(site, fingerprint))
            added.push_back(fingerprint);
    }
    return added;
}

void Quarantine::recordAnswered(Fingerprint fingerprint) { this->impl->clearSuspect(fingerprint); }

void Quarantine::quarantine(Fingerprint fingerprint) { this->impl->quarantine(fingerprint); }

std::vector<Fingerprint> Quarantine::quarantined() const { return this->impl->allQuarantined(); }

} // namespace peridotgrade
