// Content and suspects of a request.
#include "peridotgrade/gateway/gateway_request.h"

namespace peridotgrade {

RequestContent GatewayRequest::content() const
{
    return { this->tenant, this->message.method, this->host, this->message.target,
        this->body ? std::string_view { *this->body } : std::string_view {} };
}

std::vector<Suspect> GatewayRequest::suspects() const
{
    std::vector<Suspect> result { this->fingerprint };
    for (Fingerprint part : this->promptParts)
        result.emplace_back(part, SuspectKind::PromptPart);
    return result;
}

} // namespace peridotgrade
