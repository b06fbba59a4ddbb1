// variants: RUN_LOCALLY NOT_RUN_AFTER_LOST RETRY_AFTER_SENT FORGET_ON_DRAIN RUN_WITHOUT_INTENT
//
// A non-idempotent request with retries at several instances (docs/design.md 4.5 and 5.1).
//
// Without macro this is the design; spin must find no error. Each macro above builds in one
// mistake; spin must reject it:
//   RUN_LOCALLY         an instance runs the request itself when the key's home is unreachable
//   NOT_RUN_AFTER_LOST  an order that may have reached the server is answered "not run"
//   RETRY_AFTER_SENT    an order whose answer is lost is sent again
//   FORGET_ON_DRAIN     the final records of a drained home omit the keys that were sent
//   RUN_WITHOUT_INTENT  a lost answer to the insert of an intent row counts as inserted
//
// Properties, checked by assertions:
//   G5  the backend server runs the key at most once, however many attempts are made
//   G4  an answer "not run" to attempt n: no attempt up to n has run, and none of them ever will
//   G2  the key is billed at most once; billed entries of two homes would be two bills
//
// The caller numbers its attempts. It may send the next one at any moment, to any instance, whether
// or not the last was answered. Messages between instances and to the server are taken from the
// channels in any order (crossed) and may be lost. Instances can die, be paused (any process can
// stand still for any time, because the scheduler is free) or drain.
//
// Bounds: 3 instances (-DN=), 2 attempts (-DATTEMPTS=), 1 key, at most 2 deaths or drains, 1 order
// that certainly was not delivered, 1 insert of an intent row that takes effect late, 1 forwarded
// message that arrives twice. Both kinds of key are checked: KEY is chosen at the start.
// With 3 attempts: 12,424,039 states, no error, 67 s and 1.6 GB (gcc -O2 -DSAFETY -DCOLLAPSE).
// Outside: expiry of epochs and retention of results (tests in modules/requests/tests), conflicts of
// bodies and accounts, the MAC of keys, recovery of segments, callers that do not number attempts.
//
// Functions that carry out the transitions:
//   instance         key_home::decide (with key_prefix::verify)
//   begin            execution_registry::begin
//   refuse           execution_registry::refuse
//   refuse elsewhere key_home::refusal_away_from_home
//   forward          key_home::elsewhere (with final_records::proves_not_run)
//   intent           key_home::after_intent, execution_registry::confirm_home and withdraw
//   executor: send   execution_registry::mark_sent
//     not delivered  execution_registry::mark_not_delivered
//     answered       execution_registry::mark_answered
//     lost           execution_registry::mark_unknown
//   stop             execution_registry::drain and final

#ifndef N
#define N 3 /* instances */
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#define NONE 9

mtype = { issued, generated };                              /* kinds of key */
mtype = { absent, accepted, sent, answered, lost, refused }; /* record of an incarnation */
mtype = { live, drained, dead };                            /* state of an incarnation */

mtype KEY;
mtype state[N] = live;
mtype record[N] = absent;
bool confirmed[N];     /* the record's home is confirmed */
bool draining[N];
bool replied[N];       /* the server's answer to this incarnation exists */
byte starter[N];       /* attempt that started the execution */
byte latest[N];        /* highest attempt that started or joined it */
byte refused_up_to[N];
bool final_sent[N];    /* the final records contain the key */

byte row = NONE;       /* incarnation in the intent row */
byte late = NONE;      /* an insert that may still take effect */
byte stops = 2;
byte undelivered = 1;
byte doubles = 1;

byte runs;             /* counted by the server */
byte run_attempt;
byte bills;
byte denied;           /* highest attempt that was answered "not run" */

chan request[N] = [6] of { byte, bool };  /* attempt, forwarded */
chan orders = [4] of { byte, byte };      /* incarnation, attempt */

inline say_not_run(m) {
  assert(runs == 0 || run_attempt > m); /* G4: no attempt up to m has run */
  denied = (m > denied -> m : denied)
}

inline bill() {
  bills++;
  assert(bills <= 1) /* G2 */
}

inline begin(i, m, home) {
  if
  :: record[i] == refused && m <= refused_up_to[i] ->
     if
     :: confirmed[i] || m == 1 -> say_not_run(m)
     :: else
     fi
  :: record[i] == absent || (record[i] == refused && m > refused_up_to[i]) ->
     if
     :: draining[i] ->
        if
        :: home || m == 1 -> say_not_run(m)
        :: else
        fi
     :: else ->
        record[i] = accepted;
        starter[i] = m;
        latest[i] = m;
        confirmed[i] = home
     fi
  :: else -> /* joins, or gets the recorded answer or the recorded unknown outcome */
     latest[i] = (m > latest[i] -> m : latest[i]);
     confirmed[i] = (confirmed[i] || home)
  fi
}

