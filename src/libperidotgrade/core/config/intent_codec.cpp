// Decodes intents from JSON, one function for each kind.
#include "peridotgrade/core/config/intent_codec.h"

#include "value_json.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <utility>

namespace peridotgrade {

namespace json = boost::json;

namespace {

    using IntentResult = std::variant<Intent, ConfigError>;

    std::uint32_t countOf(JsonReader& reader, std::string_view key)
    {
        return static_cast<std::uint32_t>(reader.integerOr(key, 0));
    }

    IntentResult serveModelFrom(JsonReader& reader)
    {
        ServeModel intent;
        intent.service = ServiceId { reader.text("service") };
        intent.model = ModelId { reader.text("model") };
        intent.modelVersion = reader.text("modelVersion");
        intent.adapters = reader.texts("adapters");
        std::sort(intent.adapters.begin(), intent.adapters.end());
        intent.prefillEngines = countOf(reader, "prefillEngines");
        intent.decodeEngines = countOf(reader, "decodeEngines");
        intent.mixedEngines = countOf(reader, "mixedEngines");
        intent.weightBytes = reader.integerOr("weightBytes", 0);
        intent.maxShareAtOnce = reader.numberOr("maxShareAtOnce", intent.maxShareAtOnce);
        return readResult<Intent>(reader, std::move(intent));
    }

    IntentResult stopModelFrom(JsonReader& reader)
    {
        StopModel intent { ServiceId { reader.text("service") }, ModelId { reader.text("model") } };
        return readResult<Intent>(reader, std::move(intent));
    }

    IntentResult offerServiceFrom(JsonReader& reader)
    {
        OfferService intent;
        intent.id = ServiceId { reader.text("id") };
        intent.kind = reader.choice("serviceKind", serviceKindFrom);
        return readResult<Intent>(reader, std::move(intent));
    }

    IntentResult shareCommitmentFrom(JsonReader& reader)
    {
        ShareCommitment intent;
        intent.service = ServiceId { reader.text("service") };
        intent.share = reader.number("share");
        return readResult<Intent>(reader, std::move(intent));
    }

    template <typename Wrapper, typename Value> IntentResult wrapped(std::variant<Value, ConfigError> value)
    {
        if (auto* error = std::get_if<ConfigError>(&value))
            return std::move(*error);
        return Intent { Wrapper { std::move(std::get<Value>(value)) } };
    }

    IntentResult intentFrom(const json::value& value)
    {
        JsonReader reader(value, "intent");
        std::string kind = reader.text("kind");
        if (kind == "serveModel")
            return serveModelFrom(reader);
        if (kind == "stopModel")
            return stopModelFrom(reader);
        if (kind == "admitWorkspace")
            return wrapped<AdmitWorkspace>(workspaceFrom(value));
        if (kind == "dismissWorkspace")
            return readResult<Intent>(reader, DismissWorkspace { WorkspaceId { reader.text("id") } });
        if (kind == "offerService")
            return offerServiceFrom(reader);
        if (kind == "withdrawService")
            return readResult<Intent>(reader, WithdrawService { ServiceId { reader.text("id") } });
        if (kind == "shareCommitment")
            return shareCommitmentFrom(reader);
        if (kind == "oweCommitment")
            return wrapped<OweCommitment>(commitmentFrom(value));
        return ConfigError { ConfigErrorKind::Malformed, "an intent of unknown kind \"" + kind + "\"" };
    }

} // namespace

std::variant<std::vector<Intent>, ConfigError> intentsFrom(const json::value& value)
{
    JsonReader reader(value, "intents");
    std::vector<Intent> intents;
    for (const json::value& each : reader.arrayOr("intents")) {
        auto intent = intentFrom(each);
        if (auto* error = std::get_if<ConfigError>(&intent))
            return std::move(*error);
        intents.push_back(std::move(std::get<Intent>(intent)));
    }
    if (!reader.error() && intents.empty())
        reader.fail("intents", "is empty");
    return readResult(reader, std::move(intents));
}

} // namespace peridotgrade
