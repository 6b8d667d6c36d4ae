// Codec of the messages on quotas between gateways.
#pragma once

#include "peridotgrade/core/admission/quota_grant.h"
#include "peridotgrade/core/admission/quota_request.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace peridotgrade {

/// A frame fits one datagram of this size.
constexpr std::size_t MaxQuotaFrameBytes = 1200;

using QuotaMessage = std::variant<QuotaRequest, QuotaGrant>;

std::string encodeQuotaMessage(const QuotaMessage& message);
/// Nothing if the bytes are no complete message or a number in it is out of range.
std::optional<QuotaMessage> decodeQuotaMessage(std::string_view bytes);

} // namespace peridotgrade
