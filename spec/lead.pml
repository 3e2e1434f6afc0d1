/* Model of leader election in one shard: two processes that can lead, three workers that are all
 * electors, the shard's log and one task.
 *
 * Property: the task never runs on two workers at the same time.
 *
 * The task may run on worker 0 or 1; worker 2 only votes. A call to worker 0 arrives at any later time
 * or never, which models a lead that pauses between its check and its call, and a worker that is cut
 * off by a network partition. A call to another worker arrives at once or not at all. A lead that
 * never reads the log models an outage of the store, and a lead that takes no step models a paused or
 * crashed process. All these faults may occur at any time and in any combination.
 *
 * Times are stored as ages that stop growing once they make no further difference, so the state space
 * is finite although runs have no end.
 *
 * Each of these macros removes one guard or, for the last, breaks one rule:
 *   NO_FENCE       workers accept calls of every epoch
 *   NO_STAMP       a lease runs from the arrival of a renewal instead of its stamp, and calls with old
 *                  stamps still take effect
 *   NO_MAJORITY    a lead renews and starts without recent evidence that it still leads
 *   NO_WAIT_OUT    a lead assumes that the task has ended before other leads' leases have lapsed
 *   NO_CONFIRM     a lead waits for leases to lapse, but needs no confirmation of its epoch afterwards
 *   NO_BLIND       a lead starts the task without knowing the tasks of all workers
 *   CLAIM_EXTENDS  a claim extends the worker's lease */

#ifndef TENURES
#define TENURES 2   /* the maximum number of tenures in the log */
#define INTERIMS 1  /* the maximum number of interim leads (elected without the store) in one tenure */
#endif
#ifdef FULL
#define MAY_TAKE_TENURE true
#else
#define MAY_TAKE_TENURE (me == 1) /* process 0, the holder of tenure 1, takes no other */
#endif
#define WORKERS 3
#define EVIDENCE_TICKS 1  /* the maximum age of the evidence on which a lead may act */
#define LEASE_TICKS 2     /* the duration of a lease */
#define LAPSE_TICKS (EVIDENCE_TICKS + LEASE_TICKS)
#define STALE 2           /* the age from which evidence and stamps are unusable */
#define UNSET 15          /* marks an `exclusive_age` that has not begun */
#define NO_WORKER 3

#define EPOCH(t, i, l) ((t) * 8 + (i) * 2 + (l))
#define TENURE(e) ((e) / 8)
#define INTERIM(e) (((e) / 2) % 4)

/* The shard's log: the number of tenures and the holder of the last one. */
byte tenure = 1;
bit holder;

/* Workers. */
byte worker_epoch[WORKERS];
byte lease_left[2];  /* the ticks until the lease ends */
bool task_runs[2];   /* whether the task runs on the worker */

typedef Lead {
  bool has_epoch;             /* whether the process has an epoch */
  byte epoch;                 /* the epoch, 0 if none */
  byte confirmed_age;         /* the age of the log's last confirmation of the tenure */
  byte exclusive_age;         /* the time since another process could last become entitled to renew */
  byte answer_age[WORKERS];   /* the age of each worker's last answer at the epoch */
  bool tasks_known[WORKERS];  /* whether the worker's tasks are all known or have ended */
  byte stamp_age;             /* the age of worker 0's last stamp */
  byte task_at;               /* the worker on which the task may run */
  bool task_seen;             /* whether the task was seen running since the process took the lead */
  byte start_pending;         /* the ticks in which an unanswered start may still take effect */
  /* The renewal and the start in flight to worker 0: epoch (0 if none) and age of the stamp. */
  byte renew_epoch; byte renew_stamp_age;
  byte start_epoch; byte start_stamp_age;
}
Lead lead[2];

#define ME lead[me]
#define ANSWERS_WITHIN(age) ((ME.answer_age[0] <= (age)) + (ME.answer_age[1] <= (age)) + (ME.answer_age[2] <= (age)))
#define LOG_CONFIRMS (INTERIM(ME.epoch) == 0 && ME.confirmed_age <= EVIDENCE_TICKS)

