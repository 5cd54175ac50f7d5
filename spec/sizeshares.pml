/*
 * Large requests get their share of the places at a gateway, and not more.
 *
 * A place is offered to a request of one group of sizes. The request may fit, so
 * that its answer would be in time, or not; any order of these is possible. The
 * group has to take SHARE of UNIT places. Counted are the offers of any span of
 * up to SPAN: the group is never short of a whole place, and late requests never
 * take more than its share and one place.
 *
 * Left out: other groups, whose credits are apart, and the share's dependence on
 * the fraction of attempts that is admitted. In FITS_ONLY a request is sent only
 * where it fits, in ALWAYS_LATE wherever it is offered a place. In NO_FLOOR places
 * that a group took while it fitted count against it later.
 *
 * Broken variants: FITS_ONLY, ALWAYS_LATE, NO_FLOOR.
 */
#define UNIT 10
#define SHARE 9
#define INITIAL 5
#define SPAN 24
#define LOWEST -40    /* of the credit in NO_FLOOR, to keep the state space finite */

short credit = INITIAL;
byte offers;
byte taken;
byte late;
bool isCounting;

#ifdef FITS_ONLY
#define IS_DUE false
#else
#ifdef ALWAYS_LATE
#define IS_DUE true
#else
#define IS_DUE (credit + SHARE >= UNIT)
#endif
#endif

active proctype Gateway()
{
    bool fits;
    bool isTaken;
    do
    :: offers < SPAN ->
        atomic {
            if
            :: !isCounting -> isCounting = true
            :: skip
            fi;
            if
            :: fits = true
            :: fits = false
            fi;
            isTaken = fits || IS_DUE;
            credit = credit + SHARE - (isTaken -> UNIT : 0);
#ifdef NO_FLOOR
            if
            :: credit < LOWEST -> credit = LOWEST
            :: else
            fi;
#else
            if
            :: credit < 0 -> credit = 0
            :: else
            fi;
#endif
            if
            :: isCounting ->
                offers++;
                taken = taken + (isTaken -> 1 : 0);
                late = late + (isTaken && !fits -> 1 : 0)
            :: else
            fi
        }
        assert(SHARE * offers - UNIT * taken < UNIT);
        assert(UNIT * late <= SHARE * offers + UNIT)
    :: offers == SPAN -> break
    od
}
