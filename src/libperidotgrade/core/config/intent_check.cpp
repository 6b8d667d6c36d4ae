// Checks each intent by itself, and then services, keys and shares across all intents.
#include "peridotgrade/core/config/intent_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace peridotgrade {

namespace {

    // Shares are entered as decimal fractions, so their sum is subject to rounding.
    constexpr double ShareTolerance = 1e-9;

    class IntentCheck {
    public:
        explicit IntentCheck(const SiteConfiguration& base)
            : base(base)
        {
            for (const auto& [id, service] : base.services) {
                this->services.insert(id);
                this->shares[id] = service.committedShare;
            }
            for (const auto& [id, workspace] : base.workspaces)
                this->keys[id] = workspace.keySha256;
        }

        void operator()(const OfferService& intent)
        {
            this->once("service " + intent.id.raw());
            this->services.insert(intent.id);
        }

        void operator()(const WithdrawService& intent)
        {
            this->once("service " + intent.id.raw());
            this->withdrawn.insert(intent.id);
            this->shares.erase(intent.id);
        }

        void operator()(const ServeModel& intent)
        {
            this->once("model " + intent.model.raw() + " of service " + intent.service.raw());
            this->usedServices.push_back(intent.service);
            bool isWithoutEngines = intent.prefillEngines + intent.decodeEngines + intent.mixedEngines == 0;
            if (isWithoutEngines)
                this->invalid(
                    "model " + intent.model.raw() + " is given no engine; use stopModel to stop it");
            bool isHalfPair = (intent.prefillEngines == 0) != (intent.decodeEngines == 0);
            if (isHalfPair && intent.mixedEngines == 0)
                this->invalid("model " + intent.model.raw() + " needs both prefill and decode engines");
            if (intent.maxShareAtOnce <= 0 || intent.maxShareAtOnce > 1)
                this->invalid("maxShareAtOnce of model " + intent.model.raw() + " is not in (0, 1]");
        }

        void operator()(const StopModel& intent)
        {
            this->once("model " + intent.model.raw() + " of service " + intent.service.raw());
            this->usedServices.push_back(intent.service);
        }

        void operator()(const AdmitWorkspace& intent)
        {
            const Workspace& workspace = intent.workspace;
            this->once("workspace " + workspace.id.raw());
            this->keys[workspace.id] = workspace.keySha256;
            bool isNegative = workspace.requestsPerSecond < 0 || workspace.outputTokensPerSecond < 0;
            if (isNegative || workspace.share <= 0)
                this->invalid("workspace " + workspace.id.raw() + " has a negative limit or no share");
        }

        void operator()(const DismissWorkspace& intent)
        {
            this->once("workspace " + intent.id.raw());
            this->keys.erase(intent.id);
            if (!this->base.workspaces.contains(intent.id))
                this->invalid("workspace " + intent.id.raw() + " is not known");
        }

        void operator()(const ShareCommitment& intent)
        {
            this->once("commitment share of service " + intent.service.raw());
            this->usedServices.push_back(intent.service);
            this->shares[intent.service] = intent.share;
            if (intent.share < 0 || intent.share > 1)
                this->invalid("share of service " + intent.service.raw() + " is not in [0, 1]");
        }

        void operator()(const OweCommitment& intent)
        {
            this->once("commitment");
            bool isUnpriced
                = intent.commitment.spendMinorUnits > 0 && intent.commitment.engineHourMinorUnits == 0;
            if (isUnpriced || intent.commitment.periodDays == 0)
                this->invalid("the commitment needs a period and the price of an engine's hour");
        }

        std::vector<ConfigError> finish()
        {
            this->checkServices();
            this->checkKeys();
            this->checkShares();
            return std::move(this->problems);
        }

    private:
        void checkServices()
        {
            for (const ServiceId& service : this->usedServices) {
                if (this->withdrawn.contains(service))
                    this->contradiction(
                        "service " + service.raw() + " is withdrawn and used by another intent");
                else if (!this->services.contains(service))
                    this->invalid("service " + service.raw() + " is not known; offer it with offerService");
            }
        }

        void checkKeys()
        {
            std::map<std::string, WorkspaceId> owners;
            for (const auto& [id, key] : this->keys) {
                auto [owner, isNew] = owners.emplace(key, id);
                if (!isNew)
                    this->contradiction(
                        "workspaces " + owner->second.raw() + " and " + id.raw() + " have the same key");
            }
        }

        void checkShares()
        {
            double sum = 0;
            for (const auto& [id, share] : this->shares)
                sum += share;
            if (sum > 1 + ShareTolerance)
                this->contradiction("the services' shares of the commitment add up to more than 1");
        }

        void once(const std::string& subject)
        {
            bool isNew = this->subjects.insert(subject).second;
            if (!isNew)
                this->contradiction(subject + " is the subject of two intents");
        }

        void contradiction(std::string detail)
        {
            this->problems.push_back({ ConfigErrorKind::Contradiction, std::move(detail) });
        }

        void invalid(std::string detail)
        {
            this->problems.push_back({ ConfigErrorKind::InvalidValue, std::move(detail) });
        }

        const SiteConfiguration& base;
        std::set<std::string> subjects;
        std::set<ServiceId> services;
        std::set<ServiceId> withdrawn;
        std::vector<ServiceId> usedServices;
        std::map<WorkspaceId, std::string> keys;
        std::map<ServiceId, double> shares;
        std::vector<ConfigError> problems;
    };

} // namespace

std::vector<ConfigError> problemsIn(const std::vector<Intent>& intents, const SiteConfiguration& base)
{
    IntentCheck check(base);
    for (const Intent& intent : intents)
        std::visit(check, intent);
    return check.finish();
}

} // namespace peridotgrade
