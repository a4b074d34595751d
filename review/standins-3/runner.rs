//! A runner: keeps fences, leases and run numbers, runs tasks and reports their ends. It can crash and start again.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Reply, Request, Server};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Longest lease, in milliseconds.
const HOLD_MAX_MS: u64 = 10_000;
/// Interval between two writes of the runner's entry, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;
/// Time until a task that lasts is at work, in milliseconds.
const STARTUP_MS: u64 = 300;
/// Interval at which a long poll and the runs are checked, in milliseconds.
const CHECK_MS: u64 = 4;

/// What a runner is at one time.
#[derive(Clone, Debug)]
pub struct Kind {
    pub label: String,
    pub cpu: u64,
}

/// What a spec tells a task to do: words `work=MS`, `cpu=N`, `lasts` and `fails`.
#[derive(Clone, Copy)]
struct Work {
    ms: u64,
    cpu: u64,
    lasts: bool,
    fails: bool,
}

impl Work {
    fn parse(spec: &str) -> Self {
        let mut work = Self {
            ms: 500,
            cpu: 500,
            lasts: false,
            fails: false,
        };
        for word in spec.split(' ') {
            match word.split_once('=') {
                Some(("work", text)) => work.ms = text.parse().unwrap_or(work.ms),
                Some(("cpu", text)) => work.cpu = text.parse().unwrap_or(work.cpu),
                _ => {
                    work.lasts |= word == "lasts";
                    work.fails |= word == "fails";
                }
            }
        }
        work
    }
}

struct Running {
    run: u64,
    work: Work,
    since: Instant,
    stops_at: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// One life of the runner.
struct Life {
    id: String,
    kind: Kind,
    born_unix_ms: u64,
    since: Instant,
    fence: u64,
    until_ms: u64,
    running: BTreeMap<String, Running>,
    highest: BTreeMap<String, u64>,
    ends: Vec<End>,
    last_end: u64,
}

impl Life {
    fn new(id: &str, kind: &Kind) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            id: id.to_owned(),
            kind: kind.clone(),
            born_unix_ms: unix.as_millis() as u64,
            since: Instant::now(),
            fence: 0,
            until_ms: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.since.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str, record: &Record) {
        if let Some(running) = self.running.remove(task) {
            self.last_end += 1;
            record.line(&format!(
                "run: end {task} run {} on {}: {how}",
                running.run, self.id
            ));
            let (number, run) = (self.last_end, running.run);
            self.ends.push(End {
                number,
                task: task.to_owned(),
                run,
                how,
            });
        }
    }

    /// Ends the runs that are over.
    fn advance(&mut self, record: &Record) {
        let has_lapsed = self.clock_ms() > self.until_ms;
        let now = Instant::now();
        let over = self.running.iter().filter_map(|(task, running)| {
            let worked_ms = running.since.elapsed().as_millis() as u64;
            let how = if running.stops_at.is_some_and(|at| now >= at) {
                "stopped"
            } else if !running.work.lasts && worked_ms >= running.work.ms {
                if running.work.fails { "failed" } else { "done" }
            } else if has_lapsed {
                "lapsed"
            } else {
                return None;
            };
            Some((task.clone(), how))
        });
        for (task, how) in over.collect::<Vec<_>>() {
            self.end(&task, how, record);
        }
    }

    fn used_cpu(&self) -> u64 {
        self.running.values().map(|running| running.work.cpu).sum()
    }
}

/// A start that a runner has carried out.
#[derive(Clone, Debug)]
pub struct Started {
    pub at_ms: u64,
    pub task: String,
    pub runner: String,
    /// Kind of the runner at that time.
    pub kind: Kind,
}

/// A runner on its machine.
pub struct Runner {
    pub machine: String,
    service: String,
    enforces: bool,
    record: Arc<Record>,
    store: Arc<Store>,
    life: Mutex<Option<Life>>,
    server: Mutex<Option<Server>>,
    port: Mutex<u16>,
    seq: Mutex<u64>,
    starts: Arc<Mutex<Vec<Started>>>,
    /// Whether starts are answered with 503 and not carried out.
    sick: Mutex<bool>,
    /// Whether the runner reaches the store.
    registers: Mutex<bool>,
    /// Fence of the node whose calls are lost.
    lost_fence: Mutex<Option<u64>>,
    /// What the list of machines shows while only the runner's process is down, and its machine up.
    shown: Mutex<Option<(String, Kind)>>,
}

