// Fingerprint of a request by its content.
#pragma once

#include "peridotgrade/core/base/ids.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// What makes two attempts the same request: what servers receive of it and its caller chose. What differs
/// from one attempt to the next is not part of it: ids and time limits, and everything of the way that it
/// came, as the client's address, the connection, and the entry.
struct RequestContent {
    /// The tenant to which the caller's key belongs, since servers are told; empty without one.
    std::string_view tenant;
    std::string_view method;
    std::string_view host;
    /// Path and query.
    std::string_view target;
    std::string_view body;
};

/// Equal for equal contents, in every process.
Fingerprint fingerprintOf(const RequestContent& content);
/// The parts of a content for a line of the log. Parts that callers choose freely are short hashes, so that
/// the text is bounded and tells only which contents agree in which part.
std::string describe(const RequestContent& content);
/// Sixteen hexadecimal digits, as logs and records have it.
std::string textOf(Fingerprint fingerprint);
/// The same of at most `count` fingerprints, with commas between them.
std::string textOf(const std::vector<Fingerprint>& fingerprints, std::size_t count);

} // namespace peridotgrade
