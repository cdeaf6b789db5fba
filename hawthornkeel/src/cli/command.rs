//! Commands and their options.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hawthornkeel_core::ids::OperationNumber;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::OperatorName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::SoftwareVersion;

/// Command of the command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Checks settings and environment documents.
    Check(CheckOptions),
    /// Runs a document in one process with built-in targets.
    Trial(TrialOptions),
    /// Runs an instance.
    Run(RunOptions),
    /// Submits an environment document.
    Submit(SubmitOptions),
    /// Shows the state of an instance.
    Status(StatusOptions),
    /// Takes a data centre out of service.
    TakeOut(CentreOptions),
    /// Brings a data centre back into service.
    BringBack(CentreOptions),
    /// Begins a rollout.
    Rollout(RolloutOptions),
    /// Rolls a rollout back.
    RollBack(RollBackOptions),
    /// Shows the rollouts.
    Rollouts(StatusOptions),
    /// Creates certificates for instances.
    Keys(KeysOptions),
    /// Tells from logs what happened to a request.
    Explain(ExplainOptions),
    /// Prints the help of a topic.
    Help(Topic),
    /// Prints the version.
    Version,
}

/// Help topic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// The command line as a whole.
    General,
    /// `check`.
    Check,
    /// `trial`.
    Trial,
    /// `run`.
    Run,
    /// `submit`.
    Submit,
    /// `status`.
    Status,
    /// `take-out`.
    TakeOut,
    /// `bring-back`.
    BringBack,
    /// `rollout`.
    Rollout,
    /// `roll-back`.
    RollBack,
    /// `rollouts`.
    Rollouts,
    /// `keys`.
    Keys,
    /// `explain`.
    Explain,
}

impl Topic {
    /// Topics of all commands.
    pub const COMMANDS: [Self; 12] = [
        Self::Check,
        Self::Trial,
        Self::Run,
        Self::Submit,
        Self::Status,
        Self::TakeOut,
        Self::BringBack,
        Self::Rollout,
        Self::RollBack,
        Self::Rollouts,
        Self::Keys,
        Self::Explain,
    ];

    /// Returns the name of the command.
    pub fn name(self) -> &'static str {
        match self {
            Self::General => "hawthornkeel",
            Self::Check => "check",
            Self::Trial => "trial",
            Self::Run => "run",
            Self::Submit => "submit",
            Self::Status => "status",
            Self::TakeOut => "take-out",
            Self::BringBack => "bring-back",
            Self::Rollout => "rollout",
            Self::RollBack => "roll-back",
            Self::Rollouts => "rollouts",
            Self::Keys => "keys",
            Self::Explain => "explain",
        }
    }
}

/// Options of `check`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CheckOptions {
    /// Files to check.
    pub files: Vec<PathBuf>,
}

/// Options of `trial`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrialOptions {
    /// Path of the environment document.
    pub document: PathBuf,
    /// Address to listen on.
    pub listen: SocketAddr,
}

/// Options of `run`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunOptions {
    /// Path of the settings file.
    pub settings: PathBuf,
}

/// Options of `submit`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SubmitOptions {
    /// Path of the environment document.
    pub document: PathBuf,
    /// Version that the document replaces.
    pub expected: Version,
    /// Options of the order.
    pub order: OrderOptions,
}

/// Options of `take-out` and `bring-back`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CentreOptions {
    /// Data centre.
    pub centre: CentreName,
    /// Options of the order.
    pub order: OrderOptions,
}

/// Options common to all orders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderOptions {
    /// Admin address of an instance.
    pub admin: SocketAddr,
    /// Operator who gives the order.
    pub operator: OperatorName,
    /// Operation number; random if none is given.
    pub operation: OperationNumber,
}

/// Options of `rollout`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutOptions {
    /// Admin address of an instance.
    pub admin: SocketAddr,
    /// Pool.
    pub pool: PoolName,
    /// Version that is to get all of the traffic.
    pub version: SoftwareVersion,
    /// Time by which the rollout must have ended.
    pub duration: Duration,
}

/// Options of `roll-back`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RollBackOptions {
    /// Admin address of an instance.
    pub admin: SocketAddr,
    /// Pool.
    pub pool: PoolName,
}

/// Options of `status` and `rollouts`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatusOptions {
    /// Admin address of an instance.
    pub admin: SocketAddr,
}

/// Options of `keys`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeysOptions {
    /// Folder for the certificate authority and the certificates.
    pub folder: PathBuf,
    /// Instances to create certificates for.
    pub names: Vec<InstanceName>,
}

/// Options of `explain`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ExplainOptions {
    /// Identity of the request.
    pub request: String,
    /// Log files; standard input if there are none.
    pub files: Vec<PathBuf>,
}