impl Runner {
    pub fn start(
        machine: &str,
        id: &str,
        service: &str,
        kind: &Kind,
        enforces: bool,
        record: &Arc<Record>,
        store: &Arc<Store>,
        starts: &Arc<Mutex<Vec<Started>>>,
    ) -> io::Result<Arc<Self>> {
        let runner = Arc::new(Self {
            machine: machine.to_owned(),
            service: service.to_owned(),
            enforces,
            record: Arc::clone(record),
            store: Arc::clone(store),
            life: Mutex::new(None),
            server: Mutex::new(None),
            port: Mutex::new(0),
            seq: Mutex::new(0),
            starts: Arc::clone(starts),
            sick: Mutex::new(false),
            registers: Mutex::new(true),
            lost_fence: Mutex::new(None),
            shown: Mutex::new(None),
        });
        runner.begin(id, kind)?;
        runner.register();
        let beating = Arc::downgrade(&runner);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
                let Some(runner) = beating.upgrade() else {
                    return;
                };
                runner.register();
            }
        });
        let working = Arc::downgrade(&runner);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(CHECK_MS));
                let Some(runner) = working.upgrade() else {
                    return;
                };
                if let Some(life) = &mut *runner.life.lock().unwrap() {
                    life.advance(&runner.record);
                }
            }
        });
        Ok(runner)
    }

    /// Begins a life at the runner's address.
    pub fn begin(self: &Arc<Self>, id: &str, kind: &Kind) -> io::Result<()> {
        *self.life.lock().unwrap() = Some(Life::new(id, kind));
        *self.shown.lock().unwrap() = None;
        let handler = Arc::clone(self);
        let port = *self.port.lock().unwrap();
        let server = Server::start(port, move |request| handler.handle(request))?;
        *self.port.lock().unwrap() = server.address.port();
        *self.server.lock().unwrap() = Some(server);
        self.record.line(&format!(
            "runner {id} starts: kind {} with {} thousandths of a core",
            kind.label, kind.cpu
        ));
        Ok(())
    }

    /// Ends the runner at once, with all that runs there.
    pub fn crash(&self) {
        if let Some(life) = self.life.lock().unwrap().as_ref() {
            let tasks: Vec<&str> = life.running.keys().map(String::as_str).collect();
            let line = format!("runner {} crashes with {}", life.id, tasks.join(", "));
            self.record.line(&line);
        }
        self.end();
    }

    /// Ends the runner with the case.
    pub fn end(&self) {
        *self.life.lock().unwrap() = None;
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
    }

    /// Ends the runner's process at once; its machine stays up, and the process is to start again under its id.
    pub fn crash_process(&self) {
        let life = self.life.lock().unwrap();
        *self.shown.lock().unwrap() = life
            .as_ref()
            .map(|life| (life.id.clone(), life.kind.clone()));
        drop(life);
        self.crash();
    }

    /// Loses all calls of the node that leads after the present leader, or of none.
    pub fn set_cut_from_next_leader(&self, cut: bool) {
        let life = self.life.lock().unwrap();
        let fence = life.as_ref().map_or(0, |life| life.fence) + 1;
        let mut lost_fence = self.lost_fence.lock().unwrap();
        *lost_fence = cut.then_some(fence);
        self.record.line(&format!(
            "runner {}: calls of the next leader {}",
            self.machine,
            if cut { "are lost" } else { "arrive again" }
        ));
    }

    /// Returns the tasks that run.
    pub fn tasks(&self) -> Vec<String> {
        let life = self.life.lock().unwrap();
        let tasks = life.as_ref().map(|life| life.running.keys().cloned());
        tasks.into_iter().flatten().collect()
    }

    /// Returns the processor capacity in use, in thousandths of a core.
    pub fn used_cpu(&self) -> u64 {
        let life = self.life.lock().unwrap();
        life.as_ref().map_or(0, Life::used_cpu)
    }

    /// Returns the id of the present life.
    pub fn id(&self) -> Option<String> {
        self.life
            .lock()
            .unwrap()
            .as_ref()
            .map(|life| life.id.clone())
    }

    pub fn set_sick(&self, sick: bool) {
        *self.sick.lock().unwrap() = sick;
        self.record.line(&format!(
            "runner {}: starts are {}",
            self.machine,
            if sick {
                "answered with 503"
            } else {
                "carried out"
            }
        ));
    }

    pub fn set_registers(&self, registers: bool) {
        *self.registers.lock().unwrap() = registers;
        self.record.line(&format!(
            "runner {}: {} the store",
            self.machine,
            if registers {
                "reaches"
            } else {
                "is cut off from"
            }
        ));
    }

    /// Writes the runner's entry.
    fn register(&self) {
        if !*self.registers.lock().unwrap() {
            return;
        }
        let life = self.life.lock().unwrap();
        let Some(life) = life.as_ref() else { return };
        let mut seq = self.seq.lock().unwrap();
        *seq += 1;
        let address = format!("127.0.0.1:{}", self.port.lock().unwrap());
        let entry = Json::object(&[
            ("service", Json::text(&self.service)),
            ("address", Json::text(&address)),
            ("zone", Json::text("suva")),
            ("version", Json::text("v1")),
            ("slots", Json::number(8)),
            ("state", Json::text("ready")),
            ("coldLeftMs", Json::number(0)),
            ("seq", Json::number(*seq)),
            ("born", Json::number(life.born_unix_ms)),
            ("clockMs", Json::number(life.clock_ms())),
            ("capacity", capacity(&life.kind)),
            ("labels", labels(&life.kind)),
        ]);
        self.store.put("servers", &life.id, &entry.to_string());
    }

    /// Returns the machine's entry in the list.
    pub fn machine_entry(&self) -> Json {
        let life = self.life.lock().unwrap();
        let shown = self.shown.lock().unwrap().clone();
        let shown = life
            .as_ref()
            .map(|life| (life.id.clone(), life.kind.clone()))
            .or(shown);
        let (state, id) = match &shown {
            Some((id, _)) => ("up", Json::text(id)),
            None => ("down", Json::Null),
        };
        let off = Kind {
            label: "a".into(),
            cpu: 8_000,
        };
        let kind = shown.as_ref().map_or(&off, |(_, kind)| kind);
        Json::object(&[
            ("machine", Json::text(&self.machine)),
            ("pool", Json::text(&self.service)),
            ("state", Json::text(state)),
            ("zone", Json::text("suva")),
            ("labels", labels(kind)),
            ("capacity", capacity(kind)),
            ("id", id),
        ])
    }

    fn handle(&self, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".into());
        };
        let lost_fence = *self.lost_fence.lock().unwrap();
        if lost_fence.is_some_and(|fence| body.field("fenceToken") == fence) {
            return Reply::Silent;
        }
        if request.path == "/hold" {
            return self.hold(request, &body);
        }
        let is_start = request.path == "/run-start";
        if is_start && *self.sick.lock().unwrap() {
            self.record.line(&format!(
                "run: start {} run {} on {}: 503",
                body.word("task"),
                body.field("runId"),
                self.machine
            ));
            return Reply::Answer(503, "{}".into());
        }
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return Reply::Silent;
        };
        life.advance(&self.record);
        if let Some(refusal) = refuse(life, request, &body) {
            return refusal;
        }
        let clock = Json::object(&[("clockMs", Json::number(life.clock_ms()))]).to_string();
        let (task, run) = (body.word("task").to_owned(), body.field("runId"));
        match request.path.as_str() {
            "/run-start" => self.start_run(life, &body, &task, run),
            "/run-stop" => {
                let highest = life.highest.entry(task.clone()).or_default();
                *highest = run.max(*highest);
                if let Some(running) = life
                    .running
                    .get_mut(&task)
                    .filter(|running| running.run == run && running.stops_at.is_none())
                {
                    running.stops_at = Some(Instant::now() + Duration::from_millis(50));
                    let line = format!("run: stop {task} run {run} on {}", life.id);
                    self.record.line(&line);
                }
                Reply::Answer(200, clock)
            }
            "/pace" => Reply::Answer(200, clock),
            _ => Reply::Answer(404, "{}".into()),
        }
    }

    fn start_run(&self, life: &mut Life, body: &Json, task: &str, run: u64) -> Reply {
        let clock_ms = life.clock_ms();
        let answer = |status: u16, reason: &str| {
            let mut fields = vec![("clockMs", Json::number(clock_ms))];
            if !reason.is_empty() {
                fields.push(("reason", Json::text(reason)));
            }
            self.record.line(&format!(
                "run: start {task} run {run} on {}: {status} {reason}",
                self.machine
            ));
            Reply::Answer(status, Json::object(&fields).to_string())
        };
        let present = life.running.get(task).map(|running| running.run);
        if present == Some(run) {
            return answer(200, "");
        }
        let until_ms = body.field("untilMs");
        if until_ms <= clock_ms {
            return answer(409, "late");
        }
        life.until_ms = life.until_ms.max(until_ms.min(clock_ms + HOLD_MAX_MS));
        if present.is_some() || run <= life.highest.get(task).copied().unwrap_or(0) {
            return answer(409, "old");
        }
        let work = Work::parse(body.word("spec"));
        let used_cpu = life.used_cpu() + work.cpu;
        if self.enforces && used_cpu > life.kind.cpu {
            return answer(409, "room");
        }
        life.highest.insert(task.to_owned(), run);
        let running = Running {
            run,
            work,
            since: Instant::now(),
            stops_at: None,
        };
        life.running.insert(task.to_owned(), running);
        self.starts.lock().unwrap().push(Started {
            at_ms: self.record.now_ms(),
            task: task.to_owned(),
            runner: life.id.clone(),
            kind: life.kind.clone(),
        });
        answer(200, "")
    }

    fn hold(&self, request: &Request, body: &Json) -> Reply {
        {
            let mut guard = self.life.lock().unwrap();
            let Some(life) = guard.as_mut() else {
                return Reply::Silent;
            };
            life.advance(&self.record);
            if let Some(refusal) = refuse(life, request, body) {
                return refusal;
            }
            let until_ms = body.field("untilMs").min(life.clock_ms() + HOLD_MAX_MS);
            life.until_ms = life.until_ms.max(until_ms);
            let acknowledged = body.field("ackIndex");
            life.ends.retain(|end| end.number > acknowledged);
        }
        let wait_ms = body.field("waitMs").min(2_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let mut guard = self.life.lock().unwrap();
            let Some(life) = guard.as_mut() else {
                return Reply::Silent;
            };
            life.advance(&self.record);
            if !life.ends.is_empty() || Instant::now() >= until {
                return Reply::Answer(200, report(life));
            }
            drop(guard);
            thread::sleep(Duration::from_millis(CHECK_MS));
        }
    }
}

