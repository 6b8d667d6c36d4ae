// Observations of servers that entries send each other: what is sent, and what of the received holds.
#pragma once

#include "peridotgrade/core/admission/token_bucket.h"
#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/serving/end_notice.h"
#include "peridotgrade/core/serving/pace_digest.h"
#include "peridotgrade/core/serving/peer_notice_result.h"
#include "peridotgrade/core/serving/role_notice.h"
#include "peridotgrade/core/serving/server_health.h"
#include "peridotgrade/core/serving/server_pace.h"

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotgrade {

/// Decides whether observations are shared, which notices are sent, and which received ones take effect. A
/// wrong or outdated message has a bounded effect: a notice holds for one incarnation and a limited time, and
/// the evidence of a peer weighs at most as much as that of one entry. Not thread safe.
class PeerObservations {
public:
    static constexpr TokenRate NoticeRate { 20, 20 };
    static constexpr std::chrono::seconds DigestInterval { 1 };
    /// A peer draws each of 28 others about every 9 s, so most digests are renewed in this time.
    static constexpr std::chrono::seconds DigestLifetime { 30 };
    static constexpr std::size_t DigestReceivers = 3;
    /// Datagrams for one digest. Evidence that does not fit is sent in the next interval.
    static constexpr std::size_t MaxDatagrams = 4;
    static constexpr std::chrono::milliseconds EndLifetime = ServerHealth::MaxEjectionTime;
    static constexpr double MaxWeight = ServerPace::MaxWeight;

    /// A change of role that was announced.
    struct RoleChange {
        WallTime startedAt {};
        ServerRole role = ServerRole::None;
        TimePoint until {};
    };

    /// There is a reason to share observations. It lasts for `DigestLifetime`.
    void noteNeed(TimePoint now) { this->neededAt = now; }
    bool isActive(TimePoint now) const { return this->neededAt && now < *this->neededAt + DigestLifetime; }

    /// `Effective` if the notice is to be sent to all peers; it holds for this entry too.
    PeerNoticeResult announce(const RoleNotice& notice, TimePoint now);
    PeerNoticeResult announce(const EndNotice& notice, TimePoint now);
    /// This entry's own evidence, each digest for one datagram.
    std::vector<PaceDigest> nextDigests(const ServerPace& pace);
    /// The peers that get the next digests.
    static std::vector<std::string> drawReceivers(std::vector<std::string> peers, RandomSource& random);

    /// `Effective` if the engine gets no work of its old role for now. `switchTime` is the role switch time
    /// of its service.
    PeerNoticeResult accept(const RoleNotice& notice, const ServerLookup& find,
        std::chrono::milliseconds switchTime, TimePoint now);
    /// `Effective` if the server is to be ejected.
    PeerNoticeResult accept(const EndNotice& notice, const ServerLookup& find, TimePoint now);
    /// `Invalid` if any of its numbers is out of range; such a digest changes nothing.
    PeerNoticeResult accept(
        const std::string& peer, const PaceDigest& digest, const ServerLookup& find, TimePoint now);

    /// The change that is announced for this incarnation, if it has not expired.
    std::optional<RoleChange> roleChange(const ServerRecord& server, TimePoint now) const;
    /// Forgets what has expired, and gives the sums of the peers' evidence to `pace`.
    void advance(ServerPace& pace, const ServerLookup& find, TimePoint now);

private:
    struct End {
        WallTime startedAt {};
        TimePoint until {};
    };
    struct Received {
        WallTime startedAt {};
        double meanLog = 0;
        double weight = 0;
        TimePoint until {};
    };
    /// Evidence of one peer on one server.
    using ReceivedKinds = std::array<Received, PaceSampleKinds>;

    bool takeNotice(TimePoint now);
    bool isAnnounced(const RoleNotice& notice, TimePoint now) const;
    bool isAnnounced(const EndNotice& notice, TimePoint now) const;

    std::optional<TimePoint> neededAt;
    /// Notices that may be sent.
    TokenBucket notices { NoticeRate.capacity, {} };
    std::map<ServerId, RoleChange> roleChanges;
    std::map<ServerId, End> ends;
    /// Invariant: of known servers only, so that the size is bounded.
    std::map<ServerId, std::map<std::string, ReceivedKinds>> received;
    /// Position in the own evidence where the next digests begin.
    std::size_t nextEvidence = 0;
};

} // namespace peridotgrade
