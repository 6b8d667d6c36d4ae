// Helpers common to all fuzzers: conversion of the input to text, and a check that aborts.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace peridotgrade::fuzzing {

inline std::string asString(const std::uint8_t* data, std::size_t size)
{
    return { reinterpret_cast<const char*>(data), size };
}

/// Removes the first line from `rest` and returns it without its line end.
inline std::string takeLine(std::string& rest)
{
    std::size_t end = rest.find('\n');
    std::string line = rest.substr(0, end);
    rest = end == std::string::npos ? std::string {} : rest.substr(end + 1);
    return line;
}

/// Aborts if the check fails, which the fuzzer reports as a crash.
inline void require(bool holds)
{
    if (!holds)
        std::abort();
}

} // namespace peridotgrade::fuzzing
