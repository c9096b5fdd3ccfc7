/*
 * The replicated log with leases: votes, replication, crashes, lost disks, membership changes and the
 * report that a command is in force (docs/design.md, sections 4 and 5).
 *
 * Three VMs run a member each; a VM whose disk is lost returns with a new member id and an empty log. A
 * step of the model is one message and its effect, or a message whose answer is lost; a message may come
 * at any later time as long as its sender has not changed its mind, since a vote, an acknowledgement and a
 * round stay valid at the receiver until used. Entries carry the voters that are in force from them on. A
 * leader may also believe to lead for ever; only leases need time. Time is discrete and the same for all;
 * timers hold what is left of a period, so that its run is unbounded. One entry VM holds leases; it gets
 * state and grants from any leader, also a deposed one.
 *
 * Checked as assertions:
 *   - a term has at most one leader;
 *   - a new leader has every committed entry, and a committed entry never changes;
 *   - the entry VM, while its lease is valid, has applied every entry that any leader called in force.
 *
 * Left out: pre-vote, check quorum and timeouts (they matter for progress only; a campaign may start at any
 * time), snapshots, changes of the membership other than replacement, drift of clocks.
 *
 * Parameters: MAXTERM, MAXLOG (entries, with the first configuration), COMMANDS, LOSSES (of disks; the next
 * only when the replacement before is committed), PERIOD (lease period in steps of time, 0 for no leases).
 * Crashes that keep the disk are not bounded. Bounds searched exhaustively by spec/check.sh:
 *   MAXTERM 5, MAXLOG 4, COMMANDS 1                          2,072,954 states
 *   LOSSES 1, MAXTERM 3, MAXLOG 5, COMMANDS 1                  323,283 states
 *   LOSSES 2, MAXTERM 3, MAXLOG 7, COMMANDS 0                  212,486 states
 *   PERIOD 2, MAXTERM 3, MAXLOG 4, COMMANDS 1                1,959,545 states
 *   PERIOD 1, LOSSES 1, MAXTERM 3, MAXLOG 5, COMMANDS 0      2,023,510 states
 *
 * Broken variants, each of which must violate an assertion:
 *   -DBROKEN_DOUBLE_VOTE               a member votes more than once in a term
 *   -DBROKEN_VOTE_NOT_DURABLE          a crash forgets the vote
 *   -DBROKEN_COMMIT_EARLIER_TERM       copies of an entry of an earlier term suffice to commit it
 *   -DBROKEN_EMPTY_MEMBER_COUNTS       a member with a lost disk returns under its old id
 *   -DBROKEN_CHANGE_UNCOMMITTED        a change starts before the one before is committed
 *   -DBROKEN_PROMOTE_AT_ONCE           a new member votes before it caught up and the old id is removed
 *   -DBROKEN_LEASE_OUTLIVES_LEADER     a lease runs from its grant instead of the confirmed round
 *   -DBROKEN_NO_WAIT                   a new leader does not wait for the leases of earlier ones
 *   -DBROKEN_NO_FLOOR                  an entry VM that lacks what is in force gets a lease
 *   -DBROKEN_NEW_LEADER_WITHOUT_FLOOR  a new leader does so for what earlier leaders called in force
 * Reachability, each of which must violate an assertion too, so that the model is not empty:
 *   -DREACH_LAST_TERM                  a leader is elected in the last term
 *   -DREACH_REPLACED                   every lost disk is replaced
 *   -DREACH_IN_FORCE                   the last leader calls a command in force while a lease is valid
 */

#ifndef MAXTERM
#define MAXTERM 3
#endif
#ifndef MAXLOG
#define MAXLOG 4
#endif
#ifndef LOSSES
#define LOSSES 0
#endif
#ifndef COMMANDS
#define COMMANDS 1
#endif
#ifndef PERIOD
#define PERIOD 0
#endif

#define VMS 3
#define IDS (VMS + LOSSES)

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

/* An entry is its term and the voters that are in force from it on, as a bit for each id. */
#define ENTRY(term, voters) ((term) * 32 + (voters))
#define TERM_OF(entry) ((entry) / 32)
#define VOTERS_OF(entry) ((entry) % 32)

