/*
 * Claims: a non-idempotent request is executed at most once (docs/design.md, section 5).
 *
 * A caller submits one request with one request id RUNS times, each time through one of two entry VMs and
 * at any time, also while earlier runs are not finished. The replicated state consists of one claim.
 * Control applies each committed command in one step.
 *
 * Faults:
 *   - Control may process a message at any time after it was sent, in any order, several times (resends,
 *     delays, a new leader) or never (a leader that crashes before the commit).
 *   - An answer may never be read (a leader that crashes after the commit, a timeout).
 *   - Entry VMs crash and restart with a new incarnation. A VM may depart and be admitted again while its
 *     runs continue (a frozen VM).
 *   - A request may still be in flight to the endpoint when its VM has crashed or departed. The endpoint
 *     executes it, refuses it or never receives it, and its answer may never be read.
 * Leases are left out on purpose: a run may send at any time after its claim was opened.
 *
 * Checked as assertions: at most one execution; a run that was answered "not run" is never executed,
 * neither before nor after that answer.
 *
 * Bounds of the exhaustive search: RUNS 3, 2 VMs, CRASHES 1, DEPARTURES 1, one end of the 24 h window in
 * which a request id is accepted; resends, delays and losses are unbounded. 7,443,877 states, depth 98,
 * 600 MB with COLLAPSE.
 *
 * Broken variants, each of which must violate an assertion:
 *   -DSEND_BEFORE_DURABLE   the leader answers before the claim is committed, and the claim is then lost
 *   -DRETRY_AFTER_SEND      the VM sends the request again when no answer arrived
 *   -DFORGET_IN_WINDOW      the claim is dropped while its request id is still accepted
 *   -DSETTLE_ANY_RUN        a settlement is matched by VM and incarnation but not by run
 *   -DREOPEN_LOST           the claim of a VM that crashed or departed may be opened again
 *   -DNOT_RUN_AFTER_SEND    a request without an answer is settled as not run
 * Reachability checks, each of which must violate an assertion too. They show that the model reaches the
 * states that matter:
 *   -DREACH_DONE            a run is executed and recorded as done
 *   -DREACH_SECOND_RUN      a run is executed after another one was answered "not run"
 */

#ifndef RUNS
#define RUNS 3
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef DEPARTURES
#define DEPARTURES 1
#endif

/* Phases of the claim and outcomes of a settlement. */
#define NONE 0
#define IN_PROGRESS 1
#define DONE 2
#define NOT_RUN 3
#define UNKNOWN 4
#define LOST 5

/* Answers to an OpenClaim. */
#define OPENED 1
#define REFUSED 2

/* The replicated state. The holder is a run, which identifies a VM, its incarnation and the number of the run. */
byte phase = NONE;
byte holder = 0;
bool expired = false;
byte admitted[2]; /* admitted incarnation of each VM */
bool departed[2];

/* Current incarnation of each VM; VM and incarnation of each run. Runs are numbered from 1. */
byte incarnation[2];
byte vmOf[RUNS + 1];
byte incarnationOf[RUNS + 1];

/* Messages of each run. Messages to control are kept, so that control may process them again. */
bool openSent[RUNS + 1];
byte settleSent[RUNS + 1]; /* outcome to settle, NONE if not sent */
byte reply[RUNS + 1];      /* to the OpenClaim, 0 if there is none */
bool wantsReply[RUNS + 1];
byte inFlight[RUNS + 1];   /* requests in flight to the endpoint */
byte answer[RUNS + 1];     /* of the endpoint: DONE or NOT_RUN, 0 if there is none */
bool wantsAnswer[RUNS + 1];

byte executions = 0;
bool executed[RUNS + 1];
bool answeredNotRun[RUNS + 1];
byte crashes = 0;
byte departures = 0;

#define crashed(r) (incarnation[vmOf[r]] != incarnationOf[r])
#define messageSent(r) (openSent[r] || settleSent[r] != NONE)
#define needsAdmission(vm) (departed[vm] || admitted[vm] != incarnation[vm])
#define isAdmitted(r) (!departed[vmOf[r]] && admitted[vmOf[r]] == incarnationOf[r])
#ifdef SETTLE_ANY_RUN
#define maySettle(r) (holder != 0 && vmOf[holder] == vmOf[r] && incarnationOf[holder] == incarnationOf[r])
#else
#define maySettle(r) (holder == r)
#endif

/* Marks the claim as lost if the admitted incarnation of the VM holds it. That incarnation departs. */
inline loseClaim(vm)
{
    if
    :: phase == IN_PROGRESS && vmOf[holder] == vm && incarnationOf[holder] == admitted[vm] ->
#ifdef REOPEN_LOST
        phase = NONE; holder = 0
#else
        phase = LOST
#endif
    :: else
    fi
}

inline answerOpen(r, value)
{
    if
    :: wantsReply[r] -> reply[r] = value
    :: else
    fi
}

inline applyOpen(r)
{
    if
    :: expired || !isAdmitted(r) -> answerOpen(r, REFUSED)
    :: else ->
        if
        :: phase == NONE || (phase == NOT_RUN && holder != r) ->
            phase = IN_PROGRESS; holder = r; answerOpen(r, OPENED)
        :: phase == IN_PROGRESS && holder == r -> answerOpen(r, OPENED)
        :: else -> answerOpen(r, REFUSED)
        fi
    fi
}

