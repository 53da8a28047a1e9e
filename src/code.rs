//! Numbered result codes, and the failure that carries one to a caller.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Whether the action behind a failed request took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ran {
    /// It did not run and never will under this request.
    No,
    /// It ran.
    Yes,
    /// It was sent and its result is not known.
    Unknown,
}

impl Serialize for Ran {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::No => serializer.serialize_bool(false),
            Self::Yes => serializer.serialize_bool(true),
            Self::Unknown => serializer.serialize_str("unknown"),
        }
    }
}

impl<'de> Deserialize<'de> for Ran {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match serde_json::Value::deserialize(deserializer)? {
            serde_json::Value::Bool(false) => Ok(Self::No),
            serde_json::Value::Bool(true) => Ok(Self::Yes),
            serde_json::Value::String(text) if text == "unknown" => Ok(Self::Unknown),
            other => Err(serde::de::Error::custom(format!(
                "not a run state: {other}"
            ))),
        }
    }
}

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $meaning:literal;)*) => {
        /// A numbered result code, written `VT` and four digits.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Code { $(#[doc = $meaning] $name,)* }

        impl Code {
            /// Every code, in the order of its number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The four-digit number.
            ///
            /// ```
            /// assert_eq!(vanillatrail::code::Code::BadBody.number(), 1001);
            /// ```
            #[must_use]
            pub const fn number(self) -> u16 { match self { $(Self::$name => $number,)* } }

            /// The HTTP status that goes with the code.
            ///
            /// ```
            /// assert_eq!(vanillatrail::code::Code::Overloaded.status(), 503);
            /// ```
            #[must_use]
            pub const fn status(self) -> u16 { match self { $(Self::$name => $status,)* } }

            /// What the code means, in one sentence.
            ///
            /// ```
            /// assert!(vanillatrail::code::Code::BadBody.meaning().ends_with('.'));
            /// ```
            #[must_use]
            pub const fn meaning(self) -> &'static str { match self { $(Self::$name => $meaning,)* } }
        }
    };
}

codes! {
    BadBody = 1001, 400, "The request body or a parameter is malformed.";
    TooLarge = 1002, 413, "The request body is larger than the limit.";
    UnknownClass = 1003, 422, "The configuration has no such class.";
    UnknownProgram = 1004, 404, "There is no such program, or it is no longer kept.";
    UnknownService = 1005, 404, "The configuration has no such service or operation.";
    KeyConflict = 1006, 409, "The opening key is in use with another class or budget.";
    CallConflict = 1007, 409, "The call number is in use with another body.";
    OutOfTurn = 1008, 409, "The call before this one has not been made.";
    ProgramEnded = 1009, 409, "The program has ended.";
    UnknownModel = 1010, 422, "The configuration has no pool for the model.";
    UnknownCall = 1011, 404, "The program has no such call.";
    UnknownRoute = 1012, 404, "No route leads to the host and path.";
    UnknownTurn = 1013, 404, "There is no such turn to go on from, or it is no longer kept.";
    UnknownKey = 1014, 401, "The request has no key, or no team holds it.";
    BudgetExceeded = 2001, 409, "The call could pass the budget of the program.";
    TurnLimit = 2002, 409, "The program has made as many calls as its class allows.";
    DepthLimit = 2003, 409, "The program is nested as deep as its class allows.";
    ChildLimit = 2004, 409, "The program has spawned as many children as its class allows.";
    HistoryLimit = 2005, 409, "The history is as large as the class allows.";
    TimeLimit = 2006, 409, "The program has run as long as its class allows.";
    BudgetSpent = 2008, 402, "The token budget of the program is spent.";
    LimitReached = 2009, 429, "The team has used up its limit of requests.";
    TooManyPrograms = 2007, 429, "The VM holds as many open programs as it may.";
    Overloaded = 3001, 503, "There is no capacity to finish the program in its target.";
    LogUnavailable = 3002, 503, "The log cannot be reached.";
    NoOwner = 3003, 503, "No VM owns the shard of the program now.";
    NotOwner = 3004, 503, "Another VM owns the shard of the program.";
    Stopping = 3005, 503, "The VM is stopping.";
    NoServer = 3006, 503, "No backend server can take the call now.";
    DeadlinePassed = 3007, 504, "The deadline of the request passed.";
    RingFull = 3008, 503, "A queue inside the VM is full.";
    NotReady = 3009, 503, "The VM has not caught up with the configuration.";
    HistoryGap = 3010, 503, "Records of the program are missing from the log.";
    HistoryAway = 3011, 503, "What was said before in the conversation can't be read now.";
    EngineFailed = 4001, 502, "The model engine failed.";
    ServiceFailed = 4002, 502, "The service failed.";
    OutcomeUnknown = 4003, 502, "The call was sent and its outcome is not known; it is not sent again.";
    BadSettings = 5001, 422, "A settings file is malformed.";
    ConfigConflict = 5002, 409, "The configuration key has changed since the base offset.";
    BadConfig = 5003, 422, "A configuration value is malformed or unsafe.";
    NewerSchema = 5004, 422, "A configuration record has a newer schema than this VM knows.";
    BadPeer = 5005, 403, "A peer did not prove itself with the key.";
    Unreachable = 5006, 502, "An address does not answer.";
    Internal = 9001, 500, "A fault inside the VM.";
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "VT{:04}", self.number())
    }
}

/// The text is not a known code.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unknown(String);

impl fmt::Display for Unknown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unknown code: {}", self.0)
    }
}

impl std::error::Error for Unknown {}

impl FromStr for Code {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.to_string() == text)
            .ok_or_else(|| Unknown(text.to_owned()))
    }
}

impl Serialize for Code {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Code {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?
            .parse()
            .map_err(serde::de::Error::custom)
    }
}

/// A refusal or fault as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failure {
    /// The numbered code.
    pub code: Code,
    /// One sentence for a person.
    pub message: String,
    /// Whether the action took effect.
    pub ran: Ran,
    /// When to come back, in milliseconds; absent when coming back is of no use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// A refusal of something that did not run.
    ///
    /// ```
    /// use vanillatrail::code::{Code, Failure, Ran};
    /// let failure = Failure::refused(Code::UnknownClass, "no class `quick`");
    /// assert_eq!(failure.ran, Ran::No);
    /// ```
    #[must_use]
    pub fn refused(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            ran: Ran::No,
            retry_after_ms: None,
        }
    }

    /// The same failure with a time to come back.
    ///
    /// ```
    /// use std::time::Duration;
    /// use vanillatrail::code::{Code, Failure};
    /// let failure = Failure::refused(Code::Overloaded, "full").retry_after(Duration::from_secs(2));
    /// assert_eq!(failure.retry_after_ms, Some(2000));
    /// ```
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// The same failure with another run state.
    ///
    /// ```
    /// use vanillatrail::code::{Code, Failure, Ran};
    /// let failure = Failure::refused(Code::EngineFailed, "cut").ran(Ran::Yes);
    /// assert_eq!(failure.ran, Ran::Yes);
    /// ```
    #[must_use]
    pub fn ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.message)
    }
}

impl std::error::Error for Failure {}
