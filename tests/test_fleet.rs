//! The leader commits before it acts, and the next leader resumes from the rows.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use wasabiloft::clock;
use wasabiloft::document;
use wasabiloft::fleet::{self, Effect, Event, Input, Output, planner};
use wasabiloft::id;
use wasabiloft::journal;
use wasabiloft::maintenance::reason;
use wasabiloft::platform;
use wasabiloft::pool::row;
use wasabiloft::roster;

use crate::fake_table;

const START_MS: u64 = 29 * clock::DAY_MS;
const LAPSE_MS: u64 = 2_000;

/// A simulated platform with entry nodes, and the leader of the duty.
struct World {
    now_ms: u64,
    table: fake_table::Table,
    vms: Vec<platform::Vm>,
    documents: Vec<document::Document>,
    planner: planner::Planner,
    /// Nodes that acknowledge drains.
    acknowledging: BTreeSet<&'static str>,
    /// True to leave transactions without an outcome.
    table_out: bool,
    /// True if transactions commit but their replies are lost.
    replies_lost: bool,
    effects: Vec<(Effect, platform::Intent)>,
    events: Vec<Event>,
}

fn planner(epoch: u64) -> planner::Planner {
    let settings = fleet::Settings {
        duty: id::Duty::from("fleet"),
        spare_pool: id::Pool::from("spare"),
        spare_at_once: 1,
        isolation_ms: 1_000,
    };
    planner::Planner::new(settings, epoch)
}

fn vm(index: usize, pool: &str) -> platform::Vm {
    platform::Vm {
        vm: id::Vm::from(format!("vm-{index}")),
        rack: id::Rack::from(format!("rack-{index}")),
        data_centre: id::DataCentre::from(format!("dc-{}", index % 3)),
        region: id::Region::from("region"),
        home_pool: id::Pool::from(pool),
        state: platform::VmState::Live,
        boots: 1,
        size: platform::Resources::default(),
        endpoint: SocketAddr::from(([10, 0, 0, index as u8], 80)),
    }
}

fn document(pool: &str, runners: u32) -> document::Document {
    let text = format!(
        "service = 'chains'\nteam = 'counter'\n[capacity]\npool = '{pool}'\nrunners = {runners}\n\
         slots_per_runner = 8\nconnections_per_runner = 64\n\
         [availability]\nmin_runners = 2\nabsence_budget_min = 600\n\
         [[kind]]\nname = 'reserve'\nmethod = 'POST'\npath = '/'\ndeadline_ms = 1000\n"
    );
    document::parse(&text).expect("the text is a document")
}

fn node(name: &str) -> roster::NodeId {
    roster::NodeId {
        node: id::Node::from(name),
        incarnation: roster::Incarnation(1),
    }
}

impl World {
    fn new(pools: &[&str]) -> Self {
        let vms = pools
            .iter()
            .enumerate()
            .map(|(index, pool)| vm(index, pool));
        let mut world = Self {
            now_ms: 0,
            table: fake_table::Table::default(),
            vms: vms.collect(),
            documents: vec![document("a", 4)],
            planner: planner(1),
            acknowledging: BTreeSet::from(["n1", "n2"]),
            table_out: false,
            replies_lost: false,
            effects: Vec::new(),
            events: Vec::new(),
        };
        world.initialize();
        world
    }

    /// Passes documents, roster and rows to a new leader.
    fn initialize(&mut self) {
        let documents = self.documents.clone();
        self.send(Input::Documents(&documents));
        self.send(Input::Roster(&[node("n1"), node("n2")]));
        self.reload();
    }

    fn replace_leader(&mut self, epoch: u64) {
        self.planner = planner(epoch);
        self.initialize();
    }

    fn reload(&mut self) {
        let pools = self.table.range(row::POOL_PREFIX);
        let vms = self.table.range(row::VM_PREFIX);
        let (pools, vms) = (&pools, &vms);
        self.send(Input::Rows { pools, vms });
    }

