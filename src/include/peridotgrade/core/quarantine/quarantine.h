// Requests that crash their servers: suspicion by content, quarantine after two servers.
#pragma once

#include "peridotgrade/core/base/ids.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace peridotgrade {

/// What is known of a fingerprint.
enum class Standing : std::uint8_t { Clean, Suspect, Quarantined };

/// Keeps the standing of fingerprints at one entry shard. A fingerprint becomes suspect when a server dies
/// while running it, and is quarantined when it was on two servers that died, alone on the second or common
/// to both. A suspect that finishes an answer is cleared. Memory is bounded: the oldest suspects are
/// forgotten first, quarantined ones last. Not thread safe.
class Quarantine {
public:
    explicit Quarantine(std::size_t capacity = 4096);
    ~Quarantine();
    Quarantine(const Quarantine&) = delete;
    Quarantine& operator=(const Quarantine&) = delete;

    Standing standingOf(Fingerprint fingerprint) const;

    /// A server (`agent`, in this run `incarnation` of its engine) died with these on it. Gives the
    /// fingerprints that are quarantined by this report and were not before.
    std::vector<Fingerprint> recordCrash(
        const AgentId& agent, Incarnation incarnation, const std::vector<Fingerprint>& running);

    /// The request was answered whole: it is no suspect.
    void recordAnswered(Fingerprint fingerprint);

    /// Learned from the log or from another process.
    void quarantine(Fingerprint fingerprint);

    /// All quarantined fingerprints, for notices to peers.
    std::vector<Fingerprint> quarantined() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
