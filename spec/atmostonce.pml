/*
 * A caller's own key meets one home: at most one run.
 *
 * Two entries get the same key at any time, twice each. Each picks a home from
 * a view that may be stale, claims it in the log (whose answer may be lost),
 * reads the first claim back and hands the call to that home and incarnation.
 * Two homes die, lose their memory and come back with a new incarnation; calls
 * on their way are delivered late or never. The log forgets old claims.
 *
 * Left out: several keys (they share nothing), batching of claims (an append of
 * many is many appends in a row), the upstream behind the home.
 *
 * ISSUED: the key names its home (0) and the incarnation it had when it was
 * made; no claim, no log.
 *
 * Held variants: ISSUED.
 * Broken variants: NO_CLAIM, NO_INCARNATION, NO_MEMORY, NO_COVER.
 */
#define HOMES 2
#define CLAIMS 4
#define CRASHES 2

byte claimHome[CLAIMS];
byte claimInc[CLAIMS];
byte claims = 0;       /* appended so far */
byte firstKept = 0;    /* claims below this are forgotten by the log */
byte inc[HOMES];
bool ran[HOMES];       /* memory of the living incarnation */
byte runs = 0;
byte crashes = 0;

chan toHome[HOMES] = [4] of { byte };

proctype Entry()
{
    byte home, view, winner, tries, first;
    tries = 0;
    do
    :: tries < 2 ->
        tries++;
#ifdef ISSUED
        home = 0; view = 0;
#else
        if :: home = 0 :: home = 1 fi;
        view = inc[home];
#endif
        /* time passes: the view may be stale when it is used */
#if !defined(NO_CLAIM) && !defined(ISSUED)
        if
        :: claims < CLAIMS ->
            atomic { claimHome[claims] = home; claimInc[claims] = view; claims++ }
        :: true -> goto next       /* the log is down: nothing is handed over */
        fi;
        /* the answer may be lost; the entry reads the stream either way */
        atomic {
            first = firstKept;
#ifndef NO_COVER
            if
            :: firstKept > 0 -> goto next  /* an earlier claim may be forgotten */
            :: else
            fi;
#endif
            home = claimHome[first];
            view = claimInc[first];
        }
#endif
        if
        :: nfull(toHome[home]) -> toHome[home] ! view
        :: true                            /* lost on the way */
        fi;
next:   skip
    :: else -> break
    od
}

proctype Home(byte self)
{
    byte wanted;
    do
    :: toHome[self] ? wanted ->
        atomic {
            if
#ifndef NO_INCARNATION
            :: wanted != inc[self] -> skip      /* unknown: another life's call */
#endif
#ifndef NO_MEMORY
            :: ran[self] -> skip                /* replay of the kept answer */
#endif
            :: else -> runs++; ran[self] = true; assert(runs <= 1)
            fi
        }
    :: atomic { crashes < CRASHES -> crashes++; inc[self]++; ran[self] = false }
    od
}

proctype Retention()
{
    /* Keys are refused as expired well before their claims are forgotten; what
       is modelled is a box that starts, or thaws, after the trimming. */
    atomic { claims > 0 -> firstKept = 1 }
}

init
{
    atomic {
        run Entry(); run Entry();
        run Home(0); run Home(1);
        run Retention();
    }
}
