/*
 * No answer from partial or mixed weights.
 *
 * An agent fetches the two chunks of version 2 while the engine serves version
 * 1. Chunks arrive corrupt (value BAD); the wanted version is superseded by 3
 * on the way. The engine loads what it was handed when ordered, and may
 * restart and lose everything. A caller's request names a version at any time;
 * the agent lets it pass when it announces that version, and checks the
 * version of the answer.
 *
 * Weights of version v are the chunks (v, v). Left out: peers (a chunk's source
 * does not matter once it is verified), the lease (spec/orderlease.pml).
 *
 * Broken variants: NO_VERIFY, LOAD_EARLY, NO_ANSWER_CHECK.
 *
 * Announcing on the order instead of on the engine's report was tried as a
 * broken variant and is not refuted: the check of the answer catches it.
 */
#define BAD 9
#define NONE 0

#ifdef LOAD_EARLY
#define COMPLETE true
#else
#define COMPLETE (have[0] != NONE && have[1] != NONE)
#endif

byte wanted = 2;
byte fetching = NONE;
byte have[2];           /* chunks in the agent */
byte loaded[2];         /* chunks in the engine */
byte loadedName = NONE; /* what the engine calls it */
byte announced = NONE;
byte restarts = 0;
byte answers = 0;

active proctype Operator()
{
    if :: wanted = 3 :: skip fi
}

active proctype Agent()
{
    byte index;
    do
    :: answers >= 2 -> break
    :: atomic { fetching != wanted ->           /* begin, or supersede at once */
        fetching = wanted; have[0] = NONE; have[1] = NONE }
    :: atomic { fetching == wanted ->           /* a chunk arrives */
        if :: index = 0 :: index = 1 fi;
        if
        :: have[index] = fetching
#ifdef NO_VERIFY
        :: have[index] = BAD
#else
        :: skip                                 /* corrupt: dropped */
#endif
        fi }
    :: atomic {                                 /* the order to load */
        fetching == wanted && fetching != loadedName && COMPLETE -> loaded[0] = have[0]; loaded[1] = have[1]; loadedName = fetching
       }
    :: atomic { announced != loadedName -> announced = loadedName }
    :: atomic { restarts < 1 -> restarts++;     /* the engine restarts */
        loaded[0] = NONE; loaded[1] = NONE; loadedName = NONE }
    od
}

active proctype Caller()
{
    byte version;
    do
    :: answers >= 2 -> break
    :: announced != NONE ->
        version = announced;
        /* time passes between the announcement, the request and its run */
        atomic {
            if
#ifndef NO_ANSWER_CHECK
            :: loadedName != version -> skip    /* refused or dropped, not answered */
#endif
            :: else ->
                assert(loaded[0] == version && loaded[1] == version);
                answers++
            fi
        }
    od
}
