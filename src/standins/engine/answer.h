// The answer of the fake engine: a pure function of the prompt, so that tests can check that an answer is
// complete.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace peridotgrade::standins {

/// Size of one piece of an answer; a prompt token has the same size.
constexpr std::size_t PieceBytes = 4;

/// The caller's original prompt. A resumed request's `prompt` is the original prompt followed by the
/// `firstIndex` pieces that were already sent.
inline std::string_view originalPrompt(std::string_view prompt, std::uint32_t firstIndex)
{
    std::size_t sent = firstIndex * PieceBytes;
    return prompt.substr(0, prompt.size() > sent ? prompt.size() - sent : 0);
}

/// Piece number `index` of the answer to the caller's original prompt: a space and three letters.
inline std::string answerPiece(std::string_view prompt, std::uint32_t index)
{
    constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz";
    std::uint64_t hash = XXH3_64bits_withSeed(prompt.data(), prompt.size(), index + 1);
    std::string piece = " ";
    for (std::size_t i = 1; i < PieceBytes; ++i) {
        piece += Letters[hash % Letters.size()];
        hash /= Letters.size();
    }
    return piece;
}

/// Number of pieces after which the answer ends with finish reason `stop`. The marker `!!length N!!` in the
/// prompt sets it.
inline std::uint32_t answerLength(std::string_view prompt)
{
    constexpr std::string_view Marker = "!!length ";
    constexpr std::uint32_t ShortestAnswer = 32;
    constexpr std::uint32_t LengthSpread = 225;
    std::size_t at = prompt.find(Marker);
    if (at != std::string_view::npos) {
        std::string digits { prompt.substr(at + Marker.size(), 9) };
        return static_cast<std::uint32_t>(std::strtoul(digits.c_str(), nullptr, 10));
    }
    return ShortestAnswer
        + static_cast<std::uint32_t>(XXH3_64bits(prompt.data(), prompt.size()) % LengthSpread);
}

/// The complete answer, limited to `maxTokens` pieces.
inline std::string completeAnswer(std::string_view prompt, std::uint32_t maxTokens)
{
    std::uint32_t length = answerLength(prompt);
    std::string answer;
    for (std::uint32_t index = 0; index < length && index < maxTokens; ++index)
        answer += answerPiece(prompt, index);
    return answer;
}

} // namespace peridotgrade::standins
