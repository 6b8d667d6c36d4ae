// Content fingerprint: XXH3 of the prompt, seeded with the hash of the model.
#include "peridotgrade/core/routing/fingerprint.h"

#include <xxhash.h>

namespace peridotgrade {

Fingerprint fingerprintOf(const ModelId& model, const std::string& prompt)
{
    XXH64_hash_t seed = XXH3_64bits(model.raw().data(), model.raw().size());
    return Fingerprint { XXH3_64bits_withSeed(prompt.data(), prompt.size(), seed) };
}

} // namespace peridotgrade
