//! The holder commits before it acts, and a successor resumes from the rows.

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

/// A platform that does what it is told, and the holder of the duty.
struct World {
    now_ms: u64,
    table: fake_table::Table,
    vms: Vec<platform::Vm>,
    documents: Vec<document::Document>,
    planner: planner::Planner,
    /// Nodes that acknowledge.
    answering: BTreeSet<&'static str>,
    /// True to leave transactions without an outcome.
    table_out: bool,
    /// True if transactions commit and their replies are lost.
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
            answering: BTreeSet::from(["n1", "n2"]),
            table_out: false,
            replies_lost: false,
            effects: Vec::new(),
            events: Vec::new(),
        };
        world.introduce();
        world
    }

    /// Gives a new holder all that it needs.
    fn introduce(&mut self) {
        let documents = self.documents.clone();
        self.give(Input::Documents(&documents));
        self.give(Input::Roster(&[node("n1"), node("n2")]));
        self.reload();
    }

    fn succeed(&mut self, epoch: u64) {
        self.planner = planner(epoch);
        self.introduce();
    }

    fn reload(&mut self) {
        let pools = self.table.range(row::POOL_PREFIX);
        let vms = self.table.range(row::VM_PREFIX);
        let (pools, vms) = (&pools, &vms);
        self.give(Input::Rows { pools, vms });
    }

    fn give(&mut self, input: Input<'_>) {
        let now = clock::Instant::from_ms(self.now_ms);
        for output in self.planner.handle(now, input) {
            self.carry(output);
        }
    }

    fn carry(&mut self, output: Output) {
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
                    platform::Outcome::Unknown => unreachable!("the table answers"),
                };
                let settled = &settled;
                self.give(Input::Settled { token, settled });
            }
            Output::Reload => self.reload(),
            Output::Announce { vm, operation } => {
                for name in self.answering.clone() {
                    let (vm, operation, member) = (&vm, &operation, &node(name));
                    self.give(Input::Acknowledged {
                        vm,
                        operation,
                        member,
                    });
                }
            }
            Output::Vacate { vm, operation } => {
                let (vm, operation) = (&vm, &operation);
                self.give(Input::Vacated { vm, operation });
            }
            Output::Effect { vm, effect, intent } => {
                let stored = self.row(&vm);
                assert!(
                    format!("{:?}", stored.stage).contains(intent.operation.as_str()),
                    "{effect} of {vm} follows a committed row"
                );
                self.act(&vm, effect, &intent);
                self.effects.push((effect, intent.clone()));
                let (vm, operation) = (&vm, &intent.operation);
                self.give(Input::EffectDone { vm, operation });
            }
            Output::Event(event) => self.events.push(event),
        }
    }

    fn act(&mut self, name: &id::Vm, effect: Effect, intent: &platform::Intent) {
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

    /// Lets seconds pass, with a new list in each.
    fn pass(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now_ms += clock::SECOND_MS;
            let list = platform::VmList {
                as_of_ms: START_MS + self.now_ms,
                vms: self.vms.clone(),
            };
            self.give(Input::List(&list));
            self.give(Input::Tick);
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
    world.pass(120);
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
fn lost_replies_double_nothing() {
    let mut world = World::new(&["a", "a", "a", "a", "spare"]);
    world.replies_lost = true;
    world.pass(120);
    assert!(world.rows().iter().all(|row| row.maintained_ms > START_MS));
    assert_eq!(world.effects(Effect::Reboot), 5);
}

#[test]
fn no_reboot_before_every_node_has_acknowledged() {
    let mut world = World::new(&["a", "a", "a", "a"]);
    world.answering.remove("n2");
    world.pass(600);
    assert_eq!(world.effects(Effect::Reboot), 0);
    let leaving = world.planner.status().vms;
    let leaving = leaving.iter().find(|vm| !vm.unacknowledged.is_empty());
    assert_eq!(
        leaving.expect("one VM drains").unacknowledged,
        [id::Node::from("n2")]
    );
    // The silent node leaves the roster; its requests have ended after the lapse.
    world.give(Input::Roster(&[node("n1")]));
    world.pass(LAPSE_MS / clock::SECOND_MS - 1);
    assert_eq!(world.effects(Effect::Reboot), 0);
    world.pass(2);
    assert_eq!(world.effects(Effect::Reboot), 1);
}

#[test]
fn a_successor_resumes_the_same_operation_under_its_epoch() {
    let mut world = World::new(&["a", "a", "a", "a"]);
    world.answering.clear();
    world.pass(5);
    let (_, before) = world.effects[0].clone();
    world.succeed(2);
    world.pass(2);
    let (effect, after) = world.effects.last().expect("the drain is repeated").clone();
    assert_eq!(
        (effect, &after.operation),
        (Effect::Drain, &before.operation)
    );
    assert_eq!((before.epoch, after.epoch), (1, 2));
}

#[test]
fn a_holder_that_was_overtaken_reads_again_and_takes_nobody_out() {
    let mut world = World::new(&["a", "a", "a", "a", "a"]);
    world.answering.clear();
    world.pass(1);
    let mut old = std::mem::replace(&mut world.planner, planner(2));
    world.introduce();
    world.pass(5);
    let out = |world: &World| {
        let rows = world.rows().into_iter();
        rows.filter(|row| row.stage != row::Stage::InService)
            .count()
    };
    assert_eq!(out(&world), 1);
    // The old holder still believes that all are in service.
    std::mem::swap(&mut world.planner, &mut old);
    world.pass(5);
    assert_eq!(out(&world), 1);
    assert!(world.events.contains(&Event::TxnRefused));
}

#[test]
fn a_crash_does_not_pass_for_the_reboot_that_is_on_its_way() {
    let mut world = World::new(&["a", "a", "a", "a"]);
    let rebooting = |world: &World| {
        let mut rows = world.rows().into_iter();
        rows.find(|row| matches!(row.stage, row::Stage::Rebooting { .. }))
    };
    world.pass(1);
    for _ in 0..30 {
        if rebooting(&world).is_none() {
            world.pass(1);
        }
    }
    let vm = rebooting(&world).expect("one VM reboots").vm;
    // A successor has not heard from the platform that it took the reboot.
    world.succeed(2);
    let now = clock::Instant::from_ms(world.now_ms);
    let list = platform::VmList {
        as_of_ms: START_MS + world.now_ms + 1,
        vms: world.vms.clone(),
    };
    world.planner.handle(now, Input::List(&list));
    let outputs = world.planner.handle(now, Input::Tick);
    let again = |output: &Output| matches!(output, Output::Effect { vm: to, .. } if *to == vm);
    assert!(outputs.iter().any(again), "the reboot is asked for again");
    let back = |output: &Output| matches!(output, Output::Commit { .. });
    assert!(!outputs.iter().any(back), "it does not count yet");
}

#[test]
fn a_failed_vm_is_replaced_and_belongs_to_one_pool_throughout() {
    let mut world = World::new(&["a", "a", "a", "a", "spare", "spare"]);
    world.pass(150);
    world.vms[0].state = platform::VmState::Failed;
    world.pass(20 * 60);
    let rows = world.rows();
    let moved: Vec<&row::Vm> = rows.iter().filter(|row| row.generation > 1).collect();
    assert_eq!(moved.len(), 1);
    assert_eq!(moved[0].pool, id::Pool::from("a"));
    let in_a = rows.iter().filter(|row| row.pool == id::Pool::from("a"));
    assert_eq!(in_a.count(), 5);
    // It comes back: the surplus lasts, and one VM goes to the spare pool.
    world.vms[0].state = platform::VmState::Live;
    world.pass(40 * 60);
    let in_spare = |row: &row::Vm| row.pool == id::Pool::from("spare");
    assert_eq!(world.rows().into_iter().filter(in_spare).count(), 2);
}

#[test]
fn a_renamed_pool_keeps_its_vms_in_service() {
    let mut world = World::new(&["a", "a", "a", "a"]);
    world.pass(120);
    let drains = world.effects(Effect::Drain);
    world.documents = vec![document("b", 4)];
    let documents = world.documents.clone();
    world.give(Input::Documents(&documents));
    world.pass(5);
    for row in world.rows() {
        assert_eq!((row.pool.as_str(), row.generation), ("b", 2));
        assert_eq!(row.stage, row::Stage::InService);
    }
    assert_eq!(world.effects(Effect::Drain), drains);
}

#[test]
fn a_drain_is_given_up_when_the_pool_becomes_short() {
    let mut world = World::new(&["a", "a", "a", "a"]);
    world.answering.clear();
    world.pass(3);
    let leaving = |row: &row::Vm| row.stage != row::Stage::InService;
    assert_eq!(world.rows().into_iter().filter(leaving).count(), 1);
    let mut healthy = world.rows().into_iter().filter(|row| !leaving(row));
    let failing: Vec<id::Vm> = healthy.by_ref().take(2).map(|row| row.vm).collect();
    for vm in world.vms.iter_mut().filter(|vm| failing.contains(&vm.vm)) {
        vm.state = platform::VmState::Failed;
    }
    world.pass(10);
    assert_eq!(world.rows().into_iter().filter(leaving).count(), 0);
    assert_eq!(world.effects(Effect::Resume), 1);
}

#[test]
fn outages_and_stale_lists_pause_waves_and_end_by_themselves() {
    let mut world = World::new(&["a", "a", "a", "a"]);
    let reason = |world: &World| world.planner.status().pools[0].paused;
    world.pass(2);
    world.table_out = true;
    world.pass(60);
    assert_eq!(reason(&world), Some(reason::Reason::TableOut));
    world.table_out = false;
    world.succeed(2);
    world.pass(200);
    assert_eq!(reason(&world), None);
    world.now_ms += 2 * planner::LIST_STALE_MS;
    world.give(Input::Tick);
    assert_eq!(reason(&world), Some(reason::Reason::ListStale));
    world.pass(1);
    assert_eq!(reason(&world), None);
}

#[test]
fn a_marked_vm_stays_out_until_its_mark_is_gone() {
    let mut world = World::new(&["a", "a", "a", "a"]);
    world.pass(120);
    let vm = id::Vm::from("vm-2");
    let mark = Some(row::Mark::Out);
    world.give(Input::Mark { vm: &vm, mark });
    world.pass(20);
    assert_eq!(world.row(&vm).stage, row::Stage::Out);
    world.give(Input::Mark {
        vm: &vm,
        mark: None,
    });
    world.pass(20);
    assert_eq!(world.row(&vm).stage, row::Stage::InService);
}
