// Authenticates operators and dispatches their requests.
#include "peridotgrade/operators/operator_api.h"

#include "operator_responses.h"
#include "peridotgrade/core/base/key_hash.h"
#include "peridotgrade/core/config/intent_codec.h"
#include "peridotgrade/net/timer_driver.h"
#include "peridotgrade/operators/intents_schema.h"
#include "peridotgrade/ops/settings/schema_check.h"
#include "plan_confirmer.h"
#include "plan_store.h"

#include <boost/json/parse.hpp>

#include <optional>
#include <utility>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    constexpr std::string_view Prefix = "/operator/";
    constexpr std::string_view PlansPrefix = "/operator/plans/";
    constexpr std::string_view ConfirmSuffix = "/confirm";
    constexpr std::string_view BearerPrefix = "Bearer ";

    /// The plan id in a path under /operator/plans/; `suffix` is what follows it.
    PlanId planIdIn(std::string_view path, std::string_view suffix)
    {
        path.remove_prefix(PlansPrefix.size());
        path.remove_suffix(suffix.size());
        return PlanId { std::string { path } };
    }

} // namespace

class OperatorApi::Impl {
public:
    Impl(OperatorApiSettings settings, ConfigurationFollower& follower, std::function<PlanningView()> view,
        EventSink& events)
        : settings(std::move(settings))
        , follower(follower)
        , view(std::move(view))
        , events(events)
    {
    }

    asio::awaitable<HttpResponse> answer(const HttpRequest& request, asio::any_io_executor executor)
    {
        const OperatorCredential* credential = this->operatorOf(request);
        if (credential == nullptr)
            co_return errorResponse(401, "unauthorized", "an operator's key is needed");
        std::string_view path = request.path();
        bool isPlan = path.starts_with(PlansPrefix);
        bool isConfirm = isPlan && path.ends_with(ConfirmSuffix);
        if (request.method == "POST" && isConfirm)
            co_return co_await this->confirm(request, *credential, std::move(executor));
        if (request.method == "POST" && path == "/operator/intents")
            co_return this->planIntents(request);
        if (request.method == "GET" && isPlan)
            co_return this->showPlan(planIdIn(path, ""));
        if (request.method == "GET")
            co_return this->show(path);
        co_return errorResponse(404, "not_found", "no such operation");
    }

private:
    const OperatorCredential* operatorOf(const HttpRequest& request) const
    {
        std::string_view field = request.field("Authorization");
        if (!field.starts_with(BearerPrefix))
            return nullptr;
        field.remove_prefix(BearerPrefix.size());
        std::string hash = keySha256(field);
        for (const OperatorCredential& each : this->settings.operators) {
            if (isSameKeyHash(each.keySha256, hash))
                return &each;
        }
        return nullptr;
    }

    HttpResponse planIntents(const HttpRequest& request)
    {
        auto checked = parseChecked(request.body, "intents", intentsSchema());
        if (auto* error = std::get_if<SettingsError>(&checked))
            return schemaResponse(*error);
        auto intents = intentsFrom(std::get<boost::json::object>(checked));
        if (auto* error = std::get_if<ConfigError>(&intents))
            return errorResponse(400, std::string { nameOf(error->kind) }, error->detail);
        auto current = this->follower.current();
        if (!current->isReady)
            return errorResponse(503, "not_ready", "no configuration is known here yet");
        auto made = makePlan(
            current->configuration, current->version, std::get<std::vector<Intent>>(intents), this->view());
        if (auto* problems = std::get_if<std::vector<ConfigError>>(&made))
            return problemsResponse(*problems);
        Plan& plan = std::get<Plan>(made);
        HttpResponse response = jsonResponse(200, toJson(plan));
        this->record(EventKind::PlanMade, plan, plan.summary);
        this->plans.add(std::move(plan));
        return response;
    }

    HttpResponse showPlan(const PlanId& id) const
    {
        auto plan = this->plans.find(id);
        if (!plan)
            return errorResponse(404, "unknown_plan", "this process has made no such plan, or forgotten it");
        return jsonResponse(200, toJson(*plan));
    }

