/* Model of the configuration log and its trimming: two writers that also read, and one reader.
 *
 * Properties: the configuration that a process has applied never reverts and is always the entry that
 * the log had under that number, and the answer to an operator is true: "accepted" means that the
 * change is in the log under the reported number, "not accepted" that it is not and never will be.
 *
 * A write may take effect long after its writer gave up waiting for the answer, a process may pause
 * between any two steps, and entries that a snapshot covers are removed at any time.
 *
 * Each of these macros removes one guard:
 *   NO_READ_BACK  a writer treats a lost answer as "not accepted" instead of reading the entry back
 *   NO_FLOOR      neither writers nor readers compare an entry's number with the log's floor
 *   NO_ORDER      entries are applied in the order of arrival instead of the order of numbers */

#define LOG_LENGTH 3 /* the number of entries in the log, which are numbered from 1 */
#define EMPTY 0

byte stored_writer[LOG_LENGTH + 1];  /* the writer of each entry, as the store has it now */
byte first_writer[LOG_LENGTH + 1];   /* the first writer of each entry */
byte floor;                          /* entries up to this number may have been removed */
byte newest;                         /* the highest number that was ever written */

/* The writers are processes 0 and 1. Each has one change, identified by the process number plus one. */
byte delayed_write[2];     /* the number of the write in flight, 0 if none */
byte accepted_number[2];   /* the number reported to the operator as accepted, 0 if none */
bool reported_refused[2];  /* whether the operator was told that the change is not accepted */

byte applied_number[3];  /* the number of the last entry that each process applied */
byte applied_writer[3];  /* the writer of that entry, as the process read it */

#define RECORD_WRITE(n) if :: first_writer[n] == EMPTY -> first_writer[n] = me + 1 :: else fi; \
  if :: n > newest -> newest = n :: else fi

inline write_entry(n) {
  stored_writer[n] = me + 1;
  RECORD_WRITE(n)
}

inline apply(n, writer) {
  assert(n > applied_number[me]);
  applied_number[me] = n;
  applied_writer[me] = writer;
  assert(first_writer[n] == writer)
}

inline report_accepted(n) {
  accepted_number[me] = n;
  assert(first_writer[n] == me + 1);
  assert(!reported_refused[me])
}

/* Loads the snapshot, which covers all entries up to the floor and may cover more. */
inline load_snapshot() {
  if
  :: floor > applied_number[me] -> apply(floor, first_writer[floor])
  :: else
  fi
}

/* Reads the next entry; `apply_read` reads the floor afterwards. */
inline read_next() {
#ifdef NO_ORDER
  if
  :: applied_number[me] < 2 && stored_writer[applied_number[me] + 2] != EMPTY -> apply(applied_number[me] + 2, stored_writer[applied_number[me] + 2])
  :: applied_number[me] > 1 && stored_writer[applied_number[me] - 1] != EMPTY -> apply(applied_number[me] - 1, stored_writer[applied_number[me] - 1])
  :: else
  fi
#else
  n = applied_number[me] + 1;
  if
  :: n <= LOG_LENGTH && stored_writer[n] != EMPTY -> read_writer = stored_writer[n]
  :: else -> read_writer = EMPTY
  fi
#endif
}

inline apply_read() {
  if
#ifndef NO_FLOOR
  :: floor >= n -> load_snapshot()
#endif
  :: read_writer != EMPTY && applied_number[me] + 1 == n -> apply(n, read_writer)
  :: else
  fi
}

proctype Writer(byte me) {
  byte n;
  byte read_writer;
  byte target;
  do
  :: accepted_number[me] == 0 && !reported_refused[me] && applied_number[me] < LOG_LENGTH ->
       target = applied_number[me] + 1;
attempt:
       if
       /* The write takes effect and is answered. */
       :: d_step { stored_writer[target] == EMPTY -> write_entry(target) } -> goto written
       :: d_step { stored_writer[target] == me + 1 -> skip } -> goto written
       :: d_step { stored_writer[target] != EMPTY && stored_writer[target] != me + 1 -> skip } -> goto number_taken
       /* The write takes effect, and the answer is lost. */
       :: d_step { stored_writer[target] == EMPTY -> write_entry(target) } -> goto unanswered
       /* The write is in flight and may take effect at any later time. */
       :: delayed_write[me] == 0 -> delayed_write[me] = target; goto unanswered
       fi;
unanswered:
#ifdef NO_READ_BACK
       reported_refused[me] = true;
       assert(first_writer[target] != me + 1);
       break;
#else
       goto attempt;
#endif
written:
       skip;
#ifndef NO_FLOOR
       if
       :: floor >= target -> goto number_taken
       :: else
       fi;
#endif
       d_step {
         report_accepted(target);
         if
         :: applied_number[me] + 1 == target -> apply(target, me + 1)
         :: else
         fi
       };
       break;
number_taken:
       /* The number belongs to another entry: reads up to it, then tries the next number. */
       do
       :: applied_number[me] >= target -> break
       :: else ->
            d_step { read_next() };
            d_step { apply_read(); n = 0; read_writer = 0 }
       od
  :: accepted_number[me] == 0 && !reported_refused[me] -> reported_refused[me] = true; break
  :: d_step { read_next() }; d_step { apply_read(); n = 0; read_writer = 0 }
  od
}

proctype Reader(byte me) {
  byte n;
  byte read_writer;
  do
  :: d_step { read_next() }; d_step { apply_read(); n = 0; read_writer = 0 }
  od
}

/* Delayed writes reach the store, other processes write entries, and the log is trimmed except for
 * its newest entry. */
proctype Environment() {
  byte me = 2;
  byte n;
  do
  :: d_step { delayed_write[0] != 0 ->
       if
       :: stored_writer[delayed_write[0]] == EMPTY -> stored_writer[delayed_write[0]] = 1;
            if :: first_writer[delayed_write[0]] == EMPTY -> first_writer[delayed_write[0]] = 1; assert(!reported_refused[0]) :: else fi;
            if :: delayed_write[0] > newest -> newest = delayed_write[0] :: else fi
       :: else
       fi;
       delayed_write[0] = 0 }
  :: d_step { delayed_write[1] != 0 ->
       if
       :: stored_writer[delayed_write[1]] == EMPTY -> stored_writer[delayed_write[1]] = 2;
            if :: first_writer[delayed_write[1]] == EMPTY -> first_writer[delayed_write[1]] = 2; assert(!reported_refused[1]) :: else fi;
            if :: delayed_write[1] > newest -> newest = delayed_write[1] :: else fi
       :: else
       fi;
       delayed_write[1] = 0 }
  :: d_step { newest < LOG_LENGTH -> n = newest + 1; write_entry(n); n = 0 }
  :: d_step { floor + 1 < newest -> floor++ }
  :: d_step { floor >= 1 && stored_writer[1] != EMPTY -> stored_writer[1] = EMPTY }
  :: d_step { floor >= 2 && stored_writer[2] != EMPTY -> stored_writer[2] = EMPTY }
  od
}

init {
  atomic {
    run Writer(0);
    run Writer(1);
    run Reader(2);
    run Environment()
  }
}
