// Fuzzes the codec of frames between processes: a decoded frame must survive encoding and decoding unchanged.
#include "fuzz_input.h"
#include "peridotgrade/wire/codec.h"

using namespace peridotgrade;

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer defines the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    std::string input = fuzzing::asString(data, size);
    auto entryFrame = decodeEntryFrame(input);
    if (const auto* frame = std::get_if<EntryFrame>(&entryFrame)) {
        std::string encoded = encode(frame->message, frame->clock);
        auto again = decodeEntryFrame(encoded);
        fuzzing::require(std::holds_alternative<EntryFrame>(again));
        fuzzing::require(std::get<EntryFrame>(again).message.index() == frame->message.index());
        fuzzing::require(encode(std::get<EntryFrame>(again).message, frame->clock) == encoded);
    }
    auto agentFrame = decodeAgentFrame(input);
    if (const auto* frame = std::get_if<AgentFrame>(&agentFrame)) {
        std::string encoded = encode(frame->message, frame->clock);
        auto again = decodeAgentFrame(encoded);
        fuzzing::require(std::holds_alternative<AgentFrame>(again));
        fuzzing::require(std::get<AgentFrame>(again).message.index() == frame->message.index());
        fuzzing::require(encode(std::get<AgentFrame>(again).message, frame->clock) == encoded);
    }
    return 0;
}
