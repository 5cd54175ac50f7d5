/*
 * All gateways together send a cold replica no more than it can take.
 *
 * A tick is half a second, and the replica's rate is 12 a second. Any number of
 * gateways may join or be cut off, and ask the permit owner at any time. It may
 * end and start again without any knowledge. A send arrives in the tick of its
 * permit or in the next one. In any second, at most 1.5 x the rate + 5 arrive.
 *
 * Left out: what names the owner, and the end of the cold time. In STALE_SHARES
 * three gateways become six, and each sends its share of the rate by the number
 * that it knows, which is the old one at the old gateways. In TWO_OWNERS the
 * gateways that are cut off have an owner of their own. In RESTART_FULL an owner
 * starts with a burst.
 *
 * Broken variants: STALE_SHARES, TWO_OWNERS, RESTART_FULL.
 */
#define PER_TICK 6
#define BURST 1       /* beyond what a tick adds */
#define BOUND 23
#define OLD 3

#ifdef STALE_SHARES
#define SOURCES 6
#define REFILL(source) (source < OLD -> PER_TICK / OLD : PER_TICK / (2 * OLD))
#else
#ifdef TWO_OWNERS
#define SOURCES 2
#else
#define SOURCES 1
#endif
#define REFILL(source) PER_TICK
#endif

byte tokens[SOURCES];
byte delayed;  /* sends of this tick that arrive in the next one */
byte due;      /* sends of the tick before that arrive in this one */
byte arrived;  /* in this tick */
byte before;   /* in the tick before */

active proctype Time()
{
    byte source;
    do
    :: true ->
        d_step {
            before = arrived;
            due = delayed;
            delayed = 0;
            arrived = due;
            due = 0;
            source = 0;
            do
            :: source < SOURCES ->
                tokens[source] = tokens[source] + REFILL(source);
                if
                :: tokens[source] > REFILL(source) + BURST ->
                    tokens[source] = REFILL(source) + BURST
                :: else
                fi;
                source++
            :: else -> break
            od;
            source = 0
        }
        assert(arrived + before <= BOUND);
        do
        :: source < SOURCES && tokens[source] > 0 ->
            atomic {
                tokens[source]--;
                if
                :: arrived++
                :: delayed++
                fi
            }
            assert(arrived + before <= BOUND)
        :: source < SOURCES ->
            atomic {
                if
                :: skip
                :: /* the owner ends and starts again */
#ifdef RESTART_FULL
                    tokens[source] = REFILL(source) + BURST
#else
                    tokens[source] = 0
#endif
                fi;
                if
                :: source++
                :: skip
                fi
            }
        :: source == SOURCES -> source = 0; break
        od
    od
}
