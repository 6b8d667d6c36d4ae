// Appends a confirmation to the log until the replica shows how it ended or the time limit is over.
#include "plan_confirmer.h"

#include "operator_responses.h"
#include "peridotgrade/net/timer_driver.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>
#include <vector>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds AppendTimeout { 2'000 };
    constexpr std::chrono::milliseconds AppendRetryDelay { 200 };
    constexpr std::chrono::milliseconds ReadBackInterval { 10 };

} // namespace

PlanConfirmer::PlanConfirmer(asio::any_io_executor executor, Endpoint platform,
    const ConfigurationFollower& follower, Plan plan, std::string operatorName)
    : executor(executor)
    , client(std::move(executor), std::move(platform))
    , follower(follower)
    , plan(std::move(plan))
    , operatorName(std::move(operatorName))
{
}

ConfirmationStatus PlanConfirmer::status() const
{
    ConfirmationStatus result;
    this->follower.withReplica([&](const ConfigurationReplica& replica) {
        result = confirmationStatusOf(replica, this->plan, this->appends);
    });
    return result;
}

asio::awaitable<HttpResponse> PlanConfirmer::run(std::chrono::milliseconds timeout)
{
    TimePoint deadline = TimerDriver::now() + timeout;
    while (true) {
        ConfirmationStatus status = this->status();
        if (auto* inForce = std::get_if<PlanInForce>(&status))
            co_return inForceResponse(this->plan, *inForce);
        if (auto* voided = std::get_if<PlanVoid>(&status))
            co_return voidResponse(this->plan, *voided);
        if (auto* forgotten = std::get_if<PlanForgotten>(&status))
            co_return forgottenResponse(this->plan, *forgotten);
        if (TimerDriver::now() >= deadline)
            break;
        if (std::holds_alternative<AppendNeeded>(status))
            co_await this->append();
        else
            co_await this->pause(ReadBackInterval);
    }
    bool mayBeAppended = this->appends.acknowledged.has_value() || this->appends.hasUnansweredAppend;
    co_return timeoutResponse(this->plan, mayBeAppended);
}

asio::awaitable<void> PlanConfirmer::append()
{
    std::vector<std::string> records;
    records.push_back(encodeRecord(confirmationOf(this->plan, this->operatorName)));
    auto result = co_await this->client.append("configuration", std::move(records), AppendTimeout);
    if (auto* offset = std::get_if<LogOffset>(&result)) {
        this->appends.acknowledged = *offset;
        co_return;
    }
    bool isRefused = std::get<LogError>(result).kind == LogErrorKind::Refused;
    this->appends.hasUnansweredAppend = this->appends.hasUnansweredAppend || !isRefused;
    co_await this->pause(AppendRetryDelay);
}

asio::awaitable<void> PlanConfirmer::pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(this->executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace peridotgrade
