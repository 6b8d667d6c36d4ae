// JSON Schema of intents. One object type has the keys of all kinds; the intent codec checks which keys a
// kind needs. With one schema for each kind, an error would list all schemas that did not match instead of
// naming the intent and the key.
#include "peridotgrade/operators/intents_schema.h"

namespace peridotgrade {

namespace {

    constexpr std::string_view Schema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["intents"],
  "properties": {
    "intents": {
      "type": "array", "minItems": 1, "description": "a list of intents",
      "items": {
        "type": "object", "additionalProperties": false, "required": ["kind"],
        "properties": {
          "kind": { "enum": ["serveModel", "stopModel", "admitWorkspace", "dismissWorkspace", "offerService",
                             "withdrawService", "shareCommitment", "oweCommitment"],
            "description": "one of serveModel, stopModel, admitWorkspace, dismissWorkspace, offerService, withdrawService, shareCommitment, oweCommitment" },
          "id": { "type": "string", "minLength": 1, "description": "the name of the workspace or service" },
          "service": { "type": "string", "minLength": 1, "description": "the name of a service" },
          "serviceKind": { "enum": ["model", "application"], "description": "model or application" },
          "model": { "type": "string", "minLength": 1, "description": "the name that callers give for the model" },
          "modelVersion": { "type": "string", "minLength": 1, "description": "a version in the weight store" },
          "adapters": { "type": "array", "items": { "type": "string" }, "description": "a list of adapter names" },
          "prefillEngines": { "type": "integer", "minimum": 0, "description": "a number of engines" },
          "decodeEngines": { "type": "integer", "minimum": 0, "description": "a number of engines" },
          "mixedEngines": { "type": "integer", "minimum": 0, "description": "a number of engines" },
          "weightBytes": { "type": "integer", "minimum": 0, "description": "the size of the weights in bytes" },
          "maxShareAtOnce": { "type": "number", "minimum": 0, "maximum": 1, "description": "a part of the pool above 0, up to 1" },
          "keySha256": { "type": "string", "pattern": "^[0-9a-f]{64}$",
            "description": "the SHA-256 of the workspace's key, as 64 hexadecimal digits" },
          "priority": { "enum": ["urgent", "normal", "patient"], "description": "urgent, normal or patient" },
          "requestsPerSecond": { "type": "number", "minimum": 0, "description": "a rate, 0 for no limit" },
          "outputTokensPerSecond": { "type": "number", "minimum": 0, "description": "a rate, 0 for no limit" },
          "share": { "type": "number", "minimum": 0, "description": "for a workspace its weight, for a service its part of the commitment" },
          "periodDays": { "type": "integer", "minimum": 1, "description": "a number of days" },
          "spendMinorUnits": { "type": "integer", "minimum": 0, "description": "an amount in the smallest unit of the currency" },
          "engineHourMinorUnits": { "type": "integer", "minimum": 0, "description": "the price of one engine for an hour, in the smallest unit of the currency" }
        }
      }
    }
  }
})json";

} // namespace

std::string_view intentsSchema() { return Schema; }

} // namespace peridotgrade
