//! Crowds of callers that send or hold more than they should, at the interface for programs.

mod crowd;
mod support;

use crowd::{Watch, alone, chunks, gather};
use serde_json::{Value, json};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use support::Environment;

const MAX_BODY_BYTES: usize = 1 << 20;
const CROWD: usize = 256;

struct Site {
    environment: Environment,
    opened: AtomicUsize,
}

impl Site {
    fn start() -> Self {
        Self::start_with(&json!({}))
    }

    fn start_with(settings: &Value) -> Self {
        let mut environment = Environment::platform(1);
        environment.configure();
        environment.add_vm(settings);
        environment.wait_owned();
        Self {
            environment,
            opened: AtomicUsize::new(0),
        }
    }

    fn watch(&self) -> Watch {
        Watch::start(self.environment.vms[0].process.pid())
    }

    /// Waits until a program can be opened.
    fn wait_served(&self) {
        for _ in 0..100 {
            let number = self.opened.fetch_add(1, Ordering::Relaxed);
            let body = json!({
                "class": "quick", "key": format!("p{number}"), "budget": { "tokens": 1000 },
            });
            let callers = self.environment.vms[0].callers;
            let reply = self.environment.try_post(callers, "/v1/programs", &body);
            if reply.is_some_and(|(status, _)| status == 200) {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(100));
        }
        panic!("no program can be opened");
    }

    fn check(&self, watch: &Watch, crowd: Vec<TcpStream>) {
        watch.settle();
        self.wait_served();
        watch.check();
        drop(crowd);
        self.wait_served();
        watch.check();
    }
}

fn head(more: &str) -> Vec<u8> {
    format!("POST /v1/programs HTTP/1.1\r\nHost: vm\r\n{more}\r\n").into_bytes()
}

/// Guards against bodies of legal size that stop short of their end and end the process for lack of memory.
#[test]
fn unfinished_program_bodies() {
    let _alone = alone();
    let site = Site::start();
    let watch = site.watch();
    let crowd = gather(site.environment.vms[0].callers, CROWD, |number| {
        if number % 2 == 0 {
            let length = head(&format!("Content-Length: {MAX_BODY_BYTES}\r\n"));
            return vec![length, vec![b' '; MAX_BODY_BYTES - 1]];
        }
        let chunked = head("Transfer-Encoding: chunked\r\n");
        std::iter::once(chunked)
            .chain(chunks(MAX_BODY_BYTES - 65_536, 65_536))
            .collect()
    });
    site.check(&watch, crowd);
}

/// Guards against unfinished messages of those who are no VM, at the port of other VMs.
#[test]
fn unfinished_messages_at_the_port_of_other_vms() {
    const MESSAGE_BYTES: usize = 16 << 20;
    let _alone = alone();
    let site = Site::start();
    let watch = site.watch();
    let crowd = gather(site.environment.vms[0].peers, 64, |number| {
        let more = if number % 2 == 0 {
            format!("Content-Length: {MESSAGE_BYTES}\r\nContent-Type: application/json\r\n")
        } else {
            "Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n\
             Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
                .to_owned()
        };
        let head = format!("POST / HTTP/1.1\r\nHost: vm\r\n{more}\r\n");
        let head = if number % 2 == 0 {
            head
        } else {
            head.replace("POST", "GET")
        };
        // A text frame of this size, with a mask of zeros.
        let mut frame = vec![0x81, 0xff];
        frame.extend_from_slice(&(MESSAGE_BYTES as u64).to_be_bytes());
        frame.extend_from_slice(&[0; 4]);
        let start = if number % 2 == 0 { Vec::new() } else { frame };
        [head.into_bytes(), start, vec![b' '; MESSAGE_BYTES - 1]]
    });
    site.check(&watch, crowd);
}

/// Guards against heads without end at the ports of callers and operators.
#[test]
fn unfinished_heads_at_the_interface_for_programs() {
    let _alone = alone();
    let site = Site::start();
    let watch = site.watch();
    let vm = &site.environment.vms[0];
    let crowd = [vm.callers, vm.operators].map(|port| {
        gather(port, 1000, |_| {
            [format!("GET /readyz HTTP/1.1\r\nX-A: {}", "a".repeat(65_536)).into_bytes()]
        })
    });
    site.check(&watch, crowd.into_iter().flatten().collect());
}

/// Guards against a VM whose descriptors are all taken by idle connections.
#[test]
fn more_idle_connections_than_descriptors_at_the_interface_for_programs() {
    const DESCRIPTORS: usize = 800;
    let _alone = alone();
    let site = Site::start_with(&json!({ "max_descriptors": DESCRIPTORS }));
    let watch = site.watch();
    let vm = &site.environment.vms[0];
    let ports = [vm.callers, vm.operators, vm.peers];
    let crowds = ports.map(|port| gather(port, 1000, |_| [Vec::new()]));
    assert_eq!(
        site.environment.try_status(vm.operators, "/readyz"),
        Some(200)
    );
    site.check(&watch, crowds.into_iter().flatten().collect());
    let open = watch.descriptors();
    assert!(open < DESCRIPTORS, "{open} descriptors");
}

/// Guards against unfinished bodies at the ports of operators, and against bodies that are announced over the limit.
#[test]
fn bodies_that_nobody_asked_for_at_the_interface_for_programs() {
    let _alone = alone();
    let site = Site::start();
    let watch = site.watch();
    let vm = &site.environment.vms[0];
    let crowds = [vm.callers, vm.operators].map(|port| {
        gather(port, CROWD, |number| {
            let length = if number % 2 == 0 {
                1 << 30
            } else {
                MAX_BODY_BYTES
            };
            let head = head(&format!("Content-Length: {length}\r\n"));
            vec![head, vec![b' '; MAX_BODY_BYTES - 1]]
        })
    });
    site.check(&watch, crowds.into_iter().flatten().collect());
}
