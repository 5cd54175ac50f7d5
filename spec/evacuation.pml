/*
 * The evacuation of a data centre, and a store that returns from a copy.
 *
 * One key of the operators' feed: a record evacuates the data centre, its removal revokes that.
 * The operator changes its mind CHANGES times. The store returns to a prefix of its log at most
 * RESTORES times; the era rises, and the operator then writes the last acknowledged state again.
 * A reader reads the log or, in a new era, the newest value; a full read does not return removed
 * keys. A follower receives what the reader knows, and may start again at any time.
 *
 * A record that a full read of a later era lacks is lost: the evacuation stays in force for a grace
 * period. The period ends no earlier than the operator has written again and the process has read
 * or received that (5 s against 2 s and 2.5 s).
 *
 * Checked: an evacuation that a process knows never ends by the loss of its record while the
 * operator wants it; once the operator has finished, a process that knows the whole log and has
 * no lost record agrees with the operator.
 *
 * Left out: several keys, values that can't be read, and the length of the periods.
 *
 * Broken variants: LOST_IS_REVOKED, MOVE_NOT_RELAYED.
 */
#define LENGTH 5
#define CHANGES 4
#define RESTORES 2

#define ABSENT 0
#define WRITTEN 1
#define REMOVED 2

#define READER 0
#define FOLLOWER 1

byte log[LENGTH];
byte end = 0;
byte era = 1;
byte acked = ABSENT;   /* last state that the store acknowledged */
byte changes = 0;
bool isRewritten = true;
bool isFinished = false;

byte knownEra[2];      /* era of the process's cursor; zero: it has read nothing */
byte cursor[2];
byte value[2];
byte valueEra[2];
byte valueAt[2];
bool isLost[2];        /* the store lost the record, and it was not seen written again */
bool isEnded[2];       /* the grace period of a lost record is over */

#define isInForce(self) (value[self] == WRITTEN && !isEnded[self])

inline take(self, next, inEra, at)
{
    if
    :: inEra > valueEra[self] || (inEra == valueEra[self] && at >= valueAt[self]) ->
#ifdef MOVE_NOT_RELAYED
        /* a follower is not sent a record whose value it holds */
        if
        :: !(self == FOLLOWER && value[self] == next) ->
            isLost[self] = false; isEnded[self] = false
        :: else -> skip
        fi;
#else
        isLost[self] = false; isEnded[self] = false;
#endif
        value[self] = next; valueEra[self] = inEra; valueAt[self] = at
    :: else -> skip
    fi
}

/* a full read or update of a later era lacks the key */
inline lose(self)
{
    if
    :: value[self] == WRITTEN && valueEra[self] < era ->
#ifdef LOST_IS_REVOKED
        assert(!(isInForce(self) && acked == WRITTEN));
        value[self] = REMOVED
#else
        isLost[self] = true
#endif
    :: else -> skip
    fi
}

inline checkComplete(self)
{
    assert(!(isFinished && isRewritten && knownEra[self] == era && cursor[self] == end
             && !isLost[self] && isInForce(self) != (acked == WRITTEN)))
}

inline readAll(self)
{
    i = end;
    newest = ABSENT;
    do
    :: i > 0 && newest == ABSENT -> i--; newest = log[i]
    :: else -> break
    od;
    if
    :: newest == WRITTEN -> take(self, newest, era, i)
    :: else -> lose(self)
    fi;
    knownEra[self] = era;
    cursor[self] = end
}

inline readStore(self)
{
    if
    :: knownEra[self] != era -> readAll(self)
    :: else ->
        i = cursor[self];
        do
        :: i < end ->
            if
            :: log[i] != ABSENT -> take(self, log[i], era, i)
            :: else -> skip
            fi;
            i++
        :: else -> break
        od;
        cursor[self] = end
    fi;
    checkComplete(self)
}

/* the follower takes the reader's record, with its mark */
inline receive(self, from)
{
    if
    :: knownEra[from] != 0 && knownEra[from] >= knownEra[self] ->
        if
        :: value[from] != ABSENT && (valueEra[from] > valueEra[self]
                || (valueEra[from] == valueEra[self] && valueAt[from] > valueAt[self])) ->
            take(self, value[from], valueEra[from], valueAt[from])
        :: else -> skip
        fi;
        if
        :: (isLost[from] && valueEra[self] == valueEra[from] && valueAt[self] == valueAt[from]) ->
            isLost[self] = true
        :: else -> skip
        fi;
        cursor[self] = cursor[from];
        knownEra[self] = knownEra[from];
        checkComplete(self)
    :: else -> skip
    fi
}

/* the grace period is longer than the operator and the relay need */
inline endGracePeriod(self)
{
    (isLost[self] && !isEnded[self] && isRewritten && knownEra[READER] == era
        && cursor[READER] == end && knownEra[self] == era && cursor[self] == end) ->
        assert(acked != WRITTEN);
        isEnded[self] = true
}

active proctype Operator()
{
    byte i;
    do
    :: atomic { !isFinished && isRewritten && changes < CHANGES && end < LENGTH ->
        acked = (acked == WRITTEN -> REMOVED : WRITTEN);
        changes++; log[end] = acked; end++ }
    :: atomic { !isFinished && era <= RESTORES && end > 0 ->
        end--;
        do
        :: end > 0 -> end--
        :: break
        od;
        era++;
        i = end;
        do
        :: i > 0 && log[i - 1] == ABSENT -> i--
        :: else -> break
        od;
        isRewritten = (acked == ABSENT) || (i > 0 && log[i - 1] == acked)
      }
    :: atomic { !isRewritten && end < LENGTH ->
        log[end] = acked; end++; isRewritten = true }
    :: atomic { isRewritten -> isFinished = true }
    od
}

active proctype Reader()
{
    byte i, newest;
    do
    :: atomic { skip; readStore(READER) }
    :: atomic { endGracePeriod(READER) }
    od
}

active proctype Follower()
{
    byte i, newest;
    do
    :: atomic { skip; receive(FOLLOWER, READER) }
    :: atomic { endGracePeriod(FOLLOWER) }
    :: atomic { knownEra[FOLLOWER] != 0 ->      /* starts again, and knows nothing */
        knownEra[FOLLOWER] = 0; cursor[FOLLOWER] = 0;
        value[FOLLOWER] = ABSENT; valueEra[FOLLOWER] = 0; valueAt[FOLLOWER] = 0;
        isLost[FOLLOWER] = false; isEnded[FOLLOWER] = false }
    od
}
