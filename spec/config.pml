// variants: NO_COMPARE_AND_SET ADOPT_ANY_VERSION RETRY_WITHOUT_LOG_CHECK REBASE_AFTER_LOG_CHECK NO_TERM_CHECK UNCHECKED_ENTRIES
//
// Acceptance and spread of configuration (docs/design.md, section 6). Guarantee G8: a configuration,
// once accepted, never reverts.
//
// Modelled: operators 0 and 1 of term 1 that edit at the same time, a handover to term 2 at any
// moment, operator 2 of term 2, two routers. A transaction may take effect at any time after it was
// sent, also after its operator has stopped waiting, and its answer may be lost. Configuration
// fetched from a peer may arrive late and twice. Routers restart at any moment and fetch from the
// platform or from a peer.
//
// Bounds: 3 operators with 1 edit each and at most 2 tries; 2 transactions in flight for operator 0,
// 1 for each other one; 3 versions; 2 routers, of which router 0 restarts once and asks
// router 1 and the platform, and router 1 asks the platform only; 1 term change. Outside of the model: the contents of rows and their validation, liveness and the time
// within which a version spreads (measured by jujubevalve-gossip-measure), more than one handover,
// the size of a snapshot, platform reads that return outdated rows (the table service is
// transactional).
//
// Transitions and the functions that carry them out:
//   send_edit            apply_planner: the transaction from the base version, with its apply id
//   platform_transaction the table service; conditions listed by apply_planner
//   resolve              apply_planner: the search for the apply id in the log
//   apply_entries        config_history: adopts entries that follow the version in force
//   adopt_snapshot       config_history: adopts a snapshot of a higher version
//   query_peer, receive  peer_client::call(config_request) and peer_handler::config
//   poll_platform        the router's read of config/head and config/log
//   restart              a new incarnation: an empty config_history

#define OPERATORS 3
#define ROUTERS 2
#define EDITS 3        // edits are numbered by their apply ids from 1
#define MAX_VERSION 3
#define TRIES 2
#define SLOTS 4        // transactions in flight: 0 and 1 of operator 0, 2 of 1, 3 of 2
#define OWNER(s) (s == 0 -> 0 : s - 1)
#define FIRST(op) (op == 0 -> 0 : op + 1)
#define LAST(op) (op + 1)

// Platform rows.
byte head = 0;
byte term = 1;
byte log_id[MAX_VERSION + 1];

// Ghost variable: the entries up to a version as digits of a number, to compare whole prefixes.
short prefix[MAX_VERSION + 1];

typedef transaction {
  bool used;
  byte base;
  byte id;
  byte term;
  byte try
};
transaction net[SLOTS];

// What operators were told, and what they wait for. Answers: 0 none, 1 accepted, 2 refused.
byte waiting_try[OPERATORS];
byte answer[OPERATORS];
byte accepted_at[EDITS + 1];   // version at which the edit was reported accepted, 0 = not reported
bool refused[EDITS + 1];       // reported as certainly not applied

// Routers.
typedef router_state {
  byte term;
  byte version;
  short entries;               // the applied entries as digits, like prefix
  bool offered;                // an answer of a peer is under way
  byte offer_since;
  byte offer_version;
  byte offer_term;
  bool offer_snapshot;
  bool restarted
};
router_state routers[ROUTERS];

inline check_accepted() {
  d_step {
    byte e;
    e = 1;
    do
    :: e <= EDITS ->
       // An accepted edit is never lost from the log.
       assert(accepted_at[e] == 0 || log_id[accepted_at[e]] == e);
       e++
    :: else -> break
    od;
    e = 0
  }
}

// One transaction at the table service: all conditions and all writes, or nothing.
inline platform_transaction(s) {
  atomic {
    net[s].used ->
    bool ok;
    ok = true;
#ifndef NO_COMPARE_AND_SET
    ok = ok && head == net[s].base;
#endif
#ifndef NO_TERM_CHECK
    ok = ok && term == net[s].term;
#endif
    ok = ok && net[s].base < MAX_VERSION;
    if
    :: ok ->
       assert(term == net[s].term);          // no write by an old term after the change
       assert(!refused[net[s].id]);          // a refusal that was reported stays true
       byte v;
       v = 1;
       do
       :: v <= head -> assert(log_id[v] != net[s].id); v++   // no edit is applied twice
       :: else -> break
       od;
       head = net[s].base + 1;
       log_id[head] = net[s].id;
       prefix[head] = prefix[head - 1] * 4 + net[s].id;
       v = 0;
       check_accepted()
    :: else -> skip
    fi;
    // The answer reaches an operator that still waits for it, or is lost.
    if
    :: waiting_try[OWNER(s)] == net[s].try -> answer[OWNER(s)] = (ok -> 1 : 2)
    :: true -> skip
    fi;
    net[s].used = false;
    net[s].base = 0; net[s].id = 0; net[s].term = 0; net[s].try = 0;
    ok = false
  }
}

proctype platform() {
end:
  do
  :: platform_transaction(0)
  :: platform_transaction(1)
  :: platform_transaction(2)
  :: platform_transaction(3)
  od
}

inline report_accepted(id, v) {
  byte other;
  other = 1;
  do
  :: other <= EDITS ->
     // Two accepted edits never have the same version.
     assert(other == id || accepted_at[other] != v);
     other++
  :: else -> break
  od;
  other = 0;
  accepted_at[id] = v;
  check_accepted()
}

