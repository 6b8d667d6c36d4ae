// Fuzzes the decoders of claim and quarantine log records.
#include "fuzz_input.h"
#include "peridotgrade/core/actions/claim.h"
#include "peridotgrade/core/quarantine/quarantine_record.h"

using namespace peridotgrade;

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer defines the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    std::string input = fuzzing::asString(data, size);
    auto claim = decodeClaim(input);
    if (const auto* typed = std::get_if<Claim>(&claim)) {
        std::string encoded = encodeClaim(*typed);
        auto again = decodeClaim(encoded);
        fuzzing::require(std::holds_alternative<Claim>(again));
        fuzzing::require(encodeClaim(std::get<Claim>(again)) == encoded);
    }
    auto record = decodeQuarantineRecord(input);
    if (const auto* typed = std::get_if<QuarantineRecord>(&record)) {
        auto again = decodeQuarantineRecord(encodeQuarantineRecord(*typed));
        fuzzing::require(std::holds_alternative<QuarantineRecord>(again));
        fuzzing::require(std::get<QuarantineRecord>(again).quarantined == typed->quarantined);
    }
    return 0;
}