fn capacity(kind: &Kind) -> Json {
    Json::object(&[
        ("cpu", Json::number(kind.cpu)),
        ("memMb", Json::number(32_768)),
        ("gpu", Json::number(0)),
    ])
}

fn labels(kind: &Kind) -> Json {
    Json::List(vec![Json::text(&kind.label), Json::text("r1-1")])
}

/// Returns the refusal of an order for another life, or with an older fence.
fn refuse(life: &mut Life, request: &Request, body: &Json) -> Option<Reply> {
    let expected = request.headers.get("x-expect-instance");
    if expected.is_some_and(|expected| *expected != life.id) {
        return Some(Reply::Answer(421, "{}".into()));
    }
    let fence = body.field("fenceToken");
    if fence < life.fence {
        let clock_ms = Json::number(life.clock_ms());
        let body = Json::object(&[("clockMs", clock_ms), ("reason", Json::text("fence"))]);
        return Some(Reply::Answer(409, body.to_string()));
    }
    life.fence = fence;
    None
}

fn report(life: &Life) -> String {
    let running = life.running.iter().map(|(task, running)| {
        let worked_ms = running.since.elapsed().as_millis() as u64;
        let whole_ms = if running.work.lasts {
            STARTUP_MS
        } else {
            running.work.ms
        };
        let percent = (worked_ms * 100 / whole_ms.max(1)).min(100);
        let percent = if running.work.lasts {
            percent
        } else {
            percent.min(99)
        };
        Json::List(vec![
            Json::text(task),
            Json::number(running.run),
            Json::text(""),
            Json::number(percent),
            Json::number(running.work.cpu),
        ])
    });
    let ends = life.ends.iter().take(500).map(|end| {
        Json::List(vec![
            Json::number(end.number),
            Json::text(&end.task),
            Json::number(end.run),
            Json::text(end.how),
            Json::text(""),
        ])
    });
    Json::object(&[
        ("clockMs", Json::number(life.clock_ms())),
        ("born", Json::number(life.born_unix_ms)),
        ("running", Json::List(running.collect())),
        ("endedRuns", Json::List(ends.collect())),
    ])
    .to_string()
}
