// Counters and latencies of a gateway.
#pragma once

#include "peridotgrade/ops/metrics.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace peridotgrade {

/// Has a function for each metric, so that the code that counts need not know its name and labels.
/// Thread safe.
class GatewayMetrics {
public:
    explicit GatewayMetrics(MetricsRegistry& registry);

    void countRequest(const std::string& kind);
    void countAuthentication(const std::string& result);
    void countOutcome(const std::string& outcome);
    void countRefusal(const std::string& reason);
    /// `urgency` is 0 to 9.
    void countRefusalByPriority(std::uint32_t urgency);
    void countDroppedRequest(bool isClosing);
    /// A response to a caller that no server has made.
    void countOwnAnswer(std::uint16_t status);
    void countReservation(const std::string& result);
    void countRetry(const std::string& service);
    void countResumption(const std::string& origin);
    void countPublishedOrigins(const std::string& result, std::size_t streams);
    void countServerCrash(const std::string& evidence);
    /// `purpose` is why it was asked whether a server has ended, and `result` what was found.
    void countServerCheck(const std::string& purpose, const std::string& result);
    void countQuarantined();
    void countQuotaDecision(const std::string& result);
    void countQuotaGrant(const std::string& result);
    /// `result` is the type of a message between entries and what became of it.
    void countPeerNotice(const std::string& result);
    void addFirstEvent(std::chrono::nanoseconds time) { this->firstEvent.add(time); }
    void addAnswer(std::chrono::nanoseconds time) { this->answer.add(time); }
    void addReservationWait(std::chrono::nanoseconds time) { this->reservationWait.add(time); }
    /// The longest time that may have passed from the acknowledgement of a configuration to its use.
    void addConfigurationDelayBound(std::chrono::nanoseconds time)
    {
        this->configurationDelayBound.add(time);
    }
    void addPrefill(std::chrono::nanoseconds time) { this->prefill.add(time); }
    /// Expected factor of the usual time at a server that was chosen.
    void addServerPace(double factor);
    /// Output tokens of an answer, divided by those that were expected.
    void addOutputError(double ratio);

private:
    MetricsRegistry& registry;
    Distribution& firstEvent;
    Distribution& answer;
    Distribution& reservationWait;
    Distribution& prefill;
    Distribution& serverPace;
    Distribution& configurationDelayBound;
    Distribution& outputError;
};

} // namespace peridotgrade
