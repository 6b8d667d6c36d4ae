// Messages between peridotgrade processes, sent in the compact protocol as length-prefixed frames.
//
// Each struct corresponds to the type of core/messages with the same name, except that AskPlace is ReservationRequest
// there, PlaceGranted is ReservationGranted and PlaceRefused is ReservationRefused. Times are in milliseconds. Unsigned
// numbers are sent as signed numbers of the same width, enumerators as their position. Members of the unions are
// references, so that an empty union is small. Fields are only ever added, with new numbers.
namespace cpp peridotgrade.wire

struct AttemptId {
  1: i64 request
  2: i32 number
}

struct LiveLoad {
  1: i32 placesFree
  2: i32 placesTotal
  3: i32 asksQueued
  4: i64 prefillBacklogMs
  5: double prefillTokensPerSecond
}

// Sessions

struct OpenSession {
  1: string entry
  2: i64 incarnation
  3: i64 version
}

struct SessionOpened {
  1: string agent
  2: i64 incarnation
  3: i64 epoch
  4: i64 leaseDurationMs
  5: i64 version
  6: bool draining
}

struct RenewSession {
  1: i64 epoch
  2: list<AttemptId> held
  3: i64 version
}

struct SessionRefused {
  1: i64 epoch
}

struct Draining {
}

// Reservations

struct AskPlace {
  1: i64 epoch
  2: AttemptId attempt
  3: string model
  4: i64 fingerprint
  5: i8 priority
  6: i32 promptTokens
  7: i32 maxOutputTokens
  8: i64 maxQueueTimeMs
  9: bool isSuspect
  10: i64 version
}

struct PlaceGranted {
  1: AttemptId attempt
  2: LiveLoad load
}

struct PlaceRefused {
  1: AttemptId attempt
  2: i8 reason
  3: i64 expectedWaitMs
  4: LiveLoad load
}

struct ReleaseAttempt {
  1: i64 epoch
  2: AttemptId attempt
}

// Prefill, KV transfer and token streams

struct StartPrefill {
  1: i64 epoch
  2: AttemptId attempt
  3: string model
  4: i64 fingerprint
  5: i8 priority
  6: binary prompt
  7: i32 promptTokens
  8: i64 timeLeftMs
  9: bool isSuspect
  10: i64 version
}

struct PrefillFinished {
  1: AttemptId attempt
  2: string handle
  3: string exporter
  4: i64 kvBytes
  5: i32 cachedTokens
  6: i64 keptForMs
  7: LiveLoad load
}

struct StartDecode {
  1: i64 epoch
  2: AttemptId attempt
  3: string model
  4: binary prompt
  5: i32 firstIndex
  6: i32 maxOutputTokens
  7: i8 priority
  8: string handle
  9: string exporter
  10: i64 timeLeftMs
  11: i64 version
}

struct TokenFrame {
  1: AttemptId attempt
  2: i32 firstIndex
  3: list<binary> pieces
  4: bool isLast
  5: i8 finishReason
}

struct AttemptFailed {
  1: AttemptId attempt
  2: i8 reason
  3: LiveLoad load
}

struct EngineCrashed {
  1: list<i64> running
  2: i64 engine
}

struct CacheChanged {
  1: i64 sequence
  2: list<i64> addedPrefixes
  3: list<i64> evictedPrefixes
}

// Application calls

struct HeaderField {
  1: string name
  2: binary value
}

struct ApplicationCall {
  1: string method
  2: binary target
  3: string contentType
  4: list<HeaderField> headers
  5: binary body
}

struct ApplicationAnswer {
  1: i16 status
  2: string contentType
  3: list<HeaderField> headers
  4: binary body
}

struct StartRead {
  1: AttemptId attempt
  2: ApplicationCall call
  3: i64 timeLeftMs
  4: i64 version
}

struct ReadAnswered {
  1: AttemptId attempt
  2: ApplicationAnswer answer
}

struct ReadFailed {
  1: AttemptId attempt
  2: bool isDraining
}

