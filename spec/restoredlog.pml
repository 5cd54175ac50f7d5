/*
 * A store that returns from a copy: no process goes back or misses a change.
 *
 * One key of a feed whose values only rise: versions of a configuration, or ready (1) and
 * leaving (2) of one incarnation of a replica. The store keeps a copy at any time and returns
 * to it, at most RESTORES times; offsets are then given out again and the era rises. The
 * writer appends newer values, and after a return the last one that was acknowledged once more.
 * Other keys take offsets between. A reader reads the log or, in a new era or after a refused
 * read, the newest value; a follower receives what the reader knows or reads for itself, and may
 * start again at any time.
 *
 * Checked: a value in force never falls; once the writer has finished, a process that has
 * read or received everything up to the end of the log has its last value.
 *
 * Left out: removals (FeedTable, by tests), several keys, and time.
 *
 * Broken variants: OFFSETS_ALONE, LOG_DECIDES, NO_ERA_IN_READS, FOLLOWER_TAKES_OLD_ERA.
 */
#define LENGTH 3
#define VERSIONS 2
#define RESTORES 2
#define OTHER 0

#define READER 0
#define FOLLOWER 1

byte log[LENGTH];
byte end = 0;
byte era = 1;
byte acked = 0;        /* newest value that the store acknowledged */
bool isRewritten = true;
bool isFinished = false;

byte knownEra[2];      /* era of the process's cursor; zero: it has read nothing */
byte cursor[2];
byte value[2];         /* in force; zero: none */
byte valueEra[2];
byte valueAt[2];

inline append(written)
{
    log[end] = written;
    end++
}

/* takes a record, as FeedTable::apply */
inline take(self, version, inEra, at)
{
    before = value[self];
    if
    :: version == OTHER -> skip
#ifdef OFFSETS_ALONE
    :: version != OTHER && (value[self] == 0 || at > valueAt[self]) ->
#else
#ifdef LOG_DECIDES
    :: version != OTHER && (value[self] == 0 || inEra > valueEra[self]
            || (inEra == valueEra[self] && at > valueAt[self])) ->
#else
    /* within an era the offset decides, between eras the value */
    :: version != OTHER && (value[self] == 0
            || (inEra == valueEra[self] && at > valueAt[self])
            || (inEra > valueEra[self] && version >= value[self])
            || (inEra < valueEra[self] && version > value[self])) ->
#endif
#endif
        value[self] = version; valueEra[self] = inEra; valueAt[self] = at
    :: else -> skip
    fi;
    assert(value[self] >= before)
}

/* after a read or an update that reached the end of the log */
inline checkComplete(self)
{
    assert(!(isFinished && isRewritten && knownEra[self] == era && cursor[self] == end
             && value[self] != acked))
}

inline readAll(self)
{
    i = end;
    newest = OTHER;
    do
    :: i > 0 && newest == OTHER -> i--; newest = log[i]
    :: else -> break
    od;
    knownEra[self] = era;
    take(self, newest, era, i);
#ifdef OFFSETS_ALONE
    cursor[self] = (cursor[self] > end -> cursor[self] : end)
#else
    cursor[self] = end
#endif
}

inline readStore(self)
{
    if
    :: knownEra[self] == 0 || cursor[self] > end -> readAll(self)
#ifndef OFFSETS_ALONE
#ifndef NO_ERA_IN_READS
    :: knownEra[self] != 0 && cursor[self] <= end && knownEra[self] != era -> readAll(self)
#endif
#endif
    :: else ->
        i = cursor[self];
        do
        :: i < end -> take(self, log[i], era, i); i++
        :: else -> break
        od;
        cursor[self] = end;
        knownEra[self] = era
    fi;
    checkComplete(self)
}

inline receive(self, from)
{
    if
#ifdef FOLLOWER_TAKES_OLD_ERA
    :: knownEra[from] != 0 ->
#else
    :: knownEra[from] != 0 && knownEra[from] >= knownEra[self] ->
#endif
        take(self, value[from], valueEra[from], valueAt[from]);
        if
#ifdef FOLLOWER_TAKES_OLD_ERA
        /* a cursor of the era before, taken for one of this era */
        :: cursor[from] > cursor[self] -> cursor[self] = cursor[from];
            knownEra[self] = (knownEra[self] > knownEra[from] -> knownEra[self] : knownEra[from])
#else
        :: knownEra[from] > knownEra[self] || cursor[from] > cursor[self] ->
            cursor[self] = cursor[from]; knownEra[self] = knownEra[from]
#endif
        :: else -> skip
        fi;
        checkComplete(self)
    :: else -> skip
    fi
}

active proctype Store()
{
    byte i;
    do
    :: atomic { !isFinished && isRewritten && acked < VERSIONS && end < LENGTH ->
        acked++; append(acked) }
    :: atomic { !isFinished && end < LENGTH -> append(OTHER) }
    :: atomic { !isFinished && era <= RESTORES && end > 0 ->
        /* every copy is a prefix of the log */
        end--;
        do
        :: end > 0 -> end--
        :: break
        od;
        era++;
        /* lost unless the copy holds it */
        isRewritten = (acked == 0);
        i = 0;
        do
        :: i < end -> isRewritten = isRewritten || log[i] == acked; i++
        :: else -> break
        od
      }
    :: atomic { !isRewritten && end < LENGTH -> append(acked); isRewritten = true }
    :: atomic { isRewritten -> isFinished = true }
    od
}

active proctype Reader()
{
    byte i, newest, before;
    do
    :: atomic { skip; readStore(READER) }
    od
}

active proctype Follower()
{
    byte i, newest, before;
    do
    :: atomic { skip; receive(FOLLOWER, READER) }
    :: atomic { skip; readStore(FOLLOWER) }     /* the reader is lost for a while */
    :: atomic { knownEra[FOLLOWER] != 0 ->      /* starts again, and knows nothing */
        knownEra[FOLLOWER] = 0; cursor[FOLLOWER] = 0;
        value[FOLLOWER] = 0; valueEra[FOLLOWER] = 0; valueAt[FOLLOWER] = 0 }
    od
}
