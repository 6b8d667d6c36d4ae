// Fuzzes the parsers of settings files and of operator intents.
#include "fuzz_input.h"
#include "peridotgrade/core/config/intent_codec.h"
#include "peridotgrade/ops/settings/agent_settings.h"
#include "peridotgrade/ops/settings/entry_settings.h"

#include <boost/json/parse.hpp>

using namespace peridotgrade;

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer defines the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    std::string input = fuzzing::asString(data, size);
    parseEntrySettings(input, "fuzz");
    parseAgentSettings(input, "fuzz");
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(input, error);
    if (!error)
        intentsFrom(value);
    return 0;
}
