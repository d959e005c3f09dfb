//! Troubles that strike a site.

use rand::Rng;

use super::SiteWorld;

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SiteFault {
    /// The leader is killed.
    KillLeader,
    /// Any instance is killed.
    KillAny,
    /// All instances are killed.
    KillAll,
    /// The leader stands still for a while.
    FreezeLeader,
    /// The leader is stopped as planned.
    StopLeader,
    /// The table does not answer the leader.
    CutLeaderFromStore,
    /// The table turns the leader away.
    TurnLeaderAway,
    /// An instance does not reach its peers.
    CutFromPeers,
    /// The table refuses all.
    StoreBusy,
    /// The table is silent.
    StoreSilent,
    /// The table is slow.
    StoreSlow,
    /// Answers of the table are lost.
    StoreLost,
    /// Answers of the table are lost and the writes done later.
    StoreLate,
    /// The table forgets its history.
    ForgetHistory,
    /// A worker dies and comes back as another life.
    CrashWorker,
    /// A worker is cut off and runs on.
    CutWorker,
    /// A worker says that it leaves.
    DrainWorker,
    /// Orders have no answer and are carried out late.
    LateOrders,
    /// Runs fail.
    FailRuns,
    /// The connections between instances go silent for good, while new ones work.
    SilentPeers,
    /// Answers of the table to requests of all kinds are lost.
    LoseAnswers,
    /// The table is so slow that requests are given up.
    StoreVerySlow,
}

impl SiteFault {
    /// Kinds that are drawn.
    pub const ALL: [SiteFault; 20] = [
        SiteFault::KillLeader,
        SiteFault::KillAny,
        SiteFault::KillAll,
        SiteFault::FreezeLeader,
        SiteFault::StopLeader,
        SiteFault::CutLeaderFromStore,
        SiteFault::TurnLeaderAway,
        SiteFault::CutFromPeers,
        SiteFault::StoreBusy,
        SiteFault::StoreSilent,
        SiteFault::StoreSlow,
        SiteFault::StoreLost,
        SiteFault::StoreLate,
        SiteFault::ForgetHistory,
        SiteFault::CrashWorker,
        SiteFault::CutWorker,
        SiteFault::DrainWorker,
        SiteFault::LateOrders,
        SiteFault::FailRuns,
        SiteFault::SilentPeers,
    ];

    /// Kinds by which requests to the table end without an answer, beside losses of instances.
    pub const UNANSWERED: [SiteFault; 8] = [
        SiteFault::KillLeader,
        SiteFault::KillAll,
        SiteFault::CutLeaderFromStore,
        SiteFault::StoreBusy,
        SiteFault::StoreSilent,
        SiteFault::StoreLate,
        SiteFault::LoseAnswers,
        SiteFault::StoreVerySlow,
    ];

    /// Kinds that are drawn beside restarts of workers.
    pub const BESIDE_RESTARTS: [SiteFault; 17] = [
        SiteFault::KillLeader,
        SiteFault::KillAny,
        SiteFault::KillAll,
        SiteFault::FreezeLeader,
        SiteFault::StopLeader,
        SiteFault::CutLeaderFromStore,
        SiteFault::TurnLeaderAway,
        SiteFault::CutFromPeers,
        SiteFault::StoreBusy,
        SiteFault::StoreSilent,
        SiteFault::StoreSlow,
        SiteFault::StoreLost,
        SiteFault::ForgetHistory,
        SiteFault::CrashWorker,
        SiteFault::CutWorker,
        SiteFault::LateOrders,
        SiteFault::SilentPeers,
    ];

    /// Strikes.
    pub fn strike(self, world: &mut SiteWorld) {
        let now = world.now_ms;
        let span = world.rng.random_range(500..7_000);
        let any = world.rng.random_range(0..world.nodes.len());
        let leader = world.leader().unwrap_or(any);
        let addresses: Vec<String> = world.workers.keys().cloned().collect();
        let address = &addresses[world.rng.random_range(0..addresses.len())];
        match self {
            SiteFault::KillLeader => world.kill(leader, span),
            SiteFault::KillAny => world.kill(any, span),
            SiteFault::KillAll => {
                for node in 0..world.nodes.len() {
                    world.kill(node, span);
                }
            }
            SiteFault::FreezeLeader => world.freeze(leader, span),
            SiteFault::StopLeader => {
                world.stop(leader);
                world.run_until(now + 1_000);
                world.kill(leader, span);
            }
            SiteFault::CutLeaderFromStore => {
                world.nodes[leader].cut_from_store_until = now + span;
            }
            SiteFault::TurnLeaderAway => {
                world.nodes[leader].turned_away_until = now + span;
            }
            SiteFault::CutFromPeers => world.nodes[any].cut_from_peers_until = now + span,
            SiteFault::StoreBusy | SiteFault::StoreSilent => {
                world.store_away_until = now + span;
                world.store_silent = self == SiteFault::StoreSilent;
            }
            SiteFault::StoreSlow => world.store_delay_ms = world.rng.random_range(50..600),
            SiteFault::StoreLost | SiteFault::StoreLate => {
                world.lost_percent = 30;
                world.lost_late = self == SiteFault::StoreLate;
            }
            SiteFault::ForgetHistory => world.store.forget_history(),
            SiteFault::CrashWorker => world.crash_worker(address, span),
            SiteFault::CutWorker => {
                world.worker_cut_until.insert(address.clone(), now + span);
            }
            SiteFault::DrainWorker => {
                world.drain_worker(address, 2_000);
                let later = world.now_ms + 2_500;
                world.run_until(later);
                world.crash_worker(address, span);
            }
            SiteFault::LateOrders => world.late_orders_percent = 10,
            SiteFault::FailRuns => world.fail_percent = 15,
            SiteFault::SilentPeers => world.silence_peers(),
            SiteFault::LoseAnswers => {
                world.links.lost_answers_percent = world.rng.random_range(10..60);
            }
            SiteFault::StoreVerySlow => world.store_delay_ms = world.rng.random_range(600..2_500),
        }
    }

    /// Ends the troubles that last.
    pub fn calm(world: &mut SiteWorld) {
        world.note_calm();
        world.store_away_until = 0;
        world.store_delay_ms = 0;
        world.lost_percent = 0;
        world.links.lost_answers_percent = 0;
        world.late_orders_percent = 0;
        world.lost_looks_percent = 0;
        world.fail_percent = 0;
        world.worker_cut_until.clear();
        for node in &mut world.nodes {
            node.cut_from_store_until = 0;
            node.turned_away_until = 0;
            node.cut_from_peers_until = 0;
            node.cut_from_workers_until = 0;
        }
    }
}
