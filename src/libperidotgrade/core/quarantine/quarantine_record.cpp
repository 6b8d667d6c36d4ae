// JSON codec of quarantine records.
#include "peridotgrade/core/quarantine/quarantine_record.h"

#include <boost/json.hpp>
#include <optional>

namespace peridotgrade {

namespace {

    constexpr std::string_view EntryField = "entry";
    constexpr std::string_view QuarantinedField = "quarantined";

    std::optional<std::uint64_t> unsignedOf(const boost::json::value& value)
    {
        boost::system::error_code error;
        auto number = value.to_number<std::uint64_t>(error);
        if (error)
            return std::nullopt;
        return number;
    }

} // namespace

std::string encodeQuarantineRecord(const QuarantineRecord& record)
{
    boost::json::array fingerprints;
    for (Fingerprint fingerprint : record.quarantined)
        fingerprints.emplace_back(fingerprint.raw());
    boost::json::object object;
    object[EntryField] = record.entry.raw();
    object[QuarantinedField] = std::move(fingerprints);
    return boost::json::serialize(object);
}

std::variant<QuarantineRecord, QuarantineFormatError> decodeQuarantineRecord(const std::string& data)
{
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(data, error);
    if (error)
        return QuarantineFormatError { error.message() };
    const boost::json::object* object = value.if_object();
    if (!object)
        return QuarantineFormatError { "record is not a JSON object" };
    const boost::json::value* entry = object->if_contains(EntryField);
    if (!entry || !entry->is_string())
        return QuarantineFormatError { "field entry is missing or not a string" };
    const boost::json::value* quarantined = object->if_contains(QuarantinedField);
    if (!quarantined || !quarantined->is_array())
        return QuarantineFormatError { "field quarantined is missing or not a list" };

    QuarantineRecord record;
    record.entry = EntryId { std::string(entry->get_string()) };
    for (const boost::json::value& item : quarantined->get_array()) {
        auto fingerprint = unsignedOf(item);
        if (!fingerprint)
            return QuarantineFormatError { "fingerprint is not an unsigned number" };
        record.quarantined.emplace_back(*fingerprint);
    }
    return record;
}

} // namespace peridotgrade
