// Measures the latency of one answer against the targets.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/ops/settings/entry_settings.h"

#include "answer_channel.h"
#include "entry_metrics.h"

#include <cstdint>
#include <optional>

namespace peridotgrade {

/// Takes the batches of one answer in order.
class AnswerTiming {
public:
    AnswerTiming(TimePoint arrivedAt, LatencyTargets targets, EntryMetrics& metrics)
        : arrivedAt(arrivedAt)
        , targets(targets)
        , metrics(metrics)
    {
    }

    void onBatch(const TokenBatch& batch)
    {
        if (batch.pieces.empty())
            return;
        if (!this->firstTokenAt) {
            this->firstTokenAt = batch.at;
            this->metrics.firstToken.add(batch.at - this->arrivedAt);
        } else {
            this->addGap(batch.at - this->lastTokenAt);
        }
        // The other tokens of a batch arrived with its first one: gaps of zero, always within the target.
        this->gaps += batch.pieces.size() - 1;
        this->lastTokenAt = batch.at;
        this->metrics.tokens.add(batch.pieces.size());
    }

    bool isWithinTargets() const
    {
        bool isFirstInTime
            = this->firstTokenAt && *this->firstTokenAt - this->arrivedAt <= this->targets.firstToken;
        return isFirstInTime && this->lateGaps * GapsPerAllowedLateGap <= this->gaps;
    }

    std::optional<Duration> timeToFirstToken() const
    {
        if (!this->firstTokenAt)
            return std::nullopt;
        return *this->firstTokenAt - this->arrivedAt;
    }

private:
    // 95 % of the gaps have to be within the target, so one in 20 may be late.
    static constexpr std::uint64_t GapsPerAllowedLateGap = 20;

    void addGap(Duration gap)
    {
        ++this->gaps;
        if (gap > this->targets.interToken)
            ++this->lateGaps;
        this->metrics.interToken.add(gap);
    }

    const TimePoint arrivedAt;
    const LatencyTargets targets;
    EntryMetrics& metrics;
    std::optional<TimePoint> firstTokenAt;
    TimePoint lastTokenAt;
    std::uint64_t gaps = 0;
    std::uint64_t lateGaps = 0;
};

} // namespace peridotgrade
