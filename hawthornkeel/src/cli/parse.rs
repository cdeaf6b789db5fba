//! Parser for the command line.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hawthornkeel_config::schema;
use hawthornkeel_core::ids::OperationNumber;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::OperatorName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::SoftwareVersion;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use crate::cli::command::CentreOptions;
use crate::cli::command::CheckOptions;
use crate::cli::command::Command;
use crate::cli::command::ExplainOptions;
use crate::cli::command::KeysOptions;
use crate::cli::command::OrderOptions;
use crate::cli::command::RollBackOptions;
use crate::cli::command::RolloutOptions;
use crate::cli::command::RunOptions;
use crate::cli::command::StatusOptions;
use crate::cli::command::SubmitOptions;
use crate::cli::command::Topic;
use crate::cli::command::TrialOptions;
use crate::cli::error::CliError;

/// Default listen address of `trial`.
const TRIAL_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8080);

/// Bits of a random operation number; JSON readers that use doubles represent it exactly.
const RANDOM_OPERATION_BITS: u32 = 48;

/// Parsed arguments, before they are checked against the command.
#[derive(Debug, Default)]
struct Arguments {
    values: Vec<OsString>,
    admin: Option<SocketAddr>,
    duration: Option<f64>,
    expected: Option<u64>,
    listen: Option<SocketAddr>,
    operation: Option<u64>,
    operator: Option<String>,
    settings: Option<PathBuf>,
}

/// Parses `args`, which do not include the program's name.
///
/// # Errors
/// Fails if the command line is invalid.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, CliError> {
    let mut parser = Parser::from_args(args);
    let topic = match parser.next()? {
        None => return Err(CliError::Usage("no command".to_owned())),
        Some(Arg::Long("help") | Arg::Short('h')) => return Ok(Command::Help(Topic::General)),
        Some(Arg::Long("version") | Arg::Short('V')) => return Ok(Command::Version),
        Some(Arg::Value(name)) => topic(&name)?,
        Some(other) => return Err(other.unexpected().into()),
    };
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help(topic)),
            Arg::Long("version") | Arg::Short('V') => return Ok(Command::Version),
            Arg::Value(value) => arguments.values.push(value),
            Arg::Long(name) if accepts(topic, name) => {
                let name = name.to_owned();
                let value = parser.value()?;
                arguments.set(&name, value)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    arguments.into_command(topic)
}

fn topic(name: &OsString) -> Result<Topic, CliError> {
    let found = Topic::COMMANDS.into_iter().find(|t| name == t.name());
    found.ok_or_else(|| CliError::Usage(format!("unknown command: {name:?}")))
}

/// Returns whether a command accepts the option `name`.
fn accepts(topic: Topic, name: &str) -> bool {
    match topic {
        Topic::General | Topic::Check | Topic::Keys | Topic::Explain => false,
        Topic::Trial => name == "listen",
        Topic::Run => name == "settings",
        Topic::Status | Topic::RollBack | Topic::Rollouts => name == "admin",
        Topic::Rollout => matches!(name, "admin" | "duration"),
        Topic::Submit => matches!(name, "admin" | "operator" | "operation" | "expected"),
        Topic::TakeOut | Topic::BringBack => matches!(name, "admin" | "operator" | "operation"),
    }
}

impl Arguments {
    fn set(&mut self, name: &str, value: OsString) -> Result<(), CliError> {
        match name {
            "admin" => self.admin = Some(value.parse()?),
            "duration" => self.duration = Some(value.parse()?),
            "expected" => self.expected = Some(value.parse()?),
            "listen" => self.listen = Some(value.parse()?),
            "operation" => self.operation = Some(value.parse()?),
            "operator" => self.operator = Some(value.string()?),
            _ => self.settings = Some(PathBuf::from(value)),
        }
        Ok(())
    }

