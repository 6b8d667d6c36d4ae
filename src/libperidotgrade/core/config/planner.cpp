// Combines the check of intents, the allocation of engines and the schedule into a plan.
#include "peridotgrade/core/config/planner.h"

#include "engine_allocation.h"
#include "implied_intents.h"
#include "peridotgrade/core/config/intent_check.h"
#include "plan_schedule.h"

#include <algorithm>
#include <string>
#include <utility>

namespace peridotgrade {

namespace {

    constexpr std::uint64_t HoursPerDay = 24;

    /// Collects the changes that do not concern engines.
    class NonEngineChanges {
    public:
        explicit NonEngineChanges(const SiteConfiguration& base)
            : services(base.services)
        {
        }

        void operator()(const ServeModel&) { }
        void operator()(const StopModel&) { }
        void operator()(const AdmitWorkspace& intent)
        {
            this->changes.push_back(SetWorkspace { intent.workspace });
        }
        void operator()(const DismissWorkspace& intent)
        {
            this->changes.push_back(RemoveWorkspace { intent.id });
        }
        void operator()(const OfferService& intent)
        {
            ServiceConfiguration& service = this->services[intent.id];
            service.id = intent.id;
            service.kind = intent.kind;
            this->changes.push_back(SetService { service });
        }
        void operator()(const WithdrawService& intent)
        {
            this->changes.push_back(RemoveService { intent.id });
        }
        void operator()(const ShareCommitment& intent)
        {
            ServiceConfiguration& service = this->services[intent.service];
            service.id = intent.service;
            service.committedShare = intent.share;
            this->changes.push_back(SetService { service });
        }
        void operator()(const OweCommitment& intent)
        {
            this->changes.push_back(SetCommitment { intent.commitment });
        }

        std::vector<ConfigurationChange> changes;

    private:
        std::map<ServiceId, ServiceConfiguration> services;
    };

    std::vector<ConfigurationChange> nonEngineChangesOf(
        const std::vector<Intent>& intents, const SiteConfiguration& base)
    {
        NonEngineChanges collector(base);
        // Services are added before their shares are set, whatever the order of the intents.
        for (const Intent& intent : intents) {
            if (std::holds_alternative<OfferService>(intent))
                std::visit(collector, intent);
        }
        for (const Intent& intent : intents) {
            if (!std::holds_alternative<OfferService>(intent))
                std::visit(collector, intent);
        }
        return std::move(collector.changes);
    }

    EngineAllocation allocationOf(const SiteConfiguration& base, const std::vector<Intent>& intents,
        const std::vector<ServeModel>& models, const PlanningView& view)
    {
        EngineAllocation allocation(base, view);
        for (const Intent& intent : intents) {
            if (const auto* stop = std::get_if<StopModel>(&intent))
                allocation.stop(stop->service, stop->model);
            const auto* withdrawn = std::get_if<WithdrawService>(&intent);
            if (withdrawn == nullptr)
                continue;
            for (const ServeModel& model : servedModels(base)) {
                if (model.service == withdrawn->id)
                    allocation.stop(model.service, model.model);
            }
        }
        for (const ServeModel& model : models)
            allocation.shrink(model);
        for (const ServeModel& model : models)
            allocation.grow(model);
        return allocation;
    }

    /// Adds the engine changes in schedule order, each with its start.
    void addEngineChanges(Plan& plan, const std::map<AgentId, EngineAssignment>& engines)
    {
        for (const PlanStep& step : plan.steps) {
            auto found = engines.find(step.agent);
            if (found == engines.end()) {
                plan.changes.push_back(RemoveEngine { step.agent });
                continue;
            }
            EngineAssignment engine = found->second;
            engine.startAfter = step.startAfter;
            engine.notBefore = WallTime {};
            plan.changes.push_back(SetEngine { std::move(engine) });
        }
    }

    void addCapacityShortages(Plan& plan, const PlanningView& view)
    {
        for (const ServiceForecast& forecast : plan.services) {
            for (const ServiceLoad& load : view.loads) {
                bool isShort = load.service == forecast.service
                    && load.reservationsInUse > static_cast<double>(forecast.after.decodePlaces);
                if (isShort)
                    plan.refusals.push_back("service " + load.service.raw() + " uses "
                        + std::to_string(static_cast<std::uint64_t>(load.reservationsInUse))
                        + " places now and would have " + std::to_string(forecast.after.decodePlaces)
                        + ": the rest would be refused");
            }
        }
    }

    std::uint64_t unusedSpendOf(const SiteConfiguration& after)
    {
        const Commitment& commitment = after.commitment;
        std::uint64_t perEngine = commitment.engineHourMinorUnits * HoursPerDay * commitment.periodDays;
        std::uint64_t used = perEngine * after.engines.size();
        return commitment.spendMinorUnits > used ? commitment.spendMinorUnits - used : 0;
    }

    std::string summaryOf(const Plan& plan, std::size_t nonEngineChangeCount)
    {
        std::size_t loads = 0;
        std::size_t roles = 0;
        std::size_t releases = 0;
        for (const PlanStep& step : plan.steps) {
            loads += step.kind == StepKind::Load ? 1 : 0;
            roles += step.kind == StepKind::ChangeRole ? 1 : 0;
            releases += step.kind == StepKind::Release ? 1 : 0;
        }
        return std::to_string(loads) + " loads, " + std::to_string(roles) + " role changes, "
            + std::to_string(releases) + " releases, " + std::to_string(nonEngineChangeCount)
            + " other changes";
    }

    PlanningView sortedView(PlanningView view)
    {
        std::sort(view.fleet.begin(), view.fleet.end(),
            [](const FleetEngine& one, const FleetEngine& other) { return one.agent < other.agent; });
        return view;
    }

} // namespace

std::variant<Plan, std::vector<ConfigError>> makePlan(const SiteConfiguration& base, ConfigVersion version,
    const std::vector<Intent>& intents, const PlanningView& unsortedView)
{
    std::vector<ConfigError> problems = problemsIn(intents, base);
    if (!problems.empty())
        return problems;
    PlanningView view = sortedView(unsortedView);
    std::vector<ServeModel> models = modelIntents(intents, base);
    EngineAllocation allocation = allocationOf(base, intents, models, view);
    Plan plan;
    plan.base = version;
    plan.changes = nonEngineChangesOf(intents, base);
    std::size_t nonEngineChangeCount = plan.changes.size();
    SiteConfiguration after = withChanges(base, plan.changes, WallTime {});
    after.engines = allocation.engines();
    PlanSchedule schedule = scheduleOf(base, after, models, view);
    plan.steps = std::move(schedule.steps);
    plan.services = std::move(schedule.services);
    plan.expectedDuration = schedule.duration;
    addEngineChanges(plan, after.engines);
    plan.refusals = allocation.refusals();
    addCapacityShortages(plan, view);
    plan.unusedSpendMinorUnits = unusedSpendOf(after);
    plan.summary = summaryOf(plan, nonEngineChangeCount);
    plan.id = planIdOf(plan.base, plan.changes, plan.summary);
    return plan;
}

} // namespace peridotgrade
