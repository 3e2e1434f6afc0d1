//! The numbered result codes, which are stable across versions; `docs/RESULTS.md` lists them.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! codes {
    ($($number:literal $code:ident $text:literal;)+) => {
        /// `Code` is the numbered result of a call.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $text] $code = $number,)+
        }

        impl Code {
            /// All codes, ascending by number.
            pub const ALL: &'static [Self] = &[$(Self::$code,)+];

            /// Returns the code's name.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$code => stringify!($code),)+ }
            }

            /// Returns a description of the code.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$code => $text,)+ }
            }
        }
    };
}

codes! {
    0 Done "the call did what it was asked to";
    100 BadSyntax "the text is not well formed; the message names line and column";
    101 UnknownField "a field is not known; the message names it";
    102 BadValue "a value is out of its bounds; the message names the field";
    103 Duplicate "a name is used twice; the message names it";
    104 TooLarge "the text or body is larger than the limit";
    105 UnknownName "a name that is referred to does not exist";
    106 BadRequest "the HTTP request or inner frame is malformed";
    200 Stale "the plan rests on a configuration that has changed; a new plan is needed";
    201 UnknownPlan "no such plan is held here, or it has expired";
    202 NeverFits "a part of the intent can never run; the message names why";
    203 NotAccepted "nothing was accepted, since the store does not answer; try again later";
    204 AcceptUnknown "the store's answer was lost and could not be read back; look at status first";
    205 OverQuota "the team's quota does not hold this";
    206 UnknownTask "no such job or task is known";
    207 ConfigOld "the failure domain is cut off and its configuration may be old";
    208 NotLead "this entry does not lead the shard; another one does";
    209 NoLead "the shard has no lead now; try again later";
    210 NeedsConfirm "the plan displaces running tasks, so it has to be confirmed by itself";
    211 NoChange "it is as asked already; nothing was changed";
    300 NotRunQueueFull "not run: the team's queue is full";
    301 NotRunTooLate "not run: the wait would pass the deadline";
    302 NotRunNoEndpoint "not run: no endpoint of the service can take work";
    303 NotRunShed "not run: the class is shed under overload";
    304 NotRunDraining "not run: the entry is draining; ask another one";
    305 NotRunRefused "not run: the endpoint refused the request unread";
    306 NotRunUnknownService "not run: no such service is configured";
    309 NotRunCallerGone "not run: the caller closed its connection while the request was queued";
    310 NotRunBudget "no retry: the retry budget is used up";
    400 UnknownEndpointLost "unknown: the endpoint was lost after the request had left";
    401 UnknownTimeout "unknown: the deadline passed after the request had left";
    402 UnknownAnswerCut "unknown: the endpoint's answer was cut short";
    403 UnknownEarlierAttempt "unknown: an earlier attempt of this request id may have run";
    404 UnknownOwnerLost "unknown: the record of earlier attempts was lost";
    500 TaskFailed "the task ended with an error more often than its limit";
    501 TaskCancelled "the job was cancelled";
    502 TaskMaybeStarted "the non-idempotent task may have been started once; it is not started again";
    600 StoreAway "the store does not answer";
    601 StoreOverloaded "the store refused the call, since its rate is used up";
    602 WorkerAway "the worker does not answer";
    603 Fenced "the worker refused the epoch: another lead has claimed it";
    604 WorkerFull "the worker refused the start, since its size would be passed";
    605 PeerAway "the other entry does not answer";
    606 Version "the other process speaks another version of the inner protocol";
    700 PromiseBroken "a promise was broken in this run; the message names it";
    701 Internal "a fault of marigoldpick itself; please report it";
}

impl Code {
    /// Returns the code's number.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with `number`, if there is one.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL
            .binary_search_by_key(&number, |c| c.number())
            .ok()
            .map(|at| Self::ALL[at])
    }

    /// Returns whether the code guarantees that a request did not run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        self.number() / 100 == 3
    }

    /// Returns whether the code leaves open if a request ran.
    #[must_use]
    pub const fn is_unknown(self) -> bool {
        self.number() / 100 == 4
    }

    /// Returns the exit status of a program that ends with this result.
    ///
    /// It is the code's hundreds digit plus one, or zero for `Done`.
    #[must_use]
    pub const fn exit_status(self) -> i32 {
        match self {
            Self::Done => 0,
            _ => (self.number() / 100) as i32 + 1,
        }
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.number(), self.name(), self.text())
    }
}

impl Serialize for Code {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u16(self.number())
    }
}

impl<'de> Deserialize<'de> for Code {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let number = u16::deserialize(deserializer)?;
        Self::from_number(number)
            .ok_or_else(|| serde::de::Error::custom(format!("no result code {number}")))
    }
}
