// Shares the origins of streams with the other entries through a topic of the store.
#pragma once

#include "peridotgrade/core/serving/stream_origins.h"
#include "peridotgrade/gateway/gateway_request.h"
#include "peridotgrade/gateway/gateway_state.h"
#include "platform/store_client.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace peridotgrade {

/// Finds the origin of a stream that a caller resumes, whichever entry began it and whether that one still
/// runs. While servers of several software versions may have begun streams, an entry appends the origins of
/// its own to a topic, several at once; entries read the topic only when a caller resumes a stream that they
/// do not know. Nothing is written while all servers of a service have one version. Runs on the gateway's
/// thread.
class StreamOriginLog {
public:
    /// What is known of the stream that a request resumes.
    struct Finding {
        /// Nothing if the stream must not go on.
        std::optional<StreamOrigin> origin;
        /// `own`, `published`, `only_version`, `not_recorded` or `store_unavailable`.
        std::string_view evidence;
        /// How long the origin has been known; nothing if it is on no record.
        std::optional<Duration> age;
    };

    StreamOriginLog(GatewayState& state, StoreClient& store);

    /// A resumable stream has delivered its first event.
    void noteBegun(const std::string& attempt, const StreamOrigin& origin);
    /// A stream was delivered completely.
    void noteCompleted(const GatewayRequest& request);
    /// The origin of the stream that the request resumes. A stream of which nothing is on record is one of
    /// the only version of `service`; if there are several versions, or the list of servers may be out of
    /// date, nothing is returned and the stream must not go on.
    boost::asio::awaitable<Finding> originOf(const GatewayRequest& request, ServiceId service);

private:
    struct Reading;
    enum class Missing : std::uint8_t {
        /// The topic was read and has no record of the stream.
        NotRecorded,
        /// The topic could not be read.
        StoreUnavailable,
    };

    boost::asio::awaitable<std::variant<KnownOrigin, Missing>> find(const std::string& attempt, bool isMixed);
    /// Reads the topic to its end in a read that begins after this call. Calls at the same time share one
    /// read.
    boost::asio::awaitable<bool> refresh();
    boost::asio::awaitable<bool> readToEnd();
    bool isMixed(const ServiceId& service) const;
    std::chrono::milliseconds publishInterval() const;
    void publishSoon();
    boost::asio::awaitable<void> publish();
    void enterEra(std::uint64_t newEra);

    GatewayState& state;
    StoreClient& store;
    StreamOrigins origins;
    /// Next record to read.
    LogOffset next;
    std::uint64_t era = 0;
    bool isPublishing = false;
    /// The read that is in progress.
    std::shared_ptr<Reading> current;
};

} // namespace peridotgrade
