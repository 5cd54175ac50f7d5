/*
 * Configuration by fold: no replica skips a record, goes back, or differs.
 *
 * Records are bits: a replica's state is the set of offsets it has folded. An
 * accepted prefix up to asOf must be exactly the bits 0..asOf. The log trims
 * old records at any time; snapshots are written of any replica's state; peers
 * hand each other records or old and new snapshots. Two operators race with
 * the same base: the fold accepts one.
 *
 * Left out: chunking and digests of snapshots (an incomplete one is none),
 * more than two replicas (each only ever reads immutable records).
 *
 * Broken variants: FOLD_OVER_GAP, ADOPT_ANY, ANY_SNAPSHOT, NO_BASE.
 */
#define RECORDS 4
#define PREFIX(n) ((1 << (n)) - 1)

#ifdef ANY_SNAPSHOT
#define CONNECTS true
#else
#define CONNECTS (snapNext >= first)
#endif
#ifdef ADOPT_ANY
#define ADOPTS true
#else
#define ADOPTS (at[peer] > at[self])
#endif

byte next = 0;          /* offset of the next append */
byte first = 0;         /* oldest offset kept */
bool haveSnapshot = false;
byte snapNext, snapSet; /* the snapshot: everything below snapNext */
byte at[2];             /* next offset each replica folds */
byte set[2];
byte acceptedRace[2];

#define RACE_A 1        /* offsets of the two racing changes */
#define RACE_B 2

inline fold(self)
{
    set[self] = set[self] | (1 << at[self]);
    if
#ifdef NO_BASE
    :: at[self] == RACE_A || at[self] == RACE_B -> acceptedRace[self]++
#else
    /* both are based on offset 0; the second finds the value newer than that */
    :: at[self] == RACE_A -> acceptedRace[self]++
#endif
    :: else
    fi;
    at[self]++;
    assert(set[self] == PREFIX(at[self]));
    assert(acceptedRace[self] <= 1)
}

active proctype Log()
{
    do
    :: next < RECORDS -> next++
    :: first < next -> first++
    :: next == RECORDS && first == RECORDS -> break
    od
}

proctype Replica(byte self)
{
    byte before;
    byte peer = 1 - self;
    do
    :: atomic {                        /* reads the log */
        before = at[self];
        if
        :: at[self] >= first && at[self] < next -> fold(self)
#ifdef FOLD_OVER_GAP
        :: at[self] < first && first < next -> at[self] = first; fold(self)
#endif
        :: at[self] < first && haveSnapshot && snapNext > at[self] && CONNECTS ->
            at[self] = snapNext; set[self] = snapSet;
            if
            :: at[self] > RACE_A -> acceptedRace[self] = 1
            :: else
            fi;
            /* goes on with the oldest record kept; with CONNECTS it is no jump */
            at[self] = (at[self] < first -> first : at[self]);
            assert(set[self] == PREFIX(at[self]))
        :: else
        fi;
        assert(at[self] >= before)
       }
    :: atomic {                        /* writes a snapshot of its own state */
        haveSnapshot = true; snapNext = at[self]; snapSet = set[self]
       }
    :: atomic {                        /* a peer hands over its state */
        before = at[self];
        if
        :: ADOPTS ->
            at[self] = at[peer]; set[self] = set[peer];
            acceptedRace[self] = acceptedRace[peer]
        :: else
        fi;
        assert(at[self] >= before);
        assert(set[self] == PREFIX(at[self]))
       }
    :: at[self] == RECORDS -> break
    :: first == RECORDS -> break       /* trimmed away: waits for a peer for ever */
    od
}

init { atomic { run Replica(0); run Replica(1) } }
