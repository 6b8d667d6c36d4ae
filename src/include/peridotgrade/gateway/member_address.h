// Address of a member of the group of entries.
#pragma once

#include "peridotgrade/net/endpoint.h"

#include <optional>
#include <string>
#include <string_view>

namespace peridotgrade {

/// The address is what follows the last `@` of a member's name.
inline std::optional<Endpoint> memberAddress(const std::string& member)
{
    std::size_t at = member.rfind('@');
    return at == std::string::npos ? std::nullopt : parseEndpoint(std::string_view { member }.substr(at + 1));
}

} // namespace peridotgrade
