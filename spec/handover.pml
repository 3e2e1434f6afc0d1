/*
 * Handover of leases: a lead that never hears of a worker may start the worker's task elsewhere once all leases
 * that it or earlier leads have granted there have lapsed.
 *
 * Time passes in ticks. Lead 0 has started the task on the worker. Leads 1 and 2 claim one after the other, at any
 * time. A lead that was replaced may go on for GRACE ticks, since it does not know. Renewals carry the end of the
 * lease, and arrive at any later tick, or never; the worker refuses those of earlier leads once it has heard a later
 * one. A new lead waits for the longest lease that earlier leads may have granted, and asks the lead that its claim
 * has replaced what remains; the answer arrives at any later tick, or never. Only the newest lead starts tasks, since
 * each start needs a record in the store.
 *
 * The assertion: the task does not run on the worker when it starts elsewhere.
 *
 * Variants, each of which must violate the assertion:
 *   GOES_ON       a lead goes on after it has answered
 *   ASK_TIME      what remains counts from the time of the question and not from the arrival of the answer
 *   OWN_LEASES    the answer leaves out the leases of earlier leads
 *   ALL_LEASES    the answer shortens the wait for the new lead's own leases as well
 *   OTHER_CLAIM   a lead asks another one than the lead that its claim has replaced
 *   LATE          a lead that was replaced goes on for two ticks more
 */

#define LEADS 3
#define LEASE 2
#define GRACE 1
#define END 5

byte now = 0;

/* The worker: whether the task runs there, the end of its lease, and the latest lead that it has heard. */
bool runs = true;
byte lease_end = LEASE;
byte heard = 0;

/* Whether the task was started elsewhere. */
bool elsewhere = false;

/* The number of leads that have claimed, and the time of each claim. */
byte claims = 1;
byte claimed[LEADS];
/* Whether a lead has ended its term. */
bool over[LEADS];
/* The ticks at which a lead's own leases and those of earlier leads have lapsed, as the lead knows. */
byte own[LEADS] = LEASE;
byte inherited[LEADS];

/* A renewal in flight; zero if there is none. */
byte renewal[LEADS];

/* A question to the earlier lead: its phase (0 none, 1 sent, 2 answered, 3 over), send time and answer. */
byte question[LEADS];
byte asked[LEADS];
byte remaining[LEADS];

#ifdef OTHER_CLAIM
#define EARLIER 0
#else
#define EARLIER (me - 1)
#endif

#ifdef LATE
#define SILENT (GRACE + 2)
#else
#define SILENT GRACE
#endif

/* Whether a lead may act: it has claimed, has not ended its term, and was not replaced for too long. */
#define ACTS(lead) (claims > lead && !over[lead] && (claims == lead + 1 || now < claimed[lead + 1] + SILENT))

active proctype clock() {
  do
  :: atomic { now < END -> now++;
       if
       :: now >= lease_end -> runs = false
       :: else
       fi }
  :: now == END -> break
  od
}

active [LEADS] proctype lead() {
  /* The processes are numbered after the clock. */
  byte me = _pid - 1;
  do
  :: atomic { claims == me && now < END ->
       claims++; claimed[me] = now; own[me] = 0; inherited[me] = now + GRACE + LEASE }

  /* Renews the lease; the renewal arrives later, or is lost. */
  :: atomic { ACTS(me) && renewal[me] == 0 && now < END ->
       renewal[me] = now + LEASE;
       own[me] = now + LEASE }
  :: atomic { renewal[me] != 0 ->
       if
       :: heard <= me ->
            heard = me;
            if
            :: runs && lease_end < renewal[me] -> lease_end = renewal[me]
            :: else
            fi
       :: else
       fi;
       renewal[me] = 0 }
  :: atomic { renewal[me] != 0 -> renewal[me] = 0 }

  /* Asks the earlier lead, which ends its term and answers. */
  :: atomic { me > 0 && ACTS(me) && question[me] == 0 ->
       question[me] = 1;
#ifdef ASK_TIME
       asked[me] = now;
#endif
       skip }
  :: atomic { me > 0 && question[me] == 1 ->
       question[me] = 2;
#ifndef GOES_ON
       over[EARLIER] = true;
#endif
       remaining[me] = 0;
       if
       :: own[EARLIER] > now -> remaining[me] = own[EARLIER] - now
       :: else
       fi;
#ifndef OWN_LEASES
       if
       :: inherited[EARLIER] > now + remaining[me] -> remaining[me] = inherited[EARLIER] - now
       :: else
       fi;
#endif
       skip }
  :: atomic { me > 0 && question[me] == 2 && ACTS(me) ->
       question[me] = 3;
#ifdef ASK_TIME
#define SINCE asked[me]
#else
#define SINCE now
#endif
#ifdef ALL_LEASES
       if
       :: SINCE + remaining[me] < own[me] -> own[me] = SINCE + remaining[me]
       :: else
       fi;
#endif
       if
       :: SINCE + remaining[me] < inherited[me] -> inherited[me] = SINCE + remaining[me]
       :: else
       fi;
       remaining[me] = 0 }

  /* Starts the task elsewhere, once all leases have lapsed. */
  :: atomic { ACTS(me) && claims == me + 1 && !elsewhere && now >= own[me] && now >= inherited[me] ->
       elsewhere = true;
       assert(!runs) }

  :: now == END -> break
  od
}
