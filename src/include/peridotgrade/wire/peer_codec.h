// Codec of the observations that gateways send each other.
#pragma once

#include "peridotgrade/core/serving/end_notice.h"
#include "peridotgrade/core/serving/pace_digest.h"
#include "peridotgrade/core/serving/role_notice.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace peridotgrade {

/// First byte of these messages: their version. Messages on quotas begin with the header of a Thrift field,
/// of which the lower half is never 15.
constexpr std::uint8_t PeerMessageVersion = 0x1f;
/// A message fits one datagram of this size.
constexpr std::size_t MaxPeerMessageBytes = 1200;

using PeerMessage = std::variant<RoleNotice, EndNotice, PaceDigest>;

/// The version, the type and a Thrift struct.
std::string encodePeerMessage(const PeerMessage& message);
/// Nothing if the bytes are no complete message of this version. Numbers other than enumerators are not
/// checked.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace peridotgrade