#define BIT(id) (1 << (id))
#define HAS(set, id) (((set) >> (id)) & 1)
#define COUNT(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3) + HAS(set, 4))
#define MAJORITY(set, of) (2 * COUNT((set) & (of)) > COUNT(of))

typedef Member {
    byte term;
    byte vote;          /* id + 1, 0 for none */
    byte length;           /* length of the log */
    byte log[MAXLOG];
    byte role;
    byte votes;         /* ids that voted for this candidate */
    byte match[IDS];    /* leader: entries known to be durable at each id */
    byte commit;        /* leader: committed entries it knows of */
    byte start;         /* leader: length of the log with its first entry */
};
Member m[IDS];

byte current[VMS];      /* member id of each VM */
byte previous[VMS];     /* id before that, or the same */
bool gone[IDS];         /* the id's disk is lost or the id is not used yet */
byte nextId = VMS;
byte losses = 0;
byte commands = 0;

/* Committed entries as the first leader that committed them saw them, and the leader of each term. */
byte committedLength = 1;
byte committed[MAXLOG];
byte leaderOf[MAXTERM + 1]; /* id + 1 */

#if PERIOD > 0
/* Times are what is left of a period, so that time itself needs no bound. */
byte roundLeft[IDS];    /* since the latest heartbeat round was sent */
byte roundAcks[IDS];
byte confirmedLeft[IDS]; /* since the latest confirmed round was sent: how long a lease may still be */
byte waitLeft[IDS];     /* since the leader was elected */
byte floor[IDS];        /* entries that every holder of a lease from this leader has applied */
byte grantedLeft[IDS];  /* of the lease that this leader granted to the holder */
byte reported[IDS];     /* entries that the holder reported as applied with it */
byte holderLeft = 0;    /* the entry VM: rest of its lease, entries applied */
byte holderRev = 0;
byte inForce = 0;       /* most entries that any leader called in force */
#endif

hidden byte k;
hidden byte p;
hidden byte set;

#define voters(i) VOTERS_OF(m[i].log[m[i].length - 1])
#define lastTerm(i) TERM_OF(m[i].log[m[i].length - 1])
#define upToDate(i, j) (m[j].length == 0 || lastTerm(i) > lastTerm(j) \
    || (lastTerm(i) == lastTerm(j) && m[i].length >= m[j].length))
#define leads(i) (m[i].role == LEADER)
#define allCurrent (BIT(current[0]) | BIT(current[1]) | BIT(current[2]))
#define ready(i) (leads(i) && m[i].commit >= m[i].start)

inline clearLeader(i)
{
    m[i].votes = 0; m[i].commit = 0; m[i].start = 0;
    k = 0;
    do
    :: k < IDS -> m[i].match[k] = 0; k++
    :: else -> break
    od;
#if PERIOD > 0
    roundLeft[i] = 0; roundAcks[i] = 0; confirmedLeft[i] = 0; waitLeft[i] = 0;
    floor[i] = 0; grantedLeft[i] = 0; reported[i] = 0;
#endif
}

inline becomeFollower(i, newTerm)
{
    if
    :: newTerm > m[i].term -> m[i].term = newTerm; m[i].vote = 0
    :: else
    fi;
    if
    :: m[i].role != FOLLOWER -> m[i].role = FOLLOWER; clearLeader(i)
    :: else
    fi
}

inline appendOwn(i, set2)
{
    m[i].log[m[i].length] = ENTRY(m[i].term, set2);
    m[i].length++
}

/* A leader that is ready knows everything that earlier leaders called in force. */
inline raiseFloor(i)
{
#if PERIOD > 0 && !defined(BROKEN_NEW_LEADER_WITHOUT_FLOOR)
    if
    :: floor[i] == 0 && m[i].commit >= m[i].start -> floor[i] = m[i].commit
    :: else
    fi
#else
    skip
#endif
}

