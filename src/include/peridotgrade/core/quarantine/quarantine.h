// Quarantine of requests that crash their servers, recognised by their content.
#pragma once

#include "peridotgrade/core/base/ids.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace peridotgrade {

/// What is known about a fingerprint.
enum class QuarantineState : std::uint8_t { Clean, Suspect, Quarantined };

/// Keeps the quarantine state of fingerprints on one entry shard. A fingerprint becomes suspect when a server
/// crashes while running it, and is quarantined when it was running in two such crashes, whether alone or
/// among other requests. A suspect that is answered completely is cleared. Memory is bounded: the oldest
/// suspects are evicted first, quarantined fingerprints last. Not thread safe.
class Quarantine {
public:
    explicit Quarantine(std::size_t capacity = 4096);
    ~Quarantine();
    Quarantine(const Quarantine&) = delete;
    Quarantine& operator=(const Quarantine&) = delete;

    QuarantineState stateOf(Fingerprint fingerprint) const;

    /// The server of `agent` crashed in this incarnation of its engine while running these fingerprints.
    /// Returns the fingerprints that this report newly quarantines.
    std::vector<Fingerprint> recordCrash(
        const AgentId& agent, Incarnation incarnation, const std::vector<Fingerprint>& running);

    /// A request with this fingerprint was answered completely, so a suspect is cleared.
    void recordAnswered(Fingerprint fingerprint);

    /// Adds a fingerprint that the log or another process reports as quarantined.
    void quarantine(Fingerprint fingerprint);

    /// All quarantined fingerprints, for notices to peers.
    std::vector<Fingerprint> quarantined() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
