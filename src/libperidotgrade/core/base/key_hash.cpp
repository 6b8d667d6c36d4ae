// Hashes keys with OpenSSL's libcrypto.
#include "peridotgrade/core/base/key_hash.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace peridotgrade {

std::string keySha256(std::string_view key)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash;
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), hash.data());
    std::string text;
    for (unsigned char byte : hash) {
        text.push_back(Digits[byte >> 4]);
        text.push_back(Digits[byte & 0xF]);
    }
    return text;
}

bool isSameKeyHash(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string shortKeyHash(std::string_view key)
{
    constexpr std::size_t ShortDigits = 8;
    return keySha256(key).substr(0, ShortDigits);
}

} // namespace peridotgrade
