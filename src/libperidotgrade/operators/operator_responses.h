// Responses of the operator API.
#pragma once

#include "peridotgrade/core/config/config_error.h"
#include "peridotgrade/core/config/confirmation_status.h"
#include "peridotgrade/net/http_message.h"
#include "peridotgrade/ops/settings/settings_error.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace peridotgrade {

HttpResponse jsonResponse(std::uint16_t status, const boost::json::value& body);
HttpResponse errorResponse(std::uint16_t status, const std::string& type, const std::string& message);
/// Lists all problems of a set of intents.
HttpResponse problemsResponse(const std::vector<ConfigError>& problems);
HttpResponse schemaResponse(const SettingsError& error);

HttpResponse inForceResponse(const Plan& plan, const PlanInForce& status);
HttpResponse voidResponse(const Plan& plan, const PlanVoid& status);
HttpResponse forgottenResponse(const Plan& plan, const PlanForgotten& status);
/// The response after the time limit of a confirmation. `mayBeAppended` is true if an append was not answered
/// or an acknowledged append has not been read back.
HttpResponse timeoutResponse(const Plan& plan, bool mayBeAppended);

HttpResponse statusResponse(const ConfigurationReplica& replica, bool isLogAvailable);
HttpResponse historyResponse(const ConfigurationReplica& replica);
HttpResponse configurationResponse(const ConfigurationReplica& replica);

} // namespace peridotgrade
