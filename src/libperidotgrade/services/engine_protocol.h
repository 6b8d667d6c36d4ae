// HTTP requests to an engine and the parsing of its responses.
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

/// One token of a stream.
struct StreamToken {
    std::uint32_t index = 0;
    std::string text;
};

/// The engine ended the stream normally.
struct StreamEnd {
    FinishReason reason = FinishReason::Stop;
};

using StreamEvent = std::variant<StreamToken, StreamEnd, EngineError>;

/// Extracts server-sent events from a body that arrives in parts.
class StreamEventReader {
public:
    /// A line holds one token and its fields.
    static constexpr std::size_t MaxLineBytes = 256 * 1024;

    /// Returns the events that `part` completes.
    std::vector<StreamEvent> read(std::string_view part);
    /// The bytes after the last complete line are more than a line may have. The stream must end here.
    bool isLineTooLong() const { return this->buffer.size() > MaxLineBytes; }

private:
    std::string buffer;
};

/// Events of the engine's prefix cache, with the number from which to continue.
struct CachePage {
    std::vector<CacheChanged> changes;
    std::uint64_t next = 0;
};

/// Parses the result of a prefill; the caller has to set `stream` and `exporter`.
std::variant<EnginePrefillDone, EngineError> readPrefill(const HttpResponse& response);
std::variant<EngineListing, EngineError> readListing(const HttpResponse& response);
std::variant<EngineState, EngineError> readState(const HttpResponse& response);
std::variant<CachePage, EngineError> readCacheEvents(const HttpResponse& response);

EngineUp engineUpFrom(const EngineState& state);

} // namespace peridotgrade
