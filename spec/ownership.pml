/*
 * Ownership of one server with one slot, by epochs in a store.
 *
 * One process takes one atomic step at a time. A message or a store call that is slow, lost or cut
 * off by a partition, and a vm that is paused, are steps that are not taken (yet); so outages,
 * pauses and partitions of any length need no state. Time passes by `tick`; all times are
 * countdowns. Identity REBORN is the next incarnation of vm REBORN_OF. A holder's clock may run slow
 * by DRIFT ticks over a term, which a new owner's wait covers.
 *
 * Safety: the server never runs two calls at a time, and no two vms may grant at a time.
 * With -DCALM: from every reachable state, once messages and store calls arrive, the server has
 * an owner that may grant within CALM_TICKS.
 *
 * -DWITHOUT_CALLS leaves permits and calls out, -DWITHOUT_CRASHES leaves vms alive and
 * -DWITHOUT_STORE_READS lets only majorities confirm, -DOWNERS_IN_TURN has vm 0 followed by vm 1 and
 * that by vm 2 or vm 0, so that EPOCHS=3 can be searched whole.
 *
 * Wrong variants that the checker must reject are compiled with -DWRONG_...; see Makefile.
 */

#ifndef EPOCHS
#define EPOCHS 3
#endif
#define VMS 4
#define REBORN 3
#define REBORN_OF 1
#define TERM 2
#define DRIFT 1
#define FENCE 2

#ifdef WRONG_WAIT_ONE_TERM
#define WAIT TERM
#else
#define WAIT (TERM + DRIFT)
#endif

#ifdef WITHOUT_STORE_READS
#define STORE_READS false
#else
#define STORE_READS true
#endif

#define bit(i) (1 << (i))
#define in(set, i) (((set) >> (i)) & 1)
#define count(set) (in(set, 0) + in(set, 1) + in(set, 2) + in(set, 3))

#ifdef WRONG_VOUCH_WITHOUT_MAJORITY
#define majority(set, members) (count((set) & (members)) > 0)
#else
#define majority(set, members) (2 * count((set) & (members)) > count(members))
#endif

/* The store: epochs committed so far. */
byte newest = 1;
byte members[EPOCHS + 1];
byte owner[EPOCHS + 1];

/* Each vm. */
byte alive = 7;
byte gone = 0;                /* the platform's list shows that incarnation gone */
byte epoch[VMS];              /* adopted */
byte lease[VMS];              /* ticks left in which it may grant */
byte question[VMS];           /* ticks left of the lease that a majority would confirm */
byte vouched[VMS];            /* who vouched for the question */
byte store_question[VMS];     /* the same for a read of the store */
byte store_said_yes;
byte taken;                   /* may grant if its lease holds */

/* What the owner of the newest epoch knows of earlier ones; index: earlier epoch. */
byte commit_wait[VMS];        /* ticks until a term has passed since the commit was known */
byte majority_seen[VMS];      /* earlier epochs whose majority was seen to have moved on */
byte majority_wait0[VMS];     /* ticks since then, for epoch 1 */
byte majority_wait1[VMS];     /* for epoch 2 */
byte handed_over[VMS];        /* earlier epochs whose owner handed over */
byte old_permits[VMS];        /* ticks in which an old permit may still be used */
byte fence_done;              /* vms whose fences are complete */

/* Permits: one slot, so each vm has at most one. */
byte permit[VMS];             /* ticks left until its deadline */
byte granted;                 /* vms with a permit that was not given back */
byte running;                 /* vms whose call runs on the server */

byte i, e, ok;

inline forget(v) {
    lease[v] = 0; question[v] = 0; vouched[v] = 0; store_question[v] = 0;
    store_said_yes = store_said_yes & ~bit(v);
    taken = taken & ~bit(v);
    commit_wait[v] = 0; majority_seen[v] = 0; majority_wait0[v] = 0; majority_wait1[v] = 0;
    handed_over[v] = 0; old_permits[v] = 0;
    fence_done = fence_done & ~bit(v);
}

/* adopt: learns of epoch n, from the store or from a peer. */
inline adopt(v, n) {
    forget(v);
    epoch[v] = n;
    commit_wait[v] = WAIT;
}

inline down(x) { x = (x > 0 -> x - 1 : 0); }

inline tick() {
    i = 0;
    do
    :: i < VMS ->
        down(lease[i]); down(question[i]); down(store_question[i]);
        down(commit_wait[i]); down(majority_wait0[i]); down(majority_wait1[i]);
        down(permit[i]); down(old_permits[i]);
        if
        :: question[i] == 0 -> vouched[i] = 0
        :: else
        fi;
        if
        :: store_question[i] == 0 -> store_said_yes = store_said_yes & ~bit(i)
        :: else
        fi;
#ifndef WRONG_NO_PERMIT_DEADLINE
        /* The server gives a call up at its deadline. */
        if
        :: permit[i] == 0 -> running = running & ~bit(i); granted = granted & ~bit(i)
        :: else
        fi;
#endif
        i++
    :: else -> break
    od;
    i = 0
}

