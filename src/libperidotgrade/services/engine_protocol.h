// Requests to an engine and the reading of its answers.
#pragma once

#include "peridotgrade/core/config/engine_state.h"
#include "peridotgrade/core/hosting/engine_command.h"
#include "peridotgrade/core/hosting/engine_event.h"
#include "peridotgrade/core/messages/stream_messages.h"
#include "peridotgrade/net/http_message.h"
#include "peridotgrade/services/engine_client.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace peridotgrade {

HttpRequest prefillRequest(const EnginePrefill& command);
HttpRequest decodeRequest(const EngineDecode& command);
HttpRequest cancelRequest(const EngineStreamId& stream);
HttpRequest listRequest();
HttpRequest stateRequest();
HttpRequest commandRequest(const ConfigurationCommand& command, const Endpoint& weightStore);
HttpRequest cacheEventsRequest(std::uint64_t from, std::chrono::milliseconds wait);

/// One event of a token stream.
struct StreamToken {
    std::uint32_t index = 0;
    std::string text;
};

/// The engine ended the stream by itself.
struct StreamEnd {
    FinishReason reason = FinishReason::Stop;
};

using StreamEvent = std::variant<StreamToken, StreamEnd, EngineError>;

/// Cuts server-sent events out of a body that comes in parts.
class StreamEventReader {
public:
    /// Events that `part` completes.
    std::vector<StreamEvent> read(std::string_view part);

private:
    std::string buffer;
};

/// Events of the engine's prefix cache, with the number to ask for next.
struct CachePage {
    std::vector<CacheChanged> changes;
    std::uint64_t next = 0;
};

/// The result of a prefill; `stream` and `exporter` are left for the caller.
std::variant<EnginePrefillDone, EngineError> readPrefill(const HttpResponse& response);
std::variant<EngineListing, EngineError> readListing(const HttpResponse& response);
std::variant<EngineState, EngineError> readState(const HttpResponse& response);
std::variant<CachePage, EngineError> readCacheEvents(const HttpResponse& response);

EngineUp engineUpFrom(const EngineState& state);

} // namespace peridotgrade