inline refuse(i) {
  record[i] = refused;
  refused_up_to[i] = (latest[i] > refused_up_to[i] -> latest[i] : refused_up_to[i]);
  if
  :: confirmed[i] || latest[i] == 1 -> say_not_run(latest[i])
  :: else
  fi
}

/* Sends attempt m on to its home, or answers for a home that has ended. */
inline forward(i, home, m) {
  if
  :: state[home] == live -> request[home]!m, true
  :: state[home] == live && doubles > 0 -> doubles--; request[home]!m, true; request[home]!m, true
  :: state[home] == drained && !final_sent[home] -> say_not_run(m)
#ifdef RUN_LOCALLY
  :: begin(i, m, true)
#else
  :: skip /* lost on the way, or the home is gone: outcome unknown */
#endif
  fi
}

proctype caller() {
  byte m, to;
  for (m : 1 .. ATTEMPTS) {
    select(to : 0 .. N - 1);
    if
    :: request[to]!m, false
    :: skip /* lost */
    fi
  }
}

/* Takes requests and decides where they may run. */
proctype instance(byte i) {
  byte m;
  bool forwarded;
end:
  do
  :: atomic {
       state[i] == live && nempty(request[i]) -> request[i]??m, forwarded;
       if
       :: forwarded || (KEY == issued && i == 0) -> begin(i, m, true)
       :: !forwarded && KEY == issued && i != 0 -> forward(i, 0, m)
       :: !forwarded && i != 0 && m == 1 -> say_not_run(m) /* refused elsewhere: first attempt */
       :: !forwarded && KEY == generated -> begin(i, m, false)
       fi;
       m = 0;
       forwarded = false
     }
  od
}

/* Inserts the intent row for an accepted execution whose home is not confirmed. */
proctype intent(byte i) {
end:
  do
  :: atomic {
       state[i] == live && record[i] == accepted && !confirmed[i] ->
       if
       :: row == NONE -> row = i; confirmed[i] = true
       :: row == NONE -> row = i  /* answer lost; the next insert finds the row */
       :: row == NONE && late == NONE -> late = i /* answer lost; takes effect later */
       :: row == i -> confirmed[i] = true
       :: row != NONE && row != i -> /* withdraw */
          record[i] = absent;
          refused_up_to[i] = 0;
          forward(i, row, starter[i])
       :: refuse(i) /* platform unavailable or time over */
#ifdef RUN_WITHOUT_INTENT
       :: confirmed[i] = true
#endif
       fi
     }
  od
}

/* Sends the order of an accepted execution and records what becomes of it. */
proctype executor(byte i) {
end:
  do
  :: atomic {
       state[i] == live && record[i] == accepted && confirmed[i] ->
       if
       :: refuse(i) /* no budget, no slot or no server */
       :: record[i] = sent; replied[i] = false; orders!i, starter[i]
       :: undelivered > 0 -> undelivered--; record[i] = sent; record[i] = accepted
       fi
     }
  :: atomic { state[i] == live && record[i] == sent && replied[i] -> record[i] = answered; bill() }
  :: atomic {
       state[i] == live && record[i] == sent ->
#ifdef NOT_RUN_AFTER_LOST
       refuse(i)
#else
       record[i] = lost;
       bill()
#endif
     }
#ifdef RETRY_AFTER_SENT
  :: atomic { state[i] == live && record[i] == sent && len(orders) < 4 -> orders!i, starter[i] }
#endif
  od
}

/* Runs the orders that arrive, in any order; each may also be lost. */
proctype server() {
  byte from, m;
end:
  do
  :: atomic {
       nempty(orders) -> orders??from, m;
       if
       :: runs++;
          run_attempt = m;
          assert(runs <= 1);  /* G5 */
          assert(m > denied); /* G4: no attempt that was answered "not run" runs later */
          replied[from] = true
       :: skip
       fi;
       from = 0;
       m = 0
     }
  od
}

/* Lets a late insert take effect. */
proctype platform() {
end:
  do
  :: atomic {
       late != NONE ->
       if
       :: row == NONE -> row = late
       :: skip
       fi;
       late = NONE
     }
  od
}

/* An incarnation dies, or drains and ends after its last execution. */
proctype stop(byte i) {
end:
  do
  :: atomic { state[i] == live && stops > 0 -> stops--; state[i] = dead }
  :: atomic { state[i] == live && !draining[i] && stops > 0 -> stops--; draining[i] = true }
  :: atomic {
       state[i] == live && draining[i] && record[i] != accepted && record[i] != sent ->
       state[i] = drained;
#ifdef FORGET_ON_DRAIN
       final_sent[i] = false
#else
       final_sent[i] = (record[i] == answered || record[i] == lost)
#endif
     }
  od
}

init {
  byte i;
  atomic {
    if
    :: KEY = issued
    :: KEY = generated
    fi;
    for (i : 0 .. N - 1) {
      run instance(i);
      run intent(i);
      run executor(i);
      run stop(i)
    };
    run caller();
    run server();
    run platform()
  }
}
