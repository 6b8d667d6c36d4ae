// Measured times of one server and kind, summed up.
#pragma once

#include "peridotgrade/core/serving/pace_sample.h"
#include "peridotgrade/core/serving/server_record.h"

namespace peridotgrade {

struct PaceEvidence {
    ServerId server;
    WallTime startedAt {};
    PaceSample kind = PaceSample::Prefill;
    /// Mean of the logarithms of the times in seconds.
    double meanLog = 0;
    /// In prefills or plain calls.
    double weight = 0;
};

} // namespace peridotgrade