#ifdef NO_MAJORITY
#define MAY_ACT true
#else
#define MAY_ACT (ANSWERS_WITHIN(EVIDENCE_TICKS) >= 2 || LOG_CONFIRMS)
#endif

#ifdef NO_WAIT_OUT
#define LEASES_LAPSED (ME.exclusive_age != UNSET && ME.confirmed_age < STALE)
#else
#ifdef NO_CONFIRM
#define LEASES_LAPSED (ME.exclusive_age != UNSET && ME.exclusive_age >= LAPSE_TICKS && ME.stamp_age >= LEASE_TICKS)
#else
/* The log and a majority of the workers have confirmed the lead since the last lease that any other
 * lead could have granted lapsed. */
#define CONFIRMED_WITHIN(age) (ME.confirmed_age <= (age) && ANSWERS_WITHIN(age) >= 2)
#define LEASES_LAPSED (ME.exclusive_age != UNSET && ME.exclusive_age >= LAPSE_TICKS \
  && ME.stamp_age >= LEASE_TICKS && CONFIRMED_WITHIN(ME.exclusive_age - LAPSE_TICKS) && CONFIRMED_WITHIN(ME.stamp_age - LEASE_TICKS))
#endif
#endif

#ifdef NO_BLIND
#define KNOWS_ALL_TASKS true
#else
#define KNOWS_ALL_TASKS (ME.tasks_known[0] && ME.tasks_known[1] && ME.tasks_known[2] && (INTERIM(ME.epoch) == 0 || ME.task_seen))
#endif

#ifdef NO_FENCE
#define ACCEPTS(w, e) true
#else
#define ACCEPTS(w, e) ((e) == worker_epoch[w])
#endif
#ifdef NO_STAMP
#define LEASE_FROM(age) LEASE_TICKS
#else
#define LEASE_FROM(age) (LEASE_TICKS - (age))
#endif

/* Clears the state of a process that does not lead. */
inline clear_lead() {
  ME.has_epoch = false;
  ME.epoch = 0;
  ME.confirmed_age = STALE;
  ME.exclusive_age = UNSET;
  ME.task_at = NO_WORKER;
  ME.task_seen = false;
  ME.start_pending = 0;
  ME.stamp_age = LEASE_TICKS + 1;
  ME.answer_age[0] = STALE; ME.answer_age[1] = STALE; ME.answer_age[2] = STALE;
  ME.tasks_known[0] = false; ME.tasks_known[1] = false; ME.tasks_known[2] = false
}

/* Records an answer of worker w at the epoch of the lead. */
inline record_answer(w) {
  ME.answer_age[w] = 0;
  ME.tasks_known[w] = true;
  if
  :: w == 0 -> ME.stamp_age = 0
  :: else
  fi;
  if
  :: w < 2 && task_runs[w] -> ME.task_at = w; ME.task_seen = true
  :: w < 2 && !task_runs[w] && ME.task_at == w && ME.start_pending == 0 -> ME.task_at = NO_WORKER
  :: else
  fi;
  if
  :: ME.exclusive_age == UNSET && INTERIM(ME.epoch) == 0 && ME.tasks_known[0] + ME.tasks_known[1] + ME.tasks_known[2] >= 2 -> ME.exclusive_age = 0
  :: else
  fi
}

inline extend_lease(w, span) {
  if
  :: span > lease_left[w] -> lease_left[w] = span
  :: else
  fi
}

inline start_task(w) {
  task_runs[w] = true;
  assert(!(task_runs[0] && task_runs[1]))
}

inline claim_worker(w) {
  worker_epoch[w] = ME.epoch;
#ifdef CLAIM_EXTENDS
  if
  :: w < 2 -> extend_lease(w, LEASE_TICKS)
  :: else
  fi
#endif
}

