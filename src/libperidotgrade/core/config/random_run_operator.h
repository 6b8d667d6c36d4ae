// An operator who plans and confirms, for randomised runs of configuration changes.
#pragma once

#include "peridotgrade/core/config/confirmation_status.h"
#include "peridotgrade/core/config/planner.h"
#include "random_run_log.h"

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace peridotgrade::test {

/// Makes plans on the version that its entry has, confirms them, and records the reported results for
/// comparison with the reference replica.
class RandomRunOperator {
public:
    RandomRunOperator(
        std::string name, TimerService& timers, RandomSource& random, RandomRunLog& log, PlanningView view)
        : name(std::move(name))
        , timers(timers)
        , random(random)
        , log(log)
        , view(std::move(view))
    {
    }

    /// One step at the entry that has `replica`; `isNewEntry` if it differs from the entry of the last step.
    void step(const ConfigurationReplica& replica, bool isNewEntry)
    {
        if (!replica.isReady())
            return;
        if (!this->plan) {
            if (this->isPlanning && this->random.below(100) == 0)
                this->makePlanOn(replica);
            return;
        }
        // The former entry failed during the confirmation and may have appended it.
        if (isNewEntry) {
            this->appends.acknowledged.reset();
            this->appends.hasUnansweredAppend = true;
        }
        this->confirm(replica);
    }

    /// Checks all reported results against the plans that took effect.
    void checkReportedResults() const
    {
        for (const auto& [plan, version] : this->reportedInForce) {
            auto entry = this->log.plans.find(plan);
            bool isInForceAsReported = entry != this->log.plans.end() && entry->second.version == version;
            BOOST_REQUIRE_MESSAGE(isInForceAsReported, "reported in force, but is not");
        }
        for (const PlanId& plan : this->reportedVoid)
            BOOST_REQUIRE_MESSAGE(!this->log.plans.contains(plan), "reported void, but took effect");
        for (const PlanId& plan : this->reportedNotAppended) {
            // Another operator may have confirmed the same plan, or this operator may have confirmed it again
            // later.
            auto entry = this->log.plans.find(plan);
            bool isOwn = entry != this->log.plans.end() && entry->second.operatorName == this->name;
            BOOST_REQUIRE_MESSAGE(!isOwn || this->plansWithOtherResult.contains(plan),
                "reported as not appended, but took effect");
        }
    }

    bool isPlanning = true;
    std::size_t confirmed() const { return this->reportedInForce.size(); }
    std::size_t refused() const { return this->reportedVoid.size() + this->reportedNotAppended.size(); }

private:
    void makePlanOn(const ConfigurationReplica& replica)
    {
        ServeModel serve;
        serve.service = ServiceId { "s" };
        serve.model = ModelId { "m" };
        serve.modelVersion = "v" + std::to_string(this->random.below(1'000));
        serve.mixedEngines = static_cast<std::uint32_t>(1 + this->random.below(3));
        serve.weightBytes = 1'000;
        OfferService offer { ServiceId { "s" }, ServiceKind::Model };
        auto made = makePlan(replica.configuration(), replica.version(), { offer, serve }, this->view);
        this->plan = std::get<Plan>(std::move(made));
        this->appends = {};
        this->deadline = this->timers.now() + std::chrono::seconds { 10 };
    }

    void confirm(const ConfigurationReplica& replica)
    {
        ConfirmationStatus status = confirmationStatusOf(replica, *this->plan, this->appends);
        if (auto* inForce = std::get_if<PlanInForce>(&status)) {
            this->reportedInForce.emplace_back(this->plan->id, inForce->version);
            this->plansWithOtherResult.insert(this->plan->id);
            this->plan.reset();
            return;
        }
        if (std::holds_alternative<PlanVoid>(status)) {
            this->reportedVoid.insert(this->plan->id);
            this->plan.reset();
            return;
        }
        if (std::holds_alternative<PlanForgotten>(status)) {
            this->plan.reset();
            return;
        }
        if (this->timers.now() >= this->deadline) {
            this->giveUp();
            return;
        }
        if (std::holds_alternative<AppendNeeded>(status))
            this->append();
    }

    void append()
    {
        auto result = this->log.append(encodeRecord(confirmationOf(*this->plan, this->name)));
        if (result.result == AppendResult::Acknowledged)
            this->appends.acknowledged = result.offset;
        if (result.result == AppendResult::Unknown)
            this->appends.hasUnansweredAppend = true;
    }

    void giveUp()
    {
        bool isNothingAppended = !this->appends.acknowledged && !this->appends.hasUnansweredAppend;
        if (isNothingAppended)
            this->reportedNotAppended.insert(this->plan->id);
        else
            this->plansWithOtherResult.insert(this->plan->id);
        this->plan.reset();
    }

    const std::string name;
    TimerService& timers;
    RandomSource& random;
    RandomRunLog& log;
    const PlanningView view;
    std::optional<Plan> plan;
    AppendResults appends;
    TimePoint deadline;
    std::vector<std::pair<PlanId, ConfigVersion>> reportedInForce;
    std::set<PlanId> reportedVoid;
    std::set<PlanId> reportedNotAppended;
    /// Plans for which this operator got another result than "nothing was appended".
    std::set<PlanId> plansWithOtherResult;
};

} // namespace peridotgrade::test
