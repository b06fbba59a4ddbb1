// variants: RECLAIM_BY_TIME RETURN_CREDITED_BACK INCREASE_ASSUMED TRANSFER_TWICE CLOSE_WITHOUT_ASKING CLOSE_ALONE+THREE
// good: THREE
//
// One budget, its ledger and the grants of some incarnations. Checked after every step:
//   G1   tokens spent in all <= limit
//   sum of granted over the grant rows == allocated <= limit
//   what an incarnation assumes to be granted <= its grant row
//
// Modelled: grant, spend, top-up of the limit, return, transfer and its recording in the rows, death,
// closing by a recovery. A write can be answered, answered and lost, not carried out and lost, carried
// out later, or not sent; a write is conditional on the version of the grant row that was read before.
// A pause, a partition and a platform outage are steps that an incarnation does not take for a while,
// which the exploration of all interleavings covers. A transfer message can be lost, doubled, late and
// out of order: any message sent can arrive at any later time and any number of times.
//
// Bounds: 2 incarnations, limit 2 and one top-up by 1, no grant change begins once a grant row has
// been written 3 times; THREE: 3 incarnations of which 2 die, limit 2 without top-up, no grant change
// begins once a grant row has been written. Changes and transfers move 1 token; one transfer for each
// ordered pair; one late write for each incarnation.
// Outside: amounts above 1 and several budgets in one transaction; the closing of a grant by its own
// incarnation on drain; how a recovery finds the exact spend at the backend servers (request.pml);
// evidence that an incarnation is gone (a death here is final); liveness. Reservations count as spend.
// The commit checks the ledger's value instead of its version, which allows more than the code does.

#define MAX_DEATHS 2
#ifdef THREE
#define N 3
#define FIRST_LIMIT 2
#define LAST_LIMIT 2
#define MAX_WRITES 1
#else
#define N 2
#define FIRST_LIMIT 2
#define LAST_LIMIT 3
#define MAX_WRITES 3
#endif

#define ACTIVE 0
#define RECOVERING 1
#define CLOSED 2

#define PAIR(i, j) ((i) * N + (j))
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

typedef write {
    bool on;
    byte version; // of the grant row that the write is conditional on
    short value;  // of granted after the write
    short delta   // of the ledger
}

// The platform.
byte limit = FIRST_LIMIT;
short allocated;
short granted[N];
byte version[N];
byte state[N];          // of the instance row
byte row_sent[N * N];   // in the row of the first, by pair
byte row_recv[N * N];   // in the row of the second, by pair
write late[N];          // lost on the way, may still arrive

// The incarnations.
bool dead[N];
byte spent[N];
short known[N];         // row as last read
byte known_version[N];
write tx[N];            // sent, no answer yet
write lost[N];          // smallest write with a lost answer
byte sent[N * N];       // debited by the first
byte credited[N * N];   // credited by the second

// Recoveries.
bool asked[N * N];      // pair (gone, peer)
bool refused[N * N];    // by ordered pair
byte told_sent[N * N];  // by the peer, pair (peer, gone)
byte told_recv[N * N];  // by the peer, pair (gone, peer)

hidden byte a;
hidden byte b;
hidden short sum;
hidden byte changed;

#define TX_OR_KNOWN(i) (tx[i].on && tx[i].version == known_version[i] -> MIN(known[i], tx[i].value) : known[i])
#define BELIEF(i) (lost[i].on && lost[i].version == known_version[i] -> MIN(TX_OR_KNOWN(i), lost[i].value) : TX_OR_KNOWN(i))

#ifdef THREE
#define SENT_BY(i) (sent[PAIR(i, 0)] + sent[PAIR(i, 1)] + sent[PAIR(i, 2)])
#define RECV_BY(i) (credited[PAIR(0, i)] + credited[PAIR(1, i)] + credited[PAIR(2, i)])
#define SPENT_ALL (spent[0] + spent[1] + spent[2])
#define DEATHS (dead[0] + dead[1] + dead[2])
#define GRANTED_ALL (granted[0] + granted[1] + granted[2])
#define BELIEFS_HOLD ((dead[0] || BELIEF(0) <= granted[0]) && (dead[1] || BELIEF(1) <= granted[1]) && (dead[2] || BELIEF(2) <= granted[2]))
#else
#define SENT_BY(i) (sent[PAIR(i, 0)] + sent[PAIR(i, 1)])
#define RECV_BY(i) (credited[PAIR(0, i)] + credited[PAIR(1, i)])
#define SPENT_ALL (spent[0] + spent[1])
#define DEATHS (dead[0] + dead[1])
#define GRANTED_ALL (granted[0] + granted[1])
#define BELIEFS_HOLD ((dead[0] || BELIEF(0) <= granted[0]) && (dead[1] || BELIEF(1) <= granted[1]))
#endif

#define AVAILABLE(i) (BELIEF(i) - spent[i] - SENT_BY(i) + RECV_BY(i))

