//! Tests eight real daemons under faults. Compares the requests that the endpoints executed with the outcomes that were
//! reported to callers.

use rustix::process::Signal;
use tokio_util::sync::CancellationToken;
use wasabiloft_standins::load;

use crate::processes::Deployment;

/// Load of each request kind, in requests per second.
const RATE_PER_S: f64 = 15.0;
/// Number of requests that the endpoints finish between two steps of a test.
const REQUESTS_PER_STEP: u64 = 300;

fn streams(deployment: &Deployment) -> Vec<load::Stream> {
    let mut streams = Vec::new();
    for (_, document) in &deployment.documents() {
        for kind in &document.kinds {
            streams.push(load::Stream::of(document, kind, RATE_PER_S));
        }
    }
    streams
}

/// Load that runs in the background during a test.
struct Load {
    stop: CancellationToken,
    task: tokio::task::JoinHandle<load::Answers>,
}

impl Load {
    fn start(deployment: &Deployment) -> Self {
        let stop = CancellationToken::new();
        let entries = deployment.entries();
        let task = tokio::spawn(load::run(entries, streams(deployment), 1, stop.clone()));
        Self { stop, task }
    }

    async fn stop(self) -> load::Answers {
        self.stop.cancel();
        self.task
            .await
            .expect("the load stops when it is cancelled")
    }
}

fn assert_guarantees(deployment: &Deployment, answers: &load::Answers) {
    let breaches = answers.check(&deployment.platform.tally().executions());
    assert!(breaches.is_clean(), "{breaches:?}");
    let report = deployment.platform.report();
    assert_eq!(report.endpoints.over_slots_total, 0, "{report:?}");
    assert_eq!(report.endpoints.over_connections_total, 0, "{report:?}");
    assert!(answers.total(|tally| tally.ran_total) > REQUESTS_PER_STEP);
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_stay_true_while_a_node_is_killed_and_another_paused() {
    let mut deployment = Deployment::start("cadenas", 8).await;
    let load = Load::start(&deployment);
    deployment.wait_for_requests(REQUESTS_PER_STEP).await;
    deployment.nodes[7].signal(Signal::KILL);
    deployment.wait_for_requests(REQUESTS_PER_STEP).await;
    deployment.nodes[6].signal(Signal::STOP);
    deployment.wait_for_requests(REQUESTS_PER_STEP).await;
    deployment.nodes[6].signal(Signal::CONT);
    deployment.wait_for_requests(REQUESTS_PER_STEP).await;
    let answers = load.stop().await;
    assert_guarantees(&deployment, &answers);
    assert!(
        !deployment.nodes[7].wait().await,
        "the killed node must not exit with success"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_a_node_cuts_no_request() {
    let mut deployment = Deployment::start("cadenas", 8).await;
    let load = Load::start(&deployment);
    deployment.wait_for_requests(REQUESTS_PER_STEP).await;
    deployment.nodes[0].signal(Signal::TERM);
    let mut stopping = deployment.nodes.remove(0);
    assert!(stopping.wait().await, "the node must exit with success");
    deployment.wait_for_requests(REQUESTS_PER_STEP).await;
    let answers = load.stop().await;
    assert_guarantees(&deployment, &answers);
    assert_eq!(answers.total(|tally| tally.may_have_run_total), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_stay_true_while_connections_go_silent_and_break() {
    let deployment = Deployment::start("cadenas", 8).await;
    let load = Load::start(&deployment);
    deployment.wait_for_requests(REQUESTS_PER_STEP).await;
    deployment.nodes[2].entry.silence_open();
    deployment.nodes[3].to_platform.silence_open();
    deployment.wait_for_requests(REQUESTS_PER_STEP).await;
    let cut = wasabiloft_standins::proxy::Fault {
        cut: true,
        ..Default::default()
    };
    deployment.nodes[4].entry.set(cut);
    deployment.wait_for_requests(REQUESTS_PER_STEP).await;
    deployment.nodes[4].entry.set(Default::default());
    deployment.wait_for_requests(REQUESTS_PER_STEP).await;
    let answers = load.stop().await;
    assert_guarantees(&deployment, &answers);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_while_the_store_is_out() {
    let deployment = Deployment::start("cadenas", 8).await;
    let load = Load::start(&deployment);
    deployment.wait_for_requests(REQUESTS_PER_STEP).await;
    deployment
        .platform
        .set_faults(wasabiloft_standins::faults::Faults {
            store_outage: true,
            ..Default::default()
        });
    for _ in 0..8 {
        deployment.wait_for_requests(REQUESTS_PER_STEP).await;
    }
    deployment.platform.set_faults(Default::default());
    deployment.wait_for_requests(REQUESTS_PER_STEP).await;
    let answers = load.stop().await;
    assert_guarantees(&deployment, &answers);
}
