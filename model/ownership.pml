/* The core protocol for one shard with one task: claims ordered by the log,
 * the worker as fence, intents read back before a start, takeover.
 *
 * Faults: appends that wait, are lost, or are stored without an answer;
 * outages of the log; starts that linger, overtake each other or are lost;
 * an owner that pauses between its check and its send, is suspected while it
 * lives, or is killed and comes back as a new incarnation; leases that lapse.
 *
 * Properties:
 *   1. a worker takes no start of an older epoch, nor of two owners in one;
 *   2. the task never runs in two places;
 *   3. an accepted task is finished when nothing more can happen.
 *
 * Each BROKEN_ macro leaves one rule of the protocol out.
 */
#ifndef SUSPICIONS
#define SUSPICIONS 1
#endif
#ifndef KILLS
#define KILLS 1
#endif
#ifndef LOSSES
#define LOSSES 1 /* of appends and of starts, each */
#endif
#ifndef MOVES
#define MOVES 1
#endif
#ifndef LAPSES
#define LAPSES 1
#endif
#ifndef OUTAGES
#define OUTAGES 1
#endif

#define OWNERS 2
#define WORKERS 2
#define ATTEMPTS 6 /* attempts are numbered from 1 */
#define LOG_SIZE 20
#define NET_SIZE 6
#define NONE 255

mtype = { accept, claim, intent, stopped, outcome };

typedef Record {
  mtype kind;
  byte epoch;
  byte who;
  byte attempt;
  byte worker
};

/* What an owner knows; lost when it is killed. */
typedef View {
  byte read;    /* next record of the log */
  byte epoch;   /* highest epoch read */
  byte holder;  /* process that holds it */
  bool owns;
  bool accepted;
  byte attempt; /* highest attempt with an intent */
  byte target;  /* worker of an attempt without an end, or NONE */
  bool done;
  bool moving;  /* this owner ends the attempt: it starts it no more */
  bool sent;
  byte checked; /* worker of a start that was checked and not yet sent */
  byte checked_attempt;
  byte checked_epoch;
  bool fenced[WORKERS]
};

Record log_records[LOG_SIZE];
byte log_length = 0;
bool log_up = true;

Record slot[OWNERS]; /* one append in flight for each owner */
View view[OWNERS];
byte incarnation[OWNERS];

chan net = [NET_SIZE] of { byte /* worker */, byte /* epoch */,
                           byte /* attempt */, byte /* who */ };

byte fence[WORKERS];
byte fence_owner[WORKERS]; /* whose starts of that epoch were taken */
byte running[WORKERS];
byte finished[WORKERS];
byte refused[WORKERS]; /* attempts up to this one never start here again */

/* starts of an attempt that were checked and not yet taken or lost */
byte lingering[WORKERS * ATTEMPTS];

byte suspicions = SUSPICIONS;
byte kills = KILLS;
byte lost_appends = LOSSES;
byte lost_starts = LOSSES;
byte moves = MOVES;
byte lapses = LAPSES;
byte outages = OUTAGES;

bool told_accepted = false; /* the caller heard that its task is accepted */
bool by_lapse = false;      /* the task was moved without the worker's word */

#define SELF(o) ((o) + OWNERS * incarnation[o])
#define ALIVE(who) (incarnation[(who) % OWNERS] == (who) / OWNERS)
#define CAUGHT_UP(o) (log_up && view[o].read == log_length)
#define IDLE(o) (slot[o].kind == 0 && CAUGHT_UP(o))
#define ACTS(o) (view[o].owns && view[o].accepted && !view[o].done)

#ifdef BROKEN_MOVE
#define MAY_STOP(o) true
#else
#define MAY_STOP(o) (view[o].fenced[view[o].target] && \
  fence[view[o].target] == view[o].epoch && \
  finished[view[o].target] != view[o].attempt)
#endif

/* An earlier owner stopped the attempt and could not log it. */
#ifdef BROKEN_RESEND
#define REFUSED(o) false /* the next owner sends it again and again */
#else
#define REFUSED(o) (refused[view[o].target] >= view[o].attempt)
#endif

#define LINGERING(w, a) lingering[(w) * ATTEMPTS + (a)]

/* A worker that went out of reach after it took this owner's epoch: its lease
 * has ended, and what this owner sent to it has passed its not-after time.
 * Without that epoch there, an older owner that is cut off from the log may
 * still start the attempt. */
#if defined(BROKEN_LAPSE_BY_LEASE_ALONE)
#define SURELY_LAPSED(o, w, a) (view[o].fenced[w] && running[w] == 0)
#elif defined(BROKEN_LAPSE_UNFENCED)
#define SURELY_LAPSED(o, w, a) (running[w] == 0 && LINGERING(w, a) == 0)
#else
#define SURELY_LAPSED(o, w, a) \
  (view[o].fenced[w] && running[w] == 0 && LINGERING(w, a) == 0)
#endif

