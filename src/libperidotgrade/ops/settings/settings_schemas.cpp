// JSON Schemas of the settings files. Their descriptions document the settings and appear in error messages.
#include "peridotgrade/ops/settings/agent_settings.h"
#include "peridotgrade/ops/settings/entry_settings.h"

namespace peridotgrade {

namespace {

    constexpr std::string_view EntrySchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["nodeName", "dataCentre", "listen", "adminListen", "peerListen", "platform"],
  "properties": {
    "nodeName": { "type": "string", "minLength": 1, "description": "the name of the VM" },
    "dataCentre": { "type": "string", "minLength": 1, "description": "the name of the data centre" },
    "listen": { "type": "string", "description": "the address for callers, as ip:port" },
    "adminListen": { "type": "string", "description": "the address for operators, metrics and health, as ip:port" },
    "peerListen": { "type": "string", "description": "the address for other peridot processes, as ip:port" },
    "platform": { "type": "string", "description": "the address of the platform's services, as ip:port" },
    "peers": { "type": "array", "items": { "type": "string" },
      "description": "peer addresses of other entries, as a list of ip:port, queried for the configuration while the log is unavailable" },
    "logLevel": { "enum": ["trace", "debug", "info", "warn", "error"],
      "description": "one of trace, debug, info, warn, error" },
    "shards": { "type": "integer", "minimum": 1, "maximum": 256, "description": "a number of state shards from 1 to 256" },
    "threads": { "type": "integer", "minimum": 1, "maximum": 256, "description": "a number of threads from 1 to 256" },
    "logRetentionMs": { "type": "integer", "minimum": 1000,
      "description": "the retention time of the log in milliseconds, at least 1000" },
    "targets": { "type": "object", "additionalProperties": false,
      "description": "an object with firstTokenMs and interTokenMs",
      "properties": {
        "firstTokenMs": { "type": "integer", "minimum": 1, "description": "a whole number of milliseconds" },
        "interTokenMs": { "type": "integer", "minimum": 1, "description": "a whole number of milliseconds" } } },
    "limits": { "type": "object", "additionalProperties": false,
      "description": "an object with limits for callers",
      "properties": {
        "maxBodyBytes": { "type": "integer", "minimum": 1024, "description": "a number of bytes, at least 1024" },
        "maxHeaderBytes": { "type": "integer", "minimum": 1024, "description": "a number of bytes, at least 1024" },
        "maxConnections": { "type": "integer", "minimum": 1, "description": "a number of connections" },
        "maxOutputTokens": { "type": "integer", "minimum": 1, "description": "a number of tokens" },
        "requestTimeoutMs": { "type": "integer", "minimum": 1, "description": "a whole number of milliseconds" },
        "readTimeoutMs": { "type": "integer", "minimum": 1, "description": "a whole number of milliseconds" },
        "writeTimeoutMs": { "type": "integer", "minimum": 1, "description": "a whole number of milliseconds" },
        "drainTimeoutMs": { "type": "integer", "minimum": 0, "description": "a whole number of milliseconds" } } },
    "operators": { "type": "array", "description": "a list of operators with name and keySha256",
      "items": { "type": "object", "additionalProperties": false, "required": ["name", "keySha256"],
        "properties": {
          "name": { "type": "string", "minLength": 1, "description": "the operator's name for the history" },
          "keySha256": { "type": "string", "pattern": "^[0-9a-f]{64}$",
            "description": "the SHA-256 of the operator's key, as 64 hexadecimal digits" } } } }
  }
})json";

    constexpr std::string_view AgentSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["nodeName", "dataCentre", "service", "adminListen", "peerListen", "platform", "backend"],
  "properties": {
    "nodeName": { "type": "string", "minLength": 1, "description": "the name of the backend server's VM" },
    "dataCentre": { "type": "string", "minLength": 1, "description": "the name of the data centre" },
    "service": { "type": "string", "minLength": 1, "description": "the service that the backend server belongs to" },
    "adminListen": { "type": "string", "description": "the address for metrics and health, as ip:port" },
    "peerListen": { "type": "string", "description": "the address for entries, as ip:port" },
    "platform": { "type": "string", "description": "the address of the platform's services, as ip:port" },
    "weightStore": { "type": "string", "description": "the address of the weight store, as ip:port" },
    "peers": { "type": "array", "items": { "type": "string" },
      "description": "peer addresses of entries, as a list of ip:port, queried for the configuration while the log is unavailable" },
    "logLevel": { "enum": ["trace", "debug", "info", "warn", "error"],
      "description": "one of trace, debug, info, warn, error" },
    "shards": { "type": "integer", "minimum": 1, "maximum": 256, "description": "a number of state shards from 1 to 256" },
    "threads": { "type": "integer", "minimum": 1, "maximum": 256, "description": "a number of threads from 1 to 256" },
    "backend": { "type": "object", "additionalProperties": false, "required": ["kind", "address"],
      "description": "an object with kind, address and, for an engine, checksFence",
      "properties": {
        "kind": { "enum": ["engine", "application"], "description": "engine or application" },
        "address": { "type": "string", "description": "the backend server's address, as ip:port; for an engine an address that other engines can reach, since they fetch KV caches from it" },
        "checksFence": { "type": "boolean", "description": "true if the engine rejects commands with a stale fencing token" } } },
    "leaseDurationMs": { "type": "integer", "minimum": 100, "description": "a whole number of milliseconds, at least 100" },
    "prefillsAtOnce": { "type": "integer", "minimum": 1, "description": "the number of prefills that the engine runs concurrently" },
    "maxQueuedAsks": { "type": "integer", "minimum": 0, "description": "the number of reservation requests that may be queued" },
    "drainTimeoutMs": { "type": "integer", "minimum": 0, "description": "a whole number of milliseconds" },
    "stateIntervalMs": { "type": "integer", "minimum": 10, "description": "a whole number of milliseconds, at least 10" }
  }
})json";

} // namespace

std::string_view entrySettingsSchema() { return EntrySchema; }

std::string_view agentSettingsSchema() { return AgentSchema; }

} // namespace peridotgrade
