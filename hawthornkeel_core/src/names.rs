//! Names as shared immutable strings, with a separate type for each kind of named object.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Defines a name type around a shared immutable string.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from `text`.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl Default for $name {
            fn default() -> Self {
                Self::new("")
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

name_type! {
    /// Name of an instance, which is one process of the system.
    InstanceName
}
name_type! {
    /// Name of a data centre.
    CentreName
}
name_type! {
    /// Name of a target, which is a model engine or a plain service that runs stages.
    TargetName
}
name_type! {
    /// Name of a pool of interchangeable targets.
    PoolName
}
name_type! {
    /// Name of a workspace, which is a customer of the system.
    WorkspaceName
}
name_type! {
    /// Name of a route.
    RouteName
}
name_type! {
    /// Name of a pipeline.
    PipelineName
}
name_type! {
    /// Name of a stage, unique in its pipeline.
    StageName
}
name_type! {
    /// Name of a model that the engines of a pool have loaded.
    ModelName
}
name_type! {
    /// Name of an operator, as given in an order.
    OperatorName
}
name_type! {
    /// Version of the software of a target's process. Versions have no order.
    SoftwareVersion
}
