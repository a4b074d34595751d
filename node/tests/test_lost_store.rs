//! Scripted faults in which a leader loses the store and runs on, while another node leads: no task may run twice at a time.

use std::collections::BTreeSet;
use std::path::Path as FilePath;

use rustix::process::Signal;
use wasabiloft::batch::record;
use wasabiloft_standins::proxy::Cut;
use wasabiloft_standins::soak::Options;
use wasabiloft_standins::soak::scenario::Scenario;
use wasabiloft_standins::soak::world::Path;

const JOB: &str = "00000000000000d1";
/// Spec of tasks that outlast the faults.
const SPEC: &str = "work_ms=30000 cpu=700";
const SECOND_JOB: &str = "00000000000000d2";
const TASKS: u32 = 4;
/// Time after which a leader relies on its followers' confirmations, in milliseconds.
const FOLLOWERS_KNOWN_MS: u64 = 3_000;
/// For how long a leader stands still, in milliseconds; shorter than the leases last.
const STANDS_STILL_MS: u64 = 1_000;
/// For how long a leader doesn't reach a worker before it loses the store, in milliseconds; shorter than a lease.
const WORKER_SILENT_MS: u64 = 2_500;
/// Time within which a node that starts follows the duty, in milliseconds.
const START_MS: u64 = 2_000;
/// Time after a takeover within which the effects of the faults show, in milliseconds.
const SETTLE_MS: u64 = 15_000;

/// Starts nodes and four machines, two of them in the first queue's pool.
async fn start(nodes: usize) -> Scenario {
    let daemon = FilePath::new(env!("CARGO_BIN_EXE_wasabiloftd")).to_owned();
    let options = Options {
        nodes,
        machines: 4,
        wave: false,
        ..Options::new(daemon, 1)
    };
    Scenario::start(&options).await.expect("a scenario")
}

/// Starts a job, and returns the worker that runs its tasks.
async fn start_tasks(scenario: &Scenario) -> usize {
    scenario.submit(JOB, TASKS, SPEC).await.expect("a job");
    let checker = &scenario.world.checker;
    scenario
        .until("the tasks run", async || {
            checker.running(JOB) == TASKS as usize
        })
        .await
        .expect("running tasks");
    let (worker, running) = scenario.busiest_worker();
    assert_eq!(running, TASKS as usize, "all tasks fit on one worker");
    worker
}

/// Returns the paths of a node to all workers but one.
fn paths_to_other_workers(scenario: &Scenario, node: usize, worker: usize) -> Vec<Path> {
    let workers = 0..scenario.world.workers.len();
    let others = workers.filter(|other| *other != worker);
    others.map(|other| Path::Worker(node, other)).collect()
}

/// Asserts that no task ran twice; keeps the daemons' logs otherwise.
fn assert_never_twice(scenario: &Scenario) {
    let violations = scenario.world.violations();
    assert!(
        violations.is_empty(),
        "logs in {}: {violations:#?}",
        scenario.world.keep_logs().display()
    );
}

/// A leader, its follower, a node that the leader has never heard, and a worker that only the leader reaches.
struct Unheard {
    scenario: Scenario,
    leader: usize,
    epoch: u64,
    follower: usize,
    unheard: usize,
    worker: usize,
}

impl Unheard {
    /// Starts a job's tasks under a leader whose term began without the last node, which then starts and reaches neither
    /// the other nodes nor the tasks' worker.
    async fn start() -> Self {
        let scenario = start(3).await;
        let unheard = 2;
        let stopped = scenario.stop(unheard, Signal::KILL).await;
        stopped.expect("a node that exits");
        let (leader, epoch) = scenario.leader_after(0).await.expect("a leader");
        assert_ne!(leader, unheard);
        let worker = start_tasks(&scenario).await;
        scenario.pause(FOLLOWERS_KNOWN_MS).await;
        let follower = 1 - leader;
        let started = Self {
            scenario,
            leader,
            epoch,
            follower,
            unheard,
            worker,
        };
        started.start_cut_off(unheard).await;
        started
    }

