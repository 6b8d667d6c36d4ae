// XXH3 hash of the parts of an application call.
#include "call_content.h"

#include <xxhash.h>

namespace peridotgrade {

namespace {

    /// Each part is preceded by its length, so that moving a byte from one part to the next changes the hash.
    void appendPart(std::string& text, const std::string& part)
    {
        text += std::to_string(part.size());
        text += ':';
        text += part;
    }

} // namespace

Fingerprint contentOf(const ApplicationCall& call)
{
    std::string text;
    appendPart(text, call.method);
    appendPart(text, call.target);
    appendPart(text, call.contentType);
    appendPart(text, call.body);
    return Fingerprint { XXH3_64bits(text.data(), text.size()) };
}

} // namespace peridotgrade
