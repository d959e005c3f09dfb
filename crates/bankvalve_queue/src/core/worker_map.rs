//! The leader's workers by id.
//!
//! A step of a leader finds workers a dozen times. In a tree of 1,100 texts each look-up compares
//! ten of them, which took an eighth of its processor; here it hashes one.

use std::collections::{BTreeMap, HashMap};

use super::incarnation::Incarnation;
use super::worker_state::WorkerState;
use crate::ids::WorkerId;

/// Workers by id, gone through in the order of their ids.
#[derive(Debug, Default)]
pub(super) struct WorkerMap {
    places: HashMap<WorkerId, usize>,
    order: BTreeMap<WorkerId, usize>,
    worker_states: Vec<Option<WorkerState>>,
    free: Vec<usize>,
    /// Number of the last incarnation that was begun.
    last_number: u64,
}

impl WorkerMap {
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    pub(super) fn get(&self, id: &WorkerId) -> Option<&WorkerState> {
        let place = *self.places.get(id)?;
        self.worker_states[place].as_ref()
    }

    pub(super) fn get_mut(&mut self, id: &WorkerId) -> Option<&mut WorkerState> {
        let place = *self.places.get(id)?;
        self.worker_states[place].as_mut()
    }

    /// The process of a worker that is known now.
    pub(super) fn incarnation_of(&self, id: &WorkerId) -> Option<Incarnation> {
        let number = self.get(id)?.number;
        let worker = id.clone();
        Some(Incarnation { worker, number })
    }

    /// What is known of a process, unless another has followed it or its worker is forgotten.
    pub(super) fn get_incarnation(&self, incarnation: &Incarnation) -> Option<&WorkerState> {
        let state = self.get(&incarnation.worker)?;
        (state.number == incarnation.number).then_some(state)
    }

    /// The same, to change it.
    pub(super) fn get_incarnation_mut(
        &mut self,
        incarnation: &Incarnation,
    ) -> Option<&mut WorkerState> {
        let state = self.get_mut(&incarnation.worker)?;
        (state.number == incarnation.number).then_some(state)
    }

    /// Begins an incarnation of a worker, in place of the one before.
    pub(super) fn insert(&mut self, id: WorkerId, mut state: WorkerState) {
        let place = match self.places.get(&id) {
            Some(place) => *place,
            None => self.new_place(id),
        };
        self.last_number += 1;
        state.number = self.last_number;
        self.worker_states[place] = Some(state);
    }

    fn new_place(&mut self, id: WorkerId) -> usize {
        let place = self.free.pop().unwrap_or(self.worker_states.len());
        if place == self.worker_states.len() {
            self.worker_states.push(None);
        }
        self.places.insert(id.clone(), place);
        self.order.insert(id, place);
        place
    }

    /// The worker of an id, made if it is not there.
    pub(super) fn get_or_insert_with(
        &mut self,
        id: WorkerId,
        make: impl FnOnce() -> WorkerState,
    ) -> &mut WorkerState {
        let place = match self.places.get(&id) {
            Some(place) => *place,
            None => self.new_place(id),
        };
        let last_number = &mut self.last_number;
        self.worker_states[place].get_or_insert_with(|| {
            *last_number += 1;
            let mut state = make();
            state.number = *last_number;
            state
        })
    }

    pub(super) fn remove(&mut self, id: &WorkerId) {
        if let Some(place) = self.places.remove(id) {
            self.order.remove(id);
            self.worker_states[place] = None;
            self.free.push(place);
        }
    }

    /// All workers in the order of their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&WorkerId, &WorkerState)> {
        let worker_states = &self.worker_states;
        self.order
            .iter()
            .filter_map(|(id, place)| Some((id, worker_states[*place].as_ref()?)))
    }

    /// All workers in no order that means anything.
    pub(super) fn values(&self) -> impl Iterator<Item = &WorkerState> + Clone {
        self.worker_states.iter().flatten()
    }

    /// The same, to change them.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut WorkerState> {
        self.worker_states.iter_mut().flatten()
    }
}