    fn send(&mut self, input: Input<'_>) {
        let now = clock::Instant::from_ms(self.now_ms);
        for output in self.planner.handle(now, input) {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Commit { token, txn } => {
                if self.table_out {
                    return;
                }
                let settled = match self.table.transact(&txn) {
                    platform::Outcome::Committed(committed) => match self.replies_lost {
                        true => journal::Settled::CommittedUnseen,
                        false => journal::Settled::Committed(committed),
                    },
                    platform::Outcome::Refused(refused) => journal::Settled::Refused(refused),
                    platform::Outcome::Unknown => unreachable!("the table always responds"),
                };
                let settled = &settled;
                self.send(Input::Settled { token, settled });
            }
            Output::Reload => self.reload(),
            Output::Announce { vm, operation } => {
                for name in self.acknowledging.clone() {
                    let (vm, operation, member) = (&vm, &operation, &node(name));
                    self.send(Input::Acknowledged {
                        vm,
                        operation,
                        member,
                    });
                }
            }
            Output::Vacate { vm, operation } => {
                let (vm, operation) = (&vm, &operation);
                self.send(Input::Vacated { vm, operation });
            }
            Output::Effect { vm, effect, intent } => {
                let stored = self.row(&vm);
                assert!(
                    format!("{:?}", stored.stage).contains(intent.operation.as_str()),
                    "{effect} of {vm} follows a committed row"
                );
                self.apply_effect(&vm, effect, &intent);
                self.effects.push((effect, intent.clone()));
                let (vm, operation) = (&vm, &intent.operation);
                self.send(Input::EffectDone { vm, operation });
            }
            Output::Event(event) => self.events.push(event),
        }
    }

    fn apply_effect(&mut self, name: &id::Vm, effect: Effect, intent: &platform::Intent) {
        let repeated = self
            .effects
            .iter()
            .any(|(_, done)| done.operation == intent.operation);
        let vm = self.vms.iter_mut().find(|vm| vm.vm == *name);
        let vm = vm.expect("effects name listed VMs");
        match effect {
            _ if repeated => {}
            Effect::Drain => vm.state = platform::VmState::Leaving,
            Effect::Resume => vm.state = platform::VmState::Live,
            Effect::Reboot => {
                vm.state = platform::VmState::Live;
                vm.boots += 1;
            }
        }
    }

    fn row(&self, vm: &id::Vm) -> row::Vm {
        let stored = self.table.row(&row::vm_key(vm)).expect("the VM has a row");
        row::read_vm(&stored).expect("the row can be read")
    }

    fn rows(&self) -> Vec<row::Vm> {
        let vms = self.vms.iter().map(|vm| self.row(&vm.vm));
        vms.collect()
    }

    /// Advances the time by seconds, with a new list in each.
    fn advance_seconds(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now_ms += clock::SECOND_MS;
            let list = platform::VmList {
                as_of_ms: START_MS + self.now_ms,
                vms: self.vms.clone(),
            };
            self.send(Input::List(&list));
            self.send(Input::Tick);
        }
    }

    fn effects(&self, wanted: Effect) -> usize {
        let effects = self.effects.iter();
        effects.filter(|(effect, _)| *effect == wanted).count()
    }
}

#[test]
fn every_vm_is_maintained_once() {
    let mut world = World::new(&["a", "a", "a", "a", "spare"]);
    world.advance_seconds(120);
    assert!(world.rows().iter().all(|row| row.maintained_ms > START_MS));
    assert_eq!(world.effects(Effect::Reboot), 5);
    assert!(
        world
            .planner
            .status()
            .pools
            .iter()
            .all(|pool| pool.due == 0)
    );
}

