// Messages between the instances of a fleet. Generated code is committed in gen/:
//   thrift --gen cpp:no_skeleton -out gen peer.thrift
// Fields may be added with new numbers; a number is never used again for something else.
namespace cpp jujubevalve.wire

// First frame of a connection, from the side that opened it.
struct hello {
  1: i32 protocol
  2: i64 term
  3: string incarnation
}

// First frame of the other direction. A code other than 0 closes the connection.
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

// Both halves of a gossip exchange.
struct gossip {
  1: heartbeat own
  2: i64 config_term
  3: i64 config_version
  // Ids and values of the heartbeats of other incarnations, in the same order.
  4: list<i64> ids
  5: list<i64> states_and_heartbeats
  6: optional list<member> details
  7: optional list<i64> wanted
  8: optional list<string> sought
  9: optional list<budget_hint> hints
  // Number of instances that the sender does not suspect.
  10: i64 known
  // Instances that could not be reached, with the last heartbeat that the sender knows.
  11: optional list<heartbeat> doubts
}

// Asks for the log entries after a version, or for a page of the whole tables.
struct config_request {
  1: i64 term
  2: i64 since_version
  3: bool snapshot
  // The `next_cursor` of the page before; empty for the first page.
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
  // Empty when nothing follows.
  7: string next_cursor
}

// A call with a key that the receiver issued, sent on by the instance that the caller reached.
struct forward_request {
  1: string account
  2: string key
  3: string kind
  4: string body
  5: string content_type
  6: i64 timeout_ms
  // The caller's number of its attempt, 0 if it does not count them.
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

// An incarnation that has run short of a budget asks another one for a part of its grant.
struct transfer_request {
  1: string receiver
  2: string budget
  3: i64 amount
}

// `offers` holds the new transfer and earlier ones that are not acknowledged yet.
struct transfer_reply {
  1: i32 code
  2: list<transfer> offers
}

// Answers to transfers by their numbers. A refused one is not credited and never will be, so its
// sender takes it back.
struct transfer_ack {
  1: i32 code
  2: string receiver
  3: list<i64> credited
  4: list<i64> refused
}

// Delivers transfers again until they are acknowledged; `ack` answers earlier ones of the receiver
// of this message.
struct transfer_offer {
  1: list<transfer> offers
  2: optional transfer_ack ack
}

// Asks for the totals exchanged with incarnations that are being closed. The asked peer refuses
// every later transfer from and to them before it answers.
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
