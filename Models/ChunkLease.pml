/*
 * Acceptance of a job, lease of a chunk, commit of results and cancel (section 9 of docs/design.md).
 *
 * Stands for: Process/JobStore, Process/BatchDispatcher, Request/BatchItemAttempt, Process/StoreClient (writer
 * token) and Connection/JobHandler. One job with one chunk of two items; item 1 is not repeatable. Two holders
 * run concurrently; a client sends the job, sends it again and cancels it.
 *
 * Every store call is one step that takes effect or not and whose answer arrives or is lost. A lost answer is
 * resolved by reading the object again: the writer token decides. A pause of a holder is an execution in which
 * it takes no step while the other one does; its lease may then be taken at any moment, because the taker's
 * LEASE_BOUND is only a matter of liveness. A restart of a holder forgets its memory.
 *
 * Leaves out: more than one chunk per job, attempts and deaths of upstreams, due times and order, the size of
 * results, removal of chunks without a job.
 *
 * Each line names a safeguard that the variant compiled with -DNAME removes:
 * weaken: UNCONDITIONAL_COMMIT
 * weaken: NO_STARTED_MARK
 * weaken: BLIND_RETRY
 * weaken: JOB_BEFORE_CHUNKS
 * weaken: CANCEL_JOB_ONLY
 */

#define ITEMS 2
#define NON_REPEATABLE 1

#define WAITING 0
#define STARTED 1
#define DONE 2
#define FAILED 3

#define NONE 0
#define OPEN 1
#define CANCELLED 2
#define MAXIMUM_LEASES 3

/* Store: the job object, the chunk object and the state of its items. */
byte job = NONE;
bool chunkStored = false;
bool chunkCancelled = false;
byte state[ITEMS] = WAITING;
byte leases = 0;

/* Copies of the chunk at the holders. "Current" is true while the stored version is the one of the copy;
 * "lastWriter" is true while the stored writer token is the one of the holder's last write. */
typedef Copy {
    byte state[ITEMS];
    bool isCurrent;
    bool isLastWriter;
};
Copy copy[2];

/* What the checks need. */
bool wasSent = false;
bool cancelAcknowledged = false;

#define other(h) (1 - h)

inline readChunk(h)
{
    copy[h].state[0] = state[0];
    copy[h].state[1] = state[1];
    copy[h].isCurrent = true;
}

inline forget(h)
{
    copy[h].state[0] = WAITING;
    copy[h].state[1] = WAITING;
    copy[h].isCurrent = false;
    copy[h].isLastWriter = false;
}

inline checkItem(h, n)
{
    /* The first commit of an item stands, and each item has one result. */
    assert(state[n] < DONE || copy[h].state[n] == state[n] && !(item == n && commits));
    state[n] = copy[h].state[n];
}

/* Puts the copy of a holder into the store as one atomic write. */
inline store(h)
{
    assert(!cancelAcknowledged);
    checkItem(h, 0);
    checkItem(h, 1);
    copy[h].isCurrent = true;
    copy[h].isLastWriter = true;
    copy[other(h)].isCurrent = false;
    copy[other(h)].isLastWriter = false;
}

#ifdef UNCONDITIONAL_COMMIT
#define mayStore(h) (!chunkCancelled)
#else
#define mayStore(h) (copy[h].isCurrent && !chunkCancelled)
#endif

/*
 * Conditional update of the chunk; "success" is what the holder takes the outcome to be. The answer may be
 * lost whether or not the write took effect. The store client then reads the object and looks for its writer
 * token; with BLIND_RETRY it sends the write again, with the version that it finds.
 */
inline update(h)
{
    atomic {
        copy[h].isLastWriter = false;
        lostAnswer = false;
        success = false;
        if
        :: mayStore(h) -> store(h); success = true
        :: mayStore(h) -> store(h); lostAnswer = true
        :: lostAnswer = true
        :: !mayStore(h)
        fi
    }
    if
#ifdef BLIND_RETRY
    :: atomic { lostAnswer && !chunkCancelled -> store(h); success = true; lostAnswer = false }
    :: atomic { lostAnswer && chunkCancelled -> lostAnswer = false }
#else
    :: atomic { lostAnswer -> success = copy[h].isLastWriter; lostAnswer = false }
#endif
    :: !lostAnswer
    fi
}

proctype Holder(bit me)
{
    byte item = 0;
    bool commits = false;
    bool success = false;
    bool lostAnswer = false;

take:
    /* Only chunks of an open job are found; the chunk may be free or held by another. */
    atomic {
        forget(me);
        item = 0;
        commits = false
    }
end_poll:
    atomic {
        if
        :: job == OPEN && chunkStored && leases < MAXIMUM_LEASES ->
            leases++;
            readChunk(me);
            /* A non-repeatable item that a lost holder had started may have run: it is not sent again. */
            if
            :: copy[me].state[NON_REPEATABLE] == STARTED ->
                copy[me].state[NON_REPEATABLE] = FAILED; item = NON_REPEATABLE; commits = true
            :: else
            fi
        :: leases >= MAXIMUM_LEASES || job == CANCELLED -> goto finished
        fi
    }
    update(me);
    if
    :: !success -> goto take
    :: success -> commits = false
    fi;

work:
    atomic {
        if
        :: copy[me].state[0] < DONE -> item = 0
        :: copy[me].state[1] < DONE -> item = 1
        :: copy[me].state[0] >= DONE && copy[me].state[1] >= DONE -> goto finished
        fi
    }
#ifndef NO_STARTED_MARK
    if
    :: item == NON_REPEATABLE ->
        copy[me].state[item] = STARTED;
        update(me);
        if
        :: !success -> goto take
        :: success
        fi
    :: item != NON_REPEATABLE
    fi;
#endif
    /* The item goes to an upstream, which may answer or not; the holder may be killed at any point. */
    atomic {
        assert(item != NON_REPEATABLE || !wasSent);
        wasSent = wasSent || item == NON_REPEATABLE;
        if
        :: copy[me].state[item] = DONE
        :: copy[me].state[item] = FAILED
        :: item != NON_REPEATABLE -> goto work
        :: goto take
        fi;
        commits = true
    }
    update(me);
    if
    :: !success -> goto take
    :: success -> commits = false; goto work
    fi;

finished:
    forget(me)
}

/* Accepts the job; runs twice, because the client sends the job again. It may be killed before each step. */
proctype Acceptance()
{
#ifdef JOB_BEFORE_CHUNKS
    if
    :: atomic { job == NONE -> job = OPEN }
    :: atomic { job != NONE -> goto acknowledge }
    :: goto killed
    fi;
    if
    :: chunkStored = true
    :: goto killed
    fi;
#else
    if
    :: atomic { job != NONE -> goto acknowledge }
    :: chunkStored = true
    :: goto killed
    fi;
    if
    :: atomic { job == NONE -> job = OPEN }
    :: job != NONE
    :: goto killed
    fi;
#endif
acknowledge:
    assert(job != NONE && chunkStored);
killed:
    skip
}

/* Cancels the job, then the chunk, and acknowledges. */
proctype Cancel()
{
    if
    :: atomic { job == OPEN -> job = CANCELLED };
#ifndef CANCEL_JOB_ONLY
        atomic {
            chunkCancelled = true;
            copy[0].isCurrent = false;
            copy[1].isCurrent = false;
            copy[0].isLastWriter = false;
            copy[1].isLastWriter = false
        };
#endif
        cancelAcknowledged = true
    :: skip
    fi
}

init
{
    atomic {
        run Acceptance();
        run Acceptance();
        run Holder(0);
        run Holder(1);
        run Cancel()
    }
}
