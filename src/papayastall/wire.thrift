// Frames between nodes. A frame is a 4-byte length, the rest of its header
// (version, kind, config index) and the struct of its kind. Fields may be
// added under new numbers; readers ignore unknown numbers.

struct HeaderField {
  1: binary name,
  2: binary value,
}

struct UpstreamNotice {
  1: string upstream,
  2: i64 started_ms,
  3: double limit_per_s,
  4: bool is_leaving,
}

struct Load {
  1: string owner,
  2: string service_name,
  3: i32 slots,
  4: double weight,
  5: i32 in_flight,
  6: i32 queued,
  7: double latency_ms,
  8: list<UpstreamNotice> notices,
  9: double work_s,
  10: double gray_odds,
  11: double repeats_left,
}

struct Hello {
  1: string node,
  2: i64 boot_id,
  3: string failure_domain,
  4: i64 sent_ms,
  5: bool inflates,
  6: bool grants_body,
}

struct Open {
  1: i64 request_id,
  2: string service_name,
  3: string route,
  4: string team,
  5: bool idempotent,
  6: i32 remaining_ms,
  7: double reference_ms,
  8: i64 fingerprint,
  9: binary method,
  10: binary target,
  11: list<HeaderField> headers,
  12: binary body,
  13: bool body_follows,
  14: string claim_token,
  15: string claim_key,
  16: double reference_error_ratio,
  17: double healthy_share,
  18: bool last_resort,
  19: i64 sent_ms,
  20: i32 rank,
  21: i32 objective_ms,
  22: bool wants_proof,
  23: bool is_repeat,
  24: list<UpstreamNotice> notices,
  25: bool is_suspect,
  26: double expected_ms,
  27: i64 body_bytes,
  28: i32 answer_window_bytes,
}

struct BodyChunk {
  1: i64 request_id,
  2: binary data,
  3: bool last,
  4: i64 offset_bytes,
}

struct BodyGrant {
  1: i64 request_id,
  2: i64 limit_bytes,
  3: i64 resume_bytes,
}

struct Cancel {
  1: i64 request_id,
}

struct Credit {
  1: i64 request_id,
  2: i64 received_bytes,
  3: bool done,
  4: i32 window_bytes,
}

struct Query {
  1: i64 request_id,
  2: bool has_head,
  3: i64 received_bytes,
}

struct AnswerHead {
  1: i64 request_id,
  2: i32 status,
  3: list<HeaderField> headers,
  4: Load load,
}

struct AnswerChunk {
  1: i64 request_id,
  2: i64 offset_bytes,
  3: binary data,
  4: bool last,
  5: double waiting_ms,
  6: double upstream_ms,
}

struct Refuse {
  1: i64 request_id,
  2: string code,
  3: bool ran_unknown,
  4: i32 retry_after_ms,
  5: bool final,
  6: Load load,
  7: string message,
}

struct Running {
  1: i64 request_id,
}

struct Ping {
  1: i64 number,
}

struct Pong {
  1: i64 number,
}

struct Cast {
  1: i16 channel,
  2: binary body,
}

struct Call {
  1: i64 call_id,
  2: i16 channel,
  3: binary body,
}

struct CallAnswer {
  1: i64 call_id,
  2: binary body,
  3: string error_code,
  4: string error_message,
}

struct Suspect {
  1: i64 fingerprint,
  2: string upstream,
  3: bool cleared,
  4: bool is_trial,
}

struct OperatorCall {
  1: string name,
  2: string upstream,
}

struct LoadNotice {
  1: Load load,
}
