//! Texts of `--help` and `--version`.

use crate::cli::VERSION;
use crate::cli::command::Topic;
use crate::cli::error::CliError;
use crate::cli::output;

/// Options common to all commands.
const COMMON_OPTIONS: &str = "  -h, --help             print this help
  -V, --version          print the version
";

/// Exit codes of all commands.
const EXIT_CODES: &str = "Exit codes:
  0  success
  1  the command could not be carried out, or a file has findings
  2  the command line is wrong
  3  the order was refused, and a resend of it will be too
  4  the order was not carried out and changed nothing; a resend may be accepted
  5  whether the order was carried out is not known; a resend under its number is safe
";

/// Options of orders.
const ORDER_OPTIONS: &str =
    "  --admin ADDRESS        admin address of an instance, such as 127.0.0.1:9901
  --operator NAME        who orders
  --operation NUMBER     operation number, the same on a resend; drawn at random and printed
                         where it is left out
";

/// Option of commands that only name an instance.
const ADMIN_OPTION: &str =
    "  --admin ADDRESS        admin address of an instance, such as 127.0.0.1:9901\n";

/// Prints the help of `topic`.
///
/// # Errors
/// Fails if standard output can't be written.
pub fn print(topic: Topic) -> Result<(), CliError> {
    output::write(&text(topic))
}

/// Prints the version.
///
/// # Errors
/// Fails if standard output can't be written.
pub fn print_version() -> Result<(), CliError> {
    output::write(&format!("hawthornkeel {VERSION}\n"))
}

/// Returns the help of `topic`.
pub fn text(topic: Topic) -> String {
    let (usage, purpose, options) = match topic {
        Topic::General => return general(),
        Topic::Check => (
            "check FILE...",
            "Checks settings and environment documents; every finding of all files is reported.",
            String::new(),
        ),
        Topic::Trial => (
            "trial [--listen ADDRESS] DOCUMENT",
            "Runs an environment document in one process with built-in targets.",
            "  --listen ADDRESS       address for callers; 127.0.0.1:8080 where it is left out\n"
                .to_owned(),
        ),
        Topic::Run => (
            "run --settings FILE",
            "Runs an instance until a signal asks it to stop.",
            "  --settings FILE        settings of the instance\n".to_owned(),
        ),
        Topic::Submit => (
            "submit --admin ADDRESS --operator NAME --expected VERSION DOCUMENT",
            "Submits an environment document; success is reported once it is stored by a quorum.",
            format!("{ORDER_OPTIONS}  --expected VERSION     version that the document replaces\n"),
        ),
        Topic::Status => (
            "status --admin ADDRESS",
            "Shows the versions in force, the data centres and the control instances as JSON.",
            ADMIN_OPTION.to_owned(),
        ),
        Topic::TakeOut => (
            "take-out --admin ADDRESS --operator NAME CENTRE",
            "Takes a data centre out of service; work that runs there finishes.",
            ORDER_OPTIONS.to_owned(),
        ),
        Topic::BringBack => (
            "bring-back --admin ADDRESS --operator NAME CENTRE",
            "Brings a data centre back into service.",
            ORDER_OPTIONS.to_owned(),
        ),
        Topic::Rollout => (
            "rollout --admin ADDRESS --duration SECONDS POOL VERSION",
            "Moves the requests to a pool to one version of its targets' software, unless it \
             proves bad.",
            format!(
                "{ADMIN_OPTION}  --duration SECONDS     time by which the rollout must have ended\n"
            ),
        ),
        Topic::RollBack => (
            "roll-back --admin ADDRESS POOL",
            "Rolls the running rollout of a pool back; its new version gets no more requests.",
            ADMIN_OPTION.to_owned(),
        ),
        Topic::Rollouts => (
            "rollouts --admin ADDRESS",
            "Shows the last rollout of each pool as JSON, with what its judgement has counted.",
            ADMIN_OPTION.to_owned(),
        ),
        Topic::Keys => (
            "keys FOLDER NAME...",
            "Makes certificates for instances, signed by the authority in the folder, which is \
             made\nif there is none.",
            String::new(),
        ),
        Topic::Explain => (
            "explain REQUEST-ID [FILE...]",
            "Tells from the logs of all processes where a request went and why it ended. Without \
             files,\nlogs are read from standard input.",
            String::new(),
        ),
    };
    format!(
        "Usage: hawthornkeel {usage}\n\n{purpose}\n\nOptions:\n{options}{COMMON_OPTIONS}\n{EXIT_CODES}"
    )
}

fn general() -> String {
    format!(
        "Usage: hawthornkeel COMMAND [OPTION]...

Serving system for multi-stage model pipelines.

Commands:
  check FILE...          check settings and environment documents
  trial DOCUMENT         run a document in one process with built-in targets
  run --settings FILE    run an instance
  submit DOCUMENT        submit an environment document
  status                 show the state of an instance
  take-out CENTRE        take a data centre out of service
  bring-back CENTRE      bring a data centre back into service
  rollout POOL VERSION   move the requests to a pool to one version
  roll-back POOL         roll the running rollout of a pool back
  rollouts               show the last rollout of each pool
  keys FOLDER NAME...    make certificates for instances
  explain REQUEST-ID     tell from logs what happened to a request

Options:
{COMMON_OPTIONS}
{EXIT_CODES}"
    )
}
