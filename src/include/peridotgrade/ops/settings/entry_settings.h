// Settings of an entry.
#pragma once

#include "peridotgrade/ops/settings/node_settings.h"
#include "peridotgrade/ops/settings/settings_error.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace peridotgrade {

/// Latency targets; only answers within both count as goodput.
struct LatencyTargets {
    std::chrono::milliseconds firstToken { 820 };
    std::chrono::milliseconds interToken { 77 };
};

/// Limits that protect an entry from its callers.
struct EntryLimits {
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint32_t maxConnections = 10'000;
    std::uint32_t maxOutputTokens = 4'096;
    /// Default and upper limit of the time that a request may take; after it the request is ended,
    /// whatever its state.
    std::chrono::milliseconds requestTimeout { 120'000 };
    std::chrono::milliseconds readTimeout { 10'000 };
    std::chrono::milliseconds writeTimeout { 10'000 };
    /// How long a stopping entry waits for running requests to end.
    std::chrono::milliseconds drainTimeout { 120'000 };
};

/// An operator and the hexadecimal SHA-256 of the key that authenticates the operator.
struct OperatorCredential {
    std::string name;
    std::string keySha256;
};

/// Everything that an entry reads from its settings file. Made by EntrySettingsBuilder.
struct EntrySettings {
    NodeSettings node;
    /// The address that callers connect to.
    Endpoint listen;
    LatencyTargets targets;
    EntryLimits limits;
    std::vector<OperatorCredential> operators;
    /// Retention time of the log; snapshots are appended well before it ends.
    std::chrono::milliseconds logRetention { std::chrono::minutes { 60 } };

    /// The operator whose key has this SHA-256, or null.
    const OperatorCredential* operatorOfKey(std::string_view keySha256) const;
};

/// Builds entry settings; `build` checks what a schema cannot express.
class EntrySettingsBuilder {
public:
    EntrySettingsBuilder& node(NodeSettings value);
    EntrySettingsBuilder& listen(Endpoint value);
    EntrySettingsBuilder& targets(LatencyTargets value);
    EntrySettingsBuilder& limits(EntryLimits value);
    EntrySettingsBuilder& logRetention(std::chrono::milliseconds value);
    EntrySettingsBuilder& addOperator(OperatorCredential value);
    std::variant<EntrySettings, SettingsError> build() const;

private:
    EntrySettings settings;
};

/// Reads and checks an entry's settings file.
std::variant<EntrySettings, SettingsError> readEntrySettings(const std::string& path);

/// The same for text that was read from `file`.
std::variant<EntrySettings, SettingsError> parseEntrySettings(
    const std::string& text, const std::string& file);

/// JSON Schema of the file.
std::string_view entrySettingsSchema();

} // namespace peridotgrade
