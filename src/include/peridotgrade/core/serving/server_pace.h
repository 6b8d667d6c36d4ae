// Learned speed of each server and its slowness at this moment.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/pace_evidence.h"
#include "peridotgrade/core/serving/pace_sample.h"
#include "peridotgrade/core/serving/server_load_report.h"
#include "peridotgrade/core/serving/server_record.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace peridotgrade {

/// What is expected of a call to a server that starts now.
struct ServerOutlook {
    /// Factor of the usual time.
    double factor = 1;
    /// Its events come later than their routes allow.
    bool breaksPauseLimit = false;
};

/// The record of a server that may get requests; null if there is none.
using ServerLookup = std::function<const ServerRecord*(const ServerId&)>;

/// Keeps the ratio of each server's times to the median of its service, from this entry's own calls and those
/// of its peers: below 1 is faster. An entry sees few calls of each server, so the ratio starts from 1 and
/// moves with the evidence.
/// A ratio belongs to one incarnation of a server, whatever its role. Not thread safe.
class ServerPace {
public:
    static constexpr double MinRatio = 0.25;
    static constexpr double MaxRatio = 4;
    /// Ratios nearer to 1 than by this factor count as 1: times at equal servers that are differently busy
    /// differ by up to 1.3 in placement_load_test.
    static constexpr double EqualFactor = 1.4;
    /// A ratio needs this many servers of the service with evidence of the same kind.
    static constexpr std::size_t MinServers = 3;
    /// The mean of an entry's own times follows about so many of the last samples.
    static constexpr double MaxWeight = 60;
    /// A report of slowness loses its weight with this time constant: it changes several times a second.
    static constexpr std::chrono::milliseconds SlownessLifetime { 300 };
    /// The same for the reported number of requests, which changes as fast as requests end.
    static constexpr std::chrono::milliseconds LoadLifetime { 500 };
    /// Share of events beyond the pause limit of their route from which a server is used only if no other
    /// has room. A stream has some 50 events or more, so most streams there are late.
    static constexpr double MaxLatePauses = 0.03;
    /// Time constant with which that share is forgotten, so that the server is tried again.
    static constexpr std::chrono::seconds LatePauseLifetime { 20 };

    /// Records a measured time; values that are not positive are ignored.
    void record(const ServerRecord& server, PaceSample kind, double time, TimePoint now);
    /// Records the time for each of `events` events that arrived together, and the route's longest pause (0
    /// if it states none).
    void recordEvents(const ServerRecord& server, std::uint32_t events, Duration took,
        std::chrono::milliseconds pauseLimit, TimePoint now);
    void noteReport(const ServerRecord& server, const ServerLoadReport& report, TimePoint now);
    void forget(const ServerId& server);
    /// While it is not in use all servers count as equal and no load as reported; times are recorded all the
    /// same.
    void setInUse(bool value) { this->isInUse = value; }
    /// Replaces the evidence of peers; `evidence` has their sum for each server and kind.
    void setPeerEvidence(const std::vector<PaceEvidence>& evidence, const ServerLookup& find);

    /// This entry's own evidence, without that of peers, of servers with at least one sample.
    std::vector<PaceEvidence> ownEvidence() const;
    /// True if a server has reported that it is slower or faster than usual.
    bool hasSlownessReports() const;
    /// Learned ratio, from `MinRatio` to `MaxRatio`.
    double ratio(const ServerRecord& server) const;
    /// What a time measured at `server` is multiplied by to get that of the mean engine of `pool`, whose
    /// speed is the mean speed; 1 if all are equal.
    double meanEngineFactor(const ServerRecord& server, const std::vector<const ServerRecord*>& pool) const;
    /// Slowness at this moment by the server's reports, as far as its measured times confirm them.
    double slowness(const ServerRecord& server, TimePoint now) const;
    ServerOutlook outlook(const ServerRecord& server, TimePoint now) const;
    /// Expected factor of the usual time of a call that starts now.
    double factor(const ServerRecord& server, TimePoint now) const
    {
        return this->outlook(server, now).factor;
    }
    /// Expected time of a plain call behind `requests` others, in requests of an average server. It is their
    /// number at a server that is as fast as the others.
    double expectedTime(const ServerRecord& server, double requests, TimePoint now) const;
    /// Requests that run or wait there by the reports; nothing if no server of the service sends reports.
    std::optional<double> reportedRequests(const ServerRecord& server, TimePoint now) const;

private:
    static constexpr std::size_t Kinds = PaceSampleKinds;

    /// Mean of logarithms of times.
    struct Evidence {
        double mean = 0;
        double weight = 0;
    };
    struct Server {
        ServiceId service;
        WallTime startedAt {};
        std::array<Evidence, Kinds> evidence;
        /// Of peers only.
        std::array<Evidence, Kinds> peerEvidence;
        double ratio = 1;
        std::optional<ServerLoadReport> report;
        TimePoint reportedAt {};
        bool hasReportedSlowness = false;
        /// Invariant: from 0, the reports say nothing, to 1.
        double trust = 1;
        double latePauses = 0;
        TimePoint pausedAt {};
    };
    struct Service {
        std::array<std::optional<double>, Kinds> medians;
        std::uint32_t samplesSinceMedian = 0;
        /// Mean of the last reports of its servers.
        std::optional<double> meanRequests;
    };

    static Evidence totalOf(const Server& server, std::size_t kind);
    static double slownessOf(const Server& server, TimePoint now);

    const Server* find(const ServerRecord& server) const;
    Server& at(const ServerRecord& server);
    void add(Server& server, PaceSample kind, double time, double weight, TimePoint now);
    void checkReport(Server& server, PaceSample kind, double logTime, TimePoint now);
    void updateMedians(const ServiceId& service);
    void updateRatio(Server& server) const;

    std::map<ServerId, Server> servers;
    std::map<ServiceId, Service> services;
    bool hasPeerEvidence = false;
    bool isInUse = true;
};

} // namespace peridotgrade
