/*
 * Allowance loans and the change of a team's home (sections 6 and 7 of docs/design.md).
 *
 * Stands for: Process/AllowanceHome, Process/AllowanceClient, Process/FleetState, Process/FreshnessRule and
 * Process/PeerExchange. Member OLD is the home under revision 1 and is removed by revision 2, which makes
 * SUCCESSOR the home. MIDDLE is a member under both revisions and the borrower.
 *
 * Time is counted in ticks. Ages stop at the first value that no rule tells from a larger one. A pause of a
 * process is an execution in which it takes no step while ticks pass; a store outage, a cut connection or a
 * lost message is an execution in which requests are dropped. Each process has one request in flight.
 *
 * allowed is a reference bucket: spending stays within burst + rate x t over every window if and only if the
 * reference bucket never runs below zero.
 *
 * Leaves out: more than one borrower, requests of one borrower that overtake one another, relay of requests,
 * clock drift, table changes of more than one member, peers whose highest known revision is above the one in force
 * (ConfigurationRevision has them). The bound and the loan term are one tick each.
 *
 * Each line names a safeguard that the variant compiled with -DNAME removes:
 * weaken: NO_TAKEOVER_WAIT
 * weaken: NO_MAJORITY
 * weaken: HEARD_BEFORE_TABLE
 * weaken: DATE_ON_RECEIPT
 * weaken: REFILL_IGNORES_LOANS
 * weaken: LENDER_TERM_SHORT
 * weaken: LOAN_FROM_RECEIPT
 * weaken: HANDOVER_WITHOUT_STOP
 */

#define OLD 0
#define MIDDLE 1
#define SUCCESSOR 2
#define STORE 3
#define NOBODY 4

#define FRESHNESS_BOUND 1
#define STALE (FRESHNESS_BOUND + 1)
#define LOAN_TERM 1
#define LAPSED (LOAN_TERM + 1)
#ifdef LENDER_TERM_SHORT
#define LENDER_TERM (LOAN_TERM - 1)
#else
#define LENDER_TERM LOAN_TERM
#endif
#ifdef NO_TAKEOVER_WAIT
#define TAKEOVER_WAIT 0
#else
#define TAKEOVER_WAIT (FRESHNESS_BOUND + LOAN_TERM + 1)
#endif
#define BURST 2
#ifdef HEARD_BEFORE_TABLE
#define maySendToMiddle (revision[MIDDLE] == 1)
#else
/* Answers to requests with revision 1 would change nothing. */
#define maySendToMiddle (revision[SUCCESSOR] == 2 && !waits && (revision[MIDDLE] == 1 || !acts[SUCCESSOR]))
#endif
#ifdef NO_MAJORITY
#define hasHeardMajority true
#else
#define hasHeardMajority (heardAge[SUCCESSOR] <= FRESHNESS_BOUND)
#endif

#define IDLE 0
#define SENT 1
#define ANSWERED 2

byte storeRevision = 1;
byte revision[3] = 1;
/* Age of the last confirmation of the revision in force; not kept for SUCCESSOR, see actsAsHome. */
byte confirmedAge[3] = 0;
/* Age of the last answer of MIDDLE that OLD or SUCCESSOR read. */
byte heardAge[3] = STALE;
/* Age of the last direct store contact of SUCCESSOR. */
byte contactAge = STALE;

/* The request in flight of each process. */
byte target[3] = NOBODY;
byte stage[3] = IDLE;
byte sentAge[3] = 0;
byte sentRevision[3] = 0;
byte answerRevision[3] = 0;
byte answerAge[3] = 0;

/* Home side of the bucket; one record, because at most one home may act. "Holder" says whose memory has it. */
byte level[3] = 0;
byte outstanding[3] = 0;
byte lenderAge[3] = 0;
bool acts[3] = false;
bool waits = false;
byte waitAge = 0;
byte handoverLevel = 0;
byte handoverOutstanding = 0;
byte handoverAge = 0;
bool handedOver = false;

