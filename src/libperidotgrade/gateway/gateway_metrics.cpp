// Names and help texts of the gateway's metrics.
#include "peridotgrade/gateway/gateway_metrics.h"

#include <algorithm>

namespace peridotgrade {

namespace {
    /// Distributions hold times; a ratio counts as seconds.
    std::chrono::nanoseconds asSample(double ratio)
    {
        constexpr double MaxRatio = 1000;
        return std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(std::min(ratio, MaxRatio)));
    }
} // namespace

GatewayMetrics::GatewayMetrics(MetricsRegistry& registry)
    : registry(registry)
    , firstEvent(registry.distribution(
          { "peridot_gateway_first_event_seconds", "From arrival to first event", "", "" }))
    , answer(registry.distribution(
          { "peridot_gateway_answer_seconds", "From arrival to the whole answer", "", "" }))
    , reservationWait(registry.distribution(
          { "peridot_gateway_place_wait_seconds", "Wait for memory at an engine", "", "" }))
    , prefill(registry.distribution(
          { "peridot_gateway_prefill_seconds", "Prefill, as seen by the entry", "", "" }))
    , serverPace(registry.distribution({ "peridot_gateway_server_pace_ratio",
          "Expected time at servers that were chosen, by their usual and their reported speed; 1 is the "
          "median",
          "", "" }))
    , configurationDelayBound(registry.distribution({ "peridot_gateway_configuration_delay_bound_seconds",
          "Longest time that may have passed from the store's acknowledgement of a configuration to its use",
          "", "" }))
    , outputError(registry.distribution({ "peridot_gateway_output_estimate_ratio",
          "Output tokens of streams, divided by those that were expected", "", "" }))
{
}

void GatewayMetrics::addServerPace(double factor) { this->serverPace.add(asSample(factor)); }

void GatewayMetrics::addOutputError(double ratio) { this->outputError.add(asSample(ratio)); }

void GatewayMetrics::countRequest(const std::string& kind)
{
    this->registry.counter({ "peridot_gateway_requests_total", "Requests by kind of route", "kind", kind })
        .add();
}

void GatewayMetrics::countAuthentication(const std::string& result)
{
    this->registry
        .counter({ "peridot_gateway_authentications_total",
            "Requests to routes of a configuration with tenants, by what their callers' keys were found to "
            "be",
            "result", result })
        .add();
}

void GatewayMetrics::countOutcome(const std::string& outcome)
{
    this->registry.counter({ "peridot_gateway_outcomes_total", "Final answers", "outcome", outcome }).add();
}

void GatewayMetrics::countRefusal(const std::string& reason)
{
    this->registry.counter({ "peridot_gateway_refusals_total", "Rejected requests", "reason", reason }).add();
}

void GatewayMetrics::countDroppedRequest(bool isClosing)
{
    this->registry
        .counter({ "peridot_gateway_requests_dropped_total",
            "Requests of which bytes were read and whose connection was ended without a response", "phase",
            isClosing ? "closing" : "open" })
        .add();
}

void GatewayMetrics::countOwnAnswer(std::uint16_t status)
{
    this->registry
        .counter({ "peridot_gateway_own_answers_total",
            "Responses to callers that this process made, and no server", "status", std::to_string(status) })
        .add();
}

void GatewayMetrics::countRefusalByPriority(std::uint32_t urgency)
{
    this->registry
        .counter({ "peridot_gateway_refusals_by_priority_total",
            "Rejected requests by priority, 0 for the most urgent to 9", "priority",
            std::to_string(urgency) })
        .add();
}

void GatewayMetrics::countReservation(const std::string& result)
{
    this->registry
        .counter({ "peridot_gateway_reservations_total", "Reservations asked for", "result", result })
        .add();
}

void GatewayMetrics::countResumption(const std::string& origin)
{
    this->registry
        .counter({ "peridot_gateway_resumptions_total",
            "Streams that callers resume, by how their origin was found", "origin", origin })
        .add();
}

void GatewayMetrics::countPublishedOrigins(const std::string& result, std::size_t streams)
{
    this->registry
        .counter({ "peridot_gateway_published_streams_total", "Streams whose origin was sent to the store",
            "result", result })
        .add(streams);
}

void GatewayMetrics::countServerCrash(const std::string& evidence)
{
    this->registry
        .counter({ "peridot_gateway_server_crashes_total",
            "Servers that ended while requests of this entry ran, by how that was found", "evidence",
            evidence })
        .add();
}

void GatewayMetrics::countServerCheck(const std::string& purpose, const std::string& result)
{
    this->registry
        .counter({ "peridot_gateway_server_checks_total", "Checks whether a server has ended", "check",
            purpose + "/" + result })
        .add();
}

void GatewayMetrics::countQuarantined()
{
    this->registry.counter({ "peridot_gateway_quarantined_total", "Requests that were quarantined", "", "" })
        .add();
}

void GatewayMetrics::countQuotaDecision(const std::string& result)
{
    this->registry
        .counter({ "peridot_gateway_quota_decisions_total",
            "Requests of tenants with a quota, by what was charged or refused", "result", result })
        .add();
}

void GatewayMetrics::countQuotaGrant(const std::string& result)
{
    this->registry
        .counter({ "peridot_gateway_quota_grants_total",
            "Answers to entries that ask for tokens of an account", "result", result })
        .add();
}

void GatewayMetrics::countPeerNotice(const std::string& result)
{
    this->registry
        .counter({ "peridot_gateway_peer_notices_total",
            "Observations of servers to and from other entries, by type and what became of them", "result",
            result })
        .add();
}

void GatewayMetrics::countRetry(const std::string& service)
{
    this->registry
        .counter({ "peridot_gateway_retries_total", "Further sends of requests", "service", service })
        .add();
}

} // namespace peridotgrade
