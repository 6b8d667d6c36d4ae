// The identifiers that the whole system shares.
#pragma once

#include "peridotgrade/core/base/strong_id.h"

#include <cstdint>
#include <string>

namespace peridotgrade {

/// One request of a caller, unique among all requests of the entry shard that owns it; random, so that a
/// restarted entry does not reuse an id.
using RequestId = StrongId<struct RequestIdTag, std::uint64_t>;
/// One entry shard: `<node name>/<shard number>`. Each shard has its own sessions with agents.
using EntryId = StrongId<struct EntryIdTag, std::string>;
/// One agent, identified by the name of the VM of its backend server.
using AgentId = StrongId<struct AgentIdTag, std::string>;
using ModelId = StrongId<struct ModelIdTag, std::string>;
using WorkspaceId = StrongId<struct WorkspaceIdTag, std::string>;
using DataCentreId = StrongId<struct DataCentreIdTag, std::string>;
using ServiceId = StrongId<struct ServiceIdTag, std::string>;
/// Incarnation of a process; random, so that a restarted process can be told from its predecessor.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// One session of an entry shard at an agent; assigned by the agent, never reused by one incarnation.
using SessionEpoch = StrongId<struct SessionEpochTag, std::uint64_t>;
/// Position of a record in one stream of the platform's log.
using LogOffset = StrongId<struct LogOffsetTag, std::uint64_t>;
/// Version of the configuration: offset of its last record in the log plus one; 0 means none yet.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
/// Hash of the content of a request (model and prompt); equal for the same request sent again under a new id.
using Fingerprint = StrongId<struct FingerprintTag, std::uint64_t>;
/// Name of an exported KV cache at the engine that computed it.
using KvHandle = StrongId<struct KvHandleTag, std::string>;

/// One attempt at serving a request. A later attempt has a higher number.
struct AttemptId {
    RequestId request;
    std::uint32_t number = 0;

    // clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

} // namespace peridotgrade

template <> struct std::hash<peridotgrade::AttemptId> {
    std::size_t operator()(const peridotgrade::AttemptId& id) const
    {
        return std::hash<std::uint64_t> {}(id.request.raw() * 31 + id.number);
    }
};