/* v sees that a majority of epoch ep has adopted a newer one or is gone. */
inline see_majority(v, ep) {
    majority_seen[v] = majority_seen[v] | bit(ep);
    if
    :: ep == 1 -> majority_wait0[v] = WAIT
    :: else -> majority_wait1[v] = WAIT
    fi
}

#ifdef WRONG_NEVER_TAKES
#define fenced(v, ep) false
#else
#ifdef WRONG_NO_WAIT_AT_TAKEOVER
#define fenced(v, ep) true
#else
#ifdef WRONG_NO_WAIT_AFTER_ADOPTION
#define fenced(v, ep) (commit_wait[v] == 0 && in(majority_seen[v], ep))
#else
#ifdef WRONG_NO_MAJORITY_AT_FENCE
#define fenced(v, ep) (commit_wait[v] == 0)
#else
#define fenced(v, ep) (commit_wait[v] == 0 && in(majority_seen[v], ep) && \
    ((ep) == 1 -> majority_wait0[v] == 0 : majority_wait1[v] == 0))
#endif
#endif
#endif
#endif

/* settled(e): nobody but v may still grant on the word of epoch e. */
#ifdef WRONG_OWN_EARLIER_EPOCH_ONLY
#define settled(v, ep) ((ep) + 1 < epoch[v] || owner[ep] == (v) || in(handed_over[v], ep) || fenced(v, ep))
#else
#define settled(v, ep) (owner[ep] == (v) || in(handed_over[v], ep) || fenced(v, ep))
#endif

#define all_settled(v) ((epoch[v] < 2 || settled(v, 1)) && (epoch[v] < 3 || settled(v, 2)))
#define all_handed(v) ((epoch[v] < 2 || owner[1] == (v) || in(handed_over[v], 1)) && \
    (epoch[v] < 3 || owner[2] == (v) || in(handed_over[v], 2)))
#define owns(v) (epoch[v] > 0 && owner[epoch[v]] == (v))
#define may_grant(v) (in(alive, v) && owns(v) && in(taken, v) && lease[v] > 0)

#ifdef WRONG_REBORN_VOUCHES
#define vouches(v, n) (in(members[n], v) || ((v) == REBORN && in(members[n], REBORN_OF)))
#define vote_of(v, n) ((v) == REBORN && !in(members[n], REBORN) -> bit(REBORN_OF) : bit(v))
#else
#define vouches(v, n) in(members[n], v)
#define vote_of(v, n) bit(v)
#endif

#ifdef WRONG_NO_WAIT_FOR_OLD_PERMITS
#define old_permit_ticks(v) 0
#else
#define old_permit_ticks(v) (all_handed(v) -> 0 : FENCE)
#endif

#ifdef WRONG_NO_PERMIT_DEADLINE
#define in_time(v) true
#else
#define in_time(v) (permit[v] > 0)
#endif

#ifdef WRONG_REBORN_VOUCHES
#define epoch_at_rebirth 1
#else
#define epoch_at_rebirth 0
#endif

#define moved(v, ep) (in(members[ep], v) && \
    (in(gone, v) || (in(alive, v) && epoch[v] > ep)) -> bit(v) : 0)
#define moved_on(ep) majority(moved(0, ep) | moved(1, ep) | moved(2, ep) | moved(3, ep), members[ep])

/* overtaken: w may still grant though v, in a newer epoch, has seen every earlier epoch settled. */
#define overtaken(v, w) (in(fence_done, v) && epoch[w] < epoch[v] && may_grant(w))

/* safety: one call at a time, one vm that may grant at a time, none that was fenced. */
inline check() {
    assert(count(running) <= 1);
    assert(!overtaken(0, 1) && !overtaken(0, 2) && !overtaken(0, 3) && !overtaken(1, 0) &&
           !overtaken(1, 2) && !overtaken(1, 3) && !overtaken(2, 0) && !overtaken(2, 1) &&
           !overtaken(2, 3) && !overtaken(3, 0) && !overtaken(3, 1) && !overtaken(3, 2));
    assert(!(may_grant(0) && may_grant(1)) && !(may_grant(0) && may_grant(2)) &&
           !(may_grant(0) && may_grant(3)) && !(may_grant(1) && may_grant(2)) &&
           !(may_grant(1) && may_grant(3)) && !(may_grant(2) && may_grant(3)))
}

