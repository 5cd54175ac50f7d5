/*
 * Two lives of one agent never give orders at the same time to an engine that
 * ignores fencing numbers.
 *
 * Time is a counter. Life 0 holds the lease: it counts from when it sent its
 * claim. Life 1 claims later; it waits from when it READ life 0's claim, for
 * the whole duration and the longest time an order is under way. Either life
 * may be frozen (not scheduled) for any time between any two steps but one: a
 * check and the order that follows it are one step, which is what the daemon's
 * code does (see docs/PROOFS.md for what that leaves open).
 *
 * Left out: renewals (the same step again with a later sending time; checked
 * by random schedules in tests/leases), loss of the log.
 *
 * Broken variants: COUNT_FROM_READ, NO_WAIT, NO_RECHECK, NO_DELAY.
 */
#define DURATION 4
#define DELAY 2
#define HORIZON 14

byte now = 0;
bool claim0 = false, claim1 = false; /* in the log */
byte sent0;
bool read0 = false;
byte held0;           /* life 0 may order before this time */
bool saw0 = false;
byte free1;           /* life 1 may order from this time on */
bool underWay = false; /* an order of life 0 on its way to the engine */
byte orderedAt;
bool newOrdered = false;

active proctype Clock()
{
    do
    :: now < HORIZON && !(underWay && now >= orderedAt + DELAY) -> now++
    :: now >= HORIZON -> break
    od
}

active proctype OldLife()
{
    bool may = false;
    sent0 = now;
    claim0 = true;        /* the append takes effect; its answer may take any time */
    atomic {
        read0 = true;
#ifdef COUNT_FROM_READ
        held0 = now + DURATION
#else
        held0 = sent0 + DURATION
#endif
    }
    do
    :: now < HORIZON && !underWay ->
#ifdef NO_RECHECK
        may = (now < held0 && !claim1);
        /* frozen here */
        atomic { if :: may -> underWay = true; orderedAt = now :: else fi }
#else
        atomic {
            if
            :: now < held0 -> underWay = true; orderedAt = now
            :: else
            fi
        }
#endif
    :: now >= HORIZON -> break
    od
}

active proctype Engine()
{
    do
    :: atomic { underWay -> underWay = false; assert(!newOrdered) }
    :: now >= HORIZON && !underWay -> break
    od
}

active proctype NewLife()
{
    claim0 -> claim1 = true;
    atomic {
        saw0 = true;
#ifdef NO_WAIT
        free1 = now
#else
#ifdef NO_DELAY
        free1 = now + DURATION
#else
        free1 = now + DURATION + DELAY
#endif
#endif
    }
    if
    :: atomic { now >= free1 -> newOrdered = true; assert(!underWay) }
    :: now >= HORIZON
    fi
}
