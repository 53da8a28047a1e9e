//! Numbered result codes, and the error type that reports one to a caller.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Whether the action behind a failed request took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ran {
    /// It did not run and will not run for this request.
    No,
    /// It ran.
    Yes,
    /// It was sent, and its outcome is unknown.
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
                "invalid value of `ran`: {other}"
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
            /// Every code.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The number without the `VT` prefix.
            ///
            /// ```
            /// assert_eq!(vanillatrail::code::Code::BadBody.number(), 1001);
            /// ```
            #[must_use]
            pub const fn number(self) -> u16 { match self { $(Self::$name => $number,)* } }

            /// HTTP status of responses with this code.
            ///
            /// ```
            /// assert_eq!(vanillatrail::code::Code::Overloaded.status(), 503);
            /// ```
            #[must_use]
            pub const fn status(self) -> u16 { match self { $(Self::$name => $status,)* } }

            /// One-sentence description for people.
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
    UnknownClass = 1003, 422, "The class is not configured.";
    UnknownProgram = 1004, 404, "The program does not exist or has expired.";
    UnknownService = 1005, 404, "The service or operation is not configured.";
    KeyConflict = 1006, 409, "The opening key was already used with another class or budget.";
    CallConflict = 1007, 409, "The call number was already used with another body.";
    OutOfTurn = 1008, 409, "The previous call has not been made yet.";
    ProgramEnded = 1009, 409, "The program has ended.";
    UnknownModel = 1010, 422, "No pool is configured for the model.";
    UnknownCall = 1011, 404, "The program has no such call.";
    UnknownRoute = 1012, 404, "No route matches the host and path.";
    UnknownTurn = 1013, 404, "The previous turn does not exist or has expired.";
    UnknownKey = 1014, 401, "The API key is missing or unknown.";
    RequestTooLarge = 1015, 413, "The request needs more memory than any engine has.";
    BudgetExceeded = 2001, 409, "The call could exceed the budget of the program.";
    TurnLimit = 2002, 409, "The program has reached the call limit of its class.";
    DepthLimit = 2003, 409, "The program has reached the nesting limit of its class.";
    ChildLimit = 2004, 409, "The program has reached the child limit of its class.";
    HistoryLimit = 2005, 409, "The conversation history has reached the size limit of the class.";
    TimeLimit = 2006, 409, "The program has reached the time limit of its class.";
    BudgetSpent = 2008, 402, "The token budget of the program is exhausted.";
    LimitReached = 2009, 429, "The team has reached its request limit.";
    TooManyPrograms = 2007, 429, "The VM has reached its limit of open programs.";
    Overloaded = 3001, 503, "There is not enough capacity to finish the program within its target.";
    LogUnavailable = 3002, 503, "The log cannot be reached.";
    NoOwner = 3003, 503, "No VM currently owns the shard of the program.";
    NotOwner = 3004, 503, "Another VM owns the shard of the program.";
    Stopping = 3005, 503, "The VM is stopping.";
    NoServer = 3006, 503, "No backend server is available for the call.";
    DeadlinePassed = 3007, 504, "The deadline of the request passed.";
    RingFull = 3008, 503, "A queue inside the VM is full.";
    NotReady = 3009, 503, "The VM has not caught up with the configuration.";
    HistoryGap = 3010, 503, "Records of the program are missing from the log.";
    HistoryAway = 3011, 503, "The conversation history is temporarily unavailable.";
    ServersEnded = 3012, 503, "Servers ended under the request, so it is not sent to another one for now.";
    StreamVersionLost = 3013, 503, "The stream cannot go on at the software version that began it; request it from its first event.";
    NoRoom = 3014, 503, "The VM holds as much for its callers as its memory allows.";
    EngineFailed = 4001, 502, "The model engine failed.";
    ServiceFailed = 4002, 502, "The service failed.";
    OutcomeUnknown = 4003, 502, "The call was sent and its outcome is unknown; it is not retried.";
    BadSettings = 5001, 422, "A settings file is malformed.";
    ConfigConflict = 5002, 409, "The configuration key has changed since the base offset.";
    BadConfig = 5003, 422, "A configuration value is malformed or unsafe.";
    NewerSchema = 5004, 422, "A configuration change has a newer schema than this VM supports.";
    BadPeer = 5005, 403, "A peer failed to authenticate.";
    Unreachable = 5006, 502, "A server cannot be reached.";
    Internal = 9001, 500, "Internal error of the VM.";
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "VT{:04}", self.number())
    }
}

/// Error for a text that is not a result code.
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

/// An error as reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failure {
    /// Result code.
    pub code: Code,
    /// Details for people.
    pub message: String,
    /// Whether the action took effect.
    pub ran: Ran,
    /// Delay before a retry, in milliseconds; absent if a retry does not help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Creates a failure of an action that did not run, without a retry delay.
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

    /// Sets the delay before a retry.
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

    /// Sets whether the action took effect.
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