#ifdef CALM
#define CALM_TICKS 12
inline calm() {
    /* Whoever is alive learns the newest epoch, asks, vouches and takes, tick after tick. A newest
       epoch that lost its owner is replaced by one of those who live. */
    d_step {
        if
        :: !in(alive, owner[newest]) && newest < EPOCHS && alive != 0 ->
            newest++;
            members[newest] = alive;
            owner[newest] = (in(alive, 0) -> 0 : (in(alive, 1) -> 1 : (in(alive, 2) -> 2 : 3)))
        :: else
        fi;
        gone = 15 & ~alive;
        ok = CALM_TICKS;
        do
        :: ok > 0 ->
            e = 0;
            do
            :: e < VMS ->
                if
                :: in(alive, e) && epoch[e] < newest -> adopt(e, newest)
                :: else
                fi;
                e++
            :: else -> break
            od;
            e = owner[newest];
            if
            :: in(alive, e) ->
                lease[e] = TERM;
                if
                :: newest > 1 && !in(majority_seen[e], 1) && moved_on(1) -> see_majority(e, 1)
                :: else
                fi;
                if
                :: newest > 2 && !in(majority_seen[e], 2) && moved_on(2) -> see_majority(e, 2)
                :: else
                fi;
                if
                :: all_settled(e) && !in(fence_done, e) ->
                    fence_done = fence_done | bit(e); old_permits[e] = FENCE
                :: else
                fi;
                if
                :: in(fence_done, e) && old_permits[e] == 0 -> taken = taken | bit(e)
                :: else
                fi
            :: else
            fi;
            tick();
            ok--
        :: else -> break
        od;
        lease[owner[newest]] = TERM;
        assert(alive == 0 || !in(alive, owner[newest]) || may_grant(owner[newest]));
        e = 0; ok = 0
    }
}
#endif

/*
 * Steps, one macro each; `v` and `w` are vms. A step is one option of the loop below.
 */

/* propose: any vm that knows the newest epoch commits the next by conditional update; who of those
   that live is a member and the owner is chosen freely. */
#ifdef OWNERS_IN_TURN
#define PROPOSE(v, w) \
    :: d_step { newest < EPOCHS && v == w && in(alive, v) && epoch[v] == newest && \
        (v == newest || (v == 0 && newest == 2)) -> \
        newest++; owner[newest] = v; members[newest] = alive }
#else
#define PROPOSE(v, w) \
    :: d_step { newest < EPOCHS && in(alive, v) && epoch[v] == newest && in(alive, w) -> \
        newest++; owner[newest] = w; members[newest] = alive } \
    :: d_step { newest < EPOCHS && in(alive, v) && epoch[v] == newest && in(alive, w) && v != w -> \
        newest++; owner[newest] = w; members[newest] = bit(v) | bit(w) }
#endif

/* adopt: from the store, or an older one from a peer that knows no better. */
#define ADOPT(v) \
    :: d_step { in(alive, v) && epoch[v] < newest -> adopt(v, newest); check() } \
    :: d_step { in(alive, v) && epoch[v] > 0 && epoch[v] + 1 < newest -> \
        adopt(v, epoch[v] + 1); check() }

/* ask: starts a question to the members, or to the store; the lease will count from here. */
#define ASK(v) \
    :: d_step { in(alive, v) && owns(v) && question[v] == 0 -> \
        question[v] = TERM + DRIFT; vouched[v] = (vouches(v, epoch[v]) -> vote_of(v, epoch[v]) : 0) } \
    :: d_step { STORE_READS && in(alive, v) && owns(v) && store_question[v] == 0 -> \
        store_question[v] = TERM + DRIFT }

/* vouch: w answers v's question; the answer may reach v later. */
#define VOUCH(v, w) \
    :: d_step { v != w && in(alive, v) && in(alive, w) && question[v] > 0 && epoch[w] == epoch[v] && \
        vouches(w, epoch[v]) && (vouched[v] & vote_of(w, epoch[v])) == 0 -> \
        vouched[v] = vouched[v] | vote_of(w, epoch[v]) }

/* The store answers a read; the answer may reach v later. */
#define STORE_ANSWERS(v) \
    :: d_step { store_question[v] > 0 && epoch[v] == newest && !in(store_said_yes, v) -> \
        store_said_yes = store_said_yes | bit(v) }

/* confirm: a majority vouched, or the store said that the epoch is the newest. */
#define CONFIRM(v) \
    :: d_step { in(alive, v) && question[v] > lease[v] && majority(vouched[v], members[epoch[v]]) -> \
        lease[v] = question[v]; check() } \
    :: d_step { in(alive, v) && in(store_said_yes, v) && store_question[v] > lease[v] -> \
        lease[v] = store_question[v]; check() }

