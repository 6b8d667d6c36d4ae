// The placement policies that the benchmark compares. Each is a type that models the library's
// PlacementPolicy.
#include "experiment.h"
#include "site_run.h"

#include "model_router_impl.h"

#include "peridotgrade/core/policy/least_reported_policy.h"
#include "peridotgrade/core/policy/reported_two_choices_policy.h"
#include "peridotgrade/core/policy/round_robin_policy.h"
#include "peridotgrade/core/policy/two_choice_policy.h"

namespace peridotgrade::bench {

namespace {

    // Exceeds the number of decode engines of any run, so that a request goes to all of them.
    constexpr std::uint32_t AllEngines = 1000;

    template <PlacementPolicy Policy> BenchmarkedPolicy benchmarkedPolicy(std::string name)
    {
        return { std::move(name),
            [](const SiteSettings& settings) { return SiteRun<Policy>(settings).run(); } };
    }

    BenchmarkedPolicy reserveFirst(std::string name, std::uint32_t parallelRequests)
    {
        return { std::move(name), [parallelRequests](SiteSettings settings) {
                    settings.router.parallelReservationRequests = parallelRequests;
                    return SiteRun<TwoChoicePolicy>(settings).run();
                } };
    }

} // namespace

std::vector<BenchmarkedPolicy> allBenchmarkedPolicies()
{
    return {
        benchmarkedPolicy<RoundRobinPolicy>("round-robin"),
        benchmarkedPolicy<LeastReportedPolicy>("least-reported"),
        benchmarkedPolicy<ReportedTwoChoicesPolicy>("reported-two"),
        reserveFirst("place-first-1", 1),
        reserveFirst("place-first-2", 2),
        reserveFirst("place-first-3", 3),
        reserveFirst("place-first-all", AllEngines),
    };
}

} // namespace peridotgrade::bench