proctype Entry(bit me) {
  do
  /* Takes the lead through the log. The write is conditional: it has no effect unless it directly
     follows the last entry that was read. */
  :: d_step { !ME.has_epoch && tenure < TENURES && MAY_TAKE_TENURE ->
       tenure++; holder = me; ME.has_epoch = true; ME.epoch = EPOCH(tenure, 0, me); ME.confirmed_age = 0 }
  /* Reads the log, and steps down if another process has the tenure. */
  :: d_step { ME.has_epoch && INTERIM(ME.epoch) == 0 && ME.confirmed_age != 0 ->
       if
       :: tenure == TENURE(ME.epoch) && holder == me -> ME.confirmed_age = 0
       :: else -> clear_lead()
       fi }
  /* Takes the lead without the store, with an epoch above those that workers 1 and 2 report. */
  :: d_step { !ME.has_epoch && INTERIM(worker_epoch[1]) < INTERIMS && INTERIM(worker_epoch[2]) < INTERIMS ->
       ME.has_epoch = true;
       if
       :: worker_epoch[1] > worker_epoch[2] -> ME.epoch = EPOCH(TENURE(worker_epoch[1]), INTERIM(worker_epoch[1]) + 1, me)
       :: else -> ME.epoch = EPOCH(TENURE(worker_epoch[2]), INTERIM(worker_epoch[2]) + 1, me)
       fi }
  /* Claims a worker. Lost answers need no case: a lead that gets no answer can do nothing that a lead
     which ignores the answer can not. */
  :: d_step { ME.has_epoch && worker_epoch[0] < ME.epoch -> claim_worker(0); record_answer(0) }
  :: d_step { ME.has_epoch && worker_epoch[1] < ME.epoch -> claim_worker(1); record_answer(1) }
  :: d_step { ME.has_epoch && worker_epoch[2] < ME.epoch -> claim_worker(2); record_answer(2) }
  /* Lists the workers' tasks; a worker with a higher epoch makes the lead step down. */
  :: d_step { ME.has_epoch && worker_epoch[0] == ME.epoch && (ME.stamp_age != 0 || task_runs[0] != (ME.task_at == 0)) -> record_answer(0) }
  :: d_step { ME.has_epoch && (worker_epoch[1] == ME.epoch && ME.answer_age[1] != 0 || worker_epoch[2] == ME.epoch && ME.answer_age[2] != 0) ->
       if
       :: worker_epoch[1] == ME.epoch -> record_answer(1)
       :: else
       fi;
       if
       :: worker_epoch[2] == ME.epoch -> record_answer(2)
       :: else
       fi }
  :: d_step { ME.has_epoch && (worker_epoch[0] > ME.epoch || worker_epoch[1] > ME.epoch || worker_epoch[2] > ME.epoch) -> clear_lead() }
  /* Renews worker 1's lease, and starts the task there. */
  :: d_step { ME.has_epoch && worker_epoch[1] == ME.epoch && MAY_ACT && ME.tasks_known[1] && lease_left[1] != LEASE_TICKS -> extend_lease(1, LEASE_TICKS) }
  :: d_step { ME.has_epoch && ME.task_at == NO_WORKER && KNOWS_ALL_TASKS && MAY_ACT && ME.tasks_known[1] && worker_epoch[1] == ME.epoch && lease_left[1] > 0 && !task_runs[1] ->
       ME.task_at = 1; ME.task_seen = true; start_task(1) }
  /* Sends a renewal to worker 0, which arrives later or never. */
  :: d_step { ME.has_epoch && ME.stamp_age < STALE && MAY_ACT -> ME.renew_epoch = ME.epoch; ME.renew_stamp_age = ME.stamp_age }
  :: d_step { ME.renew_epoch != 0 ->
       if
       :: ACCEPTS(0, ME.renew_epoch) -> extend_lease(0, LEASE_FROM(ME.renew_stamp_age))
       :: else
       fi;
       ME.renew_epoch = 0; ME.renew_stamp_age = 0 }
  /* Sends a start to worker 0, which arrives later or never; the answer is lost. */
  :: d_step { ME.has_epoch && ME.start_epoch == 0 && ME.task_at == NO_WORKER && KNOWS_ALL_TASKS && MAY_ACT && ME.stamp_age < STALE ->
       ME.start_epoch = ME.epoch; ME.start_stamp_age = ME.stamp_age; ME.task_at = 0; ME.start_pending = STALE - ME.stamp_age }
  :: d_step { ME.start_epoch != 0 ->
       if
       :: ACCEPTS(0, ME.start_epoch) && lease_left[0] > 0 && !task_runs[0] -> start_task(0)
       :: else
       fi;
       ME.start_epoch = 0; ME.start_stamp_age = 0 }
  /* Assumes that worker 0's tasks have ended, since each lease that could cover them has lapsed. */
  :: d_step { ME.has_epoch && INTERIM(ME.epoch) == 0 && LEASES_LAPSED && (!ME.tasks_known[0] || ME.task_at == 0) ->
       ME.tasks_known[0] = true;
       if
       :: ME.task_at == 0 -> ME.task_at = NO_WORKER; ME.start_pending = 0
       :: else
       fi }
  od
}

