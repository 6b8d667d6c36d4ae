// Looks up a caller's key and sets the field with its tenant.
#include "peridotgrade/gateway/caller_authentication.h"

#include "peridotgrade/core/base/name_table.h"
#include "platform/caller_key.h"
#include "platform/field_rules.h"

#include <array>

namespace peridotgrade {

std::string_view nameOf(AuthenticationResult result)
{
    constexpr std::array<std::string_view, 6> Names { "not_required", "accepted", "anonymous", "missing_key",
        "malformed_field", "unknown_key" };
    return nameAt(Names, result);
}

CallerAuthentication::CallerAuthentication(
    const RoutingConfiguration* configuration, const ServiceRoute* route, const HttpRequest& request)
{
    if (configuration == nullptr || route == nullptr || !configuration->requiresKeys())
        return;
    CallerKey shown = callerKeyOf(request);
    if (shown.state == CallerKey::State::Present)
        this->found = configuration->tenantOfKey(shown.key);
    if (this->found != nullptr)
        this->decision = AuthenticationResult::Accepted;
    else if (route->isPublic)
        this->decision = AuthenticationResult::Anonymous;
    else if (shown.state == CallerKey::State::Missing)
        this->decision = AuthenticationResult::MissingKey;
    else if (shown.state == CallerKey::State::Malformed)
        this->decision = AuthenticationResult::MalformedField;
    else
        this->decision = AuthenticationResult::UnknownKey;
}

void CallerAuthentication::applyTo(HttpRequest& message) const
{
    if (this->decision == AuthenticationResult::NotRequired)
        return;
    setTenantField(message.fields, this->found != nullptr ? &this->found->name : nullptr);
}

} // namespace peridotgrade
