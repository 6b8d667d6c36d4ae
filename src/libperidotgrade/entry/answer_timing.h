// Measures one answer against the latency targets.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/ops/settings/entry_settings.h"

#include "answer_channel.h"
#include "entry_metrics.h"

#include <cstdint>
#include <optional>

namespace peridotgrade {

/// Fed with the batches of one answer in order.
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
        if (!this->firstAt) {
            this->firstAt = batch.at;
            this->metrics.firstToken.add(batch.at - this->arrivedAt);
        } else {
            this->addGap(batch.at - this->lastAt);
        }
        // The rest of a batch came together with its first token.
        this->gaps += batch.pieces.size() - 1;
        this->lastAt = batch.at;
        this->metrics.tokens.add(batch.pieces.size());
    }

    bool isWithinTargets() const
    {
        bool isFirstInTime = this->firstAt && *this->firstAt - this->arrivedAt <= this->targets.firstToken;
        return isFirstInTime && this->lateGaps * LateGapsAllowedOneIn <= this->gaps;
    }

    std::optional<Duration> firstTokenAfter() const
    {
        if (!this->firstAt)
            return std::nullopt;
        return *this->firstAt - this->arrivedAt;
    }

private:
    // 95 in 100 gaps have to be within the target.
    static constexpr std::uint64_t LateGapsAllowedOneIn = 20;

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
    std::optional<TimePoint> firstAt;
    TimePoint lastAt;
    std::uint64_t gaps = 0;
    std::uint64_t lateGaps = 0;
};

} // namespace peridotgrade