/* fence: the owner sees that the majority of an earlier epoch moved on. */
#define FENCE_EPOCH(v) \
    :: d_step { in(alive, v) && owns(v) && epoch[v] > 1 && !in(majority_seen[v], 1) && \
        moved_on(1) -> see_majority(v, 1) } \
    :: d_step { in(alive, v) && owns(v) && epoch[v] > 2 && !in(majority_seen[v], 2) && \
        moved_on(2) -> see_majority(v, 2) }

/* handover: an earlier owner that adopted the newer epoch and has no permit out says so. */
#define HANDOVER(v) \
    :: d_step { in(alive, v) && owns(v) && epoch[v] > 1 && !in(handed_over[v], 1) && \
        in(alive, owner[1]) && owner[1] != v && epoch[owner[1]] >= epoch[v] && \
        !in(granted, owner[1]) -> handed_over[v] = handed_over[v] | bit(1) } \
    :: d_step { in(alive, v) && owns(v) && epoch[v] > 2 && !in(handed_over[v], 2) && \
        in(alive, owner[2]) && owner[2] != v && epoch[owner[2]] >= epoch[v] && \
        !in(granted, owner[2]) -> handed_over[v] = handed_over[v] | bit(2) }

/* take: every earlier epoch is settled; unless all were handed over, old permits end first. */
#define TAKE(v) \
    :: d_step { in(alive, v) && owns(v) && !in(taken, v) && !in(fence_done, v) && all_settled(v) -> \
        fence_done = fence_done | bit(v); old_permits[v] = old_permit_ticks(v) } \
    :: d_step { in(alive, v) && in(fence_done, v) && !in(taken, v) && old_permits[v] == 0 -> \
        taken = taken | bit(v); check() }

/* grant: the owner gives its one slot away, with a deadline. */
#define GRANT(v) \
    :: d_step { may_grant(v) && !in(granted, v) -> granted = granted | bit(v); permit[v] = FENCE }

/* start: the holder, perhaps paused since the grant, sends the call; the server checks the deadline. */
#define START(v) \
    :: d_step { in(granted, v) && !in(running, v) && in_time(v) -> \
        running = running | bit(v); check() }

/* release: the call ends and its permit is given back. */
#define RELEASE(v) \
    :: d_step { in(running, v) -> \
        running = running & ~bit(v); granted = granted & ~bit(v); permit[v] = 0 }

/* crash: a vm fails; its call goes on at the server. Later the platform's list shows it gone. */
#define CRASH(v) \
    :: d_step { in(alive, v) && count(alive) > 1 -> \
        alive = alive & ~bit(v); forget(v); epoch[v] = 0 } \
    :: d_step { !in(alive, v) && v != REBORN && !in(gone, v) -> gone = gone | bit(v) }

#define EACH(STEP) STEP(0) STEP(1) STEP(2) STEP(3)
#define PAIRS(STEP) \
    STEP(0, 0) STEP(0, 1) STEP(0, 2) STEP(0, 3) STEP(1, 0) STEP(1, 1) STEP(1, 2) STEP(1, 3) \
    STEP(2, 0) STEP(2, 1) STEP(2, 2) STEP(2, 3) STEP(3, 0) STEP(3, 1) STEP(3, 2) STEP(3, 3)

active proctype system() {
    d_step {
        members[1] = 7; owner[1] = 0;
        epoch[0] = 1; epoch[1] = 1; epoch[2] = 1;
        taken = 1
    }
    do
    :: d_step { tick(); check() }
    PAIRS(PROPOSE)
    EACH(ADOPT)
    EACH(ASK)
    PAIRS(VOUCH)
#ifndef WITHOUT_STORE_READS
    EACH(STORE_ANSWERS)
#endif
    EACH(CONFIRM)
    EACH(FENCE_EPOCH)
    EACH(HANDOVER)
    EACH(TAKE)
#ifndef WITHOUT_CALLS
    EACH(GRANT)
    EACH(START)
    EACH(RELEASE)
#endif
#ifndef WITHOUT_CRASHES
    EACH(CRASH)
    /* reborn: vm REBORN_OF starts again as a new incarnation, which shows that the old one is gone. */
    :: d_step { !in(alive, REBORN_OF) && !in(alive, REBORN) && epoch[REBORN] == 0 &&
        !in(gone, REBORN) && epoch_at_rebirth <= newest ->
        alive = alive | bit(REBORN); gone = gone | bit(REBORN_OF); epoch[REBORN] = epoch_at_rebirth }
#endif
#ifdef CALM
    :: calm(); break
#endif
    od
}
