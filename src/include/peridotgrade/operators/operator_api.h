// HTTP API for operators: intents, plans, confirmations, history.
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
    /// Time limit of a confirmation; after it the outcome is `undecided` or `not_confirmed`.
    std::chrono::milliseconds confirmTimeout { 10'000 };
};

/// Serves the paths under `/operator/` to operators with a valid key (`Authorization: Bearer KEY`):
///
/// - `POST /operator/intents`: makes the plan for a set of intents; changes nothing.
/// - `GET /operator/plans/ID`: returns a plan made at this process.
/// - `POST /operator/plans/ID/confirm`: confirms a plan. The body may contain the plan, so that any entry can
///   confirm a plan made by another one; the id is derived from the plan's content.
/// - `GET /operator/status`, `/operator/history`, `/operator/configuration`.
///
/// The response to a confirmation contains its `outcome`:
///
/// - `in_force` (200).
/// - `void` (409): another plan was confirmed first.
/// - `forgotten` (410): the base version is so old that the history no longer tells whether the plan once
///   took effect; it can no longer take effect.
/// - `not_confirmed` (503): nothing was appended.
/// - `undecided` (202): an append was not answered or not read back in time; a repeated request settles it.
///
/// Thread safe.
class OperatorApi {
public:
    /// `view` supplies what a plan depends on besides the configuration.
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
