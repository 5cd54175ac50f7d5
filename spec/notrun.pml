/*
 * What was called "not run" never runs.
 *
 * An entry sends an attempt over one connection. When it gives up it revokes
 * the attempt over a fresh connection; the two are not ordered with each other.
 * The agent may be frozen at any point, so that both wait and are read in any
 * order. The agent forgets old attempts; behind its horizon it neither runs an
 * attempt nor calls it revoked.
 *
 * Left out: the deadline (giving up may happen at any time), several entries
 * (sequences of different entries share nothing).
 *
 * Broken variants: NO_TOMBSTONE, NO_HORIZON.
 */
chan call = [2] of { bit };
chan revoke = [1] of { bit };
chan answer = [1] of { bit };    /* 1: revoked */

bool started = false;   /* in the ledger */
bool tombstone = false; /* in the ledger */
bool forgotten = false; /* the sequence is behind the horizon */
bool ran = false;
bool toldNotRun = false;

active proctype Entry()
{
    bit yes;
    call ! 1;
    if
    :: skip              /* an answer came in time: nothing to revoke */
    :: revoke ! 1;
       if
       :: answer ? yes ->
           if :: yes -> toldNotRun = true; assert(!ran) :: else fi
       :: skip           /* no answer in time: told "unknown" */
       fi
    fi
}

active proctype Agent()
{
    bit any;
end:
    do
    :: call ? any ->
        atomic {
            if
            :: tombstone || started -> skip
#ifndef NO_HORIZON
            :: forgotten -> skip
#endif
            :: else -> started = true; ran = true; assert(!toldNotRun)
            fi
        }
    :: revoke ? any ->
        atomic {
            if
            :: started -> answer ! 0
#ifndef NO_HORIZON
            :: forgotten && !started -> answer ! 0
#endif
            :: else ->
#ifndef NO_TOMBSTONE
                tombstone = true;
#endif
                answer ! 1
            fi
        }
    :: atomic { (started || tombstone) && !forgotten ->
           started = false; tombstone = false; forgotten = true }
    od
}
