//! What a world consists of: its plan, and its entry instances.

use bankvalve_queue::{BatchTimeout, CoreEvent, EntryCore, PeerAddress, PolicySwitch, SiteGuard};

use super::site_bytes::LinkUse;
use super::site_processor::NodeProcessor;

/// What a world consists of.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Entry instances.
    pub entries: usize,
    /// Processors of the instances, in thousandths of a core; those not named have a whole one.
    pub strengths: Vec<u64>,
    /// Guard that all instances lack; none but in checks of the checks.
    pub broken: Option<SiteGuard>,
    /// Policy that all instances lack; none but in measurements.
    pub without: Option<PolicySwitch>,
    /// Workers.
    pub workers: usize,
    /// Share of workers that the policy finds good, in percent; none without a policy.
    pub good_percent: Option<u64>,
}

/// An entry instance.
#[derive(Debug)]
pub struct SiteNode {
    /// Its address.
    pub address: PeerAddress,
    pub(super) core: Option<EntryCore>,
    pub(super) started_ms: u64,
    pub(super) life: u64,
    /// Whether peers that call it while it is down get no answer, as from a machine without power;
    /// else its port refuses.
    pub(super) dark: bool,
    /// Whether it never starts again.
    pub(super) gone: bool,
    /// Until when it stands still.
    pub frozen_until: u64,
    /// Time for which its machine was suspended in this life, in milliseconds: a clock that does not
    /// go on then is late by it.
    pub(super) suspended_ms: u64,
    /// Until when the table does not answer it.
    pub cut_from_store_until: u64,
    /// Until when the table turns it away.
    pub turned_away_until: u64,
    /// Until when peers do not reach it.
    pub cut_from_peers_until: u64,
    /// Until when it does not reach workers.
    pub cut_from_workers_until: u64,
    /// Bytes that its link carries in a millisecond; none for as many as there are. They are those
    /// of rows that it reads, each answer by itself, unless links carry all.
    pub link_bytes_per_ms: Option<u64>,
    /// How long its batches to peers may take.
    pub(super) patience: BatchTimeout,
    pub(super) link_use: LinkUse,
    /// What its steps take, and what waits for them.
    pub processor: NodeProcessor,
    /// Until when its long questions to the table about the configuration have no answer.
    pub watch_lost_until: u64,
    /// Until when none of its questions to the table about the configuration has an answer.
    pub config_lost_until: u64,
    pub(super) parked: Vec<CoreEvent>,
    /// Until when trouble disturbs it, as far as was noted.
    pub(super) disturbed_until: u64,
    /// Newest configuration that this life has had in force.
    pub(super) newest_table: u64,
}

impl SiteNode {
    /// An instance that is still down, at the address of a number.
    pub(super) fn at(number: usize) -> Self {
        Self {
            address: PeerAddress::from(([10, 1, (number >> 8) as u8, number as u8], 7_300)),
            core: None,
            started_ms: 0,
            life: 0,
            dark: false,
            gone: false,
            frozen_until: 0,
            suspended_ms: 0,
            cut_from_store_until: 0,
            turned_away_until: 0,
            cut_from_peers_until: 0,
            cut_from_workers_until: 0,
            link_bytes_per_ms: None,
            patience: BatchTimeout::default(),
            link_use: LinkUse::default(),
            processor: NodeProcessor::default(),
            watch_lost_until: 0,
            config_lost_until: 0,
            parked: Vec::new(),
            disturbed_until: 0,
            newest_table: 0,
        }
    }

    /// Whether it runs.
    pub fn is_up(&self) -> bool {
        self.core.is_some()
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.core.as_ref().is_some_and(EntryCore::leads)
    }
}
