// What operators wish for.
#pragma once

#include "peridotgrade/core/config/site_configuration.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

/// Serve a version of a model, with so many engines in each role.
struct ServeModel {
    ServiceId service;
    ModelId model;
    std::string modelVersion;
    std::vector<std::string> adapters;
    std::uint32_t prefillEngines = 0;
    std::uint32_t decodeEngines = 0;
    std::uint32_t mixedEngines = 0;
    /// 0 if not known; then the plan cannot tell how long loads take.
    std::uint64_t weightBytes = 0;
    /// The part of the service's engines that may change at the same time, in (0, 1].
    double maxShareAtOnce = 0.25;
};

/// Stop serving a model; its engines become free.
struct StopModel {
    ServiceId service;
    ModelId model;
};

/// Add or change a workspace: who comes first, and limits.
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

/// Give a service a part of the committed capacity; its engines are added or freed to fit.
struct ShareCommitment {
    ServiceId service;
    double share = 0;
};

/// The spend owed for each period.
struct OweCommitment {
    Commitment commitment;
};

using Intent = std::variant<ServeModel, StopModel, AdmitWorkspace, DismissWorkspace, OfferService,
    WithdrawService, ShareCommitment, OweCommitment>;

} // namespace peridotgrade
