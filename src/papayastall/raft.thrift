// Messages between the replicas of a control group (channel RAFT).

struct Member {
  1: string address
  2: i64 folder_id
  3: bool voter
  4: i64 boot
  5: i64 boot_nonce
}

struct Members {
  1: list<Member> members
  2: list<i64> retired
}

struct Entry {
  1: i64 index
  2: i64 term
  3: i32 kind
  4: i64 chain
  5: binary payload
}

struct SnapshotMeta {
  1: i64 index
  2: i64 term
  3: i64 chain
  4: Members members
}

struct VoteRequest {
  1: bool pre
  2: bool forced
  3: i64 last_index
  4: i64 last_term
}

struct VoteReply {
  1: bool pre
  2: bool granted
}

struct Append {
  1: i64 prev_index
  2: i64 prev_term
  3: i64 prev_chain
  4: i64 commit_index
  5: optional list<Entry> entries
  6: double sent_s
}

struct AppendReply {
  1: bool success
  2: i64 match_index
  3: i64 last_index
  4: double sent_s
}

struct SnapshotChunk {
  1: SnapshotMeta meta
  2: i64 offset
  3: i64 size_bytes
  4: binary data
  5: double sent_s
}

struct SnapshotReply {
  1: i64 index
  2: i64 next_offset
  3: bool installed
  4: double sent_s
}

struct Join {
  1: bool fresh
  2: i64 list_digest
}

struct StaleNotice {
  1: i64 boot
  2: i64 boot_nonce
  3: string reason
}

struct TimeoutNow {
}

// Exactly one of the fields from 10 on is set. Fields 2 and 3 are set only
// if they differ from those of the batch.
struct Message {
  1: i32 group
  2: optional i64 to_id
  3: optional i64 cluster_id
  4: i64 term
  10: optional VoteRequest vote_request
  11: optional VoteReply vote_reply
  12: optional Append append
  13: optional AppendReply append_reply
  14: optional SnapshotChunk snapshot_chunk
  15: optional SnapshotReply snapshot_reply
  16: optional Join join
  17: optional StaleNotice stale_notice
  18: optional TimeoutNow timeout_now
}

// All messages of one process to another from one iteration of its loop, for
// all groups. The address of the sender is known from the link.
struct Batch {
  1: i64 folder_id
  2: i64 boot
  3: i64 boot_nonce
  4: list<Message> messages
  5: i64 to_id
  6: i64 cluster_id
}