/* Borrower side. */
byte loan = 0;
byte loanAge = 0;
byte spentOfLoan = 0;
byte granted = 0;
byte reported = 0;
byte returned = 0;

byte allowed = BURST;

inline older(age, limit)
{
    if
    :: age < limit -> age++
    :: else
    fi
}

inline spend()
{
    assert(allowed > 0);
    allowed--;
}

/* The freshness rule; OLD counts itself and MIDDLE as 2 of 3. */
#define mayAct(d) (confirmedAge[d] <= FRESHNESS_BOUND || heardAge[d] <= FRESHNESS_BOUND)
/* Once started, SUCCESSOR acts without a break; it is the last home, so this allows more than the rule does. */
#define actsAsHome(d) (acts[d] && (d == SUCCESSOR || revision[OLD] == 1 && mayAct(OLD)))

inline clearRequest(d)
{
    target[d] = NOBODY;
    stage[d] = IDLE;
    sentAge[d] = 0;
    sentRevision[d] = 0;
    answerRevision[d] = 0;
    answerAge[d] = 0;
    if
    :: d == SUCCESSOR -> handoverLevel = 0; handoverOutstanding = 0; handoverAge = 0
    :: d == MIDDLE -> granted = 0; reported = 0; returned = 0
    :: else
    fi
}

inline learn(d, newRevision)
{
    if
    :: newRevision > revision[d] ->
        revision[d] = newRevision;
        confirmedAge[d] = STALE;
#ifndef HEARD_BEFORE_TABLE
        /* Only answers to requests that told the peer of the new table count for the wait. */
        heardAge[d] = STALE;
#endif
        if
        :: d == OLD -> acts[OLD] = false; level[OLD] = 0; outstanding[OLD] = 0; lenderAge[OLD] = 0; heardAge[OLD] = STALE
        :: else
        fi
    :: else
    fi
}

/* Ages one home's bucket by a tick: lapse of loans, then refill up to the burst. */
inline tickBucket(d)
{
    if
    :: acts[d] && outstanding[d] > 0 ->
        lenderAge[d]++;
        if
        :: lenderAge[d] > LENDER_TERM -> outstanding[d] = 0; lenderAge[d] = 0
        :: else
        fi
    :: else
    fi;
    if
#ifdef REFILL_IGNORES_LOANS
    :: acts[d] && level[d] < BURST -> level[d]++
#else
    :: acts[d] && level[d] + outstanding[d] < BURST -> level[d]++
#endif
    :: else
    fi
}

inline tick()
{
    older(confirmedAge[OLD], STALE); older(confirmedAge[MIDDLE], STALE);
    older(heardAge[OLD], STALE); older(heardAge[SUCCESSOR], STALE);
    older(contactAge, STALE);
    if
    :: waits -> older(waitAge, TAKEOVER_WAIT)
    :: else
    fi;
    for (i : 0 .. 2) {
        if
        :: stage[i] != IDLE ->
            sentAge[i]++;
            if
            :: stage[i] == ANSWERED && answerAge[i] < STALE -> answerAge[i]++
            :: else
            fi;
            /* An answer this old changes nothing any more; under DATE_ON_RECEIPT it still does. */
#if defined(DATE_ON_RECEIPT) || defined(LOAN_FROM_RECEIPT)
            if
            :: sentAge[i] > STALE + 1 -> clearRequest(i)
            :: else
            fi
#else
            if
            :: sentAge[i] > STALE -> clearRequest(i)
            :: else
            fi
#endif
        :: else
        fi
    }
    if
    :: stage[SUCCESSOR] == ANSWERED && target[SUCCESSOR] == OLD && handoverOutstanding > 0 ->
        handoverAge++;
        if
        :: handoverAge > LENDER_TERM -> handoverOutstanding = 0; handoverAge = 0
        :: else
        fi
    :: else
    fi;
    tickBucket(OLD);
    tickBucket(SUCCESSOR);
    if
    :: loan + spentOfLoan > 0 ->
        loanAge++;
        if
        :: loanAge > LOAN_TERM -> loan = 0; loanAge = 0; spentOfLoan = 0
        :: else
        fi
    :: else
    fi;
    older(allowed, BURST);
}

