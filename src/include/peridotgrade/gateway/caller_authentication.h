// Decides by its key whether a caller may use a route, and for which tenant.
#pragma once

#include "peridotgrade/core/serving/routing_configuration.h"
#include "peridotgrade/net/http_message.h"

#include <cstdint>
#include <string_view>

namespace peridotgrade {

enum class AuthenticationResult : std::uint8_t {
    /// The configuration has no tenants: callers' fields pass unchanged.
    NotRequired,
    /// A known key.
    Accepted,
    /// A public route, without a known key.
    Anonymous,
    MissingKey,
    MalformedField,
    UnknownKey,
};

/// `not_required`, `accepted`, `anonymous`, `missing_key`, `malformed_field` or `unknown_key`.
std::string_view nameOf(AuthenticationResult result);

/// The decision about one request. Never shows the key that it was made by.
class CallerAuthentication {
public:
    /// `configuration` and `route` are null if there is none; such requests are rejected for that reason. The
    /// tenant belongs to the configuration, which must outlive its use.
    CallerAuthentication(
        const RoutingConfiguration* configuration, const ServiceRoute* route, const HttpRequest& request);

    bool isAccepted() const { return this->decision <= AuthenticationResult::Anonymous; }
    AuthenticationResult result() const { return this->decision; }
    /// Null if there is none.
    const Tenant* tenant() const { return this->found; }
    /// Sets what servers learn of the caller, for every call that is made for the request.
    void applyTo(HttpRequest& message) const;

private:
    AuthenticationResult decision = AuthenticationResult::NotRequired;
    const Tenant* found = nullptr;
};

} // namespace peridotgrade
