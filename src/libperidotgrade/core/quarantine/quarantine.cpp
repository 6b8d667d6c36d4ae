// Derives quarantine states from crashes and evicts the oldest ones beyond the capacity.
#include "peridotgrade/core/quarantine/quarantine.h"

#include <list>
#include <unordered_map>

namespace peridotgrade {

namespace {

    /// One crash of one server.
    struct Crash {
        AgentId agent;
        Incarnation incarnation;

        friend bool operator==(const Crash&, const Crash&) = default;
    };

    using FingerprintList = std::list<Fingerprint>;

    struct Record {
        QuarantineState state = QuarantineState::Suspect;
        /// The first crash while the fingerprint was running; a second one quarantines it.
        Crash firstCrash;
        /// Invariant: points into the list that matches the state.
        FingerprintList::iterator position;
    };

} // namespace

class Quarantine::Impl {
public:
    explicit Impl(std::size_t capacity)
        : capacity(capacity)
    {
    }

    QuarantineState stateOf(Fingerprint fingerprint) const
    {
        auto found = this->records.find(fingerprint);
        return found == this->records.end() ? QuarantineState::Clean : found->second.state;
    }

    /// Returns true if this crash quarantines the fingerprint.
    bool recordCrash(const Crash& crash, Fingerprint fingerprint)
    {
        auto found = this->records.find(fingerprint);
        if (found == this->records.end()) {
            this->addSuspect(fingerprint, crash);
            return false;
        }
        Record& record = found->second;
        if (record.state == QuarantineState::Quarantined)
            return false;
        // The same crash is reported to every shard that had requests on the server, and again after a
        // reconnect.
        if (record.firstCrash == crash)
            return false;
        this->quarantine(fingerprint);
        return true;
    }

    void clearSuspect(Fingerprint fingerprint)
    {
        auto found = this->records.find(fingerprint);
        if (found == this->records.end() || found->second.state != QuarantineState::Suspect)
            return;
        this->suspects.erase(found->second.position);
        this->records.erase(found);
    }

    void quarantine(Fingerprint fingerprint)
    {
        if (this->stateOf(fingerprint) == QuarantineState::Quarantined)
            return;
        this->clearSuspect(fingerprint);
        auto position = this->quarantined.insert(this->quarantined.end(), fingerprint);
        this->records.emplace(fingerprint, Record { QuarantineState::Quarantined, {}, position });
        this->evictBeyondCapacity();
    }

    std::vector<Fingerprint> allQuarantined() const
    {
        return { this->quarantined.begin(), this->quarantined.end() };
    }

private:
    void addSuspect(Fingerprint fingerprint, const Crash& crash)
    {
        auto position = this->suspects.insert(this->suspects.end(), fingerprint);
        this->records.emplace(fingerprint, Record { QuarantineState::Suspect, crash, position });
        this->evictBeyondCapacity();
    }

    void evictBeyondCapacity()
    {
        while (this->records.size() > this->capacity) {
            FingerprintList& order = this->suspects.empty() ? this->quarantined : this->suspects;
            this->records.erase(order.front());
            order.pop_front();
        }
    }

    const std::size_t capacity;
    /// Invariant: holds at most `capacity` records, each in exactly one of the two lists.
    std::unordered_map<Fingerprint, Record> records;
    /// Oldest first.
    FingerprintList suspects;
    FingerprintList quarantined;
};

Quarantine::Quarantine(std::size_t capacity)
    : impl(std::make_unique<Impl>(capacity))
{
}

Quarantine::~Quarantine() = default;

QuarantineState Quarantine::stateOf(Fingerprint fingerprint) const
{
    return this->impl->stateOf(fingerprint);
}

std::vector<Fingerprint> Quarantine::recordCrash(
    const AgentId& agent, Incarnation incarnation, const std::vector<Fingerprint>& running)
{
    Crash crash { agent, incarnation };
    std::vector<Fingerprint> added;
    for (Fingerprint fingerprint : running) {
        if (this->impl->recordCrash(crash, fingerprint))
            added.push_back(fingerprint);
    }
    return added;
}

void Quarantine::recordAnswered(Fingerprint fingerprint) { this->impl->clearSuspect(fingerprint); }

void Quarantine::quarantine(Fingerprint fingerprint) { this->impl->quarantine(fingerprint); }

std::vector<Fingerprint> Quarantine::quarantined() const { return this->impl->allQuarantined(); }

} // namespace peridotgrade