inline send(d, to)
{
    target[d] = to;
    stage[d] = SENT;
    sentRevision[d] = revision[d];
}

/* The store or MIDDLE answers a confirmation request; MIDDLE learns the revision of the one who asks. */
inline answer(d)
{
    if
    :: target[d] == STORE ->
        answerRevision[d] = storeRevision;
        answerAge[d] = 0
    :: target[d] == MIDDLE ->
        learn(MIDDLE, sentRevision[d]);
        answerRevision[d] = revision[MIDDLE];
        answerAge[d] = confirmedAge[MIDDLE]
    fi;
    stage[d] = ANSWERED;
}

inline readAnswer(d)
{
    learn(d, answerRevision[d]);
#ifdef DATE_ON_RECEIPT
    k = (target[d] == STORE -> 0 : answerAge[d]);
    h = 0;
#else
    /* An answer of the store confirms the time at which the request was sent. */
    k = (target[d] == STORE -> sentAge[d] : answerAge[d]);
    h = sentAge[d];
#endif
    if
    :: d == OLD && answerRevision[d] == revision[d] && k < confirmedAge[d] -> confirmedAge[d] = k
    :: else
    fi;
    if
    :: target[d] == STORE && d == SUCCESSOR && !acts[d] && !waits && h < contactAge -> contactAge = h
#ifdef HEARD_BEFORE_TABLE
    :: target[d] == MIDDLE && (!acts[d] || d == OLD) && h < heardAge[d] -> heardAge[d] = h
#else
    :: target[d] == MIDDLE && (!acts[d] && !waits || d == OLD) && sentRevision[d] == revision[d] && h < heardAge[d] -> heardAge[d] = h
#endif
    :: else
    fi;
    clearRequest(d);
}

inline grant(d)
{
    /* A report counts only against a loan that has not lapsed. */
    if
    :: outstanding[d] >= reported + returned ->
        outstanding[d] = outstanding[d] - reported - returned;
        level[d] = level[d] + returned
    :: else
    fi;
    granted = level[d];
    level[d] = 0;
    outstanding[d] = outstanding[d] + granted;
    lenderAge[d] = (granted > 0 || outstanding[d] == 0 -> 0 : lenderAge[d]);
    reported = 0;
    returned = 0;
    stage[MIDDLE] = ANSWERED;
    if
    :: granted == 0 -> clearRequest(MIDDLE)
    :: else
    fi
}

/* SUCCESSOR starts to act; what it kept for the wait is not needed any more. */
inline start()
{
    acts[SUCCESSOR] = true;
    waits = false;
    waitAge = 0;
    contactAge = STALE;
    heardAge[SUCCESSOR] = STALE;
}

