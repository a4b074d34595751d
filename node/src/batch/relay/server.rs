//! The relay's side: sends the commands of a leader and returns the responses in batches.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::codec::Framed;
use wasabiloft::batch::relays;
use wasabiloft::verdict::Verdict;
use wasabiloft_platform::worker;

use crate::batch::relay::message::{
    self, Command, Failure, Replies, Reply, Request, Requests, Target,
};
use crate::batch::relay::texts::Texts;
use crate::batch::shared;
use crate::clock;
use crate::log;
use crate::sockets;

/// Time for which replies are collected before a frame is sent, in milliseconds; short against a poll's wait.
const BATCH_MS: u64 = 6;
/// Maximum number of replies in a frame.
const BATCH_MAX: usize = 256;
/// A leader that sends nothing for this long is gone, in milliseconds; ten of its signs of life.
const LEADER_SILENT_MS: u64 = 1_500;
/// Pause after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Serves the leaders that connect until the node stops.
pub async fn serve(listener: TcpListener, shared: Arc<shared::Shared>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_leader(stream, Arc::clone(&shared)));
                }
                Err(error) => {
                    log::warn("relay", &format!("accept failed reason={error}"));
                    time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            },
            _ = connections.join_next(), if !connections.is_empty() => {}
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// State of one leader's connection.
struct Connection {
    clients: HashMap<Target, Arc<worker::Worker>>,
    commands: JoinSet<()>,
    replies: mpsc::Sender<Reply>,
    frame_age: relays::FrameAge,
    texts: Arc<Texts>,
    shared: Arc<shared::Shared>,
}

async fn serve_leader(stream: TcpStream, shared: Arc<shared::Shared>) {
    sockets::set_options(&stream, Duration::from_millis(LEADER_SILENT_MS));
    let (mut sink, mut frames) = Framed::new(stream, super::codec()).split();
    let (replies, mut outcomes) = mpsc::channel(BATCH_MAX);
    let mut connection = Connection {
        clients: HashMap::new(),
        commands: JoinSet::new(),
        replies,
        frame_age: relays::FrameAge::default(),
        texts: Arc::default(),
        shared: Arc::clone(&shared),
    };
    let mut said_stopping = false;
    let mut batch = Vec::new();
    loop {
        let send_now;
        tokio::select! {
            frame = time::timeout(Duration::from_millis(LEADER_SILENT_MS), frames.next()) => {
                let Ok(Some(Ok(frame))) = frame else { break };
                let requests: Requests = match postcard::from_bytes(&frame) {
                    Ok(requests) => requests,
                    Err(error) => {
                        log::warn("relay", &format!("undecodable frame reason={error}"));
                        break;
                    }
                };
                send_now = requests.requests.is_empty();
                connection.accept(requests);
            }
            count = outcomes.recv_many(&mut batch, BATCH_MAX) => {
                if count == 0 {
                    break;
                }
                time::sleep(Duration::from_millis(BATCH_MS)).await;
                while batch.len() < BATCH_MAX && let Ok(reply) = outcomes.try_recv() {
                    batch.push(reply);
                }
                send_now = true;
            }
            () = shared.stop.cancelled(), if !said_stopping => {
                said_stopping = true;
                send_now = true;
            }
        }
        while connection.commands.try_join_next().is_some() {}
        if !send_now {
            continue;
        }
        let frame = Replies {
            stopping: said_stopping,
            replies: std::mem::take(&mut batch),
        };
        let frame = match postcard::to_stdvec(&frame) {
            Ok(frame) => Bytes::from(frame),
            Err(error) => {
                log::warn("relay", &format!("unencodable frame reason={error}"));
                break;
            }
        };
        if sink.send(frame).await.is_err() {
            break;
        }
    }
    connection.commands.shutdown().await;
}

impl Connection {
    fn accept(&mut self, requests: Requests) {
        let received_ms = clock::since_boot().as_ms();
        let is_stale = self.frame_age.is_stale(requests.sent_ms, received_ms);
        if !requests.requests.is_empty() && is_stale {
            log::info(
                "relay",
                &format!(
                    "commands refused reason=stale commands={}",
                    requests.requests.len()
                ),
            );
        }
        for mut request in requests.requests {
            let replies = self.replies.clone();
            if is_stale {
                self.commands.spawn(async move {
                    let _ = replies.send(stale_reply(&request)).await;
                });
                continue;
            }
            let client = self.client(&request.target);
            let (texts, shared) = (Arc::clone(&self.texts), Arc::clone(&self.shared));
            self.commands.spawn(async move {
                if let Command::Start { task, text, .. } = &mut request.command {
                    match text {
                        Some(text) => texts.insert(task.job, text),
                        None => *text = texts.get(&shared, task.job).await,
                    }
                }
                let outcome = message::execute(
                    &client,
                    &request.command,
                    request.epoch,
                    request.timeout_ms,
                    request.connection,
                )
                .await;
                // The receiver is dropped only together with this task.
                let _ = replies
                    .send(Reply {
                        number: request.number,
                        outcome,
                    })
                    .await;
            });
        }
    }

    /// Returns the client of a worker; a worker that moved or restarted under another id gets a new one.
    fn client(&mut self, target: &Target) -> Arc<worker::Worker> {
        if self.clients.len() >= CLIENTS_MAX && !self.clients.contains_key(target) {
            self.clients.clear();
        }
        let client = self.clients.entry(target.clone()).or_insert_with(|| {
            Arc::new(worker::Worker::new(target.worker.clone(), target.address))
        });
        Arc::clone(client)
    }
}

/// Maximum number of workers whose connections a relay keeps; workers that are gone are not reported to it.
const CLIENTS_MAX: usize = 512;

fn stale_reply(request: &Request) -> Reply {
    Reply {
        number: request.number,
        outcome: Err(Failure {
            verdict: Verdict::NotRun,
            disconnected: false,
            reason: "the relay received the command too late".into(),
        }),
    }
}
