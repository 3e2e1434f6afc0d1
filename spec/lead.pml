/* Two leads, three workers that are all electors, the shard's log and one task.
 *
 * Property: the task never runs on two workers.
 *
 * The task may be on worker 0 or 1; worker 2 has a vote only. Calls to worker 0 arrive at any later
 * time or never, which stands for a lead that is paused between its check and its call, and for a
 * worker that is cut off. Calls to the others arrive at once or not at all. A lead that reads nothing from the store has the store out; one that makes no step is paused
 * or dead. All of it may come at any time and together.
 *
 * Time is kept as ages that stop growing once they make no difference, so a run has no end.
 *
 * Each guard can be taken away: NO_FENCE, NO_STAMP, NO_MAJORITY, NO_WAIT_OUT, NO_CONFIRM, NO_BLIND;
 * CLAIM_EXTENDS lets a claim extend a lease. */

#ifndef TENURES
#define TENURES 2       /* the most tenures in the log */
#define INTERIMS 1      /* the most claims without the store in one tenure */
#endif
#ifdef FULL
#define TAKES true
#else
#define TAKES (me == 1) /* the lead that had the first tenure takes no other by the log */
#endif
#define WORKERS 3
#define HOLD 1          /* the age up to which evidence lets a lead act */
#define LEASE 2         /* ticks of a lease */
#define WAIT (HOLD + LEASE)
#define OLD 2           /* the age of evidence and stamps that are of no more use */
#define NEVER 15
#define NONE 3

#define EPOCH(t, i, l) ((t) * 8 + (i) * 2 + (l))
#define TENURE(e) ((e) / 8)
#define INTERIM(e) (((e) / 2) % 4)

/* The shard's log: the count of tenures and the last holder. */
byte tenure = 1;
bit holder;

/* Workers. */
byte epoch[WORKERS];
byte lease[2];          /* the ticks that are left of the lease */
bool runs[2];           /* the task runs here */

typedef Lead {
  bool on;              /* it has an epoch */
  byte mine;            /* its epoch */
  byte confirmed;       /* the age of the store's last word on the tenure */
  byte alone;           /* for how long no other can have got the right to renew */
  byte heard[WORKERS];  /* the age of the last answer at its epoch */
  bool known[WORKERS];  /* all the worker has is known, or its tasks have ended */
  byte stamp;           /* the age of the last stamp of worker 0 */
  byte at;              /* where the task may be */
  bool seen;            /* the task was seen since the lead was taken */
  byte doubt;           /* the ticks in which a start that is not answered may be taken */
  /* The renewal and the start that are on their way to worker 0: epoch and age of the stamp. */
  byte renew; byte renew_stamp;
  byte start; byte start_stamp;
}
Lead lead[2];

#define ME lead[me]
#define VOTES(age) ((ME.heard[0] <= (age)) + (ME.heard[1] <= (age)) + (ME.heard[2] <= (age)))
#define STORE_SAYS (INTERIM(ME.mine) == 0 && ME.confirmed <= HOLD)

#ifdef NO_MAJORITY
#define MAY true
#else
#define MAY (VOTES(HOLD) >= 2 || STORE_SAYS)
#endif

#ifdef NO_WAIT_OUT
#define LAPSED (ME.alone != NEVER && ME.confirmed < OLD)
#else
#ifdef NO_CONFIRM
#define LAPSED (ME.alone != NEVER && ME.alone >= WAIT && ME.stamp >= LEASE)
#else
/* Both confirmed the lead after the last lease that anybody could have given had lapsed. */
#define AFTER(age) (ME.confirmed <= (age) && VOTES(age) >= 2)
#define LAPSED (ME.alone != NEVER && ME.alone >= WAIT && ME.stamp >= LEASE && AFTER(ME.alone - WAIT) && AFTER(ME.stamp - LEASE))
#endif
#endif

#ifdef NO_BLIND
#define SEES_ALL true
#else
#define SEES_ALL (ME.known[0] && ME.known[1] && ME.known[2] && (INTERIM(ME.mine) == 0 || ME.seen))
#endif

