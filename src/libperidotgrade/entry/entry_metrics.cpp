// Registration of the request metrics of an entry.
#include "entry_metrics.h"

namespace peridotgrade {

EntryMetrics::EntryMetrics(MetricsRegistry& registry)
    : registry(registry)
    , modelRequests(
          registry.counter({ "peridot_requests_total", "Requests admitted to a router.", "kind", "model" }))
    , calls(registry.counter({ "peridot_requests_total", "Requests admitted to a router.", "kind", "call" }))
    , cancelled(registry.counter(
          { "peridot_requests_cancelled_total", "Requests whose caller went away.", "", "" }))
    , withinTargets(registry.counter(
          { "peridot_goodput_total", "Whole model answers within both latency targets.", "", "" }))
    , tokens(registry.counter({ "peridot_tokens_total", "Tokens sent to callers.", "", "" }))
    , malformedRequests(registry.counter(
          { "peridot_malformed_requests_total", "Requests that could not be understood.", "", "" }))
    , unauthorizedRequests(registry.counter(
          { "peridot_unauthorized_requests_total", "Requests without the key of a workspace.", "", "" }))
    , firstToken(registry.distribution(
          { "peridot_first_token_seconds", "Time from a request's arrival to its first token.", "", "" }))
    , interToken(registry.distribution(
          { "peridot_inter_token_seconds", "Time between the tokens of an answer.", "", "" }))
{
}

void EntryMetrics::countOutcome(Outcome outcome)
{
    std::string label { nameOf(outcome) };
    this->registry.counter({ "peridot_outcomes_total", "Final answers by outcome.", "outcome", label }).add();
}

void EntryMetrics::countRefusal(RefusalReason reason)
{
    std::string label { nameOf(reason) };
    this->registry.counter({ "peridot_refusals_total", "Requests refused, by reason.", "reason", label })
        .add();
}

} // namespace peridotgrade
