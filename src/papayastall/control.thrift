// Commands of the replicated groups, their results and snapshots, and the
// messages that carry them between nodes. For compatibility, fields may only be
// added.

struct DocumentText {
  1: string name,
  2: i64 revision,
  3: string digest,
  4: i64 floor_slots,
  5: string text,
}

struct ApplyDocuments {
  1: list<DocumentText> documents,
}

struct ChangeRoutes {
  1: string digest,
  2: string text,
  3: binary deflated_text,
}

struct UpstreamReport {
  1: string upstream,
  2: string service_name,
  3: i32 slots,
  4: i32 state,
}

struct ReportUpstreams {
  1: string owner,
  2: i64 epoch,
  3: i64 sequence,
  4: bool full,
  5: list<UpstreamReport> upstreams,
}

struct AskPermit {
  1: string owner,
  2: i64 epoch,
  3: i64 sequence,
  4: string upstream,
  5: string service_name,
  6: i32 reason,
  7: i64 config_index,
}

struct Claim {
  1: binary key,
  2: binary token,
  3: binary digest,
  4: i64 timeout_ms,
}

struct Header {
  1: binary name,
  2: binary value,
}

struct Answer {
  1: i32 status,
  2: list<Header> headers,
  3: binary body,
}

struct RecordOutcome {
  1: binary key,
  2: binary token,
  3: Answer answer,
  4: i64 size_bytes,
}

struct ReleaseClaim {
  1: binary key,
  2: binary token,
}

struct Command {
  1: i32 version,
  2: ApplyDocuments apply_documents,
  3: ReportUpstreams report_upstreams,
  4: AskPermit ask_permit,
  5: Claim claim,
  6: RecordOutcome record_outcome,
  7: ReleaseClaim release_claim,
  8: ChangeRoutes change_routes,
}

struct ObservedSlots {
  1: string owner,
  2: i64 slots,
}

struct LogEntry {
  1: i32 version,
  2: i64 time_ms,
  3: Command command,
  4: list<ObservedSlots> observed,
}

struct DocumentVerdict {
  1: string name,
  2: i64 revision,
  3: i32 state,
  4: i64 current_revision,
  5: string current_digest,
}

struct DocumentsResult {
  1: bool accepted,
  2: i64 index,
  3: list<DocumentVerdict> verdicts,
}

struct ReportResult {
  1: i32 state,
  2: i64 epoch,
}

struct PermitResult {
  1: i32 state,
  2: i64 epoch,
  3: i64 healthy_slots,
  4: i64 floor_slots,
  5: i64 config_index,
}

struct ClaimResult {
  1: i32 state,
  2: Answer answer,
  3: i64 retry_after_ms,
}

struct RoutesResult {
  1: i32 state,
  2: i64 index,
  3: string problem,
}

struct Result {
  1: i32 version,
  2: DocumentsResult documents,
  3: ReportResult report,
  4: PermitResult permit,
  5: ClaimResult claim,
  6: RoutesResult routes,
}

struct StoredRevision {
  1: i64 revision,
  2: string digest,
  3: i64 index,
}

struct StoredDocument {
  1: DocumentText document,
  2: i64 index,
  3: list<StoredRevision> history,
}

struct StoredUpstream {
  1: UpstreamReport report,
  2: string owner,
  3: i64 granted_index,
}

struct StoredOwner {
  1: string owner,
  2: i64 epoch,
  3: i64 sequence,
  4: i64 renewed_ms,
  5: Result last_result,
}

struct ControlSnapshot {
  1: i32 version,
  2: i64 time_ms,
  3: list<StoredDocument> documents,
  4: list<StoredOwner> owners,
  5: list<StoredUpstream> upstreams,
}

struct StoredClaim {
  1: binary key,
  2: binary token,
  3: binary digest,
  4: i32 state,
  5: i64 running_until_ms,
  6: i64 expires_ms,
  7: Answer answer,
  8: i32 status,
  9: list<binary> released_tokens,
}

struct ClaimSnapshot {
  1: i32 version,
  2: i64 time_ms,
  3: list<binary> claims,
}

struct IndexedDocument {
  1: i64 index,
  2: DocumentText document,
}

struct FetchDocuments {
  1: i32 version,
  2: i64 after_index,
  3: bool confirm,
}

struct FetchedDocuments {
  1: i32 version,
  2: i64 index,
  3: list<IndexedDocument> documents,
  4: bool more,
  5: bool authoritative,
  6: bool confirmed,
}

struct GroupCall {
  1: i32 version,
  2: i32 group,
  3: Command command,
}

struct GroupAnswer {
  1: i32 version,
  2: i32 state,
  3: Result result,
  4: string leader,
}
