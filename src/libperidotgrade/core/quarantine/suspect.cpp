// Texts of suspects.
#include "peridotgrade/core/quarantine/suspect.h"

#include "peridotgrade/core/quarantine/request_content.h"

#include <charconv>

namespace peridotgrade {

namespace {

    constexpr std::string_view PartPrefix = "part-";

} // namespace

std::string textOf(const Suspect& suspect)
{
    std::string digits = textOf(suspect.content);
    return suspect.kind == SuspectKind::PromptPart ? std::string { PartPrefix } + digits : digits;
}

std::optional<Suspect> suspectFrom(std::string_view text)
{
    constexpr int Hexadecimal = 16;
    bool isPart = text.starts_with(PartPrefix);
    if (isPart)
        text.remove_prefix(PartPrefix.size());
    std::uint64_t content = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), content, Hexadecimal);
    if (error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return Suspect { Fingerprint { content }, isPart ? SuspectKind::PromptPart : SuspectKind::Request };
}

} // namespace peridotgrade