// In a wrong variant only G1 is checked, so that a rejected variant is one that overspends.
inline check()
{
    assert(SPENT_ALL <= limit);
#ifndef WRONG
    assert(GRANTED_ALL == allocated && allocated <= limit);
    assert(BELIEFS_HOLD)
#endif
}

inline observe(i)
{
    known[i] = granted[i];
    known_version[i] = version[i];
    if
    :: lost[i].on && lost[i].version < version[i] -> clear(lost[i])
    :: else
    fi
}

inline clear(w)
{
    w.on = false;
    w.version = 0;
    w.value = 0;
    w.delta = 0
}

inline copy(to, from)
{
    to.on = true;
    to.version = from.version;
    to.value = from.value;
    to.delta = from.delta
}

inline begin_write(i, change)
{
    tx[i].on = true;
    tx[i].version = version[i];
    tx[i].value = granted[i] + change;
    tx[i].delta = change
}

#define APPLIES(w, i) (w.version == version[i] && state[i] == ACTIVE && allocated + w.delta <= limit)

inline carry_out(w, i)
{
    granted[i] = w.value;
    allocated = allocated + w.delta;
    version[i]++
}

inline note_unknown(i)
{
#ifdef RETURN_CREDITED_BACK
    if
    :: tx[i].delta < 0 -> clear(tx[i])
    :: else -> keep_smallest(i)
    fi
#else
#ifdef INCREASE_ASSUMED
    if
    :: tx[i].delta > 0 ->
        known[i] = tx[i].value;
        clear(tx[i])
    :: else -> keep_smallest(i)
    fi
#else
    keep_smallest(i)
#endif
#endif
}

inline keep_smallest(i)
{
    if
    :: !lost[i].on || lost[i].version != tx[i].version || tx[i].value < lost[i].value ->
        copy(lost[i], tx[i])
    :: else
    fi;
    clear(tx[i])
}

// What a dead incarnation knew matters no more, but its last write may still arrive.
inline forget(i)
{
    if
    :: tx[i].on -> copy(late[i], tx[i])
    :: else
    fi;
    clear(tx[i]);
    clear(lost[i]);
    known[i] = 0;
    known_version[i] = 0;
    a = 0;
    do
    :: a < N -> credited[PAIR(a, i)] = 0; a++
    :: else -> break
    od;
    a = 0
}

#define CAN_BEGIN(i) (!dead[i] && !tx[i].on && version[i] < MAX_WRITES && state[i] == ACTIVE)

#define INCARNATION(i) \
    :: d_step { !dead[i] && AVAILABLE(i) > 0 -> spent[i]++; check() } \
    :: d_step { CAN_BEGIN(i) && allocated < limit -> observe(i); begin_write(i, 1); check() } \
    :: d_step { CAN_BEGIN(i) -> \
        observe(i); \
        if :: AVAILABLE(i) > 0 -> begin_write(i, -1) :: else fi; \
        check() } \
    :: d_step { tx[i].on && !dead[i] -> \
        if \
        :: APPLIES(tx[i], i) -> \
            carry_out(tx[i], i); \
            known[i] = granted[i]; \
            known_version[i] = version[i]; \
            clear(lost[i]) \
        :: else \
        fi; \
        clear(tx[i]); check() } \
    :: d_step { tx[i].on && APPLIES(tx[i], i) -> carry_out(tx[i], i); note_unknown(i); check() } \
    :: d_step { tx[i].on && late[i].on -> note_unknown(i); check() } \
    :: d_step { tx[i].on && !late[i].on -> copy(late[i], tx[i]); note_unknown(i); check() } \
    :: d_step { tx[i].on -> clear(tx[i]); check() } \
    :: d_step { late[i].on && APPLIES(late[i], i) -> \
        carry_out(late[i], i); clear(late[i]); check() } \
    :: d_step { late[i].on && late[i].version < version[i] -> clear(late[i]) } \
    :: d_step { !dead[i] && DEATHS < MAX_DEATHS -> dead[i] = true; forget(i) } \
    :: d_step { dead[i] && state[i] == ACTIVE -> state[i] = RECOVERING; clear(late[i]) }

// Messages from i to j, and what j learns and records of them.
#define EXCHANGE(i, j) \
    :: d_step { !dead[i] && AVAILABLE(i) > 0 && sent[PAIR(i, j)] < 1 && !refused[PAIR(i, j)] -> \
        sent[PAIR(i, j)]++; check() } \
    :: d_step { !dead[j] && sent[PAIR(i, j)] > MAY_CREDIT(i, j) && !refused[PAIR(i, j)] -> \
        credited[PAIR(i, j)]++; check() } \
    :: d_step { CAN_BEGIN(j) && row_recv[PAIR(i, j)] < credited[PAIR(i, j)] -> \
        row_recv[PAIR(i, j)] = credited[PAIR(i, j)]; \
        version[j]++; \
        if \
        :: state[i] != CLOSED -> row_sent[PAIR(i, j)] = credited[PAIR(i, j)]; version[i]++ \
        :: else \
        fi; \
        check() } \
    :: d_step { state[i] == RECOVERING && !asked[PAIR(i, j)] && !dead[j] && state[j] == ACTIVE -> \
        asked[PAIR(i, j)] = true; \
        refused[PAIR(i, j)] = true; \
        refused[PAIR(j, i)] = true; \
        told_recv[PAIR(i, j)] = credited[PAIR(i, j)]; \
        told_sent[PAIR(j, i)] = sent[PAIR(j, i)] }