    /// Starts a node again that reaches neither the other nodes nor the tasks' worker.
    async fn start_cut_off(&self, node: usize) {
        let others = (0..3).filter(|other| *other != node);
        let mut paths: Vec<Path> = others.map(|other| Path::Node(node, other)).collect();
        paths.push(Path::Worker(node, self.worker));
        self.scenario.cut(&paths, Cut::BlackHole);
        let restarted = self.scenario.world.node(node).restart();
        restarted.expect("a node that starts");
        self.scenario.pause(START_MS).await;
        assert!(self.scenario.world.leader() == Some((self.leader, self.epoch)));
    }

    /// Cuts the leader off from the store and from all workers but the tasks'.
    fn cut_leader(&self) {
        let mut paths = paths_to_other_workers(&self.scenario, self.leader, self.worker);
        paths.push(Path::Store(self.leader));
        self.scenario.cut(&paths, Cut::BlackHole);
    }

    /// Cuts the follower off from the store, so that it goes on following the leader.
    fn cut_follower(&self) {
        let path = Path::Store(self.follower);
        self.scenario.cut(&[path], Cut::BlackHole);
    }

    /// Waits until another node leads, and until the effects show; returns that node.
    async fn settle(&self) -> usize {
        let successor = self.scenario.leader_after(self.epoch).await;
        let (successor, _) = successor.expect("a successor");
        self.scenario.pause(SETTLE_MS).await;
        assert_never_twice(&self.scenario);
        successor
    }
}

/// Guards against a leader without the store that renews leases as long as the followers that it knows confirm it, while a
/// node that it has never heard leads and takes its worker for lapsed.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_without_the_store_renews_no_lease_once_a_node_that_it_never_heard_may_lead() {
    let started = Unheard::start().await;
    started.cut_leader();
    started.cut_follower();
    assert_eq!(started.settle().await, started.unheard);
}

/// Guards against the same while the leader's follower reaches the store, so that either node may lead next.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_without_the_store_is_followed_no_longer_than_its_successor_waits() {
    let started = Unheard::start().await;
    started.cut_leader();
    started.settle().await;
}

/// Guards against the same by a leader that stood still in between, and wakes before its successor's wait is over.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_stood_still_without_the_store_renews_no_lease_after_an_unheard_node_leads() {
    let started = Unheard::start().await;
    started.cut_leader();
    started.cut_follower();
    let world = &started.scenario.world;
    world.node(started.leader).signal(Signal::STOP);
    started.scenario.pause(STANDS_STILL_MS).await;
    world.node(started.leader).signal(Signal::CONT);
    assert_eq!(started.settle().await, started.unheard);
}

/// Guards against the same by a node that the leader has heard, which stops, starts again at once, and reaches the leader
/// no more.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_without_the_store_counts_on_a_node_that_stopped_and_started_again() {
    let started = Unheard::start().await;
    let reached: Vec<Path> = (0..3).map(|other| Path::Node(2, other)).collect();
    started.scenario.join(&reached);
    started.scenario.pause(FOLLOWERS_KNOWN_MS).await;
    let stopped = started.scenario.stop(started.unheard, Signal::TERM).await;
    stopped.expect("a node that exits");
    started.start_cut_off(started.unheard).await;
    started.cut_leader();
    started.cut_follower();
    assert_eq!(started.settle().await, started.unheard);
}

/// Guards against a service that waits for minutes for one worker that its new leader doesn't reach, after a leader that the
/// new one has never heard has lost its power: the follower of that leader says that it has left it.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_a_lost_leader_start_again_once_its_follower_has_left_it() {
    let started = Unheard::start().await;
    let scenario = &started.scenario;
    started.cut_follower();
    scenario.world.node(started.leader).signal(Signal::STOP);
    let successor = scenario.leader_after(started.epoch).await;
    assert_eq!(successor.expect("a successor").0, started.unheard);
    scenario.join(&[Path::Store(started.follower)]);
    let elsewhere = || {
        let workers = scenario.world.workers.iter().enumerate();
        let others = workers.filter(|(worker, _)| *worker != started.worker);
        let running = others.map(|(_, proxied)| proxied.worker.state.running_count());
        running.sum::<usize>()
    };
    let started_again = scenario
        .until("the tasks start elsewhere", async || {
            elsewhere() == TASKS as usize
        })
        .await;
    started_again.expect("tasks that start again");
    assert_never_twice(scenario);
}

