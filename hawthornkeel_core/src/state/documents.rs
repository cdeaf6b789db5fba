//! Environment document in force and the submissions that led to it.
//!
//! Two rules decide a race. A submission is accepted only where it names the version in force, so
//! one of two submissions that replace the same version loses. An operation number belongs to the
//! first submission that used it, whoever the operator is: the same operator with the same document
//! gets the first outcome again, and anything else is told who was first. Submissions that lost are
//! remembered too, so that a delayed copy of one is never accepted later.
//!
//! Where operators number their documents themselves, the highest number is in force and a
//! document that is not higher is accepted without effect.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::OperationNumber;
use crate::ids::Version;
use crate::names::OperatorName;
use crate::state::command::AcceptedSubmission;
use crate::state::command::Replace;
use crate::state::command::Submit;
use crate::state::command::SubmitOutcome;
use crate::state::history::History;

/// Environment document in force, with the history of submissions.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Documents {
    operator: OperatorName,
    operation: OperationNumber,
    version: Version,
    text: Arc<str>,
    hash: Arc<str>,
    history: History<Submission>,
}

/// First submission under an operation number.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Submission {
    operator: OperatorName,
    hash: Arc<str>,
    outcome: SubmitOutcome,
}

impl Submission {
    /// Returns the document that stands instead of another one under the same number.
    fn winner(&self, operation: OperationNumber) -> AcceptedSubmission {
        match &self.outcome {
            SubmitOutcome::Accepted(version) => AcceptedSubmission {
                operator: self.operator.clone(),
                operation,
                version: *version,
                hash: Arc::clone(&self.hash),
            },
            SubmitOutcome::Conflict(winner) => winner.clone(),
        }
    }
}

impl Documents {
    /// Returns the version in force; zero before the first.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the text in force.
    pub fn text(&self) -> Arc<str> {
        Arc::clone(&self.text)
    }

    /// Returns the SHA-256 of the text in force, in hexadecimal.
    pub fn hash(&self) -> Arc<str> {
        Arc::clone(&self.hash)
    }

    /// Decides a submission.
    pub fn submit(&mut self, submit: &Submit) -> SubmitOutcome {
        if let Some(first) = self.history.get(submit.operation) {
            let resent = first.operator == submit.operator && first.hash == submit.hash;
            return match resent {
                true => first.outcome.clone(),
                false => SubmitOutcome::Conflict(first.winner(submit.operation)),
            };
        }
        let outcome = self.decide(submit);
        let submission = Submission {
            operator: submit.operator.clone(),
            hash: Arc::clone(&submit.hash),
            outcome: outcome.clone(),
        };
        self.history.record(submit.operation, submission);
        outcome
    }

    /// Puts a document in force whose version is higher; tells whether it is.
    ///
    /// A lower or equal version changes nothing, whatever its content.
    pub fn replace(&mut self, replace: &Replace) -> bool {
        if replace.version <= self.version {
            return false;
        }
        self.version = replace.version;
        self.operator = OperatorName::default();
        self.operation = OperationNumber::default();
        self.text = Arc::clone(&replace.text);
        self.hash = Arc::clone(&replace.hash);
        true
    }

    fn decide(&mut self, submit: &Submit) -> SubmitOutcome {
        if submit.expected != self.version {
            return SubmitOutcome::Conflict(self.in_force());
        }
        self.version = Version(self.version.0.saturating_add(1));
        self.operator = submit.operator.clone();
        self.operation = submit.operation;
        self.text = Arc::clone(&submit.text);
        self.hash = Arc::clone(&submit.hash);
        SubmitOutcome::Accepted(self.version)
    }

    fn in_force(&self) -> AcceptedSubmission {
        AcceptedSubmission {
            operator: self.operator.clone(),
            operation: self.operation,
            version: self.version,
            hash: Arc::clone(&self.hash),
        }
    }
}