#ifdef TRANSFER_TWICE
#define MAY_CREDIT(i, j) (credited[PAIR(i, j)] > 0 -> credited[PAIR(i, j)] - 1 : 0)
#else
#define MAY_CREDIT(i, j) (credited[PAIR(i, j)])
#endif

// Whether the gone incarnation d can be closed without j.
#ifdef CLOSE_WITHOUT_ASKING
#define SETTLED(d, j) true
#else
#ifdef CLOSE_ALONE
#define SETTLED(d, j) (state[j] == CLOSED || asked[PAIR(d, j)] || dead[j])
#else
#define SETTLED(d, j) (state[j] == CLOSED || asked[PAIR(d, j)])
#endif
#endif

#define IN(mask, i) (((mask) >> (i)) & 1)
#define READY(mask, d, j) (!IN(mask, d) || (d) == (j) || IN(mask, j) || SETTLED(d, j))
#define MARKED(mask, d) (!IN(mask, d) || state[d] == RECOVERING)
#ifdef THREE
#define ALL_READY(mask) (MARKED(mask, 0) && MARKED(mask, 1) && MARKED(mask, 2) && \
    READY(mask, 0, 1) && READY(mask, 0, 2) && READY(mask, 1, 0) && READY(mask, 1, 2) && \
    READY(mask, 2, 0) && READY(mask, 2, 1))
#else
#define ALL_READY(mask) (MARKED(mask, 0) && MARKED(mask, 1) && READY(mask, 0, 1) && READY(mask, 1, 0))
#endif

// Brings the totals from x to y to the same value in both rows; a closed row stays as it is.
inline match(x, y, told)
{
    sum = MAX(MAX(row_sent[PAIR(x, y)], row_recv[PAIR(x, y)]), told);
    if
    :: state[x] != CLOSED && row_sent[PAIR(x, y)] != sum -> row_sent[PAIR(x, y)] = sum; changed = 1
    :: else
    fi;
    if
    :: state[y] != CLOSED && row_recv[PAIR(x, y)] != sum -> row_recv[PAIR(x, y)] = sum; changed = 1
    :: else
    fi
}

#define CLOSE(mask) \
    :: d_step { ALL_READY(mask) -> \
        a = 0; \
        do \
        :: a < N && IN(mask, a) -> \
            b = 0; \
            do \
            :: b < N && a != b -> \
                changed = 0; \
                match(a, b, told_recv[PAIR(a, b)]); \
                match(b, a, told_sent[PAIR(b, a)]); \
                if :: changed && state[b] != CLOSED && !IN(mask, b) -> version[b]++ :: else fi; \
                b++ \
            :: b < N && a == b -> b++ \
            :: else -> break \
            od; \
            a++ \
        :: a < N && !IN(mask, a) -> a++ \
        :: else -> break \
        od; \
        a = 0; \
        do \
        :: a < N && IN(mask, a) -> \
            sum = spent[a]; \
            b = 0; \
            do \
            :: b < N -> sum = sum + row_sent[PAIR(a, b)] - row_recv[PAIR(b, a)]; b++ \
            :: else -> break \
            od; \
            allocated = allocated + sum - granted[a]; \
            granted[a] = sum; \
            version[a]++; \
            state[a] = CLOSED; \
            a++ \
        :: a < N && !IN(mask, a) -> a++ \
        :: else -> break \
        od; \
        a = 0; \
        do \
        :: a < N * N -> \
            if \
            :: state[a / N] == CLOSED -> asked[a] = false; told_recv[a] = 0 \
            :: else \
            fi; \
            if :: state[a % N] == CLOSED -> told_sent[a] = 0 :: else fi; \
            a++ \
        :: else -> break \
        od; \
        a = 0; b = 0; sum = 0; changed = 0; \
        check() }

active proctype budget()
{
    do
    INCARNATION(0)
    INCARNATION(1)
    EXCHANGE(0, 1)
    EXCHANGE(1, 0)
    CLOSE(1)
    CLOSE(2)
    CLOSE(3)
#ifdef THREE
    INCARNATION(2)
    EXCHANGE(0, 2)
    EXCHANGE(2, 0)
    EXCHANGE(1, 2)
    EXCHANGE(2, 1)
    CLOSE(4)
    CLOSE(5)
    CLOSE(6)
    CLOSE(7)
#endif
    :: d_step { limit < LAST_LIMIT -> limit++; check() }
#ifdef RECLAIM_BY_TIME
    // The lease has run out while its holder is paused.
    :: d_step { state[0] == ACTIVE && granted[0] > spent[0] ->
        allocated = allocated - (granted[0] - spent[0]);
        granted[0] = spent[0];
        version[0]++;
        check() }
#endif
    od
}