    fn into_command(mut self, topic: Topic) -> Result<Command, CliError> {
        let command = match topic {
            Topic::General => Command::Help(topic),
            Topic::Check => Command::Check(CheckOptions { files: self.files()? }),
            Topic::Trial => Command::Trial(TrialOptions {
                document: PathBuf::from(self.value("a document")?),
                listen: self.listen.unwrap_or(TRIAL_ADDRESS),
            }),
            Topic::Run => Command::Run(RunOptions {
                settings: self.settings.take().ok_or_else(|| missing("--settings"))?,
            }),
            Topic::Submit => Command::Submit(SubmitOptions {
                document: PathBuf::from(self.value("a document")?),
                expected: Version(self.expected.ok_or_else(|| missing("--expected"))?),
                order: self.order()?,
            }),
            Topic::Status => Command::Status(StatusOptions { admin: self.admin()? }),
            Topic::TakeOut => Command::TakeOut(self.centre()?),
            Topic::BringBack => Command::BringBack(self.centre()?),
            Topic::Rollout => Command::Rollout(self.rollout()?),
            Topic::RollBack => {
                Command::RollBack(RollBackOptions { pool: self.pool()?, admin: self.admin()? })
            }
            Topic::Rollouts => Command::Rollouts(StatusOptions { admin: self.admin()? }),
            Topic::Keys => Command::Keys(self.keys()?),
            Topic::Explain => Command::Explain(ExplainOptions {
                request: self.value("the identity of a request")?.string()?,
                files: self.values.drain(..).map(PathBuf::from).collect(),
            }),
        };
        match self.values.first() {
            Some(extra) => Err(CliError::Usage(format!("one argument too many: {extra:?}"))),
            None => Ok(command),
        }
    }

    /// Takes the next positional argument.
    fn value(&mut self, what: &str) -> Result<OsString, CliError> {
        if self.values.is_empty() { Err(missing(what)) } else { Ok(self.values.remove(0)) }
    }

    fn files(&mut self) -> Result<Vec<PathBuf>, CliError> {
        let first = PathBuf::from(self.value("a file")?);
        Ok(std::iter::once(first).chain(self.values.drain(..).map(PathBuf::from)).collect())
    }

    fn admin(&self) -> Result<SocketAddr, CliError> {
        self.admin.ok_or_else(|| missing("--admin"))
    }

    fn order(&mut self) -> Result<OrderOptions, CliError> {
        let operator = self.operator.take().ok_or_else(|| missing("--operator"))?;
        let operator = validate_name(&operator, "an operator", schema::is_name)?;
        let operation =
            self.operation.unwrap_or_else(|| rand::random::<u64>() >> (64 - RANDOM_OPERATION_BITS));
        Ok(OrderOptions {
            admin: self.admin()?,
            operator: OperatorName::new(operator),
            operation: OperationNumber(operation),
        })
    }

    fn centre(&mut self) -> Result<CentreOptions, CliError> {
        let name = self.value("a data centre")?.string()?;
        let name = validate_name(&name, "a data centre", schema::is_name)?;
        Ok(CentreOptions { centre: CentreName::new(name), order: self.order()? })
    }

    fn pool(&mut self) -> Result<PoolName, CliError> {
        Ok(PoolName::new(&self.value("a pool")?.string()?))
    }

    fn rollout(&mut self) -> Result<RolloutOptions, CliError> {
        let pool = self.pool()?;
        let version = SoftwareVersion::new(&self.value("a version")?.string()?);
        let seconds = self.duration.ok_or_else(|| missing("--duration"))?;
        let duration = Duration::try_from_secs_f64(seconds)
            .map_err(|error| CliError::Usage(format!("invalid --duration: {error}")))?;
        Ok(RolloutOptions { admin: self.admin()?, pool, version, duration })
    }

    fn keys(&mut self) -> Result<KeysOptions, CliError> {
        let folder = PathBuf::from(self.value("a folder")?);
        let mut names = vec![self.instance()?];
        while !self.values.is_empty() {
            names.push(self.instance()?);
        }
        Ok(KeysOptions { folder, names })
    }

    fn instance(&mut self) -> Result<InstanceName, CliError> {
        let name = self.value("the name of an instance")?.string()?;
        let name = validate_name(&name, "an instance", schema::is_host_name)?;
        Ok(InstanceName::new(name))
    }
}

fn missing(what: &str) -> CliError {
    CliError::Usage(format!("missing: {what}"))
}

fn validate_name<'n>(
    name: &'n str,
    what: &str,
    is_valid: fn(&str) -> bool,
) -> Result<&'n str, CliError> {
    if is_valid(name) {
        Ok(name)
    } else {
        Err(CliError::Usage(format!("invalid name of {what}: {name:?}")))
    }
}
