//! Kinds of waiting steps: what they need of a worker.
//!
//! Steps of one kind can run on the same workers. So a placement pass determines once for each kind which
//! workers have capacity for it, however many of its steps wait.

use std::collections::HashMap;

use crate::core::live_run::RunLoad;
use crate::job::{StepSpec, TaskSize};
use crate::ledger::JobRecord;

/// Number of a kind among those of the waiting steps.
pub(in crate::core) type KindNumber = usize;

/// What a step needs of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(in crate::core) struct StepKind {
    /// Queue of the job, whose terms name the service.
    pub(in crate::core) queue: String,
    /// Service by the terms under which the job was accepted, if the configuration no longer has the queue.
    pub(in crate::core) service: String,
    pub(in crate::core) label: Option<String>,
    /// Resources that each task takes of a worker.
    pub(in crate::core) resources: TaskSize,
    pub(in crate::core) load: RunLoad,
    pub(in crate::core) lasting: bool,
    pub(in crate::core) gang: bool,
}

impl StepKind {
    pub(in crate::core) fn of(job: &JobRecord, step: &StepSpec) -> Self {
        Self {
            queue: job.spec.queue.clone(),
            service: job.terms.service.clone(),
            label: step.required_label.clone(),
            resources: step.resources(),
            load: RunLoad::of(step),
            lasting: step.lasting,
            gang: step.gang,
        }
    }
}

/// The kinds of all waiting steps. A number is used again once no step of its kind waits.
#[derive(Debug, Default)]
pub(in crate::core) struct StepKinds {
    numbers: HashMap<StepKind, KindNumber>,
    /// Each kind with the number of its waiting steps.
    kinds: Vec<Option<(StepKind, usize)>>,
    free_numbers: Vec<KindNumber>,
}

impl StepKinds {
    /// Counts a waiting step of a kind, and returns the number of the kind.
    pub(in crate::core) fn add(&mut self, kind: StepKind) -> KindNumber {
        if let Some(number) = self.numbers.get(&kind) {
            if let Some((_, steps)) = &mut self.kinds[*number] {
                *steps += 1;
            }
            return *number;
        }
        let number = self.free_numbers.pop().unwrap_or(self.kinds.len());
        if number == self.kinds.len() {
            self.kinds.push(None);
        }
        self.kinds[number] = Some((kind.clone(), 1));
        self.numbers.insert(kind, number);
        number
    }

    /// Removes a waiting step of a kind.
    pub(in crate::core) fn remove(&mut self, number: KindNumber) {
        let Some(Some((kind, steps))) = self.kinds.get_mut(number) else {
            return;
        };
        *steps -= 1;
        if *steps == 0 {
            self.numbers.remove(kind);
            self.kinds[number] = None;
            self.free_numbers.push(number);
        }
    }

    pub(in crate::core) fn get(&self, number: KindNumber) -> Option<&StepKind> {
        let kind = self.kinds.get(number)?.as_ref();
        kind.map(|(kind, _)| kind)
    }

    /// Iterates over all kinds.
    pub(in crate::core) fn iter(&self) -> impl Iterator<Item = &StepKind> {
        self.numbered().flatten()
    }

    /// Iterates over all numbers from 0 on, each with its kind if it is in use.
    pub(in crate::core) fn numbered(&self) -> impl Iterator<Item = Option<&StepKind>> {
        let kinds = self.kinds.iter();
        kinds.map(|kind| kind.as_ref().map(|(kind, _)| kind))
    }
}
