// Names of enumerators, lookups, and the application of changes to a configuration.
#include "peridotgrade/core/config/site_configuration.h"

#include "peridotgrade/core/base/name_table.h"
#include "peridotgrade/core/config/config_error.h"
#include "peridotgrade/core/config/configuration_change.h"

#include <algorithm>

namespace peridotgrade {

namespace {

    constexpr auto RoleNames = std::to_array<std::string_view>({ "prefill", "decode", "mixed" });
    constexpr auto PriorityNames = std::to_array<std::string_view>({ "urgent", "normal", "patient" });
    constexpr auto ServiceKindNames = std::to_array<std::string_view>({ "model", "application" });
    constexpr auto ErrorNames
        = std::to_array<std::string_view>({ "malformed", "invalid_value", "contradiction" });

    template <typename Enum, std::size_t Size>
    std::optional<Enum> enumeratorNamed(
        const std::array<std::string_view, Size>& names, std::string_view name)
    {
        auto found = std::find(names.begin(), names.end(), name);
        if (found == names.end())
            return std::nullopt;
        return static_cast<Enum>(found - names.begin());
    }

    struct ChangeApplier {
        SiteConfiguration& configuration;
        WallTime confirmedAt;

        void operator()(const SetEngine& change) const
        {
            EngineAssignment engine = change.engine;
            std::sort(engine.adapters.begin(), engine.adapters.end());
            engine.notBefore = this->confirmedAt + engine.startAfter;
            this->configuration.engines[engine.agent] = std::move(engine);
        }
        void operator()(const RemoveEngine& change) const { this->configuration.engines.erase(change.agent); }
        void operator()(const SetWorkspace& change) const
        {
            this->configuration.workspaces[change.workspace.id] = change.workspace;
        }
        void operator()(const RemoveWorkspace& change) const
        {
            this->configuration.workspaces.erase(change.id);
        }
        void operator()(const SetService& change) const
        {
            this->configuration.services[change.service.id] = change.service;
        }
        void operator()(const RemoveService& change) const { this->configuration.services.erase(change.id); }
        void operator()(const SetCommitment& change) const
        {
            this->configuration.commitment = change.commitment;
        }
    };

} // namespace

std::string_view nameOf(ConfigErrorKind kind) { return nameAt(ErrorNames, kind); }

std::string_view nameOf(EngineRole role) { return nameAt(RoleNames, role); }

std::string_view nameOf(Priority priority) { return nameAt(PriorityNames, priority); }

std::string_view nameOf(ServiceKind kind) { return nameAt(ServiceKindNames, kind); }

std::optional<EngineRole> engineRoleFrom(std::string_view name)
{
    return enumeratorNamed<EngineRole>(RoleNames, name);
}

std::optional<Priority> priorityFrom(std::string_view name)
{
    return enumeratorNamed<Priority>(PriorityNames, name);
}

std::optional<ServiceKind> serviceKindFrom(std::string_view name)
{
    return enumeratorNamed<ServiceKind>(ServiceKindNames, name);
}

const Workspace* SiteConfiguration::workspaceOfKey(std::string_view keySha256) const
{
    for (const auto& [id, workspace] : this->workspaces) {
        if (workspace.keySha256 == keySha256)
            return &workspace;
    }
    return nullptr;
}

SiteConfiguration withChanges(
    SiteConfiguration configuration, const std::vector<ConfigurationChange>& changes, WallTime confirmedAt)
{
    ChangeApplier applier { configuration, confirmedAt };
    for (const ConfigurationChange& change : changes)
        std::visit(applier, change);
    return configuration;
}

} // namespace peridotgrade