inline Forget(o) {
  view[o].read = 0;
  view[o].epoch = 0;
  view[o].holder = NONE;
  view[o].owns = false;
  view[o].accepted = false;
  view[o].attempt = 0;
  view[o].target = NONE;
  view[o].done = false;
  view[o].moving = false;
  view[o].sent = false;
  view[o].checked = NONE;
  view[o].checked_attempt = 0;
  view[o].checked_epoch = 0;
  view[o].fenced[0] = false;
  view[o].fenced[1] = false
}

inline Append(o, record_kind, record_epoch, record_attempt, record_worker) {
  slot[o].kind = record_kind;
  slot[o].epoch = record_epoch;
  slot[o].who = SELF(o);
  slot[o].attempt = record_attempt;
  slot[o].worker = record_worker
}

inline ClearSlot(o) {
  slot[o].kind = 0;
  slot[o].epoch = 0;
  slot[o].who = 0;
  slot[o].attempt = 0;
  slot[o].worker = 0
}

/* The record is stored. Its writer may take nothing from the answer. */
inline Store(o) {
  assert(log_length < LOG_SIZE);
  log_records[log_length].kind = slot[o].kind;
  log_records[log_length].epoch = slot[o].epoch;
  log_records[log_length].who = slot[o].who;
  log_records[log_length].attempt = slot[o].attempt;
  log_records[log_length].worker = slot[o].worker;
  log_length++;
#ifdef BROKEN_CLAIM_BY_ANSWER
  if
  :: slot[o].kind == claim && slot[o].who == SELF(o) ->
     view[o].epoch = slot[o].epoch;
     view[o].holder = SELF(o);
     view[o].owns = true
  :: else
  fi;
#endif
#ifdef BROKEN_INTENT_BY_ANSWER
  if
  :: slot[o].kind == intent && slot[o].who == SELF(o) && view[o].owns ->
     view[o].attempt = slot[o].attempt;
     view[o].target = slot[o].worker;
     view[o].sent = false
  :: else
  fi;
#endif
  ClearSlot(o)
}

#define R log_records[view[o].read]

inline ApplyClaim(o) {
  if
  :: R.epoch == view[o].epoch + 1 ->
     view[o].epoch = R.epoch;
     view[o].holder = R.who;
     view[o].owns = (R.who == SELF(o));
     view[o].moving = false;
     view[o].sent = false;
     view[o].fenced[0] = false;
     view[o].fenced[1] = false
#ifdef BROKEN_FORGET
     ;
     if
     :: R.who == SELF(o) && R.epoch > 1 ->
        view[o].accepted = false; /* what stands before the claim is not kept */
        view[o].target = NONE
     :: else
     fi
#endif
  :: else
  fi
}

inline ApplyNext(o) {
  if
  :: R.kind == accept -> view[o].accepted = true; told_accepted = true
  :: R.kind == claim -> ApplyClaim(o)
  :: R.kind == intent && R.epoch == view[o].epoch &&
       view[o].target == NONE && R.attempt == view[o].attempt + 1 ->
     view[o].attempt = R.attempt;
     view[o].target = R.worker;
     view[o].moving = false;
     view[o].sent = false
  :: R.kind == stopped && R.epoch == view[o].epoch &&
       R.attempt == view[o].attempt ->
     view[o].target = NONE;
     view[o].moving = false
  :: R.kind == outcome -> view[o].done = true
  :: else /* written before a claim that its writer had not read */
  fi;
  view[o].read++
}

#define CAN_FENCE(o, w) \
  (ACTS(o) && !view[o].fenced[w] && fence[w] <= view[o].epoch)

/* Writes the epoch at the worker and reads what runs there. */
inline Fence(o, w) {
  if
  :: fence[w] < view[o].epoch ->
     fence[w] = view[o].epoch;
     fence_owner[w] = NONE
  :: else
  fi;
  view[o].fenced[w] = true
}

