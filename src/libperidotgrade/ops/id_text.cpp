// Converts ids to text and back.
#include "peridotgrade/ops/id_text.h"

#include <charconv>

namespace peridotgrade {

namespace {
    constexpr std::size_t IdDigits = 16;
    constexpr int Hexadecimal = 16;
} // namespace

std::string textOf(RequestId request)
{
    char digits[IdDigits];
    auto [end, status] = std::to_chars(digits, digits + IdDigits, request.raw(), Hexadecimal);
    std::string text(IdDigits - (end - digits), '0');
    return text.append(digits, end);
}

std::optional<RequestId> requestIdFrom(std::string_view text)
{
    std::uint64_t value = 0;
    auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value, Hexadecimal);
    if (text.size() != IdDigits || status != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return RequestId { value };
}

} // namespace peridotgrade
