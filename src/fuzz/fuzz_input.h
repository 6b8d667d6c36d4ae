// What the fuzzers share: the input as text, and a check that ends the run.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace peridotgrade::fuzzing {

inline std::string textOf(const std::uint8_t* data, std::size_t size)
{
    return { reinterpret_cast<const char*>(data), size };
}

/// Takes the text up to the next line end off the front of `rest`.
inline std::string takeLine(std::string& rest)
{
    std::size_t end = rest.find('\n');
    std::string line = rest.substr(0, end);
    rest = end == std::string::npos ? std::string {} : rest.substr(end + 1);
    return line;
}

/// A failed check is a crash to the fuzzer.
inline void require(bool holds)
{
    if (!holds)
        std::abort();
}

} // namespace peridotgrade::fuzzing
