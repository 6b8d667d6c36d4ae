// A table of runs: every policy on the same requests.
#pragma once

#include "run_result.h"
#include "site_settings.h"

#include <functional>
#include <string>
#include <vector>

namespace peridotgrade::bench {

/// One policy with its knobs, ready to run.
struct BenchmarkedPolicy {
    std::string name;
    std::function<RunResult(const SiteSettings&)> run;
};

/// The baselines and the candidates that the benchmark compares.
std::vector<BenchmarkedPolicy> allBenchmarkedPolicies();

/// One row of the table.
struct Row {
    std::string policy;
    SiteSettings settings;
    RunResult result;
};

/// Runs every contender on every setting, on `threads` threads; rows in order of setting, then contender.
std::vector<Row> runAll(const std::vector<BenchmarkedPolicy>& policies,
    const std::vector<SiteSettings>& settings, unsigned threads);

} // namespace peridotgrade::bench
