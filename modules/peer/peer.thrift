// Messages between the instances of a fleet. Generated code is committed in gen/:
//   thrift --gen cpp:no_skeleton -out gen peer.thrift
// Fields may be added with new numbers; numbers are never reused.
namespace cpp jujubevalve.wire

// First frame of a connection, sent by the side that opened it.
struct hello {
  1: i32 protocol
  2: i64 term
  3: string incarnation
}

// First frame in the other direction. A code other than 0 closes the connection.
struct hello_reply {
  1: i32 code
  2: i64 term
  3: string incarnation
}

// `state_and_heartbeat` is twice the heartbeat, plus 1 if the instance is draining.
struct heartbeat {
  1: i64 id
  2: i64 state_and_heartbeat
}

struct member {
  1: string instance
  2: string incarnation
  3: string http_address
  4: string peer_address
  5: string failure_domain
  6: string region
  7: i64 started_ms
  8: i64 state_and_heartbeat
  9: i64 config_term
  10: i64 config_version
}

struct budget_hint {
  1: i64 id
  2: string budget
  3: i64 available
  4: i64 age_ms
}

// Request and reply of a gossip exchange.
struct gossip {
  1: heartbeat own
  2: i64 config_term
  3: i64 config_version
  // Ids and values of the heartbeats of other incarnations, in the same order.
  4: list<i64> ids
  5: list<i64> states_and_heartbeats
  6: optional list<member> details
  // Ids of members whose details the sender lacks.
  7: optional list<i64> wanted
  // Budgets that the sender is running short of.
  8: optional list<string> sought
  9: optional list<budget_hint> hints
  // Number of instances that the sender does not suspect.
  10: i64 known
  // Instances that could not be reached, with the last heartbeat that the sender knows.
  11: optional list<heartbeat> doubts
}

// Requests the log entries after a version, or a page of the complete tables.
struct config_request {
  1: i64 term
  2: i64 since_version
  3: bool snapshot
  // The `next_cursor` of the previous page; empty for the first page.
  4: string cursor
}

// Log entries in ascending order of version as JSON text, or a page of table rows. A receiver
// drops a snapshot whose pages differ in version.
struct config_reply {
  1: i32 code
  2: i64 term
  3: i64 version
  4: list<string> entries
  5: list<string> routes
  6: list<string> pools
  // Empty on the last page.
  7: string next_cursor
}

// A call whose key the receiver issued, forwarded by the instance that the caller contacted.
struct forward_request {
  1: string account
  2: string key
  3: string kind
  4: string body
  5: string content_type
  6: i64 timeout_ms
  // The caller's attempt number, 0 if it does not count attempts.
  7: i32 attempt
}

// `outcome` is a run_outcome: 0 answered, 1 not run, 2 unknown.
struct forward_reply {
  1: i32 code
  2: i32 status
  3: string body
  4: string content_type
  5: i32 outcome
  6: string message
}

// One transfer. `n` counts the transfers from `sender` to `receiver` without gaps, from 1.
struct transfer {
  1: string sender
  2: string receiver
  3: i64 n
  4: string budget
  5: i64 amount
}

// Sent by an incarnation that is low on a budget to request a share of another one's grant.
struct transfer_request {
  1: string receiver
  2: string budget
  3: i64 amount
}

// `offers` holds the new transfer and earlier unacknowledged ones.
struct transfer_reply {
  1: i32 code
  2: list<transfer> offers
}

// Acknowledges transfers by their numbers. A refused transfer is never credited, so its sender
// takes the amount back.
struct transfer_ack {
  1: i32 code
  2: string receiver
  3: list<i64> credited
  4: list<i64> refused
}

// Redelivers transfers until they are acknowledged; `ack` acknowledges earlier transfers from the
// receiver of this message.
struct transfer_offer {
  1: list<transfer> offers
  2: optional transfer_ack ack
}

// Requests the totals exchanged with terminated incarnations whose grants are being reclaimed.
// Before it answers, the receiver starts to refuse every later transfer from and to them.
struct received_query {
  1: list<string> gone
}

struct transfer_total {
  1: string budget
  2: i64 sent
  3: i64 received
}

struct peer_totals {
  1: string gone
  2: list<transfer_total> totals
}

struct received_reply {
  1: i32 code
  2: string receiver
  3: list<peer_totals> totals
}
