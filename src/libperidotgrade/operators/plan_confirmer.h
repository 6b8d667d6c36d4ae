// Confirms a plan: appends the confirmation, reads it back, and settles lost answers.
#pragma once

#include "peridotgrade/core/config/confirmation_status.h"
#include "peridotgrade/net/http_message.h"
#include "peridotgrade/services/configuration_follower.h"
#include "peridotgrade/services/log_client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>

namespace peridotgrade {

/// One confirmation in progress, on one executor.
class PlanConfirmer {
public:
    PlanConfirmer(boost::asio::any_io_executor executor, Endpoint platform,
        const ConfigurationFollower& follower, Plan plan, std::string operatorName);

    const Plan& planToConfirm() const { return this->plan; }

    /// Returns the response for the operator, after at most `timeout` plus the duration of one append.
    boost::asio::awaitable<HttpResponse> run(std::chrono::milliseconds timeout);

private:
    ConfirmationStatus status() const;
    boost::asio::awaitable<void> append();
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

    boost::asio::any_io_executor executor;
    LogClient client;
    const ConfigurationFollower& follower;
    const Plan plan;
    const std::string operatorName;
    AppendResults appends;
};

} // namespace peridotgrade