/* Commits what a majority holds, and compares it with what was committed before. */
inline advanceCommit(i)
{
    p = m[i].length;
    do
    :: p > m[i].commit ->
        set = BIT(i);
        k = 0;
        do
        :: k < IDS ->
            if
            :: m[i].match[k] >= p -> set = set | BIT(k)
            :: else
            fi;
            k++
        :: else -> break
        od;
        if
#ifdef BROKEN_COMMIT_EARLIER_TERM
        :: MAJORITY(set, voters(i)) -> break
#else
        :: MAJORITY(set, voters(i)) && TERM_OF(m[i].log[p - 1]) == m[i].term -> break
#endif
        :: else -> p--
        fi
    :: else -> break
    od;
    if
    :: p > m[i].commit ->
        m[i].commit = p;
        k = 0;
        do
        :: k < p ->
            if
            :: k < committedLength -> assert(committed[k] == m[i].log[k]) /* committed entries never change */
            :: else -> committed[k] = m[i].log[k]; committedLength = k + 1
            fi;
            k++
        :: else -> break
        od;
        raiseFloor(i);
#ifdef REACH_REPLACED
        assert(losses < LOSSES || VOTERS_OF(committed[committedLength - 1]) != allCurrent);
#endif
        skip
    :: else
    fi
}

inline becomeLeader(i)
{
    assert(leaderOf[m[i].term] == 0); /* one leader in each term */
    leaderOf[m[i].term] = i + 1;
    assert(m[i].length >= committedLength); /* a leader has every committed entry */
    k = 0;
    do
    :: k < committedLength -> assert(committed[k] == m[i].log[k]); k++
    :: else -> break
    od;
    clearLeader(i);
    m[i].role = LEADER;
    m[i].start = m[i].length + 1;
    appendOwn(i, voters(i));
#if PERIOD > 0
    waitLeft[i] = PERIOD; roundLeft[i] = PERIOD; roundAcks[i] = BIT(i);
#endif
#ifdef REACH_LAST_TERM
    assert(m[i].term < MAXTERM);
#endif
}

/* The first to campaign is member 0: the members are alike. */
#define mayBeFirst(i) (i == 0 || m[0].term > 1 || losses > 0)
#define canCampaign(i) (mayBeFirst(i) && !gone[i] && m[i].length > 0 && m[i].length < MAXLOG && m[i].role != LEADER \
    && HAS(voters(i), i) && m[i].term < MAXTERM)

inline campaign(i)
{
    becomeFollower(i, m[i].term + 1);
    m[i].role = CANDIDATE;
    m[i].vote = i + 1;
    m[i].votes = BIT(i)
}

#ifdef BROKEN_DOUBLE_VOTE
#define mayVote(i, j) true
#else
#define mayVote(i, j) (m[j].term < m[i].term || m[j].vote == 0 || m[j].vote == i + 1)
#endif
#define canVote(i, j) (!gone[j] && m[i].role == CANDIDATE && HAS(voters(i), j) && !HAS(m[i].votes, j) \
    && m[j].term <= m[i].term && mayVote(i, j) && upToDate(i, j))

/* The candidate i asks j; the answer may be lost. */
inline giveVote(i, j)
{
    becomeFollower(j, m[i].term);
    m[j].vote = i + 1
}
inline takeVote(i, j)
{
    m[i].votes = m[i].votes | BIT(j);
    if
    :: MAJORITY(m[i].votes, voters(i)) -> becomeLeader(i)
    :: else
    fi
}

/* Length of the common prefix of two logs. */
inline agree(i, j)
{
    p = 0;
    do
    :: p < m[i].length && p < m[j].length && m[i].log[p] == m[j].log[p] -> p++
    :: else -> break
    od
}

#define canReplicate(i, j) (leads(i) && !gone[j] && m[j].term <= m[i].term)

/* The leader i sends j its next entry, or a heartbeat if there is none. */
inline replicate(i, j)
{
    becomeFollower(j, m[i].term);
    agree(i, j);
    if
    :: p < m[i].length -> m[j].log[p] = m[i].log[p]; p++;
        m[j].length = p;
        k = p;
        do
        :: k < MAXLOG -> m[j].log[k] = 0; k++
        :: else -> break
        od
    :: else
    fi
}
inline acknowledge(i, j)
{
    agree(i, j);
    if
    :: p > m[i].match[j] -> m[i].match[j] = p; advanceCommit(i)
    :: else
    fi;
#if PERIOD > 0
    if
    :: roundLeft[i] > 0 -> roundAcks[i] = roundAcks[i] | BIT(j)
    :: else
    fi;
    if
    :: MAJORITY(roundAcks[i], voters(i)) -> confirmedLeft[i] = roundLeft[i]
    :: else
    fi
#endif
}