active proctype System()
{
    byte i = 0;
    byte k = 0;
    byte h = 0;
    acts[OLD] = true;
    level[OLD] = BURST;
    do
    :: d_step { true -> tick(); i = 0; k = 0; h = 0 }

    /* The change of the member table. */
    :: d_step { storeRevision == 1 -> storeRevision = 2 }

    /* Confirmations. MIDDLE has been cut off from the store; it learns of the new table from SUCCESSOR. */
    :: d_step { stage[OLD] == IDLE && revision[OLD] == 1 -> send(OLD, STORE) }
    :: d_step { stage[OLD] == IDLE && revision[OLD] == 1 -> send(OLD, MIDDLE) }
    :: d_step { stage[SUCCESSOR] == IDLE && !acts[SUCCESSOR] && !waits -> send(SUCCESSOR, STORE) }
    :: d_step { stage[SUCCESSOR] == IDLE && maySendToMiddle -> send(SUCCESSOR, MIDDLE) }
    :: d_step { stage[OLD] == SENT -> answer(OLD) }
    :: d_step { stage[SUCCESSOR] == SENT && target[SUCCESSOR] != OLD -> answer(SUCCESSOR) }
    :: d_step { stage[OLD] == ANSWERED -> readAnswer(OLD); k = 0; h = 0 }
    :: d_step { stage[SUCCESSOR] == ANSWERED && target[SUCCESSOR] != OLD -> readAnswer(SUCCESSOR); k = 0; h = 0 }
    :: d_step { stage[OLD] != IDLE -> clearRequest(OLD) }
    :: d_step { stage[MIDDLE] != IDLE -> clearRequest(MIDDLE) }
    :: d_step { stage[SUCCESSOR] != IDLE -> clearRequest(SUCCESSOR) }

    /* Handover: OLD takes over the revision, stops and gives its bucket away once. */
    :: d_step { stage[SUCCESSOR] == IDLE && revision[SUCCESSOR] == 2 && !acts[SUCCESSOR] -> send(SUCCESSOR, OLD) }
    :: d_step {
        stage[SUCCESSOR] == SENT && target[SUCCESSOR] == OLD && acts[OLD] ->
        handoverLevel = level[OLD];
        handoverOutstanding = outstanding[OLD];
        handoverAge = lenderAge[OLD];
        stage[SUCCESSOR] = ANSWERED;
#ifndef HANDOVER_WITHOUT_STOP
        learn(OLD, 2)
#endif
    }
    :: d_step {
        stage[SUCCESSOR] == ANSWERED && target[SUCCESSOR] == OLD ->
        if
        :: !acts[SUCCESSOR] ->
            start();
            level[SUCCESSOR] = handoverLevel;
            outstanding[SUCCESSOR] = handoverOutstanding;
            lenderAge[SUCCESSOR] = handoverAge
        :: else
        fi;
        clearRequest(SUCCESSOR)
    }

    /* No handover: wait, then start empty. */
    :: d_step {
        revision[SUCCESSOR] == 2 && !acts[SUCCESSOR] && !waits && contactAge <= FRESHNESS_BOUND && hasHeardMajority ->
        waits = true; waitAge = 0; contactAge = STALE; heardAge[SUCCESSOR] = STALE
    }
    :: d_step { waits && waitAge >= TAKEOVER_WAIT -> start() }

    /* The homes spend for their own callers. */
    :: d_step { actsAsHome(OLD) && level[OLD] > 0 -> level[OLD]--; spend() }
    :: d_step { actsAsHome(SUCCESSOR) && level[SUCCESSOR] > 0 -> level[SUCCESSOR]--; spend() }

    /* Loans. The unused tokens go back with the next request. */
    :: d_step {
        stage[MIDDLE] == IDLE ->
        send(MIDDLE, (revision[MIDDLE] == 1 -> OLD : SUCCESSOR));
        returned = loan;
        reported = spentOfLoan;
        loan = 0;
        loanAge = 0;
        spentOfLoan = 0
    }
    :: d_step { stage[MIDDLE] == SENT && target[MIDDLE] == OLD && actsAsHome(OLD) -> grant(OLD) }
    :: d_step { stage[MIDDLE] == SENT && target[MIDDLE] == SUCCESSOR && actsAsHome(SUCCESSOR) -> grant(SUCCESSOR) }
    :: d_step {
        stage[MIDDLE] == ANSWERED && target[MIDDLE] != STORE ->
        if
#ifdef LOAN_FROM_RECEIPT
        :: granted > 0 -> loan = granted; loanAge = 0
#else
        :: sentAge[MIDDLE] <= LOAN_TERM && granted > 0 -> loan = granted; loanAge = sentAge[MIDDLE]
#endif
        :: else
        fi;
        clearRequest(MIDDLE)
    }
    :: d_step {
        loan > 0 ->
        loan--;
        spentOfLoan++;
        spend()
    }
    od
}
