//! Shared immutable names, one type for each kind of thing.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Defines a newtype over `Arc<str>` that is cheap to clone and usable as a map key.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `text` as a name.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type!(
    /// Name of a client account.
    AccountName
);
name_type!(
    /// Name of a data centre.
    DataCentre
);
name_type!(
    /// Name of a base model, or of an adapter with its base model: `base/adapter`.
    ModelName
);
name_type!(
    /// Name of a backend server.
    ServerName
);
name_type!(
    /// Name of a plain service that several backend servers may provide.
    ServiceName
);
name_type!(
    /// Version of the software of a backend server, as it announces it.
    SoftwareVersion
);
name_type!(
    /// Name of an account template.
    TemplateName
);
name_type!(
    /// Name of a VM of the system.
    VmName
);
