// The operators' HTTP interface: intents, plans, confirmations, history.
#pragma once

#include "peridotgrade/core/base/timeline_event.h"
#include "peridotgrade/core/config/planner.h"
#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/http_server.h"
#include "peridotgrade/ops/settings/entry_settings.h"
#include "peridotgrade/services/configuration_follower.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace peridotgrade {

struct OperatorApiSettings {
    Endpoint platform;
    std::vector<OperatorCredential> operators;
    /// How long a confirmation is tried before the operator is told that it is undecided or not confirmed.
    std::chrono::milliseconds confirmTimeout { 10'000 };
};

/// Serves the paths under `/operator/`, for operators with a credential (`Authorization: Bearer KEY`):
///
/// - `POST /operator/intents`: the plan for a set of intents; changes nothing.
/// - `GET /operator/plans/ID`: a plan made at this process.
/// - `POST /operator/plans/ID/confirm`: confirms it. The body may hold the plan, so that any entry can
/// confirm
///   what another has planned; its id binds its content.
/// - `GET /operator/status`, `/operator/history`, `/operator/configuration`.
///
/// A confirmation is answered with its `outcome`: `in_force` (200), `void` (409: another plan was confirmed
/// first), `forgotten` (410: its base was left long ago; it does not take effect any more, but whether it
/// once did is not remembered), `not_confirmed` (503: surely nothing was appended) or `undecided` (202: the
/// log's answer was lost; asking again settles it). Thread safe.
class OperatorApi {
public:
    /// `view` gives what a plan depends on besides the configuration.
    OperatorApi(OperatorApiSettings settings, ConfigurationFollower& follower,
        std::function<PlanningView()> view, EventSink& events);
    ~OperatorApi();
    OperatorApi(const OperatorApi&) = delete;
    OperatorApi& operator=(const OperatorApi&) = delete;

    static bool serves(std::string_view path);
    boost::asio::awaitable<void> handle(HttpExchange& exchange);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
