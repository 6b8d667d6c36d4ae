// Computes the waves of a plan and the capacity that remains during each.
#include "plan_schedule.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace peridotgrade {

namespace {

    // Time allowed per wave for draining its engines before their role or version changes.
    constexpr std::chrono::milliseconds DrainAllowance { 10'000 };
    constexpr double MillisecondsPerSecond = 1'000;

    using Engines = std::map<AgentId, EngineAssignment>;

    const EngineAssignment* find(const Engines& engines, const AgentId& agent)
    {
        auto found = engines.find(agent);
        return found == engines.end() ? nullptr : &found->second;
    }

    bool needsLoad(const EngineAssignment* from, const EngineAssignment& to)
    {
        return from == nullptr || from->model != to.model || from->modelVersion != to.modelVersion
            || from->adapters != to.adapters;
    }

    /// A change of one engine that has no wave yet.
    struct Change {
        AgentId agent;
        const EngineAssignment* from = nullptr;
        const EngineAssignment* to = nullptr;

        bool isJoining() const { return this->from == nullptr; }
        bool isReleased() const { return this->to == nullptr; }
        const ServiceId& service() const
        {
            return this->isReleased() ? this->from->service : this->to->service;
        }
        /// Changes are made in this order: 0 joins, 1 changes a serving engine, 2 is released.
        int rank() const { return this->isJoining() ? 0 : (this->isReleased() ? 2 : 1); }
    };

    std::vector<Change> changesBetween(const Engines& before, const Engines& after)
    {
        std::vector<Change> changes;
        for (const auto& [agent, to] : after) {
            const EngineAssignment* from = find(before, agent);
            bool isSame = from != nullptr && from->service == to.service && from->role == to.role
                && !needsLoad(from, to);
            if (!isSame)
                changes.push_back({ agent, from, &to });
        }
        for (const auto& [agent, from] : before) {
            if (!after.contains(agent))
                changes.push_back({ agent, &from, nullptr });
        }
        std::stable_sort(changes.begin(), changes.end(), [](const Change& one, const Change& other) {
            if (one.rank() != other.rank())
                return one.rank() < other.rank();
            return one.service() < other.service();
        });
        return changes;
    }

    std::string reasonOf(const Change& change)
    {
        if (change.isReleased())
            return "no longer needed by service " + change.from->service.raw();
        std::string target = change.to->model.raw() + " " + change.to->modelVersion;
        if (change.isJoining())
            return "joins service " + change.to->service.raw() + " as "
                + std::string { nameOf(change.to->role) } + " engine for " + target;
        if (change.from->model != change.to->model || change.from->service != change.to->service)
            return "moves from " + change.from->model.raw() + " to " + target;
        if (needsLoad(change.from, *change.to))
            return "changes from " + change.from->modelVersion + " to " + target;
        return "changes role from " + std::string { nameOf(change.from->role) } + " to "
            + std::string { nameOf(change.to->role) };
    }

    StepKind kindOf(const Change& change)
    {
        if (change.isReleased())
            return StepKind::Release;
        return needsLoad(change.from, *change.to) ? StepKind::Load : StepKind::ChangeRole;
    }

    class Scheduler {
    public:
        Scheduler(const SiteConfiguration& before, const SiteConfiguration& after,
            const std::vector<ServeModel>& models, const PlanningView& view)
            : before(before)
            , after(after)
            , models(models)
            , view(view)
        {
        }

        PlanSchedule run()
        {
            std::vector<Change> changes = changesBetween(this->before.engines, this->after.engines);
            this->beginForecasts();
            std::size_t first = 0;
            while (first < changes.size()) {
                std::size_t last = this->endOfWave(changes, first);
                this->addWave(changes, first, last);
                first = last;
            }
            for (auto& [service, forecast] : this->forecasts)
                this->schedule.services.push_back(std::move(forecast));
            this->schedule.duration = this->nextStart;
            return std::move(this->schedule);
        }

    private:
        void beginForecasts()
        {
            this->serving = this->before.engines;
            std::set<ServiceId> services;
            for (const SiteConfiguration* each : { &this->before, &this->after }) {
                for (const auto& [agent, engine] : each->engines)
                    services.insert(engine.service);
            }
            for (const ServiceId& service : services) {
                ServiceForecast& forecast = this->forecasts[service];
                forecast.service = service;
                forecast.before = this->capacityOf(this->before.engines, service);
                forecast.during = forecast.before;
                forecast.after = this->capacityOf(this->after.engines, service);
                for (const auto& [agent, engine] : this->after.engines)
                    forecast.enginesAfter += engine.service == service ? 1 : 0;
                auto known = this->after.services.find(service);
                if (known != this->after.services.end())
                    forecast.committedEngines
                        = committedEnginesOf(this->after.commitment, known->second.committedShare);
            }
        }

        ServiceCapacity capacityOf(const Engines& engines, const ServiceId& service) const
        {
            ServiceCapacity capacity;
            for (const FleetEngine& each : this->view.fleet) {
                const EngineAssignment* engine = find(engines, each.agent);
                if (engine == nullptr || engine->service != service)
                    continue;
                if (engine->role != EngineRole::Prefill)
                    capacity.decodePlaces += each.placesTotal;
                if (engine->role != EngineRole::Decode)
                    capacity.prefillTokensPerSecond += each.prefillTokensPerSecond;
            }
            return capacity;
        }

        double shareAtOnce(const Change& change) const
        {
            const ServiceId& service = change.service();
            double share = ServeModel {}.maxShareAtOnce;
            for (const ServeModel& model : this->models)
                share = model.service == service ? model.maxShareAtOnce : share;
            return share;
        }

        /// Number of engines that may change at the same time: a fraction of the pool (service and role) for
        /// engines that serve now, and no limit for engines that join or are released.
        std::size_t waveSize(const Change& change) const
        {
            if (change.rank() != 1)
                return std::max<std::size_t>(this->before.engines.size() + this->after.engines.size(), 1);
            std::size_t pool = 0;
            for (const auto& [agent, engine] : this->before.engines)
                pool += engine.service == change.from->service && engine.role == change.from->role ? 1 : 0;
            auto allowed
                = static_cast<std::size_t>(std::floor(static_cast<double>(pool) * this->shareAtOnce(change)));
            return std::max<std::size_t>(allowed, 1);
        }

        /// A wave contains changes of one rank; changes of serving engines also share one pool.
        std::size_t endOfWave(const std::vector<Change>& changes, std::size_t first) const
        {
            std::size_t limit = first + this->waveSize(changes[first]);
            std::size_t last = first + 1;
            while (last < changes.size() && last < limit && this->isSamePool(changes[first], changes[last]))
                ++last;
            return last;
        }

        bool isSamePool(const Change& one, const Change& other) const
        {
            if (one.rank() != other.rank())
                return false;
            if (one.rank() != 1)
                return true;
            return one.from->service == other.from->service && one.from->role == other.from->role;
        }

        std::chrono::milliseconds loadTimeOf(const Change& change) const
        {
            bool isLoad = !change.isReleased() && needsLoad(change.from, *change.to);
            if (!isLoad || this->view.weightStoreBytesPerSecond <= 0)
                return std::chrono::milliseconds { 0 };
            double seconds
                = static_cast<double>(change.to->weightBytes) / this->view.weightStoreBytesPerSecond;
            return std::chrono::milliseconds { static_cast<std::int64_t>(
                std::ceil(seconds * MillisecondsPerSecond)) };
        }

        void addWave(const std::vector<Change>& changes, std::size_t first, std::size_t last)
        {
            std::chrono::milliseconds length { 0 };
            for (std::size_t i = first; i < last; ++i) {
                const Change& change = changes[i];
                PlanStep step;
                step.agent = change.agent;
                step.kind = kindOf(change);
                step.wave = this->nextWave;
                step.startAfter = this->nextStart;
                step.loadTime = this->loadTimeOf(change);
                step.reason = reasonOf(change);
                length += step.loadTime;
                this->schedule.steps.push_back(std::move(step));
                this->serving.erase(change.agent);
            }
            if (changes[first].rank() == 1)
                length += DrainAllowance;
            for (auto& [service, forecast] : this->forecasts)
                this->lowerTo(forecast.during, this->capacityOf(this->serving, service));
            for (std::size_t i = first; i < last; ++i) {
                if (!changes[i].isReleased())
                    this->serving[changes[i].agent] = *changes[i].to;
            }
            this->nextStart += length;
            ++this->nextWave;
        }

        static void lowerTo(ServiceCapacity& least, const ServiceCapacity& now)
        {
            least.decodePlaces = std::min(least.decodePlaces, now.decodePlaces);
            least.prefillTokensPerSecond = std::min(least.prefillTokensPerSecond, now.prefillTokensPerSecond);
        }

        const SiteConfiguration& before;
        const SiteConfiguration& after;
        const std::vector<ServeModel>& models;
        const PlanningView& view;
        /// Engines that serve during the current wave.
        Engines serving;
        std::map<ServiceId, ServiceForecast> forecasts;
        std::chrono::milliseconds nextStart { 0 };
        std::uint32_t nextWave = 0;
        PlanSchedule schedule;
    };

} // namespace

PlanSchedule scheduleOf(const SiteConfiguration& before, const SiteConfiguration& after,
    const std::vector<ServeModel>& models, const PlanningView& view)
{
    return Scheduler(before, after, models, view).run();
}

} // namespace peridotgrade
