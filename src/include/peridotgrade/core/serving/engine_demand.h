// Engine time that one request needs for its prefill and for its decode, from this entry's own requests.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/prefill_cost.h"
#include "peridotgrade/core/serving/service_spec.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace peridotgrade {

/// Engine time that an average request takes in each role: a decode engine that runs eight requests of 3 s
/// spends 0.375 s on each.
struct RoleDemand {
    Duration prefill {};
    Duration decode {};
};

/// A completed run, as its entry saw it.
struct CompletedRun {
    /// Tokens that were reserved for it, for its whole time.
    std::uint32_t tokens = 0;
    std::uint32_t events = 0;
    Duration took {};
    /// How long the request waited for the reservation.
    Duration waited {};
};

/// Measures the demand of one service. Both values are averages for one request, so an entry that sees a
/// small part of the traffic measures the same as one that sees all of it. A run is slower beside others, and
/// no engine tells how many it runs, so the pace of full engines is that of the runs whose requests had to
/// wait for memory; before there are any, that of the slower runs. The prefill time is raised while prefills
/// wait long for their engine: they come after the reservation, so they only wait if prefill is the scarcer
/// part. Not thread safe.
class EngineDemand {
public:
    /// Runs that are kept of either kind, and runs needed for an average.
    static constexpr std::size_t MaxRuns = 64;
    static constexpr std::size_t MinRuns = 12;
    /// A request that waited this long found all engines full.
    static constexpr std::chrono::milliseconds FullWait { 50 };
    /// Without such requests, this share of the runs is quicker than the pace that is used.
    static constexpr double BusyQuantile = 0.85;

    /// A prefill may take this many times its measured time and the average wait.
    static constexpr int TimeoutCostFactor = 2;
    static constexpr int TimeoutWaitFactor = 6;
    /// Added for lost packets, which are sent again after 0.2 s and more. A prefill that is given up for a
    /// short queue is read in vain.
    static constexpr std::chrono::milliseconds TimeoutMargin { 500 };
    /// Prefills wait long if they wait this many times as long as they keep an engine busy.
    static constexpr double LongWaitRatio = 2;
    /// Change of the correction for each long and each short wait, and its limit.
    static constexpr double CorrectionGrowth = 1.01;
    static constexpr double CorrectionDecay = 0.995;
    static constexpr double MaxCorrection = 2.5;

    /// Records a completed prefill.
    void recordPrefill(std::uint32_t tokens, Duration took);
    /// Records a prefill that was given up after `took`. If all are, their estimate rises until they are
    /// waited for; those at a few silent engines do not change it.
    void recordTimedOutPrefill(std::uint32_t tokens, Duration took) { this->prefill.record(tokens, took); }
    void recordRun(const EngineSpec& engine, const CompletedRun& run);

    /// How long a prefill of `tokens` may take before its engine counts as silent; nothing until enough
    /// prefills were recorded. Load that it answers: engines that fall silent without closing their
    /// connections, while each request holds memory at a decode engine.
    std::optional<Duration> prefillTimeout(std::uint32_t tokens) const;
    /// Nothing until enough prefills and runs were recorded.
    std::optional<RoleDemand> current() const;
    /// The same, drawn towards `expected` until `MaxRuns` runs were recorded. At engines of unequal speed a
    /// dozen requests may have met the fast ones only.
    std::optional<RoleDemand> currentNear(const RoleDemand& expected) const;
    /// True before the first prefill.
    bool isUnused() const { return this->prefill.isEmpty(); }
    const PrefillCost& prefillCost() const { return this->prefill; }

private:
    struct Size {
        /// Share of an engine that the run takes.
        double share = 0;
        std::uint32_t events = 0;
    };
    /// Time for one event of a run at a full engine.
    Duration fullPace() const;

    PrefillCost prefill;
    std::deque<Size> sizes;
    /// Times for one event.
    std::deque<Duration> paces;
    std::deque<Duration> fullPaces;
    /// Moving average of the wait for a prefill engine.
    Duration prefillWait {};
    /// Factor of the measured prefill time. Invariant: from 1 to `MaxCorrection`.
    double correction = 1;
};

} // namespace peridotgrade
