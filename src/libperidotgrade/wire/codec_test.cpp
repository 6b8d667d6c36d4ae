// Tests of the codec: every message round-trips unchanged, and malformed or hostile input gives an error.
#include "peridotgrade/wire/codec.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace peridotgrade;

namespace {

const AttemptId Attempt { RequestId { 0xfedcba9876543210 }, 7 };
const LiveLoad Load { 3, 20, 0xffffffff, std::chrono::milliseconds { 41 }, 10000.5 };
const ApplicationCall Call { "POST", "/a/b?c=d", "text/plain", { { "X-A", "b" } },
    std::string { "\0\xff", 2 } };
const ApplicationAnswer Answer { 503, "text/plain", { { "X-A", "b" } }, "body" };
const std::chrono::milliseconds Time { 1234 };

std::vector<EntryMessage> entryMessages()
{
    return { OpenSession { EntryId { "e/1" }, Incarnation { ~0ULL }, ConfigVersion { 5 } },
        RenewSession { SessionEpoch { 9 }, { Attempt, Attempt }, ConfigVersion { 5 } },
        ReservationRequest { SessionEpoch { 9 }, Attempt, ModelId { "m" }, Fingerprint { 8 },
            Priority::Patient, 100, 200, Time, true, ConfigVersion { 5 } },
        ReleaseAttempt { SessionEpoch { 9 }, Attempt },
        StartPrefill { SessionEpoch { 9 }, Attempt, ModelId { "m" }, Fingerprint { 8 }, Priority::Urgent,
            "prompt \xc4\x8d", 100, Time, true, ConfigVersion { 5 } },
        StartDecode { SessionEpoch { 9 }, Attempt, ModelId { "m" }, "prompt", 17, 200, Priority::Normal,
            KvHandle { "h" }, "127.0.0.1:1", Time, ConfigVersion { 5 } },
        StartRead { Attempt, Call, Time, ConfigVersion { 5 } },
        StartAction { Attempt, IdempotencyKey { "k" }, ClaimNonce { 3 }, Incarnation { 4 }, Call, Time,
            ConfigVersion { 5 } },
        QueryAction { Attempt, IdempotencyKey { "k" }, Incarnation { 4 }, true },
        VersionNotice { ConfigVersion { 5 } }, FetchConfiguration { ConfigVersion { 5 } },
        ConfigurationSnapshot { ConfigVersion { 5 }, "{}" },
        QuarantineNotice { { Fingerprint { 1 }, Fingerprint { ~0ULL } } } };
}

std::vector<AgentMessage> agentMessages()
{
    return { SessionOpened {
                 AgentId { "a" }, Incarnation { 4 }, SessionEpoch { 9 }, Time, ConfigVersion { 5 }, true },
        SessionRefused { SessionEpoch { 9 } }, Draining {}, ReservationGranted { Attempt, Load },
        ReservationRefused { Attempt, ReservationRefusalReason::EngineDown, Time, Load },
        PrefillFinished { Attempt, KvHandle { "h" }, "127.0.0.1:1", ~0ULL, 64, Time, Load },
        TokenFrame { Attempt, 17, { " a", "", "\xc4" }, true, FinishReason::Length },
        AttemptFailed { Attempt, AttemptFailure::SuspectPresent, Load },
        EngineCrashed { { Fingerprint { 1 } }, Incarnation { ~0ULL } },
        CacheChanged { 6, { 1, ~0ULL }, { 3 } }, ReadAnswered { Attempt, Answer },
        ReadFailed { Attempt, true },
        ActionReport {
            Attempt, IdempotencyKey { "k" }, Incarnation { 4 }, ActionState::RefusedUnstarted, Answer },
        VersionNotice { ConfigVersion { 5 } }, FetchConfiguration { ConfigVersion { 5 } },
        ConfigurationSnapshot { ConfigVersion { 5 }, "{}" }, QuarantineNotice { { Fingerprint { 1 } } } };
}

// Unchanged values encode to the same bytes; fieldsRoundTripAtFullWidth compares the fields themselves.
template <typename Message, typename Decode>
void checkRoundTrips(const std::vector<Message>& messages, Decode decode)
{
    BOOST_REQUIRE_EQUAL(messages.size(), std::variant_size_v<Message>);
    for (std::size_t index = 0; index < messages.size(); ++index) {
        BOOST_REQUIRE_EQUAL(messages[index].index(), index);
        std::string bytes = encode(messages[index], HybridTime { 77 });
        auto decoded = decode(bytes);
        BOOST_REQUIRE(decoded.index() == 0);
        BOOST_CHECK_EQUAL(std::get<0>(decoded).message.index(), index);
        BOOST_CHECK_EQUAL(std::get<0>(decoded).clock, HybridTime { 77 });
        BOOST_CHECK(encode(std::get<0>(decoded).message, HybridTime { 77 }) == bytes);
    }
}

template <typename Messages, typename Decode> void checkDamagedFrames(const Messages& messages, Decode decode)
{
    std::mt19937 random(1);
    for (const auto& message : messages) {
        std::string bytes = encode(message);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            decode(std::string_view { bytes }.substr(0, size));
        for (int round = 0; round < 2000; ++round) {
            std::string damaged = bytes;
            for (int flips = 0; flips < 3; ++flips)
                damaged[random() % damaged.size()] = static_cast<char>(random());
            decode(damaged);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(everyEntryMessageSurvivesTheRoundTrip)
{
    checkRoundTrips(entryMessages(), decodeEntryFrame);
}

BOOST_AUTO_TEST_CASE(everyAgentMessageSurvivesTheRoundTrip)
{
    checkRoundTrips(agentMessages(), decodeAgentFrame);
}

BOOST_AUTO_TEST_CASE(fieldsRoundTripAtFullWidth)
{
    auto request = std::get<ReservationRequest>(std::get<0>(decodeEntryMessage(encode(entryMessages()[2]))));
    BOOST_CHECK_EQUAL(request.attempt.request, Attempt.request);
    BOOST_CHECK_EQUAL(request.attempt.number, 7u);
    BOOST_CHECK(request.priority == Priority::Patient);
    BOOST_CHECK_EQUAL(request.promptTokens, 100u);
    BOOST_CHECK_EQUAL(request.maxOutputTokens, 200u);
    BOOST_CHECK(request.maxQueueTime == Time);
    BOOST_CHECK(request.isSuspect);

    auto start = std::get<StartDecode>(std::get<0>(decodeEntryMessage(encode(entryMessages()[5]))));
    BOOST_CHECK_EQUAL(start.firstIndex, 17u);
    BOOST_CHECK_EQUAL(start.maxOutputTokens, 200u);
    BOOST_CHECK_EQUAL(start.handle.raw(), "h");
    BOOST_CHECK_EQUAL(start.exporter, "127.0.0.1:1");
    BOOST_CHECK_EQUAL(start.prompt, "prompt");

    auto refused = std::get<ReservationRefused>(std::get<0>(decodeAgentMessage(encode(agentMessages()[4]))));
    BOOST_CHECK(refused.reason == ReservationRefusalReason::EngineDown);
    BOOST_CHECK(refused.expectedWait == Time);
    BOOST_CHECK_EQUAL(refused.load.placesFree, 3u);
    BOOST_CHECK_EQUAL(refused.load.placesTotal, 20u);
    BOOST_CHECK_EQUAL(refused.load.asksQueued, 0xffffffffu);

    auto action = std::get<StartAction>(std::get<0>(decodeEntryMessage(encode(entryMessages()[7]))));
    BOOST_CHECK_EQUAL(action.key.raw(), "k");
    BOOST_CHECK_EQUAL(action.nonce.raw(), 3u);
    BOOST_CHECK_EQUAL(action.incarnation.raw(), 4u);
    BOOST_CHECK_EQUAL(action.call.target, "/a/b?c=d");
    BOOST_CHECK_EQUAL(action.call.body, Call.body);
    BOOST_CHECK_EQUAL(action.call.headers.at(0).value, "b");
}

BOOST_AUTO_TEST_CASE(damagedFramesDoNotCrashTheDecoder)
{
    checkDamagedFrames(entryMessages(), decodeEntryFrame);
    checkDamagedFrames(agentMessages(), decodeAgentFrame);
}

BOOST_AUTO_TEST_CASE(hugeListInAShortFrameIsRefusedBeforeAllocation)
{
    // An EngineCrashed whose list claims 2^31-1 elements: field 2 of the frame, field 9 of the union.
    const std::string bytes { "\x16\x00\x1c\x9c\x19\xf6\xff\xff\xff\xff\x07", 11 };
    auto decoded = decodeAgentMessage(bytes);
    BOOST_REQUIRE(std::holds_alternative<WireError>(decoded));
}

BOOST_AUTO_TEST_CASE(unknownEnumeratorAndUnknownMessageAreErrors)
{
    auto badPriority = encode(ReservationRequest { .priority = static_cast<Priority>(9) });
    auto decoded = decodeEntryMessage(badPriority);
    BOOST_REQUIRE(std::holds_alternative<WireError>(decoded));
    BOOST_CHECK(std::get<WireError>(decoded).kind == WireErrorKind::Unknown);

    // Only agents send ActionReport: its member number, 13, does not occur in the union EntryMessage.
    auto foreign = decodeEntryMessage(encode(AgentMessage { ActionReport {} }));
    BOOST_REQUIRE(std::holds_alternative<WireError>(foreign));
    BOOST_CHECK(std::get<WireError>(foreign).kind == WireErrorKind::Unknown);
}

BOOST_AUTO_TEST_CASE(sharedMessagesDecodeFromEitherUnion)
{
    ConfigurationSnapshot snapshot;
    snapshot.snapshot = "text";
    auto decoded = decodeEntryMessage(encode(AgentMessage { snapshot }));
    BOOST_REQUIRE(std::holds_alternative<EntryMessage>(decoded));
    BOOST_CHECK_EQUAL(std::get<ConfigurationSnapshot>(std::get<EntryMessage>(decoded)).snapshot, "text");
}