proctype Owner(byte o) {
  byte w;
end:
  do
  :: d_step { log_up && view[o].read < log_length -> ApplyNext(o) }

  :: atomic { /* accept a task of a caller */
       o == 0 && IDLE(o) && !view[o].accepted && !told_accepted &&
         view[o].epoch == 0 ->
       Append(o, accept, 0, 0, NONE);
#ifdef BROKEN_ACCEPT_BY_SEND
       told_accepted = true
#endif
     }

  :: atomic { /* claim the shard */
       IDLE(o) && view[o].accepted && !view[o].owns && !view[o].done &&
         (view[o].epoch == 0 || !ALIVE(view[o].holder) || suspicions > 0) ->
       if
       :: view[o].epoch == 0 || !ALIVE(view[o].holder)
       :: else -> suspicions--
       fi;
       Append(o, claim, view[o].epoch + 1, 0, NONE)
     }

  :: d_step { CAN_FENCE(o, 0) -> Fence(o, 0) }
  :: d_step { CAN_FENCE(o, 1) -> Fence(o, 1) }

  :: atomic { /* log the intent */
       IDLE(o) && ACTS(o) && view[o].target == NONE &&
         (view[o].fenced[0] || view[o].fenced[1]) ->
       if
       :: view[o].fenced[0] -> w = 0
       :: view[o].fenced[1] -> w = 1
       fi;
       Append(o, intent, view[o].epoch, view[o].attempt + 1, w);
       w = 0
     }

  :: d_step { /* check a start; the send comes later */
       ACTS(o) && view[o].target != NONE && view[o].checked == NONE &&
         !view[o].sent && !view[o].moving && view[o].fenced[view[o].target] ->
       view[o].checked = view[o].target;
       view[o].checked_attempt = view[o].attempt;
       view[o].checked_epoch = view[o].epoch;
       LINGERING(view[o].checked, view[o].checked_attempt)++;
       view[o].sent = true
     }
  :: atomic {
       view[o].checked != NONE && nfull(net) ->
       net!view[o].checked, view[o].checked_epoch, view[o].checked_attempt,
          SELF(o);
       view[o].checked = NONE;
       view[o].checked_attempt = 0;
       view[o].checked_epoch = 0
     }

  :: atomic { /* move the task off a worker that confirms the stop */
       IDLE(o) && ACTS(o) && view[o].target != NONE && MAY_STOP(o) &&
         (moves > 0 || view[o].moving || REFUSED(o)) ->
       if
       :: view[o].moving || REFUSED(o)
       :: else -> moves--
       fi;
#ifndef BROKEN_MOVE
       running[view[o].target] = 0;
       refused[view[o].target] = view[o].attempt;
#endif
       view[o].moving = true;
       Append(o, stopped, view[o].epoch, view[o].attempt, NONE)
     }

  :: atomic { /* move the task off a worker whose lease has surely lapsed */
       IDLE(o) && ACTS(o) && view[o].target != NONE && by_lapse &&
         view[o].attempt == 1 && SURELY_LAPSED(o, view[o].target, view[o].attempt) ->
       view[o].moving = true;
       Append(o, stopped, view[o].epoch, view[o].attempt, NONE)
     }

  :: atomic { /* log the outcome that the worker reports */
       IDLE(o) && ACTS(o) && view[o].target != NONE &&
         view[o].fenced[view[o].target] &&
         finished[view[o].target] == view[o].attempt ->
       Append(o, outcome, view[o].epoch, view[o].attempt, view[o].target)
     }

  :: d_step { /* kill -9; a new incarnation follows */
       kills > 0 ->
       kills--;
       if
       :: view[o].checked != NONE ->
          LINGERING(view[o].checked, view[o].checked_attempt)--
       :: else
       fi;
       Forget(o);
       incarnation[o]++
     }
  od
}

proctype Worker(byte w) {
  byte epoch;
  byte attempt;
  byte who;
end:
  do
  :: atomic {
       net??eval(w), epoch, attempt, who ->
       LINGERING(w, attempt)--;
       if
#ifdef BROKEN_FENCE
       :: true ->
#else
       :: epoch >= fence[w] ->
#endif
          assert(epoch >= fence[w]);
          assert(epoch > fence[w] || fence_owner[w] == NONE ||
                 fence_owner[w] == who);
          fence[w] = epoch;
          fence_owner[w] = who;
          if
          :: attempt > refused[w] && attempt != finished[w] &&
               attempt != running[w] ->
             assert(running[1 - w] == 0);
             assert(by_lapse || finished[1 - w] == 0);
             running[w] = attempt
          :: else
          fi
       :: else
       fi;
       epoch = 0;
       attempt = 0;
       who = 0
     }
  :: d_step {
       running[w] != 0 ->
       finished[w] = running[w];
       running[w] = 0
     }
  :: d_step { /* the lease lapses: the worker ends the task by itself */
       running[w] != 0 && lapses > 0 ->
       lapses--;
       by_lapse = true;
       running[w] = 0;
       view[0].sent = false;
       view[1].sent = false
     }
  od
}

proctype Platform() {
  byte lost_worker;
  byte lost_epoch;
  byte lost_attempt;
  byte who;
end:
  do
  :: d_step { log_up && slot[0].kind != 0 -> Store(0) }
  :: d_step { log_up && slot[1].kind != 0 -> Store(1) }
  :: d_step { slot[0].kind != 0 && lost_appends > 0 ->
       lost_appends--; ClearSlot(0) }
  :: d_step { slot[1].kind != 0 && lost_appends > 0 ->
       lost_appends--; ClearSlot(1) }
  :: atomic {
       lost_starts > 0 && nempty(net) ->
       net??lost_worker, lost_epoch, lost_attempt, who;
       lost_starts--;
       LINGERING(lost_worker, lost_attempt)--;
       view[who % OWNERS].sent = false; /* no answer: it will try again */
       lost_worker = 0;
       lost_epoch = 0;
       lost_attempt = 0;
       who = 0
     }
  :: d_step { log_up && outages > 0 -> outages--; log_up = false }
  :: d_step { !log_up -> log_up = true }
  od
}

/* Runs when nothing else can: the task must have finished. */
proctype Monitor() {
end:
  timeout ->
  assert(!told_accepted || finished[0] != 0 || finished[1] != 0)
}

init {
  atomic {
    Forget(0);
    Forget(1);
    fence_owner[0] = NONE;
    fence_owner[1] = NONE;
    run Owner(0);
    run Owner(1);
    run Worker(0);
    run Worker(1);
    run Platform();
    run Monitor()
  }
}
