//! Implements the `dev` command.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusBuilder;
use serde::Serialize;
use tokio::task::JoinHandle;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wasabiloft::id;
use wasabiloft_node::documents;
use wasabiloft_node::node;
use wasabiloft_node::settings;
use wasabiloft_standins::deployment;
use wasabiloft_standins::load;
use wasabiloft_standins::platform;

use crate::dev_faults;
use crate::dev_watch;
use crate::keys;
use crate::util;

const USAGE: &str = "\
Runs a whole deployment in one process: the stand-in platform, entry nodes with real sockets, endpoints,
workers and a light load. Meanwhile it edits documents and submits jobs, as operators do.

Usage:
    wasabiloft dev [--run-s N] [--seed N] [--faults] [--json] DIR

DIR holds deployment.toml and the folders services and jobs. Ctrl-C stops it gracefully. The last line is a JSON
object. Exits with 0 only if every guarantee that was checked held.

Options:
    --run-s N     Stop after N seconds; default: run until Ctrl-C.
    --seed N      Seed of the load and of the stand-ins; default: 1.
    --faults      Inject faults by the seed: store outages, lost replies, bad endpoints, VMs and workers.
    --json        Print only the JSON object.
    -h, --help    Show this text.
";

/// Load of each request kind, in requests per second.
const RATE_PER_S: f64 = 20.0;
/// Interval between checks of the nodes' readiness during startup, in milliseconds.
const READY_POLL_MS: u64 = 50;

struct Args {
    dir: PathBuf,
    run_s: Option<u64>,
    seed: u64,
    faults: bool,
    json: bool,
}

/// Result of a run, printed as its last line.
#[derive(Debug, Serialize)]
struct Summary {
    requests_total: u64,
    answered_total: u64,
    refused_not_run_total: u64,
    may_have_run_total: u64,
    no_answer_total: u64,
    executed_twice_total: u64,
    ran_though_refused_total: u64,
    never_ran_total: u64,
    foreign_answers_total: u64,
    requests_cut_total: u64,
    over_slots_total: u64,
    vms_maintained_total: u64,
    budget_breaches_total: u64,
    jobs_submitted_total: u64,
    jobs_finished_total: u64,
    jobs_lost_total: u64,
    jobs_started_twice_total: u64,
    tasks_cut_total: u64,
    faults_total: u64,
    edits_accepted_total: u64,
    edits_late_total: u64,
    edits_reverted_total: u64,
    config_lag_p50_ms: u64,
    config_lag_p99_ms: u64,
    store_writes_total: u64,
    store_reads_total: u64,
}