// Looks for the apply id in the log; found is its version or 0.
inline resolve(id, found) {
  byte w;
  found = 0;
  w = 1;
  do
  :: w <= head -> 
     if
     :: log_id[w] == id -> found = w
     :: else -> skip
     fi;
     w++
  :: else -> break
  od;
  w = 0
}

inline send_edit(s, b, i, t, n) {
  net[s].used = true; net[s].base = b; net[s].id = i; net[s].term = t; net[s].try = n
}

// Each try reads the head first, then looks for its apply id in the log, then sends from the head
// that it has read. In the other order (REBASE_AFTER_LOG_CHECK) an earlier transaction of the same
// edit can take effect between the two reads, and the edit is applied twice.
proctype operator(byte op; byte my_term; byte id) {
  byte base;
  byte try;
  byte found;
  bool certain;
  do
  :: !net[FIRST(op)].used || !net[LAST(op)].used ->
#ifndef REBASE_AFTER_LOG_CHECK
     base = head;
#endif
     atomic {
#ifndef RETRY_WITHOUT_LOG_CHECK
       resolve(id, found);
       if
       :: found > 0 -> report_accepted(id, found)
       :: found == 0 && certain -> refused[id] = true
       :: else -> skip
       fi;
#endif
       certain = false;
       if
       :: found > 0 || refused[id] || try == TRIES ->    // at the last: the outcome is unknown
          base = 0;
          break
       :: else -> try++
       fi
     };
#ifdef REBASE_AFTER_LOG_CHECK
     base = head;
#endif
     atomic {
       waiting_try[op] = try;
       if
       :: !net[FIRST(op)].used -> send_edit(FIRST(op), base, id, my_term, try)
       :: else -> send_edit(LAST(op), base, id, my_term, try)
       fi
     };
     if
     :: atomic { answer[op] == 1 ->
          waiting_try[op] = 0; answer[op] = 0;
          report_accepted(id, base + 1)
        };
        break
     :: atomic { answer[op] == 2 -> waiting_try[op] = 0; answer[op] = 0; certain = true }
     :: atomic { true -> waiting_try[op] = 0; answer[op] = 0 }    // stops waiting
     fi
  od;
  atomic { base = 0; found = 0; try = 0 }      // fewer states
}

proctype handover() {
  if
  :: atomic { true -> term = 2 };
     run operator(2, 2, 3)
  :: true -> skip
  fi
}

inline put_in_force(r, new_v, new_e) {
  assert(new_v >= routers[r].version);        // never back to a lower version while running
  routers[r].version = new_v;
  routers[r].entries = new_e;
  // In force is exactly the log up to that version: every entry, once, in order.
  assert(routers[r].entries == prefix[routers[r].version])
}

// Entries after `since` up to `to`, as the platform or a peer sends them.
inline apply_entries(r, since, to) {
  byte k;
  k = since + 1;
  do
  :: k <= to ->
     if
#ifdef UNCHECKED_ENTRIES
     :: true -> put_in_force(r, k, routers[r].entries * 4 + log_id[k])
#else
     :: k == routers[r].version + 1 -> put_in_force(r, k, routers[r].entries * 4 + log_id[k])
     :: else -> skip
#endif
     fi;
     k++
  :: else -> break
  od;
  k = 0
}

inline adopt_snapshot(r, v) {
  if
#ifdef ADOPT_ANY_VERSION
  :: true -> put_in_force(r, v, prefix[v])
#else
  :: v > routers[r].version -> put_in_force(r, v, prefix[v])
  :: else -> skip
#endif
  fi
}

inline clear_offer(r) {
  routers[r].offered = false;
  routers[r].offer_since = 0; routers[r].offer_version = 0;
  routers[r].offer_term = 0; routers[r].offer_snapshot = false
}

inline receive(r) {
  if
  :: routers[r].offer_term >= routers[r].term && routers[r].offer_snapshot ->
     adopt_snapshot(r, routers[r].offer_version)
  :: routers[r].offer_term >= routers[r].term && !routers[r].offer_snapshot ->
     apply_entries(r, routers[r].offer_since, routers[r].offer_version)
  :: else -> skip
  fi;
  if
  :: clear_offer(r)
  :: true -> skip                             // arrives once more later
  fi
}

proctype router(byte r) {
end:
  do
  :: atomic {                                 // poll_platform
       routers[r].version < head && routers[r].term == term ->
       apply_entries(r, routers[r].version, head)
     }
  :: atomic {                                 // query_peer: the peer answers now, it arrives later
       r == 0 && !routers[r].offered && routers[1].term == routers[r].term &&
       routers[1].version > 0 ->
       routers[r].offered = true;
       routers[r].offer_since = routers[r].version;
       routers[r].offer_version = routers[1].version;
       routers[r].offer_term = routers[1].term;
       routers[r].offer_snapshot = routers[r].version == 0
     }
  :: atomic { routers[r].offered -> receive(r) }
  :: atomic {                                 // restart, with the term of that moment
       r == 0 && !routers[r].restarted ->
       routers[r].restarted = true;
       routers[r].version = 0;
       routers[r].entries = 0;
       routers[r].term = term;
       clear_offer(r)                         // its connections end with the process
     }
  od
}

init {
  atomic {
    routers[0].term = 1;
    routers[1].term = 1;
    run platform();
    run operator(0, 1, 1);
    run operator(1, 1, 2);
    run handover();
    run router(0);
    run router(1)
  }
}