#define INCREMENT(age, limit) if :: age < limit -> age++ :: else fi

inline age_lead(d) {
  INCREMENT(lead[d].answer_age[0], STALE);
  INCREMENT(lead[d].answer_age[1], STALE);
  INCREMENT(lead[d].answer_age[2], STALE);
  INCREMENT(lead[d].confirmed_age, STALE);
  INCREMENT(lead[d].stamp_age, LEASE_TICKS + 1);
  INCREMENT(lead[d].exclusive_age, LAPSE_TICKS + 1);
  if
  :: lead[d].start_pending > 0 -> lead[d].start_pending--
  :: else
  fi;
  /* A worker refuses a call whose stamp is too old whenever it arrives, so the call is dropped here. */
  if
  :: lead[d].renew_epoch != 0 -> INCREMENT(lead[d].renew_stamp_age, STALE)
  :: else
  fi;
  if
  :: lead[d].start_epoch != 0 -> INCREMENT(lead[d].start_stamp_age, STALE)
  :: else
  fi;
#ifndef NO_STAMP
  if
  :: lead[d].renew_stamp_age == STALE -> lead[d].renew_epoch = 0; lead[d].renew_stamp_age = 0
  :: else
  fi;
  if
  :: lead[d].start_stamp_age == STALE -> lead[d].start_epoch = 0; lead[d].start_stamp_age = 0
  :: else
  fi
#endif
}

/* Advances the clock of worker w, which stops its tasks when the lease ends. */
inline age_lease(w) {
  if
  :: lease_left[w] > 0 -> lease_left[w]--
  :: else
  fi;
  if
  :: lease_left[w] == 0 -> task_runs[w] = false
  :: else
  fi
}

/* Lets time pass; the task on worker 0 may end by itself. */
proctype Environment() {
  do
  :: d_step { true -> age_lead(0); age_lead(1); age_lease(0); age_lease(1) }
  :: d_step { task_runs[0] -> task_runs[0] = false }
  od
}

init {
  byte me;
  d_step {
    me = 1;
    clear_lead();
    me = 0;
    clear_lead();
    /* Process 0 has tenure 1 and has claimed all workers. */
    ME.has_epoch = true;
    ME.epoch = EPOCH(1, 0, 0);
    ME.confirmed_age = 0;
    ME.exclusive_age = 0;
    ME.stamp_age = 0;
    worker_epoch[0] = ME.epoch; worker_epoch[1] = ME.epoch; worker_epoch[2] = ME.epoch;
    ME.answer_age[0] = 0; ME.answer_age[1] = 0; ME.answer_age[2] = 0;
    ME.tasks_known[0] = true; ME.tasks_known[1] = true; ME.tasks_known[2] = true;
    lease_left[0] = LEASE_TICKS; lease_left[1] = LEASE_TICKS
  }
  /* The task either runs on worker 0 or was not started. */
  atomic {
    if
    :: task_runs[0] = true; lead[0].task_at = 0; lead[0].task_seen = true
    :: skip
    fi;
    run Entry(0);
    run Entry(1);
    run Environment()
  }
}