    HttpResponse show(std::string_view path) const
    {
        bool isLogAvailable = this->follower.isLogAvailable();
        HttpResponse response = errorResponse(404, "not_found", "no such operation");
        this->follower.withReplica([&](const ConfigurationReplica& replica) {
            if (path == "/operator/status")
                response = statusResponse(replica, isLogAvailable);
            if (path == "/operator/history")
                response = historyResponse(replica);
            if (path == "/operator/configuration")
                response = configurationResponse(replica);
        });
        return response;
    }

    /// The plan to confirm: from the body if it is not empty, else one made at this process.
    std::variant<Plan, HttpResponse> planOf(const HttpRequest& request, const PlanId& id) const
    {
        if (request.body.empty()) {
            auto plan = this->plans.find(id);
            if (plan)
                return std::move(*plan);
            return errorResponse(
                404, "unknown_plan", "this process has not made the plan: send it in the body");
        }
        boost::system::error_code failure;
        boost::json::value value = boost::json::parse(request.body, failure);
        if (failure)
            return errorResponse(400, "malformed", "the body is not JSON");
        auto plan = confirmablePlanFrom(value);
        if (auto* error = std::get_if<ConfigError>(&plan))
            return errorResponse(400, std::string { nameOf(error->kind) }, error->detail);
        if (std::get<Plan>(plan).id != id)
            return errorResponse(400, "invalid_value", "the body holds another plan than the path names");
        return std::move(std::get<Plan>(plan));
    }

    /// A confirmation that is ready to run, or an error response.
    std::variant<std::unique_ptr<PlanConfirmer>, HttpResponse> confirmerOf(const HttpRequest& request,
        const OperatorCredential& credential, asio::any_io_executor executor) const
    {
        auto found = this->planOf(request, planIdIn(request.path(), ConfirmSuffix));
        if (auto* refusal = std::get_if<HttpResponse>(&found))
            return std::move(*refusal);
        if (!this->follower.current()->isReady)
            return errorResponse(503, "not_ready", "no configuration is known here yet");
        return std::make_unique<PlanConfirmer>(std::move(executor), this->settings.platform, this->follower,
            std::move(std::get<Plan>(found)), credential.name);
    }

    asio::awaitable<HttpResponse> confirm(
        const HttpRequest& request, const OperatorCredential& credential, asio::any_io_executor executor)
    {
        auto confirmer = this->confirmerOf(request, credential, std::move(executor));
        if (auto* refusal = std::get_if<HttpResponse>(&confirmer))
            co_return std::move(*refusal);
        auto& running = std::get<std::unique_ptr<PlanConfirmer>>(confirmer);
        HttpResponse response = co_await running->run(this->settings.confirmTimeout);
        if (response.status == 200)
            this->record(EventKind::PlanConfirmed, running->planToConfirm(), credential.name);
        if (response.status == 409)
            this->record(EventKind::PlanVoid, running->planToConfirm(), credential.name);
        co_return response;
    }

    void record(EventKind kind, const Plan& plan, std::string detail)
    {
        TimelineEvent event;
        event.kind = kind;
        event.at = TimerDriver::now();
        event.subject = plan.id.raw();
        event.detail = std::move(detail);
        this->events.record(std::move(event));
    }

    const OperatorApiSettings settings;
    ConfigurationFollower& follower;
    const std::function<PlanningView()> view;
    EventSink& events;
    PlanStore plans;
};

OperatorApi::OperatorApi(OperatorApiSettings settings, ConfigurationFollower& follower,
    std::function<PlanningView()> view, EventSink& events)
    : impl(std::make_shared<Impl>(std::move(settings), follower, std::move(view), events))
{
}

OperatorApi::~OperatorApi() = default;

bool OperatorApi::serves(std::string_view path) { return path.starts_with(Prefix); }

asio::awaitable<void> OperatorApi::handle(HttpExchange& exchange)
{
    auto self = this->impl;
    HttpResponse response = co_await self->answer(exchange.request(), exchange.executor());
    co_await exchange.respond(std::move(response));
}

} // namespace peridotgrade
