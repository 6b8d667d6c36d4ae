// What an engine says about itself, and what it is ordered to do.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/messages/session_messages.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// A model that an engine has loaded; it has one version of each.
struct LoadedModel {
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;

    friend bool operator==(const LoadedModel&, const LoadedModel&) = default;
};

/// An engine's state as read from it.
struct EngineState {
    Incarnation incarnation;
    EngineRole role = EngineRole::Mixed;
    std::vector<LoadedModel> models;
    std::vector<ModelId> loading;
    /// The highest fencing number seen by an engine that checks them.
    ConfigVersion fence;
    bool checksFence = false;

    const LoadedModel* modelNamed(const ModelId& model) const;
    bool isLoading(const ModelId& model) const;
};

enum class EngineOrderKind : std::uint8_t { Load, Unload, ChangeRole };

std::string_view nameOf(EngineOrderKind kind);

/// One order to an engine.
struct EngineOrder {
    /// The fencing number: the version of the configuration that asks for it.
    ConfigVersion fence;
    EngineOrderKind kind = EngineOrderKind::Load;
    ModelId model;
    std::string modelVersion;
    /// Empty for a load of the model itself.
    std::string adapter;
    EngineRole role = EngineRole::Mixed;
};

/// How an engine answered an order.
enum class OrderAnswer : std::uint8_t {
    Taken,
    /// The engine has seen a higher fencing number.
    StaleFence,
    /// Not taken, for another reason.
    Refused,
    /// No answer: the order may have been taken, or may still arrive.
    Lost,
};

} // namespace peridotgrade
