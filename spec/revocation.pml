/*
 * Revocation of a key: entries serve it only within a bound of a confirmation that the configuration with
 * the key was the newest.
 *
 * Time passes in ticks. The store holds a configuration with a key; an operator takes the key away, and the
 * store acknowledges that at some later tick. An entry confirms its configuration by a read of the
 * store (entry 0), or, cut off from the store, by the other entry's answer to a ping, which carries the age of
 * that entry's confirmation (entry 1). Messages
 * may be answered and received at any later tick, or never; a process may pause between any two actions, also between
 * the check of a request and the start of its work, which another entry may do for it.
 *
 * The assertion: no request that was sent BOUND ticks or more after the acknowledgement is served.
 *
 * Variants, each of which must violate the assertion:
 *   NO_AGE          an entry serves the key however old its confirmation is
 *   ANSWER_TIME     a confirmation counts from the arrival of the answer and not from the send time of the read
 *   PING_TIME       another entry's confirmation counts from the arrival of its answer
 *   WATCH_CONFIRMS  a watch that reports nothing confirms, though the store may have dropped its history
 */

#define ENTRIES 2
#define BOUND 2
#define END 3
#define NEVER 255

byte now = 0;
/* Whether the key was taken away, and when that was acknowledged. */
bool revoked = false;
byte acknowledged = NEVER;

/* For each entry: whether it knows of the revocation, and the time of its last confirmation. */
bool informed[ENTRIES];
byte confirmed[ENTRIES];

/* A read in flight: its phase (0 none, 1 sent, 2 answered), send time and result. */
byte read_phase[ENTRIES];
byte read_sent[ENTRIES];
bool read_revoked[ENTRIES];

/* A ping to the other entry in flight: its phase, its send time, and the confirmation in the answer. */
byte ping_phase[ENTRIES];
byte ping_sent[ENTRIES];
byte ping_age[ENTRIES];

/* A request: its phase (0 none, 1 received, 2 admitted) and send time. */
byte request_phase[ENTRIES];
byte request_sent[ENTRIES];

inline confirm(entry, at) {
  if
  :: confirmed[entry] == NEVER || confirmed[entry] < at -> confirmed[entry] = at
  :: else
  fi
}

active proctype clock() {
  do
  :: atomic { now < END -> now++ }
  :: now == END -> break
  od
}

active proctype operator() {
  atomic { revoked = true }
  atomic { acknowledged = now }
}

active [ENTRIES] proctype entry() {
  /* The processes are numbered after the clock and the operator. */
  byte me = _pid - 2;
  byte other = 1 - me;
  confirmed[me] = 0;
  do
  /* A read of the store: sent, answered by the store, received. One that is lost stays unanswered. */
  :: atomic { me == 0 && read_phase[me] == 0 && now < END -> read_phase[me] = 1; read_sent[me] = now }
  :: atomic { read_phase[me] == 1 -> read_phase[me] = 2; read_revoked[me] = revoked }
  :: atomic { read_phase[me] == 2 ->
       if
       :: read_revoked[me] -> informed[me] = true
       :: else ->
#ifdef ANSWER_TIME
            confirm(me, now)
#else
            confirm(me, read_sent[me])
#endif
       fi;
       read_phase[me] = 0 }

  /* A ping to the other entry, which answers with the age of its confirmation of the same version. */
  :: atomic { me == 1 && ping_phase[me] == 0 && now < END -> ping_phase[me] = 1; ping_sent[me] = now }
  :: atomic { ping_phase[me] == 1 && !informed[other] && confirmed[other] != NEVER ->
       ping_phase[me] = 2; ping_age[me] = now - confirmed[other] }
  :: atomic { ping_phase[me] == 2 && !informed[me] ->
#ifdef PING_TIME
       confirm(me, now - ping_age[me]);
#else
       if
       :: ping_sent[me] >= ping_age[me] -> confirm(me, ping_sent[me] - ping_age[me])
       :: else
       fi;
#endif
       ping_phase[me] = 0 }

#ifdef WATCH_CONFIRMS
  :: atomic { !informed[me] -> confirm(me, now) }
#endif

  /* A request: received, admitted by the check, served after any pause by this entry or another one. */
  :: atomic { request_phase[me] == 0 && now < END -> request_phase[me] = 1; request_sent[me] = now }
  :: atomic { request_phase[me] == 1 ->
       if
#ifdef NO_AGE
       :: !informed[me]
#else
       :: !informed[me] && now - confirmed[me] < BOUND
#endif
            -> request_phase[me] = 2
       :: else -> request_phase[me] = 0
       fi }
  :: atomic { request_phase[me] == 2 ->
       assert(acknowledged == NEVER || request_sent[me] < acknowledged + BOUND);
       request_phase[me] = 0 }
  :: now == END -> break
  od
}
