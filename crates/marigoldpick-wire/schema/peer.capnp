# The calls between entries. Large values are JSON texts of the same form as in the store.
#
# Most structs mirror types of the modules `control`, `operator`, `peer` and `work` of
# marigoldpick-core, which document the fields.
@0x90661978b980353c;

using Json = Data;
using Code = UInt16;
using Millis = UInt64;

# The bootstrap interface of a connection. A peer of another version gets no session.
interface Peer {
  open @0 (version :UInt32, entry :Text, domain :Text) -> (version :UInt32, session :Session);
}

# Calls between control threads, between traffic threads and about jobs of steps. The answer is set
# only if the code is zero.
interface Session {
  control @0 (call :ControlCall) -> (code :Code, answer :ControlAnswer);
  traffic @1 (call :TrafficCall) -> (code :Code, answer :TrafficAnswer);
  jobs @2 (call :JobsCall) -> (code :Code, answer :JobsAnswer);
}

struct Epoch {
  tenure @0 :UInt64;
  interim @1 :UInt64;
  lead @2 :UInt64;
}

struct Known {
  entry @0 :Text;
  domain @1 :Text;
  address @2 :Text;
}

struct Led {
  epoch @0 :Epoch;
  shard @1 :Text;
  lead @2 :Text;  # Empty if the lead is unknown.
  workers @3 :UInt32;
  silent @4 :UInt32;
  running @5 :UInt32;
  waiting @6 :UInt32;
  unrecorded @7 :UInt32;
  endpoints @8 :UInt64;
}

struct Beat {
  known @0 :Known;
  incarnation @1 :UInt64;
  age @2 :Millis;
  draining @3 :Bool;
  sequence @4 :UInt64;
  storeAge @5 :Millis;
  led @6 :List(Led);
  others @7 :List(Known);
}

struct ControlCall {
  union {
    beat @0 :Beat;
    entries @1 :UInt64;
    push @2 :List(Json);
    survey :group {
      shard @3 :Text;
      jobs @4 :Json;
    }
    plan @5 :Text;
    explain @6 :Text;
    progress @7 :Void;
    endpoints @8 :Text;
  }
}

struct ControlAnswer {
  union {
    beat @0 :Beat;
    entries @1 :List(Json);
    state @2 :Json;
    sequence @3 :UInt64;
    offers @4 :Text;
    plan @5 :Json;  # Empty if the entry does not hold the plan.
    explain @6 :Explain;
    progress @7 :List(ShardProgress);
    endpoints :group {
      epoch @8 :Epoch;
      version @9 :UInt64;
      endpoints @10 :List(Endpoint);
    }
  }
}

struct Explain {
  task @0 :Text;
  state @1 :Text;
  worker @2 :Text;  # Empty if the task does not run.
  reasons @3 :List(Text);
}

struct ShardProgress {
  shard @0 :Text;
  epoch @1 :Epoch;
  jobs @2 :List(Progress);
}

struct Progress {
  job @0 :Text;
  count @1 :UInt32;
  running @2 :UInt32;
  waiting @3 :UInt32;
  completed @4 :UInt32;
  failed @5 :UInt32;
  cancelled @6 :Bool;
}

struct Endpoint {
  id @0 :Text;
  service @1 :Text;
  worker @2 :Text;
  address @3 :Text;
  leaving @4 :Bool;
}

struct TrafficCall {
  union {
    demand @0 :Demand;
    once @1 :Once;
    forward @2 :Forward;
  }
}

struct TrafficAnswer {
  union {
    grant @0 :Grant;
    record @1 :Record;
    forward @2 :Forwarded;
    refused @3 :Code;
  }
}

struct Demand {
  entry @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  whole @3 :Bool;
  wants @4 :List(Want);
}

struct Want {
  endpoint @0 :Text;
  held @1 :UInt32;
  used @2 :UInt32;
  want @3 :UInt32;
  cover @4 :Millis;
}

struct Grant {
  resend @0 :Bool;
  span @1 :Millis;
  leases @2 :List(Lease);
}

struct Lease {
  endpoint @0 :Text;
  slots @1 :UInt32;
}

struct Once {
  request @0 :Text;
  attempt @1 :UInt32;
  entry @2 :Text;
  token @3 :UInt64;
  union {
    register @4 :Millis;
    close @5 :Void;
    settle @6 :Outcome;
  }
}

struct Outcome {
  union {
    notRun @0 :Void;
    unknown @1 :Code;
    done :group {
      status @2 :UInt16;
      body @3 :Data;
      kept @4 :Bool;  # Whether the owner kept the body.
    }
  }
}

struct Record {
  age @0 :Millis;
  union {
    never @1 :Void;
    yours @2 :Void;
    taken @3 :Void;
    ended @4 :Outcome;
    full @5 :Void;
  }
}

enum Class {
  urgent @0;
  normal @1;
  low @2;
}

struct Forward {
  request @0 :Text;
  attempt @1 :UInt32;
  service @2 :Text;
  team @3 :Text;
  class @4 :Class;
  idempotent @5 :Bool;
  deadline @6 :Millis;
  body @7 :Data;
}

struct Forwarded {
  code @0 :Code;
  status @1 :UInt16;
  content @2 :Text;
  body @3 :Data;
  retry @4 :Millis;  # The maximum value if no retry is advised.
}

# A call about jobs of steps.
struct JobsCall {
  union {
    advise :group {
      job @0 :Text;
      occurrence @1 :UInt32;
      step @2 :UInt32;
      workers @3 :List(Text);
      limit @4 :Millis;
    }
    phase @5 :Text;
    waiting @6 :Text;
    submit :group {
      job @7 :Text;
      spec @8 :Json;
    }
    cancel @9 :Text;
    ping @10 :Void;
    succeed @11 :Void;
    relay @12 :Json;
    yield @15 :Text;
    load @16 :Void;
    explain @17 :Json;
  }
  team @13 :Text;  # Of the caller's key; empty if there is none.
  openQueue @14 :Text;  # The queue of the caller's route; empty if the route needs a key.
}

struct JobsAnswer {
  union {
    advice :group {
      good @0 :List(Ticket);
      valid @1 :Millis;
    }
    phase @2 :JobPhase;
    waiting @3 :UInt64;
    receipt @4 :JobReceipt;
    pong :group {
      term @5 :UInt64;  # Zero if the entry does not lead.
      store @6 :Bool;
      config @9 :UInt64;  # Zero if the entry has no configuration.
      configAge @10 :Millis;
      steady @12 :Millis;  # How long the entry has run and reached the store without a break.
    }
    busy @7 :Void;
    relayed @8 :Json;
    leases @11 :Json;  # Empty if the last term of the entry was not under the claim in the call.
    load @13 :Json;
    rejected @14 :Millis;  # Also answers a submission: the delay after which it may be repeated.
    placement @15 :Json;  # Empty if the lead does not know the job's queue.
  }
}

struct Ticket {
  worker @0 :Text;
  ticket @1 :Text;
}

enum JobPhase {
  unknown @0;
  queued @1;
  running @2;
  completed @3;
  failed @4;
  cancelled @5;
}

enum JobReceipt {
  stored @0;
  absent @1;
  refused @2;
  unknown @3;
  taken @4;
}
