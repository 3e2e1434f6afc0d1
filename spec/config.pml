/* Two writers that also read, one reader, and the configuration's log with trimming.
 *
 * Properties: what a process has in force never reverts, is never anything but what the log had
 * under that number, and an operator's answer is true: "accepted" means that the change is in the
 * log under the number told, "not accepted" that it is not and never will be.
 *
 * A write may be carried out long after its answer was given up, a process may be paused between
 * any two steps, and entries behind a snapshot are removed at any time.
 *
 * Each guard can be taken away: NO_READ_BACK (a lost answer counts as not accepted), NO_FLOOR (an
 * accepted write is not held against the floor), NO_ORDER (entries are applied as they come). */

#define NUMBERS 3       /* numbers in the log, from 1 */
#define EMPTY 0

byte slot[NUMBERS + 1]; /* who wrote the number, as the store has it now */
byte truth[NUMBERS + 1];/* who first wrote it */
byte floor;             /* numbers up to this may have been removed */
byte newest;            /* the highest number that was ever written */

/* Writers: process 0 and 1, whose single change is marked by their process plus one. */
byte late[2];           /* the number of a write that is still on its way */
byte told[2];           /* the number under which the operator was told that it is accepted */
bool refused[2];        /* the operator was told that it is not accepted */

byte force[3];          /* the last number in force at a process */
byte known[3];          /* who wrote that number, as the process has it */

#define WRITTEN(n) if :: truth[n] == EMPTY -> truth[n] = me + 1 :: else fi; \
  if :: n > newest -> newest = n :: else fi

inline put(n) {
  slot[n] = me + 1;
  WRITTEN(n)
}

inline enforce(n, who) {
  assert(n > force[me]);
  force[me] = n;
  known[me] = who;
  assert(truth[n] == who)
}

inline accept(n) {
  told[me] = n;
  assert(truth[n] == me + 1);
  assert(!refused[me])
}

/* Load the snapshot, which has everything up to the floor and may have more. */
inline load() {
  if
  :: floor > force[me] -> enforce(floor, truth[floor])
  :: else
  fi
}

/* Read the next entry, then the floor. */
inline follow() {
#ifdef NO_ORDER
  if
  :: force[me] < 2 && slot[force[me] + 2] != EMPTY -> enforce(force[me] + 2, slot[force[me] + 2])
  :: force[me] > 1 && slot[force[me] - 1] != EMPTY -> enforce(force[me] - 1, slot[force[me] - 1])
  :: else
  fi
#else
  n = force[me] + 1;
  if
  :: n <= NUMBERS && slot[n] != EMPTY -> got = slot[n]
  :: else -> got = EMPTY
  fi
#endif
}

inline check() {
  if
#ifndef NO_FLOOR
  :: floor >= n -> load()
#endif
  :: got != EMPTY && force[me] + 1 == n -> enforce(n, got)
  :: else
  fi
}

proctype Writer(byte me) {
  byte n;
  byte got;
  byte goal;
  do
  :: told[me] == 0 && !refused[me] && force[me] < NUMBERS ->
       goal = force[me] + 1;
try:
       if
       /* Carried out and answered. */
       :: d_step { slot[goal] == EMPTY -> put(goal) } -> goto written
       :: d_step { slot[goal] == me + 1 -> skip } -> goto written
       :: d_step { slot[goal] != EMPTY && slot[goal] != me + 1 -> skip } -> goto lost
       /* Carried out, and the answer lost. */
       :: d_step { slot[goal] == EMPTY -> put(goal) } -> goto doubt
       /* Not carried out yet: it may be at any later time. */
       :: late[me] == 0 -> late[me] = goal; goto doubt
       fi;
doubt:
#ifdef NO_READ_BACK
       refused[me] = true;
       assert(truth[goal] != me + 1);
       break;
#else
       goto try;
#endif
written:
       skip;
#ifndef NO_FLOOR
       if
       :: floor >= goal -> goto lost
       :: else
       fi;
#endif
       d_step {
         accept(goal);
         if
         :: force[me] + 1 == goal -> enforce(goal, me + 1)
         :: else
         fi
       };
       break;
lost:
       /* Another has the number: catch up, then try the next. */
       do
       :: force[me] >= goal -> break
       :: else ->
            d_step { follow() };
            d_step { check(); n = 0; got = 0 }
       od
  :: told[me] == 0 && !refused[me] -> refused[me] = true; break
  :: d_step { follow() }; d_step { check(); n = 0; got = 0 }
  od
}

proctype Reader(byte me) {
  byte n;
  byte got;
  do
  :: d_step { follow() }; d_step { check(); n = 0; got = 0 }
  od
}

/* Late writes arrive; the log is trimmed, but for its newest entry; others fill numbers. */
proctype World() {
  byte me = 2;
  byte n;
  do
  :: d_step { late[0] != 0 ->
       if
       :: slot[late[0]] == EMPTY -> slot[late[0]] = 1;
            if :: truth[late[0]] == EMPTY -> truth[late[0]] = 1; assert(!refused[0]) :: else fi;
            if :: late[0] > newest -> newest = late[0] :: else fi
       :: else
       fi;
       late[0] = 0 }
  :: d_step { late[1] != 0 ->
       if
       :: slot[late[1]] == EMPTY -> slot[late[1]] = 2;
            if :: truth[late[1]] == EMPTY -> truth[late[1]] = 2; assert(!refused[1]) :: else fi;
            if :: late[1] > newest -> newest = late[1] :: else fi
       :: else
       fi;
       late[1] = 0 }
  :: d_step { newest < NUMBERS -> n = newest + 1; put(n); n = 0 }
  :: d_step { floor + 1 < newest -> floor++ }
  :: d_step { floor >= 1 && slot[1] != EMPTY -> slot[1] = EMPTY }
  :: d_step { floor >= 2 && slot[2] != EMPTY -> slot[2] = EMPTY }
  od
}

init {
  atomic {
    run Writer(0);
    run Writer(1);
    run Reader(2);
    run World()
  }
}
