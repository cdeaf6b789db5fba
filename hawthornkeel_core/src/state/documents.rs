//! Current environment document and the history of submissions.
//!
//! Two rules resolve races. A submission is accepted only if it names the current version, so only
//! one of two submissions that replace the same version is accepted. An operation number belongs to
//! the first submission that used it, whichever operator that was: a retry by the same operator with
//! the same document returns the first outcome again, and any other submission gets a conflict that
//! names the first. Rejected submissions are recorded too, so that a delayed duplicate of one is
//! never accepted later.
//!
//! Where operators number their documents themselves, the document with the highest number is
//! current, and a document whose number is not higher has no effect.

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

/// Current environment document, with a bounded history of submissions.
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
    /// Returns the accepted submission that another one with the same number conflicts with.
    fn accepted(&self, operation: OperationNumber) -> AcceptedSubmission {
        match &self.outcome {
            SubmitOutcome::Accepted(version) => AcceptedSubmission {
                operator: self.operator.clone(),
                operation,
                version: *version,
                hash: Arc::clone(&self.hash),
            },
            SubmitOutcome::Conflict(accepted) => accepted.clone(),
        }
    }
}

impl Documents {
    /// Returns the current version; zero before the first document.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the current text.
    pub fn text(&self) -> Arc<str> {
        Arc::clone(&self.text)
    }

    /// Returns the SHA-256 of the current text, in hexadecimal.
    pub fn hash(&self) -> Arc<str> {
        Arc::clone(&self.hash)
    }

    /// Accepts or rejects a submission.
    pub fn submit(&mut self, submit: &Submit) -> SubmitOutcome {
        if let Some(first) = self.history.get(submit.operation) {
            let is_retry = first.operator == submit.operator && first.hash == submit.hash;
            return match is_retry {
                true => first.outcome.clone(),
                false => SubmitOutcome::Conflict(first.accepted(submit.operation)),
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

    /// Replaces the document if the new version is higher, and returns whether it is.
    ///
    /// A lower or equal version changes nothing, regardless of its content.
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
            return SubmitOutcome::Conflict(self.current());
        }
        self.version = Version(self.version.0.saturating_add(1));
        self.operator = submit.operator.clone();
        self.operation = submit.operation;
        self.text = Arc::clone(&submit.text);
        self.hash = Arc::clone(&submit.hash);
        SubmitOutcome::Accepted(self.version)
    }

    fn current(&self) -> AcceptedSubmission {
        AcceptedSubmission {
            operator: self.operator.clone(),
            operation: self.operation,
            version: self.version,
            hash: Arc::clone(&self.hash),
        }
    }
}
