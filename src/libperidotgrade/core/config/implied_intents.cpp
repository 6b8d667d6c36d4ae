// Scales the engines of a service to its share of the commitment.
#include "implied_intents.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace peridotgrade {

namespace {

    constexpr std::uint64_t HoursPerDay = 24;

    struct ModelKey {
        ServiceId service;
        ModelId model;

        // clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(const ModelKey&, const ModelKey&) = default;
    };

    std::uint32_t engineCount(const ServeModel& model)
    {
        return model.prefillEngines + model.decodeEngines + model.mixedEngines;
    }

    /// A role that is in use keeps at least one engine.
    std::uint32_t scaled(std::uint32_t count, double factor)
    {
        if (count == 0)
            return 0;
        auto result = static_cast<std::uint32_t>(std::lround(count * factor));
        return std::max<std::uint32_t>(result, 1);
    }

    void scaleTo(ServeModel& model, std::uint32_t engines)
    {
        double factor = static_cast<double>(engines) / engineCount(model);
        model.prefillEngines = scaled(model.prefillEngines, factor);
        model.mixedEngines = scaled(model.mixedEngines, factor);
        std::uint32_t others = model.prefillEngines + model.mixedEngines;
        if (model.decodeEngines > 0)
            model.decodeEngines = engines > others ? engines - others : 1;
    }

    Commitment commitmentAfter(const std::vector<Intent>& intents, const SiteConfiguration& base)
    {
        Commitment commitment = base.commitment;
        for (const Intent& intent : intents) {
            if (const auto* owed = std::get_if<OweCommitment>(&intent))
                commitment = owed->commitment;
        }
        return commitment;
    }

    bool hasOwnIntent(const std::vector<Intent>& intents, const ServeModel& model)
    {
        return std::any_of(intents.begin(), intents.end(), [&](const Intent& intent) {
            const auto* serve = std::get_if<ServeModel>(&intent);
            const auto* stop = std::get_if<StopModel>(&intent);
            bool isServed
                = serve != nullptr && serve->service == model.service && serve->model == model.model;
            bool isStopped = stop != nullptr && stop->service == model.service && stop->model == model.model;
            return isServed || isStopped;
        });
    }

} // namespace

std::uint32_t committedEnginesOf(const Commitment& commitment) { return committedEnginesOf(commitment, 1); }

std::uint32_t committedEnginesOf(const Commitment& commitment, double share)
{
    std::uint64_t perEngine = commitment.engineHourMinorUnits * HoursPerDay * commitment.periodDays;
    if (perEngine == 0)
        return 0;
    double engines = static_cast<double>(commitment.spendMinorUnits) / static_cast<double>(perEngine);
    return static_cast<std::uint32_t>(std::floor(engines * share));
}

std::vector<ServeModel> servedModels(const SiteConfiguration& configuration)
{
    std::map<ModelKey, ServeModel> models;
    for (const auto& [agent, engine] : configuration.engines) {
        ServeModel& model = models[{ engine.service, engine.model }];
        model.service = engine.service;
        model.model = engine.model;
        model.modelVersion = std::max(model.modelVersion, engine.modelVersion);
        model.adapters = engine.adapters;
        model.weightBytes = engine.weightBytes;
        model.prefillEngines += engine.role == EngineRole::Prefill ? 1 : 0;
        model.decodeEngines += engine.role == EngineRole::Decode ? 1 : 0;
        model.mixedEngines += engine.role == EngineRole::Mixed ? 1 : 0;
    }
    std::vector<ServeModel> result;
    for (auto& [key, model] : models)
        result.push_back(std::move(model));
    return result;
}

std::vector<ServeModel> modelIntents(const std::vector<Intent>& intents, const SiteConfiguration& base)
{
    std::vector<ServeModel> result;
    std::vector<ServeModel> served = servedModels(base);
    Commitment commitment = commitmentAfter(intents, base);
    for (const Intent& intent : intents) {
        if (const auto* serve = std::get_if<ServeModel>(&intent))
            result.push_back(*serve);
        const auto* share = std::get_if<ShareCommitment>(&intent);
        std::uint32_t wanted = share == nullptr ? 0 : committedEnginesOf(commitment, share->share);
        if (wanted == 0)
            continue;
        std::uint32_t present = 0;
        for (const ServeModel& model : served)
            present += model.service == share->service ? engineCount(model) : 0;
        for (const ServeModel& model : served) {
            if (model.service != share->service || hasOwnIntent(intents, model))
                continue;
            ServeModel implied = model;
            scaleTo(implied, scaled(engineCount(model), static_cast<double>(wanted) / present));
            result.push_back(std::move(implied));
        }
    }
    std::sort(result.begin(), result.end(), [](const ServeModel& one, const ServeModel& other) {
        return std::pair { one.service, one.model } < std::pair { other.service, other.model };
    });
    return result;
}

} // namespace peridotgrade
