// Intents: the changes that operators ask for.
#pragma once

#include "peridotgrade/core/config/site_configuration.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

/// Serve a version of a model with the given number of engines in each role.
struct ServeModel {
    ServiceId service;
    ModelId model;
    std::string modelVersion;
    std::vector<std::string> adapters;
    std::uint32_t prefillEngines = 0;
    std::uint32_t decodeEngines = 0;
    std::uint32_t mixedEngines = 0;
    /// 0 if unknown; the plan then does not predict how long loads take.
    std::uint64_t weightBytes = 0;
    /// Fraction of a pool's engines (service and role) that may change at the same time, in (0, 1].
    double maxShareAtOnce = 0.25;
};

/// Stop serving a model and release its engines.
struct StopModel {
    ServiceId service;
    ModelId model;
};

/// Add or change a workspace with its priority and limits.
struct AdmitWorkspace {
    Workspace workspace;
};

struct DismissWorkspace {
    WorkspaceId id;
};

/// Make a service known to callers.
struct OfferService {
    ServiceId id;
    ServiceKind kind = ServiceKind::Model;
};

struct WithdrawService {
    ServiceId id;
};

/// Give a service a fraction of the committed capacity; engines are added or released to match it.
struct ShareCommitment {
    ServiceId service;
    double share = 0;
};

/// Set the committed spend for each period.
struct OweCommitment {
    Commitment commitment;
};

using Intent = std::variant<ServeModel, StopModel, AdmitWorkspace, DismissWorkspace, OfferService,
    WithdrawService, ShareCommitment, OweCommitment>;

} // namespace peridotgrade
