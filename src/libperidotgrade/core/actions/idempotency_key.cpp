// Validates version 7 UUIDs and adds the scope of workspace and service.
#include "peridotgrade/core/actions/idempotency_key.h"

#include <algorithm>
#include <array>

namespace peridotgrade {

namespace {

    constexpr std::size_t UuidLength = 36;
    constexpr std::size_t VersionPosition = 14;
    constexpr std::size_t TimeDigits = 12;
    constexpr std::array<std::size_t, 4> HyphenPositions { 8, 13, 18, 23 };

    bool isHyphenPosition(std::size_t position)
    {
        return std::find(HyphenPositions.begin(), HyphenPositions.end(), position) != HyphenPositions.end();
    }

    std::optional<std::uint64_t> hexValue(char digit)
    {
        if (digit >= '0' && digit <= '9')
            return static_cast<std::uint64_t>(digit - '0');
        if (digit >= 'a' && digit <= 'f')
            return static_cast<std::uint64_t>(digit - 'a' + 10);
        return std::nullopt;
    }

    char lowerCased(char letter)
    {
        return letter >= 'A' && letter <= 'F' ? static_cast<char>(letter - 'A' + 'a') : letter;
    }

    bool isVersion7(std::string_view text)
    {
        if (text.size() != UuidLength || text[VersionPosition] != '7')
            return false;
        for (std::size_t i = 0; i < text.size(); ++i) {
            bool fits = isHyphenPosition(i) ? text[i] == '-' : hexValue(text[i]).has_value();
            if (!fits)
                return false;
        }
        return true;
    }

    std::string_view uuidPart(std::string_view key)
    {
        return key.size() < UuidLength ? key : key.substr(key.size() - UuidLength);
    }

    /// Escapes the separator in the parts, so that two different scopes never give the same text.
    std::string escaped(const std::string& part)
    {
        std::string text;
        for (char letter : part) {
            if (letter == '/')
                text += "%2f";
            else if (letter == '%')
                text += "%25";
            else
                text += letter;
        }
        return text;
    }

} // namespace

std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), lowerCased);
    if (!isVersion7(lower))
        return std::nullopt;
    return IdempotencyKey { std::move(lower) };
}

IdempotencyKey scopedKey(
    const WorkspaceId& workspace, const ServiceId& service, const IdempotencyKey& unscopedKey)
{
    return IdempotencyKey { escaped(workspace.raw()) + '/' + escaped(service.raw()) + '/'
        + unscopedKey.raw() };
}

IdempotencyKey unscopedKey(const IdempotencyKey& key)
{
    return IdempotencyKey { std::string(uuidPart(key.raw())) };
}

std::optional<WallTime> creationTimeOf(const IdempotencyKey& key)
{
    std::string_view uuid = uuidPart(key.raw());
    if (!isVersion7(uuid))
        return std::nullopt;
    std::uint64_t milliseconds = 0;
    std::size_t digits = 0;
    for (std::size_t i = 0; digits < TimeDigits; ++i) {
        if (isHyphenPosition(i))
            continue;
        milliseconds = milliseconds * 16 + hexValue(uuid[i]).value_or(0);
        ++digits;
    }
    return WallTime { std::chrono::milliseconds { milliseconds } };
}

} // namespace peridotgrade
