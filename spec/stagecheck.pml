/*
 * No weights are announced that an engine took from a chunk which had been
 * corrupt for longer than the rule excuses.
 *
 * Time is a counter. The agent reads two staged chunks back, orders the load,
 * and judges the evidence when it sees that the engine has accepted. The agent
 * or the engine may stand still for any time between any two steps: the clock
 * advances at any point. Either chunk may turn corrupt at any time and never
 * becomes intact by itself; nothing writes to the stage after the first read.
 *
 * Left out: repairs before the order (a new check follows them), the age limit
 * at the order (it only makes late loads rarer), restarts of the engine (it
 * holds nothing then).
 *
 * Broken variants: NO_AGE, AGE_FROM_END, AGE_AT_ORDER, NO_SECOND_CHECK.
 */
#define MAX_AGE 2
#define EXCUSED 2
#define HORIZON 9

byte now = 0;
bool corrupt[2];
byte since[2];
byte readAt[2];
bool ordered = false, accepted = false;
bool takenCorrupt = false; /* by the engine, and not excused */
bool isAnnounced = false;

active proctype Clock()
{
    do
    :: now < HORIZON -> now++
    :: now >= HORIZON -> break
    od
}

active proctype Decay()
{
    do
    :: atomic { !corrupt[0] -> corrupt[0] = true; since[0] = now }
    :: atomic { !corrupt[1] -> corrupt[1] = true; since[1] = now }
    :: break
    od
}

active proctype Engine()
{
    ordered;
    atomic {
        takenCorrupt = (corrupt[0] && now - since[0] > EXCUSED) ||
            (corrupt[1] && now - since[1] > EXCUSED);
        accepted = true
    }
}

active proctype Agent()
{
    bool isProven = false;
    byte seenAt;
    readAt[0] = now; /* the read is requested */
    if :: corrupt[0] -> goto done :: else fi;
    readAt[1] = now;
    if :: corrupt[1] -> goto done :: else fi;
#ifdef AGE_FROM_END
    readAt[0] = now;
    readAt[1] = now;
#endif
    seenAt = now;
    ordered = true;
    accepted;
#ifndef AGE_AT_ORDER
    seenAt = now;
#endif
#ifdef NO_AGE
    isProven = true;
#else
    isProven = seenAt - readAt[0] <= MAX_AGE && seenAt - readAt[1] <= MAX_AGE;
#endif
#ifdef NO_SECOND_CHECK
    isProven = true;
#endif
    if
    :: isProven
    :: else ->
        if :: corrupt[0] -> goto done :: else fi;
        if :: corrupt[1] -> goto done :: else fi
    fi;
    isAnnounced = true;
    assert(!takenCorrupt);
done:
    skip
}
