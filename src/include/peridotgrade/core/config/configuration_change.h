// The changes to the configuration that a confirmed plan lists.
#pragma once

#include "peridotgrade/core/config/site_configuration.h"

#include <variant>
#include <vector>

namespace peridotgrade {

struct SetEngine {
    EngineAssignment engine;

    friend bool operator==(const SetEngine&, const SetEngine&) = default;
};

struct RemoveEngine {
    AgentId agent;

    friend bool operator==(const RemoveEngine&, const RemoveEngine&) = default;
};

struct SetWorkspace {
    Workspace workspace;

    friend bool operator==(const SetWorkspace&, const SetWorkspace&) = default;
};

struct RemoveWorkspace {
    WorkspaceId id;

    friend bool operator==(const RemoveWorkspace&, const RemoveWorkspace&) = default;
};

struct SetService {
    ServiceConfiguration service;

    friend bool operator==(const SetService&, const SetService&) = default;
};

struct RemoveService {
    ServiceId id;

    friend bool operator==(const RemoveService&, const RemoveService&) = default;
};

struct SetCommitment {
    Commitment commitment;

    friend bool operator==(const SetCommitment&, const SetCommitment&) = default;
};

using ConfigurationChange = std::variant<SetEngine, RemoveEngine, SetWorkspace, RemoveWorkspace, SetService,
    RemoveService, SetCommitment>;

/// The configuration with the changes applied in order; `confirmedAt` is when the confirmation was appended.
SiteConfiguration withChanges(
    SiteConfiguration configuration, const std::vector<ConfigurationChange>& changes, WallTime confirmedAt);

} // namespace peridotgrade
