//! Object store: named objects that are written and read in full.

use std::collections::BTreeMap;

use bankvalve_cell::link::{ObjectOutcome, ObjectRequest};

/// In-memory object store.
///
/// # Examples
///
/// ```
/// use bankvalve_cell::link::{ObjectOutcome, ObjectRequest};
/// use bankvalve_standin::model::ObjectModel;
///
/// let mut objects = ObjectModel::default();
/// let put = ObjectRequest::Put { name: "record/1".into(), value: vec![1] };
/// assert_eq!(objects.handle(&put), ObjectOutcome::Stored);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ObjectModel {
    objects: BTreeMap<String, Vec<u8>>,
}

impl ObjectModel {
    /// Handles a request and returns its outcome.
    pub fn handle(&mut self, request: &ObjectRequest) -> ObjectOutcome {
        match request {
            ObjectRequest::Put { name, value } => {
                self.objects.insert(name.clone(), value.clone());
                ObjectOutcome::Stored
            }
            ObjectRequest::Get { name } => ObjectOutcome::Content(self.objects.get(name).cloned()),
            ObjectRequest::List { prefix } => ObjectOutcome::Names(
                self.objects
                    .range(prefix.clone()..)
                    .take_while(|(name, _)| name.starts_with(prefix))
                    .map(|(name, _)| name.clone())
                    .collect(),
            ),
        }
    }
}