/// Starts a leader with a job's tasks on a worker, and two followers; then the store refuses the leader's commits, the
/// followers don't reach it, and it alone reaches the worker. Returns the leader with its epoch.
async fn start_refused(scenario: &Scenario) -> (usize, u64) {
    let (leader, epoch) = scenario.leader_after(0).await.expect("a leader");
    let worker = start_tasks(scenario).await;
    scenario.pause(FOLLOWERS_KNOWN_MS).await;
    let mut paths = paths_to_other_workers(scenario, leader, worker);
    for follower in (0..3).filter(|node| *node != leader) {
        paths.push(Path::Node(follower, leader));
        paths.push(Path::Worker(follower, worker));
    }
    scenario.cut(&paths, Cut::BlackHole);
    let parts = BTreeSet::from([record::SCHEDULER_PARTITION.to_owned()]);
    scenario.world.views[leader].refuse_parts(parts);
    (leader, epoch)
}

/// Submits a job to a node that the store answers, and checks what the three leaders do with it.
async fn submit_second_job(scenario: &Scenario, node: usize) {
    let is_accepted = scenario.submit_to(node, SECOND_JOB, 1, SPEC).await;
    assert!(is_accepted);
    scenario.pause(SETTLE_MS).await;
    assert_never_twice(scenario);
    let runs = scenario.world.checker.running(SECOND_JOB);
    assert_eq!(runs, 1, "logs in {}", scenario.world.keep_logs().display());
}

/// Guards against a leader that finds the duty released, and starts a new job at once, while the leader before the last one
/// still starts jobs that it reads.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_after_a_released_duty_waits_for_the_leader_before_the_last() {
    let scenario = start(3).await;
    let (_, first) = start_refused(&scenario).await;
    let (second, epoch) = scenario.leader_after(first).await.expect("a successor");
    scenario.world.node(second).signal(Signal::TERM);
    let (third, _) = scenario.leader_after(epoch).await.expect("a third leader");
    submit_second_job(&scenario, third).await;
}

/// Guards against the same by a leader whose predecessor's process was killed and runs again.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_after_a_restarted_process_waits_for_the_leader_before_the_last() {
    let scenario = start(3).await;
    let (_, first) = start_refused(&scenario).await;
    let (second, epoch) = scenario.leader_after(first).await.expect("a successor");
    let stopped = scenario.stop(second, Signal::KILL).await;
    stopped.expect("a node that exits");
    let restarted = scenario.world.node(second).restart();
    restarted.expect("a node that starts");
    let (third, _) = scenario.leader_after(epoch).await.expect("a third leader");
    submit_second_job(&scenario, third).await;
}

/// Guards against a leader that takes a worker for lapsed which it lost before it lost the store, while its successor renews
/// the worker's leases.
#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_leader_does_not_take_a_worker_for_lapsed_that_its_successor_reaches() {
    let scenario = start(3).await;
    let (leader, epoch) = scenario.leader_after(0).await.expect("a leader");
    let worker = start_tasks(&scenario).await;
    scenario.pause(FOLLOWERS_KNOWN_MS).await;
    scenario.cut(&[Path::Worker(leader, worker)], Cut::BlackHole);
    scenario.pause(WORKER_SILENT_MS).await;
    // The queue's pool has the workers 0 and 2.
    let other = 2 - worker;
    let mut paths = paths_to_other_workers(&scenario, leader, other);
    paths.push(Path::Store(leader));
    for follower in (0..3).filter(|node| *node != leader) {
        paths.push(Path::Node(follower, leader));
        paths.push(Path::Worker(follower, other));
    }
    scenario.cut(&paths, Cut::BlackHole);
    scenario.leader_after(epoch).await.expect("a successor");
    scenario.pause(SETTLE_MS).await;
    assert_never_twice(&scenario);
}
