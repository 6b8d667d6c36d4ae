// JSON codec of claims.
#include "peridotgrade/core/actions/claim.h"

#include <boost/json.hpp>

namespace peridotgrade {

namespace {

    constexpr std::string_view KeyField = "key";
    constexpr std::string_view EntryField = "entry";
    constexpr std::string_view NonceField = "nonce";
    constexpr std::string_view AgentField = "agent";
    constexpr std::string_view IncarnationField = "incarnation";
    constexpr std::string_view SupersedesField = "supersedes";
    constexpr std::string_view ContentField = "content";

    /// Reads the fields of one object and remembers the first that is missing or has the wrong type.
    class FieldReader {
    public:
        explicit FieldReader(const boost::json::object& object)
            : object(object)
        {
        }

        std::string text(std::string_view name)
        {
            const boost::json::value* value = this->object.if_contains(name);
            if (value && value->is_string())
                return std::string(value->get_string());
            this->fail(name);
            return {};
        }

        std::uint64_t number(std::string_view name)
        {
            const boost::json::value* value = this->object.if_contains(name);
            boost::system::error_code error;
            if (value) {
                auto number = value->to_number<std::uint64_t>(error);
                if (!error)
                    return number;
            }
            this->fail(name);
            return 0;
        }

        bool has(std::string_view name) const { return this->object.if_contains(name) != nullptr; }

        const std::optional<ClaimFormatError>& error() const { return this->firstError; }

    private:
        void fail(std::string_view name)
        {
            if (!this->firstError)
                this->firstError
                    = ClaimFormatError { "field missing or of the wrong type: " + std::string(name) };
        }

        const boost::json::object& object;
        std::optional<ClaimFormatError> firstError;
    };

} // namespace

std::string encodeClaim(const Claim& claim)
{
    boost::json::object object;
    object[KeyField] = claim.key.raw();
    object[EntryField] = claim.entry.raw();
    object[NonceField] = claim.nonce.raw();
    object[AgentField] = claim.agent.raw();
    object[IncarnationField] = claim.agentIncarnation.raw();
    if (claim.supersedes)
        object[SupersedesField] = claim.supersedes->raw();
    object[ContentField] = claim.content.raw();
    return boost::json::serialize(object);
}

std::variant<Claim, ClaimFormatError> decodeClaim(const std::string& data)
{
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(data, error);
    if (error)
        return ClaimFormatError { error.message() };
    if (!value.is_object())
        return ClaimFormatError { "claim is not a JSON object" };

    FieldReader reader(value.get_object());
    Claim claim;
    claim.key = IdempotencyKey { reader.text(KeyField) };
    claim.entry = EntryId { reader.text(EntryField) };
    claim.nonce = ClaimNonce { reader.number(NonceField) };
    claim.agent = AgentId { reader.text(AgentField) };
    claim.agentIncarnation = Incarnation { reader.number(IncarnationField) };
    if (reader.has(SupersedesField))
        claim.supersedes = ClaimNonce { reader.number(SupersedesField) };
    claim.content = Fingerprint { reader.number(ContentField) };
    if (reader.error())
        return *reader.error();
    return claim;
}

} // namespace peridotgrade
