// Suspects of a request.
#include "peridotgrade/gateway/gateway_request.h"

namespace peridotgrade {

std::vector<Suspect> GatewayRequest::suspects() const
{
    std::vector<Suspect> result { this->fingerprint };
    for (Fingerprint part : this->promptParts)
        result.emplace_back(part, SuspectKind::PromptPart);
    return result;
}

} // namespace peridotgrade
