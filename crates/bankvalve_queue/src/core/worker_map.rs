//! The leader's worker states by worker id.
//!
//! Each step of a leader looks up workers a dozen times. In a `BTreeMap` of 1,100 string ids a lookup
//! compares ten strings, which took an eighth of the leader's CPU. Here a lookup hashes one string.

use std::collections::{BTreeMap, HashMap};

use super::incarnation::Incarnation;
use super::worker_state::WorkerState;
use crate::ids::WorkerId;

/// Worker states by worker id, iterated in the order of the ids.
#[derive(Debug, Default)]
pub(super) struct WorkerMap {
    slots: HashMap<WorkerId, usize>,
    order: BTreeMap<WorkerId, usize>,
    worker_states: Vec<Option<WorkerState>>,
    free_slots: Vec<usize>,
    /// Number of the most recently added incarnation.
    last_number: u64,
}

impl WorkerMap {
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    pub(super) fn get(&self, id: &WorkerId) -> Option<&WorkerState> {
        let slot = *self.slots.get(id)?;
        self.worker_states[slot].as_ref()
    }

    pub(super) fn get_mut(&mut self, id: &WorkerId) -> Option<&mut WorkerState> {
        let slot = *self.slots.get(id)?;
        self.worker_states[slot].as_mut()
    }

    /// Returns the current incarnation of a worker.
    pub(super) fn incarnation_of(&self, id: &WorkerId) -> Option<Incarnation> {
        let number = self.get(id)?.number;
        let worker = id.clone();
        Some(Incarnation { worker, number })
    }

    /// Returns the state of an incarnation, or `None` if another one has replaced it or the worker was
    /// removed.
    pub(super) fn get_incarnation(&self, incarnation: &Incarnation) -> Option<&WorkerState> {
        let state = self.get(&incarnation.worker)?;
        (state.number == incarnation.number).then_some(state)
    }

    /// Returns the mutable state of an incarnation, as [`get_incarnation`](Self::get_incarnation) does.
    pub(super) fn get_incarnation_mut(
        &mut self,
        incarnation: &Incarnation,
    ) -> Option<&mut WorkerState> {
        let state = self.get_mut(&incarnation.worker)?;
        (state.number == incarnation.number).then_some(state)
    }

    /// Adds a new incarnation of a worker, replacing the previous one.
    pub(super) fn insert(&mut self, id: WorkerId, mut state: WorkerState) {
        let slot = match self.slots.get(&id) {
            Some(slot) => *slot,
            None => self.new_slot(id),
        };
        self.last_number += 1;
        state.number = self.last_number;
        self.worker_states[slot] = Some(state);
    }

    fn new_slot(&mut self, id: WorkerId) -> usize {
        let slot = self.free_slots.pop().unwrap_or(self.worker_states.len());
        if slot == self.worker_states.len() {
            self.worker_states.push(None);
        }
        self.slots.insert(id.clone(), slot);
        self.order.insert(id, slot);
        slot
    }

    /// Returns the state of a worker, and creates it if it does not exist.
    pub(super) fn get_or_insert_with(
        &mut self,
        id: WorkerId,
        make: impl FnOnce() -> WorkerState,
    ) -> &mut WorkerState {
        let slot = match self.slots.get(&id) {
            Some(slot) => *slot,
            None => self.new_slot(id),
        };
        let last_number = &mut self.last_number;
        self.worker_states[slot].get_or_insert_with(|| {
            *last_number += 1;
            let mut state = make();
            state.number = *last_number;
            state
        })
    }

    pub(super) fn remove(&mut self, id: &WorkerId) {
        if let Some(slot) = self.slots.remove(id) {
            self.order.remove(id);
            self.worker_states[slot] = None;
            self.free_slots.push(slot);
        }
    }

    /// Returns all workers in the order of their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&WorkerId, &WorkerState)> {
        let worker_states = &self.worker_states;
        self.order
            .iter()
            .filter_map(|(id, slot)| Some((id, worker_states[*slot].as_ref()?)))
    }

    /// Returns all worker states in arbitrary order.
    pub(super) fn values(&self) -> impl Iterator<Item = &WorkerState> + Clone {
        self.worker_states.iter().flatten()
    }

    /// Returns all worker states, mutable, in arbitrary order.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut WorkerState> {
        self.worker_states.iter_mut().flatten()
    }
}