pub fn run(argv: &[OsString]) -> Result<ExitCode, util::Error> {
    let Some(args) = parse(argv)? else {
        return Ok(util::help(USAGE));
    };
    let summary = util::block_on(dev(&args))?;
    let line = serde_json::to_string(&summary).map_err(util::Error::failed)?;
    println!("{line}");
    Ok(if all_guarantees_held(&summary) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn parse(argv: &[OsString]) -> Result<Option<Args>, util::Error> {
    use lexopt::prelude::*;

    let mut dir = None;
    let mut run_s = None;
    let mut seed = 1;
    let mut faults = false;
    let mut json = false;
    let mut parser = util::parser(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("run-s") => run_s = Some(parser.value()?.parse()?),
            Long("seed") => seed = parser.value()?.parse()?,
            Long("faults") => faults = true,
            Long("json") => json = true,
            Value(value) if dir.is_none() => dir = Some(PathBuf::from(value)),
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    let dir = dir.ok_or_else(|| util::Error::usage(USAGE))?;
    Ok(Some(Args {
        dir,
        run_s,
        seed,
        faults,
        json,
    }))
}

fn all_guarantees_held(summary: &Summary) -> bool {
    let violations = summary.executed_twice_total
        + summary.ran_though_refused_total
        + summary.never_ran_total
        + summary.foreign_answers_total
        + summary.requests_cut_total
        + summary.over_slots_total
        + summary.budget_breaches_total
        + summary.jobs_lost_total
        + summary.jobs_started_twice_total
        + summary.tasks_cut_total
        + summary.edits_late_total
        + summary.edits_reverted_total;
    violations == 0
}

async fn dev(args: &Args) -> Result<Summary, util::Error> {
    let deployment = deployment::read(&args.dir).map_err(util::Error::failed)?;
    let documents = deployment::read_documents(&args.dir).map_err(util::Error::failed)?;
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let platform = platform::Platform::start(any, &deployment, args.seed)
        .await
        .map_err(util::Error::failed)?;
    let keys = tempfile::tempdir().map_err(util::Error::failed)?;
    let nodes = start_nodes(&deployment, platform.address(), keys.path()).await?;
    put_documents(&nodes[0], &documents).await?;
    wait_until_ready(&nodes, documents.len()).await;
    let entries: Vec<_> = nodes.iter().map(node::Node::address).collect();
    print_progress(
        args,
        &format!(
            "{}: {} entry nodes at {entries:?}",
            deployment.name,
            entries.len()
        ),
    );
    let jobs = dev_watch::read_jobs(&args.dir)?;
    let not_idempotent = jobs.iter().filter(|spec| !spec.idempotent);
    let not_idempotent: Vec<_> = not_idempotent.map(wasabiloft::job::Spec::job).collect();
    let stop_load = CancellationToken::new();
    let background =
        BackgroundTasks::start(&entries, platform.address(), &documents, jobs, &stop_load);
    let streams = streams(&documents);
    let load = tokio::spawn(load::run(entries, streams, args.seed, stop_load.clone()));
    let faults_total = wait_for_end(args, &platform).await;
    print_progress(args, "stopping");
    stop_load.cancel();
    let answers = load.await.map_err(util::Error::failed)?;
    let observations = background.finish().await?;
    for node in nodes {
        node.stop().await;
    }
    let breaches = answers.check(&platform.tally().executions());
    let report = platform.report();
    let starts = platform.starts_of_jobs();
    let started_twice = not_idempotent
        .iter()
        .filter(|job| starts.get(job).is_some_and(|starts| *starts > 1));
    let started_twice = started_twice.count() as u64;
    platform.stop().await;
    let mut summary = summary(&answers, &breaches, &report, &observations);
    summary.jobs_started_twice_total = started_twice;
    summary.faults_total = faults_total;
    Ok(summary)
}

/// Background tasks that run during the load.
struct BackgroundTasks {
    edits: JoinHandle<dev_watch::Edits>,
    pools: JoinHandle<dev_watch::Pools>,
    jobs: JoinHandle<dev_watch::Jobs>,
}

/// Results of the background tasks.
struct Observations {
    edits: dev_watch::Edits,
    pools: dev_watch::Pools,
    jobs: dev_watch::Jobs,
}

impl BackgroundTasks {
    fn start(
        entries: &[SocketAddr],
        platform: SocketAddr,
        documents: &[(String, wasabiloft::document::Document)],
        jobs: Vec<wasabiloft::job::Spec>,
        stop: &CancellationToken,
    ) -> Self {
        let parsed_documents = documents
            .iter()
            .map(|(_, document)| document.clone())
            .collect();
        let edits = dev_watch::edit(entries.to_vec(), documents.to_vec(), stop.clone());
        let pools = dev_watch::watch_pools(entries[0], platform, parsed_documents, stop.clone());
        let jobs = dev_watch::run_jobs(entries.to_vec(), jobs, stop.clone());
        Self {
            edits: tokio::spawn(edits),
            pools: tokio::spawn(pools),
            jobs: tokio::spawn(jobs),
        }
    }

    async fn finish(self) -> Result<Observations, util::Error> {
        Ok(Observations {
            edits: self.edits.await.map_err(util::Error::failed)?,
            pools: self.pools.await.map_err(util::Error::failed)?,
            jobs: self.jobs.await.map_err(util::Error::failed)?,
        })
    }
}

fn print_progress(args: &Args, line: &str) {
    if !args.json {
        println!("{line}");
    }
}

async fn start_nodes(
    deployment: &deployment::Deployment,
    platform: SocketAddr,
    keys_dir: &Path,
) -> Result<Vec<node::Node>, util::Error> {
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(util::Error::failed)?;
    let names = (1..=deployment.entry_nodes).map(|number| format!("entry-{number}"));
    let names: Vec<String> = names.collect();
    keys::create(keys_dir, &names)?;
    let mut nodes = Vec::new();
    for (index, name) in names.iter().enumerate() {
        let data_centre_index = index % deployment.data_centres.len();
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let settings = settings::Settings {
            name: id::Node::new(name),
            data_centre: deployment.data_centres[data_centre_index].name.clone(),
            listen: any,
            peer_listen: any,
            platform,
            tls: Some(keys::files(keys_dir, name)),
            fleet: settings::Fleet::default(),
            peers: BTreeMap::new(),
        };
        let node = node::Node::start(settings, metrics.clone()).await;
        nodes.push(node.map_err(util::Error::failed)?);
    }
    Ok(nodes)
}

async fn put_documents(
    node: &node::Node,
    documents: &[(String, wasabiloft::document::Document)],
) -> Result<(), util::Error> {
    let writes = documents
        .iter()
        .map(|(text, document)| node.write_document(&document.service, 0, text));
    let edits = futures_util::future::join_all(writes).await;
    for (edit, (_, document)) in edits.into_iter().zip(documents) {
        if !matches!(edit, documents::EditOutcome::Accepted(_)) {
            let message = format!("document of {} not accepted: {edit:?}", document.service);
            return Err(util::Error::failed(message));
        }
    }
    Ok(())
}

async fn wait_until_ready(nodes: &[node::Node], documents: usize) {
    let has_all_documents =
        |node: &node::Node| node.is_ready() && node.documents_total() == documents;
    while !nodes.iter().all(has_all_documents) {
        time::sleep(Duration::from_millis(READY_POLL_MS)).await;
    }
}

/// Waits for the end of the run and injects faults meanwhile if requested. Returns the number of faults.
async fn wait_for_end(args: &Args, platform: &platform::Platform) -> u64 {
    let limit = async {
        match args.run_s {
            Some(run_s) => time::sleep(Duration::from_secs(run_s)).await,
            None => std::future::pending().await,
        }
    };
    let ended = CancellationToken::new();
    let end = async {
        tokio::select! {
            () = limit => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        ended.cancel();
    };
    let faults = async {
        match args.faults {
            true => {
                let print_progress = |line: &str| print_progress(args, line);
                dev_faults::run(platform, args.seed, ended.clone(), print_progress).await
            }
            false => 0,
        }
    };
    let ((), faults_total) = tokio::join!(end, faults);
    faults_total
}

fn streams(documents: &[(String, wasabiloft::document::Document)]) -> Vec<load::Stream> {
    let mut streams = Vec::new();
    for (_, document) in documents {
        for kind in &document.kinds {
            streams.push(load::Stream::of(document, kind, RATE_PER_S));
        }
    }
    streams
}

fn summary(
    answers: &load::Answers,
    breaches: &load::Breaches,
    report: &platform::Report,
    observations: &Observations,
) -> Summary {
    let ran = answers.total(|tally| tally.ran_total);
    let not_run = answers.total(|tally| tally.not_run_total);
    let may_have_run = answers.total(|tally| tally.may_have_run_total);
    Summary {
        requests_total: answers.total(|tally| tally.sent_total),
        answered_total: ran + not_run + may_have_run,
        refused_not_run_total: not_run,
        may_have_run_total: may_have_run,
        no_answer_total: answers.total(|tally| tally.no_answer_total),
        executed_twice_total: breaches.executed_twice_total,
        ran_though_refused_total: breaches.ran_though_refused_total,
        never_ran_total: breaches.never_ran_total,
        foreign_answers_total: breaches.foreign_answers_total,
        requests_cut_total: report.endpoints.cut_total,
        over_slots_total: report.endpoints.over_slots_total,
        vms_maintained_total: report.reboots_total,
        budget_breaches_total: observations.pools.breaches_total,
        jobs_submitted_total: observations.jobs.submitted_total,
        jobs_finished_total: observations.jobs.finished_total,
        jobs_lost_total: observations.jobs.lost_total,
        jobs_started_twice_total: 0,
        tasks_cut_total: report.tasks_cut_total,
        faults_total: 0,
        edits_accepted_total: observations.edits.accepted_total,
        edits_late_total: observations.edits.late_total,
        edits_reverted_total: observations.edits.reverted_total,
        config_lag_p50_ms: observations.edits.quantile_ms(0.5),
        config_lag_p99_ms: observations.edits.quantile_ms(0.99),
        store_writes_total: report.store.writes_total,
        store_reads_total: report.store.reads_total,
    }
}
