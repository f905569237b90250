namespace java io.vanillapoint.wire.generated

struct TMember { 1: string vm, 2: i64 listedAt }
struct TView { 1: list<string> vms }
struct TNews { 1: i64 digest, 2: i64 knownDigest, 3: list<TMember> members }
struct TLease { 1: i64 sequence, 2: double share, 3: i64 durationMillis, 4: list<TView> views, 5: i64 viewsOf }
struct THello { 1: string vm, 2: i64 incarnation, 3: i32 protocol }
struct THeartbeat {
  1: i64 incarnation, 2: i64 sequence, 3: i64 listedAt, 4: bool leaving,
  5: i64 heldIncarnation, 6: i64 heldSequence, 7: i64 configRevision, 8: TNews news
}
struct THeartbeatReply {
  1: i64 incarnation, 2: i64 askerIncarnation, 3: i64 sequence, 4: bool active, 5: bool counted,
  6: i64 configRevision, 7: TNews news, 8: optional TLease lease
}
struct TReserveRequest { 1: i64 id, 2: string customer, 3: double tokens, 4: string purpose }
struct TReserveReply { 1: i64 id, 2: double granted, 3: i64 retryAfterMillis, 4: double share }
struct TSettle { 1: i64 id, 2: double unused }
struct TRegisterRequest { 1: i64 id, 2: string key, 3: string attempt, 4: string fingerprint, 5: string origin }
struct TStoredAnswer { 1: i32 status, 2: string contentType, 3: binary body }
struct TRegisterReply {
  1: i64 id, 2: string status, 3: bool fingerprintMatches, 4: optional TStoredAnswer answer
}
struct TCompleteKey { 1: string key, 2: string attempt, 3: string outcome, 4: optional TStoredAnswer answer }
struct TConfigRequest { 1: i64 newerThan }
struct TPublishedValue { 1: string key, 2: i64 revision, 3: string json }
struct TConfigReply { 1: i64 completeTo, 2: list<TPublishedValue> values }
struct THeader { 1: string name, 2: string value }
struct THop { 1: string vm, 2: string region }
struct TForwardRequest {
  1: i64 stream, 2: optional string customer, 3: string kind, 4: string target, 5: string method,
  6: string uri, 7: list<THeader> headers, 8: binary body, 9: list<THop> path, 10: bool repeatable,
  11: i64 tokens
}
struct TForwardHead { 1: i64 stream, 2: i32 status, 3: list<THeader> headers }
struct TForwardData { 1: i64 stream, 2: binary bytes }
struct TForwardEnd { 1: i64 stream, 2: i64 bytes }
struct TForwardFailure { 1: i64 stream, 2: string code, 3: string message, 4: string runState, 5: i64 retryAfterMillis }
struct TForwardCancel { 1: i64 stream }
struct TForwardCredit { 1: i64 stream, 2: i64 bytes }
struct TForwardStalled { 1: i64 stream }

struct TLoadRequest { 1: string kind, 2: string target }
struct TLoadReply { 1: string kind, 2: string target, 3: string region, 4: double load }

/** One frame between two VMs. */
union TEnvelope {
  1: THello hello
  2: THeartbeat heartbeat
  3: THeartbeatReply heartbeatReply
  4: TReserveRequest reserveRequest
  5: TReserveReply reserveReply
  6: TSettle settle
  7: TRegisterRequest registerRequest
  8: TRegisterReply registerReply
  9: TCompleteKey completeKey
  10: TConfigRequest configRequest
  11: TConfigReply configReply
  12: TForwardRequest forwardRequest
  13: TForwardHead forwardHead
  14: TForwardData forwardData
  15: TForwardEnd forwardEnd
  16: TForwardFailure forwardFailure
  17: TForwardCancel forwardCancel
  18: TForwardCredit forwardCredit
  19: TLoadRequest loadRequest
  20: TLoadReply loadReply
  21: TForwardStalled forwardStalled
}

/** A VM as another VM knows it. State: 0 starting, 1 ready, 2 draining, 3 gone. */
struct TFleetMember {
  1: string vm, 2: string host, 3: string region, 4: string zone, 5: i64 incarnation, 6: i32 state,
  7: i64 ageMillis, 8: i32 capacity
}
struct TCustomerUse { 1: string customer, 2: i64 tokens, 3: i64 level }
struct TUpstreamUse {
  1: string upstream, 2: i32 requests, 3: i64 promptTokens,
  4: optional i32 unanswered, 5: optional i32 answered,
  6: optional i32 failures, 7: optional i32 successes,
  8: optional i32 deferrableRequests, 9: optional i64 deferrablePromptTokens,
  10: optional i32 slowdownPercent, 11: optional i32 slowdownAgeMillis
}
struct TSessionRead { 1: i64 session, 2: string upstream, 3: i32 ageMillis }
struct TSuspectRequest { 1: i64 crash, 2: i32 ageMillis, 3: i32 stage, 4: i64 customer, 5: list<i64> parts }
struct TPartSuccess { 1: i64 part, 2: i32 ageMillis }
/** Customer: 0 if the requests of all customers are withheld. */
struct TPromptHold { 1: list<i64> parts, 2: i64 customer, 3: i64 heldMillis, 4: i32 idleMillis, 5: i32 probes }
struct TQuarantine {
  1: list<TPromptHold> holds, 2: list<TSuspectRequest> suspects, 3: list<TPartSuccess> successes
}
struct TFleetReport {
  1: TFleetMember sender, 2: i64 sequence, 3: i64 publishedRevision, 4: list<TCustomerUse> customers,
  5: list<TUpstreamUse> upstreams, 6: list<TFleetMember> others, 7: list<TSessionRead> reads,
  8: bool readsStore, 9: i32 load, 10: i32 fleetSize,
  11: optional i32 upstreamPage, 12: optional i32 upstreamPages, 13: optional bool customersLeftOut,
  14: optional i32 regionVms, 15: optional TQuarantine quarantine, 16: optional i64 storeEra,
  17: optional list<string> unreachable, 18: optional map<string, i32> rejectionLimits
}
struct TStoredItem { 1: string key, 2: i64 revision, 3: bool removed, 4: binary value }
struct TStoredDelta { 1: i64 revision, 2: list<TStoredItem> items, 3: bool complete, 4: optional i64 era }
struct TRelayRequest {
  1: string requestId, 2: string route, 3: string serviceName, 4: optional string customer,
  5: i32 remainingMillis, 6: string method, 7: string uri, 8: list<THeader> headers, 9: binary body,
  10: optional i64 configurationVersion
}
