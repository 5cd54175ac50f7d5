/*
 * A gateway refuses for good only by a configuration as new as the bound.
 *
 * Time is counted in ticks. Operators write versions to the store at any time. The
 * reader asks the store, which looks at its log at some time after the question,
 * waits or not, and answers; the answer may be under way for any time. The follower
 * asks the reader in the same way. An age counts from the question, so that no time
 * in transit is lost. Whenever the follower's age is within the bound, it knows each
 * version that was accepted longer than the bound ago.
 *
 * Left out: several sources, which are merged by the newer version and the younger
 * age, each of them right. In EARLY_ANSWER an answer that comes after the wait counts
 * as of its end. In AT_RECEIPT the follower counts ages from the receipt. In
 * LATER_QUESTION an answer is matched with the question after its own.
 *
 * Broken variants: EARLY_ANSWER, AT_RECEIPT, LATER_QUESTION.
 */
#define TICKS 8
#define BOUND 3
#define WAIT 2
#define VERSIONS 3
#define NEVER 255

byte time;
byte version;               /* in the store */
byte acceptedAt[VERSIONS];  /* by version; zero was always there */

byte readerVersion;
byte readerCompleteAt;
byte readAskedAt = NEVER;
byte readVersion = NEVER;   /* what the store saw; NEVER: it has not looked */

byte followerVersion;
byte followerCompleteAt;
byte queryAskedAt = NEVER;
byte answerVersion = NEVER; /* NEVER: the reader has not answered */
byte answerAge;

active proctype Clock()
{
    do
    :: atomic {
        time < TICKS -> time++;
        assert(time - followerCompleteAt > BOUND || followerVersion == version
               || time - acceptedAt[followerVersion + 1] <= BOUND)
    }
    :: time == TICKS -> break
    od
}

active proctype Operator()
{
    do
    :: atomic {
        version < VERSIONS - 1 -> version++;
        acceptedAt[version] = time
    }
    :: version == VERSIONS - 1 -> break
    od
}

active proctype Reader()
{
    do
    :: atomic { readAskedAt == NEVER -> readAskedAt = time }
    :: atomic { readAskedAt != NEVER && readVersion == NEVER -> readVersion = version }
    :: atomic {
        readVersion != NEVER ->
        if
        :: readVersion > readerVersion -> readerVersion = readVersion
        :: else
        fi;
#ifdef EARLY_ANSWER
        if
        :: time >= readAskedAt + WAIT -> readerCompleteAt = readAskedAt + WAIT
        :: else -> readerCompleteAt = readAskedAt
        fi;
#else
        readerCompleteAt = readAskedAt;
#endif
        readAskedAt = NEVER;
        readVersion = NEVER
    }
    od
}

active proctype Follower()
{
    do
    :: atomic { queryAskedAt == NEVER -> queryAskedAt = time }
    :: atomic {
        queryAskedAt != NEVER && answerVersion == NEVER ->
        answerVersion = readerVersion;
        answerAge = time - readerCompleteAt
    }
#ifdef LATER_QUESTION
    /* The question after this one takes its place while the answer is under way. */
    :: atomic { answerVersion != NEVER -> queryAskedAt = time }
#endif
    :: atomic {
        answerVersion != NEVER ->
        if
        :: answerVersion > followerVersion -> followerVersion = answerVersion
        :: else
        fi;
#ifdef AT_RECEIPT
        queryAskedAt = time;
#endif
        if
        :: queryAskedAt >= answerAge && queryAskedAt - answerAge > followerCompleteAt ->
            followerCompleteAt = queryAskedAt - answerAge
        :: else
        fi;
        queryAskedAt = NEVER;
        answerVersion = NEVER
    }
    od
}