inline applySettle(r)
{
    if
    :: expired -> skip
    :: !expired && phase == NONE && settleSent[r] == NOT_RUN -> phase = NOT_RUN; holder = r
    :: (!expired && maySettle(r)
        && (phase == IN_PROGRESS || phase == LOST || (phase == UNKNOWN && settleSent[r] == DONE))) ->
        phase = settleSent[r];
#ifdef REACH_DONE
        assert(!(phase == DONE && executions == 1))
#endif
    :: else
    fi
}

active proctype Control()
{
    byte r;
end:
    do
    :: atomic {
        if
        :: messageSent(1) -> r = 1
        :: messageSent(2) -> r = 2
        :: RUNS > 2 && messageSent(RUNS) -> r = RUNS
        fi;
        if
        :: openSent[r] -> applyOpen(r)
        :: settleSent[r] != NONE -> applySettle(r)
#ifdef SEND_BEFORE_DURABLE
        :: openSent[r] && isAdmitted(r) && phase == NONE && !expired -> answerOpen(r, OPENED)
#endif
        fi;
        r = 0
    }
    od
}

/* Crashes, departures and admissions of VMs, and the end of the window in which the request id is accepted. */
active proctype Environment()
{
    byte vm;
end:
    do
    :: atomic {
        crashes < CRASHES ->
        select(vm : 0 .. 1);
        crashes++; incarnation[vm]++; vm = 0
    }
    :: atomic {
        departures < DEPARTURES ->
        select(vm : 0 .. 1);
        departures++; loseClaim(vm); departed[vm] = true; vm = 0
    }
    :: atomic {
        if
        :: needsAdmission(0) -> vm = 0
        :: needsAdmission(1) -> vm = 1
        fi;
        if
        :: admitted[vm] != incarnation[vm] -> loseClaim(vm); admitted[vm] = incarnation[vm]
        :: else
        fi;
        departed[vm] = false;
        vm = 0
    }
    :: atomic {
#ifdef FORGET_IN_WINDOW
        phase != NONE ->
#else
        !expired -> expired = true;
#endif
        phase = NONE; holder = 0
    }
    od
}

inline answerRequest(r, value)
{
    if
    :: wantsAnswer[r] -> answer[r] = value
    :: else
    fi
}

active proctype Endpoint()
{
    byte r;
end:
    do
    :: atomic {
        if
        :: inFlight[1] > 0 -> r = 1
        :: inFlight[2] > 0 -> r = 2
        :: RUNS > 2 && inFlight[RUNS] > 0 -> r = RUNS
        fi;
        inFlight[r]--;
        if
        :: true ->
            assert(!answeredNotRun[r]);
            assert(executions == 0);
#ifdef REACH_SECOND_RUN
            assert(!answeredNotRun[1] && !answeredNotRun[2]);
#endif
            executions++;
            executed[r] = true;
            answerRequest(r, DONE)
        :: true -> answerRequest(r, NOT_RUN)
        fi;
        r = 0
    }
    od
}

inline answerNotRun(r)
{
    assert(!executed[r]);
    answeredNotRun[r] = true;
    settleSent[r] = NOT_RUN
}

proctype Run(byte r)
{
    {
        atomic { openSent[r] = true; wantsReply[r] = true };
        if
        :: atomic { reply[r] == OPENED -> wantsReply[r] = false; reply[r] = 0 }
        :: atomic { reply[r] == REFUSED -> wantsReply[r] = false; reply[r] = 0; goto finished }
        :: atomic { wantsReply[r] = false; reply[r] = 0; answerNotRun(r); goto finished } /* no answer in time */
        fi;
        if
        :: atomic { inFlight[r] = 1; wantsAnswer[r] = true }
        :: atomic { answerNotRun(r); goto finished } /* no lease, or no byte left the VM */
        fi;
        if
        :: atomic { answer[r] == DONE -> wantsAnswer[r] = false; answer[r] = 0; settleSent[r] = DONE }
        :: atomic { answer[r] == NOT_RUN -> wantsAnswer[r] = false; answer[r] = 0; answerNotRun(r) }
        :: atomic { /* no complete answer */
            wantsAnswer[r] = false; answer[r] = 0;
#ifdef RETRY_AFTER_SEND
            inFlight[r]++;
#endif
#ifdef NOT_RUN_AFTER_SEND
            answerNotRun(r)
#else
            settleSent[r] = UNKNOWN
#endif
        }
        fi
    } unless { crashed(r) };
finished:
    atomic { wantsReply[r] = false; reply[r] = 0; wantsAnswer[r] = false; answer[r] = 0 }
}

/* Submits the request RUNS times, at any time and through any VM. */
active proctype Caller()
{
    byte r = 1;
    byte vm;
    do
    :: r <= RUNS ->
        atomic {
            select(vm : 0 .. 1);
            vmOf[r] = vm;
            incarnationOf[r] = incarnation[vm];
            run Run(r);
            r++;
            vm = 0
        }
    :: else -> break
    od
}
