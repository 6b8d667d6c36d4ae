// Shares the origins of streams with the other entries through a topic of the store.
#pragma once

#include "peridotgrade/core/serving/routing_configuration.h"
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

namespace peridotgrade {

/// Finds the origin of a stream that a caller resumes, whichever entry began it and whether that one still
/// runs. A stream goes on only where its origin is known: this entry or a record in the store names it, or
/// all streams of its service are known to be of one version (core/serving/version_history.h). While streams
/// may have begun at several versions, or their route has several services, an entry appends the origins of
/// its own to a topic, several at once; entries read the topic only when a caller resumes a stream that they
/// do not know. Runs on the gateway's thread.
class StreamOriginLog {
public:
    /// What is known of the stream that a request resumes.
    struct Finding {
        /// Nothing if the stream must not go on.
        std::optional<StreamOrigin> origin;
        /// `own`, `published`, `content`, `only_version`, `ambiguous`, `not_recorded` or `store_unavailable`.
        std::string_view evidence;
        /// How long the origin has been known; nothing if it is on no record.
        std::optional<Duration> age;
    };

    StreamOriginLog(GatewayState& state, StoreClient& store);

    /// A resumable stream has delivered its first event here.
    void noteBegun(const GatewayRequest& request, const ServiceRoute& route, const StreamOrigin& origin);
    /// A stream was delivered completely.
    void noteCompleted(const GatewayRequest& request);
    /// The origin of the stream that the request resumes.
    boost::asio::awaitable<Finding> originOf(const GatewayRequest& request, const ServiceRoute& route);

private:
    struct Reading;

    /// The origin of a stream that is on no record; nothing if streams of the route may have several.
    std::optional<StreamOrigin> onlyOrigin(const ServiceRoute& route) const;
    /// The origin of the streams of equal requests, for a caller that does not name its attempt while the
    /// store is away and this entry knows one version only. Beside several versions it would not be shown: an
    /// equal stream may have begun elsewhere that is not on record yet.
    Finding findByContent(const GatewayRequest& request) const;
    Finding noteFinding(Finding finding);
    /// Reads the topic to its end in a read that begins after this call. Calls at the same time share one
    /// read.
    boost::asio::awaitable<bool> refresh();
    boost::asio::awaitable<bool> readToEnd();
    bool isMixed(const ServiceId& service) const;
    /// True if a stream of the route can be resumed at other entries only if it is on record.
    bool needsRecords(const ServiceRoute& route) const;
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