#[test]
fn lost_replies_repeat_no_effect() {
    let mut world = World::new(&["a", "a", "a", "a", "spare"]);
    world.replies_lost = true;
    world.advance_seconds(120);
    assert!(world.rows().iter().all(|row| row.maintained_ms > START_MS));
    assert_eq!(world.effects(Effect::Reboot), 5);
}

#[test]
fn no_reboot_before_every_node_has_acknowledged() {
    let mut world = World::new(&["a", "a", "a", "a"]);
    world.acknowledging.remove("n2");
    world.advance_seconds(600);
    assert_eq!(world.effects(Effect::Reboot), 0);
    let leaving = world.planner.status().vms;
    let leaving = leaving.iter().find(|vm| !vm.unacknowledged.is_empty());
    assert_eq!(
        leaving.expect("one VM drains").unacknowledged,
        [id::Node::from("n2")]
    );
    // The silent node leaves the roster; its requests have ended after the lapse.
    world.send(Input::Roster(&[node("n1")]));
    world.advance_seconds(LAPSE_MS / clock::SECOND_MS - 1);
    assert_eq!(world.effects(Effect::Reboot), 0);
    world.advance_seconds(2);
    assert_eq!(world.effects(Effect::Reboot), 1);
}

#[test]
fn next_leader_resumes_the_same_operation_under_its_epoch() {
    let mut world = World::new(&["a", "a", "a", "a"]);
    world.acknowledging.clear();
    world.advance_seconds(5);
    let (_, before) = world.effects[0].clone();
    world.replace_leader(2);
    world.advance_seconds(2);
    let (effect, after) = world.effects.last().expect("the drain is repeated").clone();
    assert_eq!(
        (effect, &after.operation),
        (Effect::Drain, &before.operation)
    );
    assert_eq!((before.epoch, after.epoch), (1, 2));
}

#[test]
fn superseded_leader_reloads_and_drains_no_vm() {
    let mut world = World::new(&["a", "a", "a", "a", "a"]);
    world.acknowledging.clear();
    world.advance_seconds(1);
    let mut old = std::mem::replace(&mut world.planner, planner(2));
    world.initialize();
    world.advance_seconds(5);
    let out = |world: &World| {
        let rows = world.rows().into_iter();
        rows.filter(|row| row.stage != row::Stage::InService)
            .count()
    };
    assert_eq!(out(&world), 1);
    // The previous leader still has all VMs in service.
    std::mem::swap(&mut world.planner, &mut old);
    world.advance_seconds(5);
    assert_eq!(out(&world), 1);
    assert!(world.events.contains(&Event::TxnRefused));
}

#[test]
fn a_crash_does_not_count_as_the_pending_reboot() {
    let mut world = World::new(&["a", "a", "a", "a"]);
    let rebooting = |world: &World| {
        let mut rows = world.rows().into_iter();
        rows.find(|row| matches!(row.stage, row::Stage::Rebooting { .. }))
    };
    world.advance_seconds(1);
    for _ in 0..30 {
        if rebooting(&world).is_none() {
            world.advance_seconds(1);
        }
    }
    let vm = rebooting(&world).expect("one VM reboots").vm;
    // The next leader does not know that the platform has accepted the reboot.
    world.replace_leader(2);
    let now = clock::Instant::from_ms(world.now_ms);
    let list = platform::VmList {
        as_of_ms: START_MS + world.now_ms + 1,
        vms: world.vms.clone(),
    };
    world.planner.handle(now, Input::List(&list));
    let outputs = world.planner.handle(now, Input::Tick);
    let is_reboot = |output: &Output| matches!(output, Output::Effect { vm: to, .. } if *to == vm);
    assert!(
        outputs.iter().any(is_reboot),
        "the reboot is requested again"
    );
    let is_commit = |output: &Output| matches!(output, Output::Commit { .. });
    assert!(
        !outputs.iter().any(is_commit),
        "the reboot does not count yet"
    );
}

