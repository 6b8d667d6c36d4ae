// What may have crashed a server.
#pragma once

#include "peridotgrade/core/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgrade {

enum class SuspectKind : std::uint8_t {
    /// A request with all that it holds.
    Request,
    /// A part of prompts that several requests share.
    PromptPart
};

/// A request, or a part of prompts, by the fingerprint of its content. A fingerprint alone is that of a
/// request.
struct Suspect {
    // NOLINTNEXTLINE(google-explicit-constructor)
    Suspect(Fingerprint content, SuspectKind kind = SuspectKind::Request)
        : kind(kind)
        , content(content)
    {
    }

    SuspectKind kind;
    Fingerprint content;

    // clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Suspect&, const Suspect&) = default;
};

/// A suspect that was lost with a server, and a request that had it there. A fingerprint alone is that of a
/// request.
struct LostSuspect {
    // NOLINTNEXTLINE(google-explicit-constructor)
    LostSuspect(Fingerprint request)
        : suspect(request)
        , request(request)
    {
    }
    LostSuspect(Suspect suspect, Fingerprint request)
        : suspect(suspect)
        , request(request)
    {
    }

    Suspect suspect;
    Fingerprint request;
    /// A request of which some server gave a complete answer shortly before.
    bool wasAnswered = false;
    /// A request on probation that was sent as a trial.
    bool wasTrial = false;
};

/// As logs and records have it: sixteen hexadecimal digits, after `part-` for a part of prompts.
std::string textOf(const Suspect& suspect);
/// Nothing if the text is none of a suspect.
std::optional<Suspect> suspectFrom(std::string_view text);

} // namespace peridotgrade

template <> struct std::hash<peridotgrade::Suspect> {
    std::size_t operator()(const peridotgrade::Suspect& suspect) const
    {
        return std::hash<peridotgrade::Fingerprint> {}(suspect.content)
            + static_cast<std::size_t>(suspect.kind);
    }
};
