// Tests of the quarantine record codec.
#include "peridotgrade/core/quarantine/quarantine_record.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;

BOOST_AUTO_TEST_SUITE(quarantine_record)

BOOST_AUTO_TEST_CASE(decoding_gives_back_what_was_encoded)
{
    QuarantineRecord record { EntryId { "entry-1/0" }, { Fingerprint { 7 }, Fingerprint { ~0ULL } } };
    auto decoded = decodeQuarantineRecord(encodeQuarantineRecord(record));
    BOOST_REQUIRE(std::holds_alternative<QuarantineRecord>(decoded));
    BOOST_TEST((std::get<QuarantineRecord>(decoded).entry == record.entry));
    BOOST_TEST((std::get<QuarantineRecord>(decoded).quarantined == record.quarantined));
}

BOOST_AUTO_TEST_CASE(malformed_records_are_errors)
{
    for (const char* data : { "", "{", "7", "{}", R"({"entry":"e"})", R"({"entry":1,"quarantined":[]})",
             R"({"entry":"e","quarantined":[-1]})", R"({"entry":"e","quarantined":["a"]})" })
        BOOST_TEST(std::holds_alternative<QuarantineFormatError>(decodeQuarantineRecord(data)));
}

BOOST_AUTO_TEST_SUITE_END()
