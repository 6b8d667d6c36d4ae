// Runs every policy on the same requests and collects the results as a table.
#pragma once

#include "run_result.h"
#include "site_settings.h"

#include <functional>
#include <string>
#include <vector>

namespace peridotgrade::bench {

/// A placement policy with its parameters, ready to run.
struct BenchmarkedPolicy {
    std::string name;
    std::function<RunResult(const SiteSettings&)> run;
};

/// All policies of the benchmark: the baselines and the reservation-first variants.
std::vector<BenchmarkedPolicy> allBenchmarkedPolicies();

/// One row of the table: the result of one policy under one setting.
struct Row {
    std::string policy;
    SiteSettings settings;
    RunResult result;
};

/// Runs every policy under every setting on `threads` threads. Rows are ordered by setting, then by policy.
std::vector<Row> runAll(const std::vector<BenchmarkedPolicy>& policies,
    const std::vector<SiteSettings>& settings, unsigned threads);

} // namespace peridotgrade::bench
