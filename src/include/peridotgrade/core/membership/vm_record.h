// One record of the platform's VM list.
#pragma once

#include "peridotgrade/core/base/ids.h"

#include <cstdint>
#include <string>

namespace peridotgrade {

/// What a VM runs.
enum class VmKind : std::uint8_t { Engine, Application, Entry };

enum class VmState : std::uint8_t { Live, Leaving };

/// A VM as the list reports it. The list may lag behind the actual state.
struct VmRecord {
    /// Name of the VM; an agent's id is its VM's name.
    std::string name;
    /// Address (`ip:port`) at which its peridot process accepts connections of other peridot processes.
    std::string address;
    DataCentreId dataCentre;
    ServiceId service;
    VmKind kind = VmKind::Engine;
    VmState state = VmState::Live;

    friend bool operator==(const VmRecord&, const VmRecord&) = default;
};

} // namespace peridotgrade
