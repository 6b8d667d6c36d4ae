// The answers of fake engines, which depend only on the caller's prompt, the token index and the stream.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace peridotgrade::test {

constexpr char PromptEnd = ';';
/// A prompt that starts with this character crashes the engine that runs it.
constexpr char PoisonMark = 'X';

/// The prompt of a numbered request, different for each number.
inline std::string promptOf(std::uint64_t number, bool isPoison)
{
    return std::string(1, isPoison ? PoisonMark : 'p') + std::to_string(number) + PromptEnd;
}

/// The caller's part of a prompt, without the delivered pieces that may follow it.
inline std::string callersPart(const std::string& prompt)
{
    return prompt.substr(0, prompt.find(PromptEnd) + 1);
}

inline bool isPoison(const std::string& prompt) { return !prompt.empty() && prompt.front() == PoisonMark; }

/// The engine stream that produced a piece. A piece names it, since real engines do not repeat an answer.
inline std::string streamOf(const std::string& piece)
{
    std::size_t start = piece.find('#') + 1;
    return piece.substr(start, piece.find('>') - start);
}

inline std::string answerPiece(
    const std::string& callersPrompt, std::uint32_t index, const std::string& stream)
{
    return "<" + callersPrompt + std::to_string(index) + "#" + stream + ">";
}

/// Number of tokens of the complete answer, at most `maxTokens`.
inline std::uint32_t answerLength(const std::string& callersPrompt, std::uint32_t maxTokens)
{
    auto sum = static_cast<std::uint32_t>(callersPrompt.size());
    for (char letter : callersPrompt)
        sum = sum * 31 + static_cast<unsigned char>(letter);
    return std::min(maxTokens, 3 + sum % 40);
}

/// True if `prompt` is the caller's part followed by exactly `count` pieces of its answer, from any stream.
inline bool holdsPieces(const std::string& prompt, std::uint32_t count)
{
    std::string callers = callersPart(prompt);
    std::size_t position = callers.size();
    for (std::uint32_t i = 0; i < count; ++i) {
        std::string start = "<" + callers + std::to_string(i) + "#";
        if (prompt.compare(position, start.size(), start) != 0)
            return false;
        position = prompt.find('>', position) + 1;
    }
    return position == prompt.size();
}

} // namespace peridotgrade::test
