// Parsing of an engine's responses.
#include "engine_protocol.h"

#include "peridotgrade/core/config/site_configuration.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <charconv>
#include <stdexcept>

namespace peridotgrade {

namespace json = boost::json;

namespace {

    constexpr int HexBase = 16;

    /// Applies `read` to the response's JSON object; any exception becomes a `Malformed` error.
    template <typename Result, typename Read>
    std::variant<Result, EngineError> readBody(const HttpResponse& response, Read read)
    {
        if (response.status != 200)
            return engineErrorFrom(response);
        try {
            json::value body = json::parse(response.body);
            return read(body.as_object());
        } catch (const std::exception& failure) {
            return EngineError { EngineErrorKind::Malformed, failure.what() };
        }
    }

    template <typename Number> Number numberAt(const json::object& object, std::string_view key)
    {
        return object.at(key).to_number<Number>();
    }

    std::string textAt(const json::object& object, std::string_view key)
    {
        return std::string { object.at(key).as_string() };
    }

    std::uint64_t hexNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        auto result = std::from_chars(text.data(), text.data() + text.size(), number, HexBase);
        if (result.ec != std::errc {})
            throw std::invalid_argument("not a hexadecimal number");
        return number;
    }

    std::vector<std::uint64_t> prefixesAt(const json::object& object, std::string_view key)
    {
        std::vector<std::uint64_t> prefixes;
        for (const json::value& name : object.at(key).as_array())
            prefixes.push_back(hexNumber(name.as_string()));
        return prefixes;
    }

    LoadedModel modelFrom(const json::object& object)
    {
        LoadedModel loaded;
        loaded.model = ModelId { textAt(object, "model") };
        loaded.version = textAt(object, "version");
        for (const json::value& adapter : object.at("adapters").as_array())
            loaded.adapters.emplace_back(adapter.as_string());
        return loaded;
    }

    StreamEvent eventFrom(std::string_view data)
    {
        try {
            json::value value = json::parse(data);
            const json::object& object = value.as_object();
            if (object.contains("index")) {
                StreamToken token;
                token.index = numberAt<std::uint32_t>(object, "index");
                token.text = textAt(object, "text");
                return token;
            }
            if (object.contains("error"))
                return EngineError { EngineErrorKind::Refused, std::string { data } };
            bool isStop = object.at("finish_reason").as_string() == "stop";
            return StreamEnd { isStop ? FinishReason::Stop : FinishReason::Length };
        } catch (const std::exception& failure) {
            return EngineError { EngineErrorKind::Malformed, failure.what() };
        }
    }

} // namespace

std::vector<StreamEvent> StreamEventReader::read(std::string_view part)
{
    constexpr std::string_view Prefix = "data: ";
    this->buffer += part;
    std::vector<StreamEvent> events;
    std::size_t at = 0;
    for (std::size_t end = this->buffer.find('\n'); end != std::string::npos;
         end = this->buffer.find('\n', at)) {
        std::string_view line = std::string_view { this->buffer }.substr(at, end - at);
        if (line.substr(0, Prefix.size()) == Prefix)
            events.push_back(eventFrom(line.substr(Prefix.size())));
        at = end + 1;
    }
    this->buffer.erase(0, at);
    return events;
}

std::variant<EnginePrefillDone, EngineError> readPrefill(const HttpResponse& response)
{
    return readBody<EnginePrefillDone>(response, [](const json::object& body) {
        EnginePrefillDone done;
        done.handle = KvHandle { textAt(body, "kv_handle") };
        done.kvBytes = numberAt<std::uint64_t>(body, "kv_bytes");
        done.cachedTokens = numberAt<std::uint32_t>(body, "cached_tokens");
        done.keptFor = std::chrono::milliseconds { numberAt<std::int64_t>(body, "kept_for_ms") };
        return done;
    });
}

std::variant<EngineListing, EngineError> readListing(const HttpResponse& response)
{
    return readBody<EngineListing>(response, [](const json::object& body) {
        EngineListing listing;
        for (const json::value& item : body.at("streams").as_array())
            listing.streams.emplace_back(textAt(item.as_object(), "stream"));
        return listing;
    });
}

std::variant<EngineState, EngineError> readState(const HttpResponse& response)
{
    return readBody<EngineState>(response, [](const json::object& body) {
        EngineState state;
        state.incarnation = Incarnation { numberAt<std::uint64_t>(body, "incarnation") };
        auto role = engineRoleFrom(textAt(body, "role"));
        if (!role)
            throw std::invalid_argument("unknown role");
        state.role = *role;
        for (const json::value& model : body.at("models").as_array())
            state.models.push_back(modelFrom(model.as_object()));
        for (const json::value& model : body.at("loading").as_array())
            state.loading.emplace_back(std::string { model.as_string() });
        state.fence = numberAt<std::uint64_t>(body, "fence");
        state.checksFence = body.at("checks_fence").as_bool();
        state.placesTotal = numberAt<std::uint32_t>(body, "places_total");
        state.kvTokensTotal = numberAt<std::uint64_t>(body, "kv_tokens_total");
        state.kvTokensPerPiece = numberAt<std::uint32_t>(body, "kv_tokens_per_piece");
        state.prefillTokensPerSecond = numberAt<double>(body, "prefill_tokens_per_second");
        return state;
    });
}

std::variant<CachePage, EngineError> readCacheEvents(const HttpResponse& response)
{
    return readBody<CachePage>(response, [](const json::object& body) {
        CachePage page;
        page.next = numberAt<std::uint64_t>(body, "next");
        for (const json::value& item : body.at("events").as_array()) {
            CacheChanged change;
            change.sequence = numberAt<std::uint64_t>(item.as_object(), "sequence");
            change.addedPrefixes = prefixesAt(item.as_object(), "added");
            change.evictedPrefixes = prefixesAt(item.as_object(), "evicted");
            page.changes.push_back(std::move(change));
        }
        return page;
    });
}

EngineUp engineUpFrom(const EngineState& state)
{
    EngineUp up;
    up.incarnation = state.incarnation;
    up.placesTotal = state.placesTotal;
    up.kvTokensTotal = state.kvTokensTotal;
    up.kvTokensPerPiece = state.kvTokensPerPiece;
    up.role = state.role;
    for (const LoadedModel& loaded : state.models)
        up.models.push_back(loaded.model);
    up.prefillTokensPerSecond = state.prefillTokensPerSecond;
    return up;
}

} // namespace peridotgrade
