//! Tests of operators' commands against real daemons.

use crate::processes::Deployment;
use crate::workdir;

const JOB: &str = "examples/cadenas/jobs/bill-season.toml";

fn json(output: &std::process::Output) -> serde_json::Value {
    assert!(output.status.success(), "{output:?}");
    serde_json::from_str(&workdir::stdout(output)).expect("the output is JSON")
}

fn job_text() -> String {
    std::fs::read_to_string(workdir::repository(JOB)).expect("the example exists")
}

#[tokio::test(flavor = "multi_thread")]
async fn status_and_vms_show_each_pool_and_vm_once() {
    let deployment = Deployment::start("cadenas", 3).await;
    deployment.wait_for_rows().await;
    let pools = json(&deployment.run_command(&["status", "--json"]));
    let mut names: Vec<_> = pools.as_array().into_iter().flatten().collect();
    names.sort_by_key(|pool| pool["pool"].to_string());
    assert_eq!(names.len(), 6, "{pools}");
    let vms = json(&deployment.run_command(&["vm", "--json"]));
    let mut vms: Vec<_> = vms.as_array().into_iter().flatten().collect();
    vms.sort_by_key(|vm| vm["vm"].to_string());
    vms.dedup_by_key(|vm| vm["vm"].to_string());
    assert_eq!(vms.len(), 50);
    let marked = deployment.run_command(&["vm", "vm-0050", "hold"]);
    assert!(marked.status.success(), "{marked:?}");
    let unknown = deployment.run_command(&["vm", "vm-9999", "hold"]);
    assert_eq!(unknown.status.code(), Some(1), "{unknown:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_the_same_job_when_it_is_submitted_again_and_ends_once() {
    let deployment = Deployment::start("cadenas", 3).await;
    deployment.create("job.toml", &job_text());
    let first = deployment.run_command(&["job", "submit", "job.toml"]);
    assert!(first.status.success(), "{first:?}");
    let again = deployment.run_command(&["job", "submit", "job.toml"]);
    assert_eq!(workdir::stdout(&first), workdir::stdout(&again));
    let name = workdir::stdout(&first).trim().to_owned();
    let waited = deployment.run_command(&["job", "wait", &name]);
    assert!(waited.status.success(), "{waited:?}");
    let starts = deployment.platform.starts_of_jobs();
    assert_eq!(starts.get(&name.as_str().into()), Some(&1), "{starts:?}");
    let stranger = deployment.run_command(&["job", "cancel", &name, "--team", "counters"]);
    assert_eq!(stranger.status.code(), Some(1), "{stranger:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_with_the_pool_of_another_service_is_refused() {
    let deployment = Deployment::start("cadenas", 1).await;
    let text = workdir::example("cadenas/services/returns.toml");
    deployment.create(
        "other.toml",
        &text.replace("pool = \"returns\"", "pool = \"billing\""),
    );
    let planned = deployment.run_command(&["plan", "other.toml"]);
    let plan = workdir::stdout(&planned);
    assert!(
        plan.contains("leaves pool returns for pool billing"),
        "{planned:?}"
    );
    let applied = deployment.run_command(&["apply", "other.toml"]);
    assert_eq!(applied.status.code(), Some(1), "{applied:?}");
    let message = String::from_utf8_lossy(&applied.stderr);
    assert!(
        message.contains("belongs to service `billing`"),
        "{message}"
    );
}