#[test]
fn a_failed_vm_is_replaced_and_belongs_to_one_pool_throughout() {
    let mut world = World::new(&["a", "a", "a", "a", "spare", "spare"]);
    world.advance_seconds(150);
    world.vms[0].state = platform::VmState::Failed;
    world.advance_seconds(20 * 60);
    let rows = world.rows();
    let moved: Vec<&row::Vm> = rows.iter().filter(|row| row.generation > 1).collect();
    assert_eq!(moved.len(), 1);
    assert_eq!(moved[0].pool, id::Pool::from("a"));
    let in_a = rows.iter().filter(|row| row.pool == id::Pool::from("a"));
    assert_eq!(in_a.count(), 5);
    // The VM comes back: the surplus persists, and one VM goes to the spare pool.
    world.vms[0].state = platform::VmState::Live;
    world.advance_seconds(40 * 60);
    let in_spare = |row: &row::Vm| row.pool == id::Pool::from("spare");
    assert_eq!(world.rows().into_iter().filter(in_spare).count(), 2);
}

#[test]
fn a_renamed_pool_keeps_its_vms_in_service() {
    let mut world = World::new(&["a", "a", "a", "a"]);
    world.advance_seconds(120);
    let drains = world.effects(Effect::Drain);
    world.documents = vec![document("b", 4)];
    let documents = world.documents.clone();
    world.send(Input::Documents(&documents));
    world.advance_seconds(5);
    for row in world.rows() {
        assert_eq!((row.pool.as_str(), row.generation), ("b", 2));
        assert_eq!(row.stage, row::Stage::InService);
    }
    assert_eq!(world.effects(Effect::Drain), drains);
}

#[test]
fn a_drain_is_abandoned_when_the_pool_becomes_short() {
    let mut world = World::new(&["a", "a", "a", "a"]);
    world.acknowledging.clear();
    world.advance_seconds(3);
    let leaving = |row: &row::Vm| row.stage != row::Stage::InService;
    assert_eq!(world.rows().into_iter().filter(leaving).count(), 1);
    let mut healthy = world.rows().into_iter().filter(|row| !leaving(row));
    let failing: Vec<id::Vm> = healthy.by_ref().take(2).map(|row| row.vm).collect();
    for vm in world.vms.iter_mut().filter(|vm| failing.contains(&vm.vm)) {
        vm.state = platform::VmState::Failed;
    }
    world.advance_seconds(10);
    assert_eq!(world.rows().into_iter().filter(leaving).count(), 0);
    assert_eq!(world.effects(Effect::Resume), 1);
}

#[test]
fn outages_and_stale_lists_pause_waves_until_they_end() {
    let mut world = World::new(&["a", "a", "a", "a"]);
    let reason = |world: &World| world.planner.status().pools[0].paused;
    world.advance_seconds(2);
    world.table_out = true;
    world.advance_seconds(60);
    assert_eq!(reason(&world), Some(reason::Reason::TableOut));
    world.table_out = false;
    world.replace_leader(2);
    world.advance_seconds(200);
    assert_eq!(reason(&world), None);
    world.now_ms += 2 * planner::LIST_STALE_MS;
    world.send(Input::Tick);
    assert_eq!(reason(&world), Some(reason::Reason::ListStale));
    world.advance_seconds(1);
    assert_eq!(reason(&world), None);
}

#[test]
fn a_marked_vm_stays_out_until_its_mark_is_removed() {
    let mut world = World::new(&["a", "a", "a", "a"]);
    world.advance_seconds(120);
    let vm = id::Vm::from("vm-2");
    let mark = Some(row::Mark::Out);
    world.send(Input::Mark { vm: &vm, mark });
    world.advance_seconds(20);
    assert_eq!(world.row(&vm).stage, row::Stage::Out);
    world.send(Input::Mark {
        vm: &vm,
        mark: None,
    });
    world.advance_seconds(20);
    assert_eq!(world.row(&vm).stage, row::Stage::InService);
}
