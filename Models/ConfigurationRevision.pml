/*
 * Configuration revisions, freshness and the withdrawal of a key (section 6 of docs/design.md).
 *
 * Stands for: Process/ConfigurationEditor, Process/VersionWatcher, Process/PeerExchange, Process/FleetState,
 * Process/FreshnessRule and Process/Membership (join after a restart). Three daemons; a key is in force under
 * revision 1 and withdrawn by operator 0. Operator 1 races with a change made against the same revision.
 *
 * Time is counted in ticks. Ages stop at the first value that no rule tells from a larger one. A pause of a
 * process is an execution in which it takes no step while ticks pass; an outage, a cut connection or a lost
 * message is an execution in which requests are dropped. A restart forgets everything; the daemon comes back
 * under a new incarnation. By symmetry only SERVER serves requests and has a request in flight; the others hold
 * what it can learn from peers.
 *
 * The store answers a watch with the root as it is when the call reaches it. A plain read may be stale: it
 * brings an older root, which confirms nothing.
 *
 * Leaves out: shards (a revision is installed whole), tombstones, changes of the member table, more than one
 * key. An acknowledgement of a change counts as "in force" once a majority of the members has been told.
 *
 * Each line names a safeguard that the variant compiled with -DNAME removes:
 * weaken: ACCEPT_LOWER
 * weaken: NO_FRESHNESS_BOUND
 * weaken: FAIL_OPEN
 * weaken: DATE_ON_RECEIPT
 * weaken: ACKNOWLEDGE_AT_COMMIT
 * weaken: ANSWER_OWN_REVISION
 * weaken: COUNT_RESTARTED
 * weaken: UNCONDITIONAL_COMMIT
 */

#define DAEMONS 3
#define SERVER 0
#define STORE DAEMONS
#define NOBODY (DAEMONS + 1)

#define FRESHNESS_BOUND 1
#define STALE (FRESHNESS_BOUND + 1)

#define IDLE 0
#define SENT 1
#define ANSWERED 2

/* The root: its revision, and the one from which on the key is withdrawn (0: none). */
byte storeRevision = 1;
bool withdrawn = false;
byte withdrawnFrom = 0;
/* Operators: the revision that the change was made against. */
byte expected[2] = 1;
bool committed[2] = false;
bool acknowledged = false;
byte acknowledgedAge = 0;

/* Daemons: revision in force, highest known revision, age of the confirmation of the one in force. */
byte revision[DAEMONS] = 1;
byte highestKnownRevision[DAEMONS] = 1;
byte confirmedAge[DAEMONS] = 0;
/* False from a restart until the record of the new incarnation has been committed in the store. */
bool joined[DAEMONS] = true;
/* Daemons that have confirmed the revision of the withdrawal to its editor. */
bool told[DAEMONS] = false;
bool restarted = false;

/* SERVER alone: ages of the last answers of the others, the revision served before a restart, the request in flight. */
byte heardAge[DAEMONS] = STALE;
byte served = 0;
byte target = NOBODY;
byte stage = IDLE;
byte sentAge = 0;
byte answerRevision = 0;
byte answerKnown = 0;
byte answerAge = 0;
bool answerJoined = false;

inline older(age, limit)
{
    if
    :: age < limit -> age++
    :: else
    fi
}

/* SERVER counts itself and one other as 2 of 3. */
#define hasHeardMajority (heardAge[1] <= FRESHNESS_BOUND || heardAge[2] <= FRESHNESS_BOUND)
#define isFresh (confirmedAge[SERVER] <= FRESHNESS_BOUND || hasHeardMajority)
#define hasNewest (revision[SERVER] > 0 && highestKnownRevision[SERVER] == revision[SERVER])
#if defined(FAIL_OPEN)
#define mayAct (joined[SERVER] && hasNewest)
#elif defined(COUNT_RESTARTED)
#define mayAct (isFresh && hasNewest)
#else
#define mayAct (joined[SERVER] && isFresh && hasNewest)
#endif
/* Answers older than this change nothing; with buffered answers dated on receipt they do. */
#ifdef DATE_ON_RECEIPT
#define LONGEST_CALL (STALE + 1)
#else
#define LONGEST_CALL FRESHNESS_BOUND
#endif

inline clearRequest()
{
    target = NOBODY;
    stage = IDLE;
    sentAge = 0;
    answerRevision = 0;
    answerKnown = 0;
    answerAge = 0;
    answerJoined = false;
}

inline noteRevision(d, known)
{
    if
    :: known > highestKnownRevision[d] -> highestKnownRevision[d] = known
    :: else
    fi;
    if
    :: withdrawnFrom > 0 && highestKnownRevision[d] >= withdrawnFrom && joined[d] && !acknowledged -> told[d] = true
    :: else
    fi
}

inline install(d, newRevision, newAge)
{
    oldRevision = revision[d];
    if
#ifdef ACCEPT_LOWER
    :: newRevision != revision[d] -> revision[d] = newRevision; highestKnownRevision[d] = newRevision; confirmedAge[d] = newAge
#else
    :: newRevision > revision[d] -> revision[d] = newRevision; confirmedAge[d] = newAge
#endif
    :: newRevision == revision[d] && newAge < confirmedAge[d] -> confirmedAge[d] = newAge
    :: else
    fi;
    assert(revision[d] >= oldRevision);
    oldRevision = 0;
    noteRevision(d, newRevision)
}