#ifdef NO_FENCE
#define OBEYS(w, e) true
#else
#define OBEYS(w, e) ((e) == epoch[w])
#endif
#ifdef NO_STAMP
#define FOR(age) LEASE
#else
#define FOR(age) (LEASE - (age))
#endif

inline forget() {
  ME.on = false;
  ME.mine = 0;
  ME.confirmed = OLD;
  ME.alone = NEVER;
  ME.at = NONE;
  ME.seen = false;
  ME.doubt = 0;
  ME.stamp = LEASE + 1;
  ME.heard[0] = OLD; ME.heard[1] = OLD; ME.heard[2] = OLD;
  ME.known[0] = false; ME.known[1] = false; ME.known[2] = false
}

/* The lead has an answer at its epoch from worker w. */
inline hear(w) {
  ME.heard[w] = 0;
  ME.known[w] = true;
  if
  :: w == 0 -> ME.stamp = 0
  :: else
  fi;
  if
  :: w < 2 && runs[w] -> ME.at = w; ME.seen = true
  :: w < 2 && !runs[w] && ME.at == w && ME.doubt == 0 -> ME.at = NONE
  :: else
  fi;
  if
  :: ME.alone == NEVER && INTERIM(ME.mine) == 0 && ME.known[0] + ME.known[1] + ME.known[2] >= 2 -> ME.alone = 0
  :: else
  fi
}

inline extend(w, span) {
  if
  :: span > lease[w] -> lease[w] = span
  :: else
  fi
}

inline run_on(w) {
  runs[w] = true;
  assert(!(runs[0] && runs[1]))
}

inline claim(w) {
  epoch[w] = ME.mine;
#ifdef CLAIM_EXTENDS
  if
  :: w < 2 -> extend(w, LEASE)
  :: else
  fi
#endif
}

proctype Entry(bit me) {
  do
  /* Take the lead by the log: a write that is not the next after the last read has no effect. */
  :: d_step { !ME.on && tenure < TENURES && TAKES ->
       tenure++; holder = me; ME.on = true; ME.mine = EPOCH(tenure, 0, me); ME.confirmed = 0 }
  /* Read the log. */
  :: d_step { ME.on && INTERIM(ME.mine) == 0 && ME.confirmed != 0 ->
       if
       :: tenure == TENURE(ME.mine) && holder == me -> ME.confirmed = 0
       :: else -> forget()
       fi }
  /* Take the lead without the store, above what two of the workers say. */
  :: d_step { !ME.on && INTERIM(epoch[1]) < INTERIMS && INTERIM(epoch[2]) < INTERIMS ->
       ME.on = true;
       if
       :: epoch[1] > epoch[2] -> ME.mine = EPOCH(TENURE(epoch[1]), INTERIM(epoch[1]) + 1, me)
       :: else -> ME.mine = EPOCH(TENURE(epoch[2]), INTERIM(epoch[2]) + 1, me)
       fi }
  /* Claim a worker; a lead that gets no answer does no more than one that does nothing with it. */
  :: d_step { ME.on && epoch[0] < ME.mine -> claim(0); hear(0) }
  :: d_step { ME.on && epoch[1] < ME.mine -> claim(1); hear(1) }
  :: d_step { ME.on && epoch[2] < ME.mine -> claim(2); hear(2) }
  /* Look at the workers, which also tells of higher epochs. */
  :: d_step { ME.on && epoch[0] == ME.mine && (ME.stamp != 0 || runs[0] != (ME.at == 0)) -> hear(0) }
  :: d_step { ME.on && (epoch[1] == ME.mine && ME.heard[1] != 0 || epoch[2] == ME.mine && ME.heard[2] != 0) ->
       if
       :: epoch[1] == ME.mine -> hear(1)
       :: else
       fi;
       if
       :: epoch[2] == ME.mine -> hear(2)
       :: else
       fi }
  :: d_step { ME.on && (epoch[0] > ME.mine || epoch[1] > ME.mine || epoch[2] > ME.mine) -> forget() }
  /* Renew worker 1, and start the task there. */
  :: d_step { ME.on && epoch[1] == ME.mine && MAY && ME.known[1] && lease[1] != LEASE -> extend(1, LEASE) }
  :: d_step { ME.on && ME.at == NONE && SEES_ALL && MAY && ME.known[1] && epoch[1] == ME.mine && lease[1] > 0 && !runs[1] ->
       ME.at = 1; ME.seen = true; run_on(1) }
  /* Send a renewal to worker 0; it arrives later or never. */
  :: d_step { ME.on && ME.stamp < OLD && MAY -> ME.renew = ME.mine; ME.renew_stamp = ME.stamp }
  :: d_step { ME.renew != 0 ->
       if
       :: OBEYS(0, ME.renew) -> extend(0, FOR(ME.renew_stamp))
       :: else
       fi;
       ME.renew = 0; ME.renew_stamp = 0 }
  /* Send a start to worker 0; it arrives later or never, and its answer is lost. */
  :: d_step { ME.on && ME.start == 0 && ME.at == NONE && SEES_ALL && MAY && ME.stamp < OLD ->
       ME.start = ME.mine; ME.start_stamp = ME.stamp; ME.at = 0; ME.doubt = OLD - ME.stamp }
  :: d_step { ME.start != 0 ->
       if
       :: OBEYS(0, ME.start) && lease[0] > 0 && !runs[0] -> run_on(0)
       :: else
       fi;
       ME.start = 0; ME.start_stamp = 0 }
  /* Take worker 0's tasks for ended. */
  :: d_step { ME.on && INTERIM(ME.mine) == 0 && LAPSED && (!ME.known[0] || ME.at == 0) ->
       ME.known[0] = true;
       if
       :: ME.at == 0 -> ME.at = NONE; ME.doubt = 0
       :: else
       fi }
  od
}

