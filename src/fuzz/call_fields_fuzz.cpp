// Fuzzes the HTTP edge's parsers of calls, idempotency keys and completions. The input is one line each for
// method, target and key, followed by the body.
#include "fuzz_input.h"
#include "peridotgrade/callers/call_path.h"
#include "peridotgrade/callers/completion_request.h"
#include "peridotgrade/core/actions/idempotency_key.h"

using namespace peridotgrade;

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer defines the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    constexpr std::uint32_t MaxTokens = 4096;
    std::string rest = fuzzing::asString(data, size);
    HttpRequest request;
    request.method = fuzzing::takeLine(rest);
    request.target = fuzzing::takeLine(rest);
    std::string key = fuzzing::takeLine(rest);
    request.fields.push_back({ "Idempotency-Key", key });
    request.body = rest;
    parseCall(request);
    request.query("wait_ms");
    parseCompletion(CompletionShape::Text, rest, MaxTokens);
    parseCompletion(CompletionShape::Chat, rest, MaxTokens);

    auto parsed = parseIdempotencyKey(key);
    if (!parsed)
        return 0;
    IdempotencyKey scoped = scopedKey(WorkspaceId { request.method }, ServiceId { request.target }, *parsed);
    fuzzing::require(unscopedKey(scoped) == *parsed);
    fuzzing::require(creationTimeOf(scoped).has_value() && creationTimeOf(scoped) == creationTimeOf(*parsed));
    return 0;
}