inline tick()
{
#ifndef NO_FRESHNESS_BOUND
    older(confirmedAge[0], STALE); older(confirmedAge[1], STALE); older(confirmedAge[2], STALE);
    older(heardAge[1], STALE); older(heardAge[2], STALE);
#endif
    if
    :: stage != IDLE ->
        sentAge++;
        if
        :: stage == ANSWERED && target != STORE && answerAge < STALE -> answerAge++
        :: else
        fi;
        if
        :: sentAge > LONGEST_CALL -> clearRequest()
        :: else
        fi
    :: else
    fi;
    if
    :: acknowledged -> older(acknowledgedAge, FRESHNESS_BOUND + 1)
    :: else
    fi
}

inline answerFromStore()
{
    answerRevision = storeRevision;
    answerKnown = answerRevision;
    stage = ANSWERED;
}

/* A peer learns of the highest known revision of the sender, and answers with what it has. */
inline answerFromPeer(p)
{
    noteRevision(p, highestKnownRevision[SERVER]);
    answerRevision = revision[p];
#ifdef ANSWER_OWN_REVISION
    answerKnown = revision[p];
#else
    answerKnown = highestKnownRevision[p];
#endif
    answerAge = confirmedAge[p];
    answerJoined = joined[p];
    stage = ANSWERED;
}

inline readAnswer()
{
#ifdef DATE_ON_RECEIPT
    age = (target == STORE -> 0 : answerAge);
    h = 0;
#else
    age = (target == STORE -> sentAge : answerAge);
    h = sentAge;
#endif
    age = (age > STALE -> STALE : age);
    h = (h > STALE -> STALE : h);
    if
    :: target == STORE -> joined[SERVER] = true
#ifdef COUNT_RESTARTED
    :: target < STORE && h < heardAge[target] -> heardAge[target] = h
#else
    /* A member is counted only under the incarnation that the table names. */
    :: target < STORE && answerJoined && h < heardAge[target] -> heardAge[target] = h
#endif
    :: else
    fi;
    install(SERVER, answerRevision, age);
    noteRevision(SERVER, answerKnown);
    clearRequest();
}

/* A request that needs a key runs under the revision in force. */
inline serve()
{
    assert(revision[SERVER] >= served);
    assert(!(acknowledgedAge > FRESHNESS_BOUND && revision[SERVER] < withdrawnFrom));
}

inline restart(d)
{
    restarted = true;
    if
    :: d == SERVER && mayAct -> served = revision[SERVER]
    :: else
    fi;
    revision[d] = 0;
    highestKnownRevision[d] = 0;
    confirmedAge[d] = STALE;
    joined[d] = false;
    if
    :: d == SERVER -> heardAge[1] = STALE; heardAge[2] = STALE; clearRequest()
    :: else
    fi
}

/* The conditional update of the root; operator 0 withdraws the key, operator 1 writes what it has read. */
inline commit(operator)
{
    committed[operator] = true;
    storeRevision++;
    if
    :: operator == 0 -> withdrawn = true; withdrawnFrom = storeRevision
    :: else -> withdrawn = (withdrawnFrom > 0 && expected[1] >= withdrawnFrom)
    fi;
    assert(!committed[0] || withdrawn);
}

#ifdef UNCONDITIONAL_COMMIT
#define isCurrent(operator) true
#else
#define isCurrent(operator) (storeRevision == expected[operator])
#endif
#ifdef ACKNOWLEDGE_AT_COMMIT
#define mayAcknowledge true
#else
#define mayAcknowledge hasToldMajority
#endif
#define hasToldMajority (told[0] + told[1] + told[2] >= 2)

/* The others reach the store and each other at any time; their own requests in flight add nothing. */
#define peer(p, q)                                                                                      \
    :: d_step { joined[p] = true; install(p, storeRevision, 0) }                                        \
    :: d_step { withdrawnFrom > 0 -> noteRevision(p, storeRevision) }                                   \
    :: d_step {                                                                                         \
        noteRevision(q, highestKnownRevision[p]);                                                       \
        install(p, revision[q], confirmedAge[q]);                                                       \
        noteRevision(p, highestKnownRevision[q]) }

active proctype System()
{
    byte age = 0;
    byte h = 0;
    byte oldRevision = 0;
    do
    :: d_step { true -> tick() }

    :: d_step { stage == IDLE -> target = STORE; stage = SENT }
    :: d_step { stage == IDLE -> target = 1; stage = SENT }
    :: d_step { stage == IDLE -> target = 2; stage = SENT }
    :: d_step { stage == SENT && target == STORE -> answerFromStore() }
    :: d_step { stage == SENT && target < STORE -> answerFromPeer(target) }
    :: d_step { stage == ANSWERED -> readAnswer(); age = 0; h = 0 }
    :: d_step { stage != IDLE -> clearRequest() }
    :: d_step { storeRevision > 1 -> install(SERVER, (storeRevision - 1), STALE) }
    :: d_step { mayAct -> serve() }

    peer(1, 2)
    peer(2, 1)
    :: d_step { !restarted -> restart(SERVER) }
    :: d_step { !restarted -> restart(1) }

    /* Operators. Operator 1 gives up on a conflict, operator 0 reads again. */
    :: d_step { !committed[0] && isCurrent(0) -> commit(0) }
    :: d_step { !committed[0] && !isCurrent(0) -> expected[0] = storeRevision }
    :: d_step { !committed[1] && isCurrent(1) -> commit(1) }
    :: d_step { committed[0] && !acknowledged && mayAcknowledge -> acknowledged = true; told[0] = 0; told[1] = 0; told[2] = 0 }
    od
}