#define AGE(field, most) if :: field < most -> field++ :: else fi

inline grow(d) {
  AGE(lead[d].heard[0], OLD);
  AGE(lead[d].heard[1], OLD);
  AGE(lead[d].heard[2], OLD);
  AGE(lead[d].confirmed, OLD);
  AGE(lead[d].stamp, LEASE + 1);
  AGE(lead[d].alone, WAIT + 1);
  if
  :: lead[d].doubt > 0 -> lead[d].doubt--
  :: else
  fi;
  /* What is on its way with a stamp that is too old is refused whenever it arrives. */
  if
  :: lead[d].renew != 0 -> AGE(lead[d].renew_stamp, OLD)
  :: else
  fi;
  if
  :: lead[d].start != 0 -> AGE(lead[d].start_stamp, OLD)
  :: else
  fi;
#ifndef NO_STAMP
  if
  :: lead[d].renew_stamp == OLD -> lead[d].renew = 0; lead[d].renew_stamp = 0
  :: else
  fi;
  if
  :: lead[d].start_stamp == OLD -> lead[d].start = 0; lead[d].start_stamp = 0
  :: else
  fi
#endif
}

/* The worker's clock passes the end of the lease: it stops its tasks. */
inline shrink(w) {
  if
  :: lease[w] > 0 -> lease[w]--
  :: else
  fi;
  if
  :: lease[w] == 0 -> runs[w] = false
  :: else
  fi
}

/* Time passes, and the task may end by itself. */
proctype World() {
  do
  :: d_step { true -> grow(0); grow(1); shrink(0); shrink(1) }
  :: d_step { runs[0] -> runs[0] = false }
  od
}

init {
  byte me;
  d_step {
    me = 1;
    forget();
    me = 0;
    forget();
    /* Lead 0 has tenure 1 and all workers. */
    ME.on = true;
    ME.mine = EPOCH(1, 0, 0);
    ME.confirmed = 0;
    ME.alone = 0;
    ME.stamp = 0;
    epoch[0] = ME.mine; epoch[1] = ME.mine; epoch[2] = ME.mine;
    ME.heard[0] = 0; ME.heard[1] = 0; ME.heard[2] = 0;
    ME.known[0] = true; ME.known[1] = true; ME.known[2] = true;
    lease[0] = LEASE; lease[1] = LEASE
  }
  /* The task runs on worker 0, or was not started. */
  atomic {
    if
    :: runs[0] = true; lead[0].at = 0; lead[0].seen = true
    :: skip
    fi;
    run Entry(0);
    run Entry(1);
    run World()
  }
}
