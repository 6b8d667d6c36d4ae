// Orders that bring an engine to its assignment.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/messages/session_messages.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotgrade {

enum class AssignedOrderKind : std::uint8_t { Load, Unload, ChangeRole };

std::string_view nameOf(AssignedOrderKind kind);

/// One order to an engine, as the configuration in force asks for it.
struct AssignedOrder {
    /// The fencing number: the version of the configuration.
    ConfigVersion fence;
    AssignedOrderKind kind = AssignedOrderKind::Load;
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