#define hasRoom(i) (leads(i) && m[i].length < MAXLOG)
#ifdef BROKEN_CHANGE_UNCOMMITTED
#define mayChange(i) hasRoom(i)
#else
#define mayChange(i) (hasRoom(i) && ready(i) && voters(i) == VOTERS_OF(m[i].log[m[i].commit - 1]))
#endif
#define caughtUp(i, x) (m[i].match[x] > 0 && m[i].match[x] >= m[i].commit)
#define isLearner(i, v) (!HAS(voters(i), current[v]) && caughtUp(i, current[v]))
/* The id before is removed first; the new one is promoted once that is committed. */
#define canRemove(i, v) (mayChange(i) && isLearner(i, v) && HAS(voters(i), previous[v]))
#ifdef BROKEN_PROMOTE_AT_ONCE
#define canPromote(i, v) (hasRoom(i) && !HAS(voters(i), current[v]))
#else
#define canPromote(i, v) (mayChange(i) && isLearner(i, v) && !HAS(voters(i), previous[v]))
#endif

/* The next disk is lost only when the last replacement is committed. */
#define canLoseDisk(v) (losses < LOSSES && VOTERS_OF(committed[committedLength - 1]) == allCurrent)

inline wipe(i)
{
    becomeFollower(i, m[i].term);
    m[i].term = 0; m[i].vote = 0; m[i].length = 0;
    k = 0;
    do
    :: k < MAXLOG -> m[i].log[k] = 0; k++
    :: else -> break
    od
}

inline loseDisk(v)
{
    losses++;
    wipe(current[v]);
#ifndef BROKEN_EMPTY_MEMBER_COUNTS
    gone[current[v]] = true;
    previous[v] = current[v];
    current[v] = nextId;
    gone[nextId] = false;
    nextId++;
#endif
    skip
}

/* A crash that keeps the disk, or a step-down; a follower loses nothing that matters. */
#ifdef BROKEN_VOTE_NOT_DURABLE
#define canCrash(i) (!gone[i] && m[i].vote != 0)
#define forgetVote(i) m[i].vote = 0
#else
#define canCrash(i) (m[i].role != FOLLOWER)
#define forgetVote(i) skip
#endif
inline crash(i)
{
    becomeFollower(i, m[i].term);
    forgetVote(i)
}

#define PAIR(i, j) \
    :: atomic { canVote(i, j) -> giveVote(i, j); if :: takeVote(i, j) :: true fi } \
    :: atomic { canReplicate(i, j) -> replicate(i, j); if :: acknowledge(i, j) :: true fi }

#define MEMBER(i) \
    :: d_step { canCampaign(i) -> campaign(i) } \
    :: d_step { hasRoom(i) && commands < COMMANDS -> commands++; appendOwn(i, voters(i)) } \
    :: d_step { canCrash(i) -> crash(i) }

#define CHANGE(i, v) \
    :: d_step { canRemove(i, v) -> appendOwn(i, voters(i) & ~BIT(previous[v])) } \
    :: d_step { canPromote(i, v) -> appendOwn(i, voters(i) | BIT(current[v])) }

#define PAIRS_OF_THREE \
    PAIR(0, 1) PAIR(0, 2) PAIR(1, 0) PAIR(1, 2) PAIR(2, 0) PAIR(2, 1) MEMBER(0) MEMBER(1) MEMBER(2)
#define CHANGES(i) CHANGE(i, 0) CHANGE(i, 1) CHANGE(i, 2)

#if PERIOD > 0
#ifdef BROKEN_LEASE_OUTLIVES_LEADER
#define leaseLeft(i) (confirmedLeft[i] > 0 -> PERIOD : 0) /* from now on, not from the confirmed round */
#else
#define leaseLeft(i) confirmedLeft[i]
#endif
#ifdef BROKEN_NO_WAIT
#define hasWaited(i) true
#else
#define hasWaited(i) (waitLeft[i] == 0)
#endif
#ifdef BROKEN_NO_FLOOR
#define mayGrant(i) true
#else
#define mayGrant(i) (holderRev >= floor[i])
#endif