struct StartAction {
  1: AttemptId attempt
  2: string key
  3: i64 nonce
  4: i64 incarnation
  5: ApplicationCall call
  6: i64 timeLeftMs
  7: i64 version
}

struct QueryAction {
  1: AttemptId attempt
  2: string key
  3: i64 incarnation
  4: bool seal
}

struct ActionReport {
  1: AttemptId attempt
  2: string key
  3: i64 incarnation
  4: i8 state
  5: ApplicationAnswer answer
}

// Configuration versions and quarantines, between any two processes

struct VersionNotice {
  1: i64 version
}

struct FetchConfiguration {
  1: i64 have
}

struct ConfigurationSnapshot {
  1: i64 version
  2: binary snapshot
}

struct QuarantineNotice {
  1: list<i64> quarantined
}

// Frames. Members that both unions share have the same numbers in both, so that a process can read them from either.

// Sent by an entry shard to an agent or to another entry.
union EntryMessage {
  1: OpenSession& openSession
  2: RenewSession& renewSession
  3: AskPlace& askPlace
  4: ReleaseAttempt& releaseAttempt
  5: StartPrefill& startPrefill
  6: StartDecode& startDecode
  7: StartRead& startRead
  8: StartAction& startAction
  9: QueryAction& queryAction
  30: VersionNotice& versionNotice
  31: FetchConfiguration& fetchConfiguration
  32: ConfigurationSnapshot& configurationSnapshot
  33: QuarantineNotice& quarantineNotice
}

// Sent by an agent to an entry shard.
union AgentMessage {
  1: SessionOpened& sessionOpened
  2: SessionRefused& sessionRefused
  3: Draining& draining
  4: PlaceGranted& placeGranted
  5: PlaceRefused& placeRefused
  6: PrefillFinished& prefillFinished
  7: TokenFrame& tokenFrame
  8: AttemptFailed& attemptFailed
  9: EngineCrashed& engineCrashed
  10: CacheChanged& cacheChanged
  11: ReadAnswered& readAnswered
  12: ReadFailed& readFailed
  13: ActionReport& actionReport
  30: VersionNotice& versionNotice
  31: FetchConfiguration& fetchConfiguration
  32: ConfigurationSnapshot& configurationSnapshot
  33: QuarantineNotice& quarantineNotice
}

// `clock` is the sender's hybrid logical clock.
struct EntryFrame {
  1: i64 clock
  2: EntryMessage message
}

struct AgentFrame {
  1: i64 clock
  2: AgentMessage message
}

// Quotas of tenants, one frame in a datagram between gateways. The codec writes these structs with Thrift's protocol
// classes itself (wire/quota_codec.cpp); the fields are described in core/admission/quota_request.h and quota_grant.h.

struct QuotaRequest {
  1: i64 requestId
  2: string member
  3: i64 configVersion
  4: string tenant
  5: double tokens
  6: double needed
  7: double returned
  8: double recentlyUsed
  9: double waiting
}

struct QuotaGrant {
  1: i64 requestId
  2: string tenant
  3: double tokens
  4: i64 retryAfterMs
  5: bool isHolder
  6: string holder
}

union QuotaFrame {
  1: QuotaRequest request
  2: QuotaGrant grant
}

// Observations of servers, one message in a datagram between gateways, after a byte with the version and one with the type
// (wire/peer_codec.h). The codec uses Thrift's protocol classes itself; the fields are described in core/serving/role_notice.h,
// end_notice.h and pace_digest.h. `startedAt` is in milliseconds.

struct RoleNotice {
  1: string server
  2: i64 startedAt
  3: i64 role
  4: i64 durationMs
}

struct EndNotice {
  1: string server
  2: i64 startedAt
}

struct PaceEvidence {
  1: string server
  2: i64 startedAt
  3: i64 kind
  5: double meanLog
  6: double weight
}

struct PaceDigest {
  7: list<PaceEvidence> entries
}
