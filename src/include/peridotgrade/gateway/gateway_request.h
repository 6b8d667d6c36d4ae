// One attempt of a caller, as the gateway handles it.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/quarantine/crash_registry.h"
#include "peridotgrade/core/quarantine/request_content.h"
#include "peridotgrade/core/quarantine/suspect.h"
#include "peridotgrade/core/serving/prompt_cache_map.h"
#include "peridotgrade/net/http_message.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotgrade {

/// Token counts stated by the caller of a language model.
struct GenerationSize {
    std::uint32_t promptTokens = 0;
    /// Upper limit that the caller accepts; usually far more than it gets.
    std::uint32_t maxOutputTokens = 0;
    /// The caller's estimate; 0 if it gives none.
    std::uint32_t expectedOutputTokens = 0;
};

struct GatewayRequest {
    /// What is forwarded unchanged: method, target, end-to-end fields. Its own body is empty.
    HttpRequest message;
    /// The body, which is forwarded unchanged too; null if there is none.
    SharedBody body;
    /// The caller's id of this attempt.
    std::string attempt;
    std::string host;
    /// For logs only: attempts of one request come from several addresses, and callers share addresses.
    std::string clientAddress;
    /// Name of the tenant whose key the caller showed; empty without one.
    std::string tenant;
    /// Equal for every attempt with the same `content`.
    Fingerprint fingerprint;
    /// While it is sent as a trial of a request on probation.
    std::shared_ptr<Trial> trial;
    /// Parts of the prompt that other requests share, by their identity.
    std::vector<Fingerprint> promptParts;
    /// The same with their sizes.
    std::vector<PromptPart> sharedParts;
    TimePoint arrivedAt;
    /// How long the caller waits, counted from when it sent the request.
    std::optional<std::chrono::milliseconds> callerTimeout;
    std::optional<GenerationSize> size;
    /// Equal for every attempt with the same `content`, model and prompt: what tells the streams of a caller
    /// apart that resumes one without naming its first attempt.
    Fingerprint streamContent;
    /// Id of the last event that the caller has, if it resumes a stream.
    std::optional<std::uint64_t> lastEvent;
    /// Id of the attempt that brought the stream's first event, if the caller resumes a stream.
    std::optional<std::string> resumedAttempt;

    /// 0 for the most urgent to 9; nothing where the configuration has no priorities.
    std::optional<std::uint32_t> urgency;

    /// True if events of the stream were delivered by another attempt.
    bool isResumption() const { return this->lastEvent || this->resumedAttempt; }
    /// What `fingerprint` is made of. Views of this object, valid until it changes.
    RequestContent content() const;
    /// What it is suspected for if its server crashes: the request itself and the shared parts of its prompt.
    std::vector<Suspect> suspects() const;
};

} // namespace peridotgrade