/* Whoever may serve has applied everything that was called in force. */
#define inForceHolds assert(holderLeft == 0 || holderRev >= inForce)

#ifdef REACH_IN_FORCE
#define REACHED_IN_FORCE(i) assert(m[i].term < MAXTERM || holderLeft == 0)
#else
#define REACHED_IN_FORCE(i) skip
#endif

#define LEASES(i) \
    :: d_step { leads(i) && roundLeft[i] < PERIOD -> roundLeft[i] = PERIOD; roundAcks[i] = BIT(i) } \
    :: d_step { ready(i) && mayGrant(i) && (leaseLeft(i) > grantedLeft[i] || holderRev > reported[i]) \
            && leaseLeft(i) > 0 -> \
        reported[i] = holderRev; \
        if :: leaseLeft(i) > grantedLeft[i] -> grantedLeft[i] = leaseLeft(i) :: else fi; \
        if :: leaseLeft(i) > holderLeft -> holderLeft = leaseLeft(i) :: else fi; \
        inForceHolds } \
    :: d_step { ready(i) && holderRev < m[i].commit -> holderRev = m[i].commit } \
    :: d_step { ready(i) && hasWaited(i) && inForce < m[i].commit \
            && (grantedLeft[i] == 0 || reported[i] >= m[i].commit) -> \
        floor[i] = m[i].commit; inForce = floor[i]; REACHED_IN_FORCE(i); \
        inForceHolds }

#define LESS(x) if :: x > 0 -> x-- :: else fi
#define TIMERS(i) LESS(roundLeft[i]); LESS(confirmedLeft[i]); LESS(waitLeft[i]); LESS(grantedLeft[i]); \
    if :: roundLeft[i] == 0 -> roundAcks[i] = 0 :: else fi; \
    if :: grantedLeft[i] == 0 -> reported[i] = 0 :: else fi
#define TIMERS_RUN(i) (roundLeft[i] + confirmedLeft[i] + waitLeft[i] + grantedLeft[i] > 0)
#if LOSSES > 1
#error "leases are modelled with one lost disk at most"
#elif LOSSES > 0
#define TIMERS_OF_NEW TIMERS(3)
#define NEW_TIMERS_RUN TIMERS_RUN(3)
#else
#define TIMERS_OF_NEW skip
#define NEW_TIMERS_RUN false
#endif
#endif

active proctype System()
{
    d_step {
        k = 0;
        do
        :: k < IDS ->
            gone[k] = (k >= VMS);
            if
            :: k < VMS ->
                current[k] = k; previous[k] = k; 
                m[k].term = 1; m[k].length = 1; m[k].log[0] = ENTRY(1, 7)
            :: else
            fi;
            k++
        :: else -> break
        od;
        committed[0] = ENTRY(1, 7)
    };
end:
    do
    PAIRS_OF_THREE
#if LOSSES > 0
    PAIR(0, 3) PAIR(1, 3) PAIR(2, 3) PAIR(3, 0) PAIR(3, 1) PAIR(3, 2) MEMBER(3)
    CHANGES(0) CHANGES(1) CHANGES(2) CHANGES(3)
    :: d_step { canLoseDisk(0) -> loseDisk(0) }
    :: d_step { canLoseDisk(1) -> loseDisk(1) }
    :: d_step { canLoseDisk(2) -> loseDisk(2) }
#endif
#if LOSSES > 0 && PERIOD > 0
    LEASES(3)
#endif
#if LOSSES > 1
    PAIR(0, 4) PAIR(1, 4) PAIR(2, 4) PAIR(3, 4) PAIR(4, 0) PAIR(4, 1) PAIR(4, 2) PAIR(4, 3) MEMBER(4)
    CHANGES(4)
#endif
#if PERIOD > 0
    LEASES(0) LEASES(1) LEASES(2)
    :: d_step { holderLeft > 0 || TIMERS_RUN(0) || TIMERS_RUN(1) || TIMERS_RUN(2) || NEW_TIMERS_RUN ->
        LESS(holderLeft); TIMERS(0); TIMERS(1); TIMERS(2); TIMERS_OF_NEW }
#endif
    od
}
