// The configuration of a site: services, engine assignments, workspaces and the spend commitment.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/messages/reservation_messages.h"
#include "peridotgrade/core/messages/session_messages.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// What one agent's engine serves. Lists are kept sorted, so that equal assignments compare equal.
struct EngineAssignment {
    AgentId agent;
    ServiceId service;
    ModelId model;
    std::string modelVersion;
    std::vector<std::string> adapters;
    EngineRole role = EngineRole::Mixed;
    /// Size of the model's weights; 0 if unknown. Used to predict how long a load takes.
    std::uint64_t weightBytes = 0;
    /// The agent begins this long after the confirmation was appended, so that not all engines of a pool
    /// change at once and loads do not exceed the weight store's throughput.
    std::chrono::milliseconds startAfter { 0 };
    /// Append time of the confirmation plus `startAfter`; set by `withChanges`.
    WallTime notBefore;

    friend bool operator==(const EngineAssignment&, const EngineAssignment&) = default;
};

/// A caller's workspace. A rate of 0 means that the workspace has no rate limit of its own.
struct Workspace {
    WorkspaceId id;
    /// SHA-256 of the callers' API key, in hexadecimal; the key itself is not stored.
    std::string keySha256;
    Priority priority = Priority::Normal;
    double requestsPerSecond = 0;
    double outputTokensPerSecond = 0;
    /// Weight of this workspace when a service is short of capacity.
    double share = 1;

    friend bool operator==(const Workspace&, const Workspace&) = default;
};

enum class ServiceKind : std::uint8_t { Model, Application };

/// A service offered to callers.
struct ServiceConfiguration {
    ServiceId id;
    ServiceKind kind = ServiceKind::Model;
    /// Fraction of the committed capacity for this service, in [0, 1].
    double committedShare = 0;

    friend bool operator==(const ServiceConfiguration&, const ServiceConfiguration&) = default;
};

/// The spend that the site has committed to its provider for each period, used or not.
struct Commitment {
    std::uint32_t periodDays = 30;
    /// In the smallest unit of the currency.
    std::uint64_t spendMinorUnits = 0;
    /// Price of one engine for an hour, in the same unit.
    std::uint64_t engineHourMinorUnits = 0;

    friend bool operator==(const Commitment&, const Commitment&) = default;
};

/// Everything that operators configure. Nodes at the same version have equal configurations.
struct SiteConfiguration {
    std::map<AgentId, EngineAssignment> engines;
    std::map<WorkspaceId, Workspace> workspaces;
    std::map<ServiceId, ServiceConfiguration> services;
    Commitment commitment;

    /// The workspace whose key has this SHA-256 (hexadecimal), or null.
    const Workspace* workspaceOfKey(std::string_view keySha256) const;

    friend bool operator==(const SiteConfiguration&, const SiteConfiguration&) = default;
};

std::string_view nameOf(EngineRole role);
std::string_view nameOf(Priority priority);
std::string_view nameOf(ServiceKind kind);
std::optional<EngineRole> engineRoleFrom(std::string_view name);
std::optional<Priority> priorityFrom(std::string_view name);
std::optional<ServiceKind> serviceKindFrom(std::string_view name);

} // namespace peridotgrade
