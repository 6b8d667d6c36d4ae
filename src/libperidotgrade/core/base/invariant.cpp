// Names and violation counters of the invariants.
#include "peridotgrade/core/base/invariant.h"

#include "peridotgrade/core/base/name_table.h"

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace peridotgrade {

namespace {

    constexpr auto Names = std::to_array<std::string_view>({
        "no_memory_held_for_gone_request",
        "no_request_answered_twice",
        "answer_is_whole_and_own",
        "not_run_means_not_run",
        "action_at_most_once",
        "no_new_work_when_leaving",
        "graceful_stop_cuts_nothing",
        "configuration_never_reverts",
        "same_version_same_configuration",
        "only_confirmed_plans_ordered",
        "capacity_not_exceeded",
        "crash_cap_holds",
        "internal_consistency",
    });

    std::array<std::atomic<std::uint64_t>, Names.size()> violations {};

} // namespace

std::string_view nameOf(Invariant invariant) { return nameAt(Names, invariant); }

const std::vector<Invariant>& allInvariants()
{
    static const std::vector<Invariant> All = [] {
        std::vector<Invariant> all;
        for (std::size_t i = 0; i < Names.size(); ++i)
            all.push_back(static_cast<Invariant>(i));
        return all;
    }();
    return All;
}

void checkInvariant(bool holds, Invariant invariant, std::string_view detail)
{
    if (holds)
        return;
    violations[static_cast<std::size_t>(invariant)].fetch_add(1);
    std::fprintf(stderr, "event=invariant_broken invariant=%s detail=\"%.*s\"\n", nameOf(invariant).data(),
        static_cast<int>(detail.size()), detail.data());
#ifdef PERIDOT_ABORT_ON_INVARIANT
    std::abort();
#endif
}

std::uint64_t violationsOf(Invariant invariant)
{
    return violations[static_cast<std::size_t>(invariant)].load();
}

} // namespace peridotgrade
