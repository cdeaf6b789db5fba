//! Subjects that end the targets that begin to answer them.
//!
//! Entries report the runs that ended with their targets, and the sound runs of subjects under
//! suspicion. Control instances add up what all entries report on a [`board::Board`] and tell them
//! its [`record::SubjectRecord`]s; each entry keeps a board of its own as well, which goes on without
//! control instances. A subject is weighed by the different processes that ended under it, against
//! the sound runs that held it too.

pub mod board;
pub mod evidence;
pub mod record;
pub mod sound;

mod endings;
