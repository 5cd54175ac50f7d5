/*
 * What gateways tell each other of a subject that replicas ended under.
 *
 * Each gateway keeps an entry: an epoch, which counts successful runs, and the replicas
 * that ended in that epoch. The subject is guilty, and each send of it ends a replica; or
 * it is sound, and its runs succeed unless a replica ends by chance. A gateway refuses it
 * with LIMIT ended replicas. Entries are told as messages that may be late, come twice or
 * be overtaken, and a gateway tells further what it heard. The first gateway that refuses
 * a guilty subject records that in the store. All gateways may be killed at once; each
 * reads the store then.
 *
 * Checked: what a gateway hears never frees a guilty subject; after a recorded refusal, a
 * kill of all gateways frees it neither; once all is told, all gateways hold the same, and
 * no end counts that a gateway knew when a run succeeded there.
 *
 * Left out: trials, the time after which entries are forgotten, and which of several
 * subjects an end is attributed to (core/crashattribution).
 *
 * Broken variants: NO_EPOCH, LAST_TOLD_WINS, RECORD_NOT_READ.
 */
#define GATEWAYS 3
#define LIMIT 2
#define ENDS 4      /* replicas that may end */
#define SUCCESSES 2

bool isGuilty;
byte epoch[GATEWAYS];
byte lives[GATEWAYS];     /* set of bits */
bool isRefused[GATEWAYS]; /* in this life of the gateway, a guilty subject */
byte ends = 0;
byte successes = 0;
byte valid = 0;           /* ended replicas that no success has cleared */
byte recorded = 0;        /* ended replicas in the store's record; zero: there is none */
bool isKilled = false;

byte toldEpoch;           /* the message that is on its way */
byte toldLives;

#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1))
#define REFUSES(gateway) (COUNT(lives[gateway]) >= LIMIT)

inline look(gateway)
{
    if
    :: isGuilty && REFUSES(gateway) ->
        isRefused[gateway] = true;
        if
        :: recorded == 0 -> recorded = lives[gateway]
        :: else
        fi
    :: else
    fi;
    assert(!isRefused[gateway] || REFUSES(gateway))
}

inline merge(gateway, ofEpoch, ofLives)
{
#ifdef LAST_TOLD_WINS
    epoch[gateway] = ofEpoch;
    lives[gateway] = ofLives;
#else
    if
    :: ofEpoch > epoch[gateway] ->
        epoch[gateway] = ofEpoch;
        lives[gateway] = ofLives
    :: ofEpoch == epoch[gateway] ->
        lives[gateway] = lives[gateway] | ofLives
    :: else
    fi;
#endif
    look(gateway)
}

inline noteEnd(gateway)
{
    lives[gateway] = lives[gateway] | (1 << ends);
    valid = valid | (1 << ends);
    ends++;
    look(gateway)
}

inline noteSuccess(gateway)
{
    valid = valid & ~lives[gateway];
#ifndef NO_EPOCH
    if
    :: lives[gateway] != 0 -> epoch[gateway]++
    :: else
    fi;
#endif
    lives[gateway] = 0;
    successes++
}

inline killAll()
{
    g = 0;
    do
    :: g < GATEWAYS ->
        epoch[g] = 0;
        lives[g] = 0;
        isRefused[g] = false;
#ifndef RECORD_NOT_READ
        if
        :: recorded != 0 -> merge(g, 0, recorded)
        :: else
        fi;
#endif
        assert(recorded == 0 || REFUSES(g));
        g++
    :: else -> break
    od;
    toldEpoch = 0;
    toldLives = 0;
    isKilled = true
}

/* All that is known reaches all gateways, twice over. */
inline tellAll()
{
    round = 0;
    do
    :: round < 2 ->
        g = 0;
        do
        :: g < GATEWAYS ->
            other = 0;
            do
            :: other < GATEWAYS -> merge(other, epoch[g], lives[g]); other++
            :: else -> break
            od;
            g++
        :: else -> break
        od;
        round++
    :: else -> break
    od;
    g = 0;
    do
    :: g < GATEWAYS ->
        assert(epoch[g] == epoch[0] && lives[g] == lives[0]);
        assert((lives[g] & ~valid) == 0);
        g++
    :: else -> break
    od
}

active proctype System()
{
    byte g;
    byte other;
    byte round;
    if
    :: isGuilty = true
    :: isGuilty = false
    fi;
    do
    :: atomic {
        g = 0;
        do
        :: g < GATEWAYS - 1 -> g++
        :: break
        od;
        if
        :: !REFUSES(g) && ends < ENDS -> noteEnd(g)
        :: !REFUSES(g) && !isGuilty && successes < SUCCESSES -> noteSuccess(g)
        :: toldEpoch = epoch[g]; toldLives = lives[g]
        :: merge(g, toldEpoch, toldLives)
        :: !isKilled -> killAll()
        fi;
        g = 0
    }
    :: break
    od;
    atomic {
        tellAll()
    }
}
