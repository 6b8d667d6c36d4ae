// Fingerprints of requests: XXH3 of each part, seeded with the hash of the parts before it.
#include "peridotgrade/core/quarantine/request_content.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>

namespace peridotgrade {

namespace {
    constexpr std::size_t ShortHashDigits = 8;
} // namespace

Fingerprint fingerprintOf(const RequestContent& content)
{
    XXH64_hash_t hash = 0;
    for (std::string_view part :
        { content.tenant, content.method, content.host, content.target, content.body })
        hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
    return Fingerprint { hash };
}

std::string describe(const RequestContent& content)
{
    auto shortHash = [](std::string_view part) {
        return textOf(Fingerprint { XXH3_64bits(part.data(), part.size()) }).substr(0, ShortHashDigits);
    };
    return "tenant:" + std::string { content.tenant } + " method:" + std::string { content.method }
    + " host:" + shortHash(content.host) + " target:" + shortHash(content.target)
        + " body:" + shortHash(content.body) + "/" + std::to_string(content.body.size());
}

std::string textOf(Fingerprint fingerprint)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(fingerprint.raw()));
    return text;
}

std::string textOf(const std::vector<Fingerprint>& fingerprints, std::size_t count)
{
    std::string text;
    for (std::size_t index = 0; index < std::min(fingerprints.size(), count); ++index)
        text += (text.empty() ? "" : ",") + textOf(fingerprints[index]);
    return text;
}

} // namespace peridotgrade
