/*
 * What clients hold is counted once and given back once.
 *
 * Connections share a budget. A request is charged in steps while it arrives,
 * refused when there is no room, cut by another one that finds none, handled,
 * answered; the client may close at any point, and the process may stand still
 * between any two steps. A connection that was cut learns of it later, when its
 * read ends, and still has its refusal to write.
 *
 * Left out: who is cut (any other that arrives may be), and sizes.
 *
 * Broken variants: KEEP_ON_CUT, FREE_CUT_TWICE, KEEP_ON_CLOSE, CUT_HANDLED, CHARGE_AFTER_CUT.
 */
#define COUNT 3
#define MOST 3     /* units of the budget */
#define EACH 2     /* units of a request */
#define REQUESTS 2 /* of a connection, one after the other */

mtype = { Waiting, Receiving, Handling, Closed };
mtype state[COUNT] = Waiting;
byte held[COUNT];  /* as the budget sees it */
bool isCut[COUNT];
int total = 0;
bool wasHandledCut = false;

inline check()
{
    assert(total >= 0 && total <= MOST);
    assert(total == held[0] + held[1] + held[2]);
}

inline free(i)
{
    total = total - held[i];
    held[i] = 0;
}

inline cut(i)
{
    if
    :: state[i] == Handling -> wasHandledCut = true
    :: else
    fi;
    isCut[i] = true;
#ifdef KEEP_ON_CUT
    held[i] = 0;
#else
#ifdef FREE_CUT_TWICE
    total = total - held[i];
#else
    free(i);
#endif
#endif
}

#ifdef CUT_HANDLED
#define IS_OPEN(i) (state[i] == Receiving || state[i] == Handling)
#else
#define IS_OPEN(i) (state[i] == Receiving)
#endif
#define MAY_CUT(i) (i != _pid && held[i] > 0 && !isCut[i] && IS_OPEN(i))

/* Any other request that arrives may be slow enough, or none is. */
inline makeRoom(isTaken)
{
    if
    :: total >= MOST && MAY_CUT(0) -> cut(0)
    :: total >= MOST && MAY_CUT(1) -> cut(1)
    :: total >= MOST && MAY_CUT(2) -> cut(2)
    :: true
    fi;
    isTaken = (total < MOST)
}

active [COUNT] proctype Connection()
{
    byte requests = 0;
    bool isTaken;
    do
    :: atomic { state[_pid] == Waiting && requests < REQUESTS ->
           state[_pid] = Receiving; requests++ }
    :: atomic { state[_pid] == Receiving && !isCut[_pid] && held[_pid] < EACH ->
           makeRoom(isTaken);
           if
           :: isTaken -> held[_pid]++; total++
           :: else -> free(_pid); state[_pid] = Closed /* refused */
           fi;
           check() }
    :: atomic { state[_pid] == Receiving && isCut[_pid] ->
#ifdef CHARGE_AFTER_CUT
           held[_pid]++; total++;
#endif
           state[_pid] = Closed;
           assert(held[_pid] == 0);
           check() }
    :: atomic { state[_pid] == Receiving && !isCut[_pid] && held[_pid] == EACH ->
           state[_pid] = Handling }
    :: atomic { state[_pid] == Handling ->
           free(_pid); state[_pid] = Waiting; check() }
    :: atomic { state[_pid] != Closed -> /* the client leaves */
#ifndef KEEP_ON_CLOSE
           free(_pid);
#endif
           state[_pid] = Closed;
           assert(held[_pid] == 0);
           check() }
    :: state[_pid] == Closed -> break
    od;
    assert(!wasHandledCut)
}
