//! The leader's workers by id.
//!
//! A step of a leader finds workers a dozen times. In a tree of 1,100 texts each look-up compares
//! ten of them, which took an eighth of its processor; here it hashes one.

use std::collections::{BTreeMap, HashMap};

use super::incarnation::Incarnation;
use super::seat::Seat;
use crate::ids::WorkerId;

/// Workers by id, gone through in the order of their ids.
#[derive(Debug, Default)]
pub(super) struct SeatMap {
    places: HashMap<WorkerId, usize>,
    order: BTreeMap<WorkerId, usize>,
    seats: Vec<Option<Seat>>,
    free: Vec<usize>,
    /// Number of the last incarnation that was begun.
    last_number: u64,
}

impl SeatMap {
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    pub(super) fn get(&self, id: &WorkerId) -> Option<&Seat> {
        let place = *self.places.get(id)?;
        self.seats[place].as_ref()
    }

    pub(super) fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Seat> {
        let place = *self.places.get(id)?;
        self.seats[place].as_mut()
    }

    /// The process of a worker that is known now.
    pub(super) fn incarnation_of(&self, id: &WorkerId) -> Option<Incarnation> {
        let number = self.get(id)?.number;
        let worker = id.clone();
        Some(Incarnation { worker, number })
    }

    /// What is known of a process, unless another has followed it or its worker is forgotten.
    pub(super) fn of(&self, incarnation: &Incarnation) -> Option<&Seat> {
        let seat = self.get(&incarnation.worker)?;
        (seat.number == incarnation.number).then_some(seat)
    }

    /// The same, to change it.
    pub(super) fn of_mut(&mut self, incarnation: &Incarnation) -> Option<&mut Seat> {
        let seat = self.get_mut(&incarnation.worker)?;
        (seat.number == incarnation.number).then_some(seat)
    }

    /// Begins an incarnation of a worker, in place of the one before.
    pub(super) fn insert(&mut self, id: WorkerId, mut seat: Seat) {
        let place = match self.places.get(&id) {
            Some(place) => *place,
            None => self.new_place(id),
        };
        self.last_number += 1;
        seat.number = self.last_number;
        self.seats[place] = Some(seat);
    }

    fn new_place(&mut self, id: WorkerId) -> usize {
        let place = self.free.pop().unwrap_or(self.seats.len());
        if place == self.seats.len() {
            self.seats.push(None);
        }
        self.places.insert(id.clone(), place);
        self.order.insert(id, place);
        place
    }

    /// The worker of an id, made if it is not there.
    pub(super) fn get_or_insert_with(
        &mut self,
        id: WorkerId,
        make: impl FnOnce() -> Seat,
    ) -> &mut Seat {
        let place = match self.places.get(&id) {
            Some(place) => *place,
            None => self.new_place(id),
        };
        let last_number = &mut self.last_number;
        self.seats[place].get_or_insert_with(|| {
            *last_number += 1;
            let mut seat = make();
            seat.number = *last_number;
            seat
        })
    }

    pub(super) fn remove(&mut self, id: &WorkerId) {
        if let Some(place) = self.places.remove(id) {
            self.order.remove(id);
            self.seats[place] = None;
            self.free.push(place);
        }
    }

    /// All workers in the order of their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&WorkerId, &Seat)> {
        let seats = &self.seats;
        self.order
            .iter()
            .filter_map(|(id, place)| Some((id, seats[*place].as_ref()?)))
    }

    /// All workers in no order that means anything.
    pub(super) fn values(&self) -> impl Iterator<Item = &Seat> + Clone {
        self.seats.iter().flatten()
    }

    /// The same, to change them.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Seat> {
        self.seats.iter_mut().flatten()
    }
}
