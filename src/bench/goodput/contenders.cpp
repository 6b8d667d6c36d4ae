// The policies that the benchmark compares, each as a type of the product's concept.
#include "experiment.h"
#include "site_run.h"

#include "model_router_impl.h"

#include "peridotgrade/core/policy/least_reported_policy.h"
#include "peridotgrade/core/policy/reported_two_choices_policy.h"
#include "peridotgrade/core/policy/round_robin_policy.h"
#include "peridotgrade/core/policy/two_choice_policy.h"

namespace peridotgrade::bench {

namespace {

    // More asks than there are decode engines in any run.
    constexpr std::uint32_t AllEngines = 1000;

    template <PlacementPolicy Policy> Contender contender(std::string name)
    {
        return { std::move(name),
            [](const SiteSettings& settings) { return SiteRun<Policy>(settings).run(); } };
    }

    Contender placeFirst(std::string name, std::uint32_t asks)
    {
        return { std::move(name), [asks](SiteSettings settings) {
                    settings.router.parallelReservationRequests = asks;
                    return SiteRun<TwoChoicePolicy>(settings).run();
                } };
    }

} // namespace

std::vector<Contender> allContenders()
{
    return {
        contender<RoundRobinPolicy>("round-robin"),
        contender<LeastReportedPolicy>("least-reported"),
        contender<ReportedTwoChoicesPolicy>("reported-two"),
        placeFirst("place-first-1", 1),
        placeFirst("place-first-2", 2),
        placeFirst("place-first-3", 3),
        placeFirst("place-first-all", AllEngines),
    };
}

} // namespace peridotgrade::bench
