//! A planned stop of a VM interrupts no request.

mod support;

use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use support::{Environment, model, poll, service};

/// A caller behind a load balancer: it sends each request to a VM that reports ready.
struct Caller {
    http: reqwest::blocking::Client,
    vms: Vec<(SocketAddr, SocketAddr)>,
    failed: Arc<Mutex<Vec<String>>>,
    next: usize,
}

impl Caller {
    fn ready_vm(&mut self) -> SocketAddr {
        poll("a ready VM", || {
            self.next += 1;
            let (callers, operators) = self.vms[self.next % self.vms.len()];
            let url = format!("http://{operators}/readyz");
            let reply = self.http.get(url).send().ok()?;
            reply.status().is_success().then_some(callers)
        })
    }

    fn post(&mut self, path: &str, body: &serde_json::Value) -> serde_json::Value {
        let vm = self.ready_vm();
        let url = format!("http://{vm}{path}");
        let reply = self.http.post(url).body(body.to_string()).send();
        let outcome = reply.and_then(|reply| {
            let status = reply.status().as_u16();
            reply.json::<serde_json::Value>().map(|body| (status, body))
        });
        match outcome {
            Ok((200, body)) => body,
            other => {
                self.failed
                    .lock()
                    .expect("the mutex is not poisoned")
                    .push(format!("{path}: {other:?}"));
                json!({})
            }
        }
    }

    fn run_program(&mut self, key: &str) {
        let open = json!({ "class": "quick", "key": key, "budget": { "tokens": 5000 } });
        let opened = self.post("/v1/programs", &open);
        let Some(program) = opened["program"].as_str() else {
            return;
        };
        let calls = format!("/v1/programs/{program}/calls");
        self.post(&calls, &model(1, "Which levy applies?", 100));
        self.post(&calls, &service(2, "receipt", &json!({ "work_ms": 50 })));
        self.post(&calls, &model(3, "Explain the receipt", 60));
        self.post(&format!("/v1/programs/{program}/end"), &json!({}));
    }
}

/// Callers run programs while each VM in turn gets SIGTERM and is started again. A VM that drains must
/// finish its requests and hand its shards over: no error, truncated answer or repeated receipt.
#[test]
fn a_rolling_restart_cuts_no_request() {
    let mut environment = Environment::start(2, 3);
    let stop = Arc::new(AtomicBool::new(false));
    let programs = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(Mutex::new(Vec::new()));
    let vms: Vec<_> = environment
        .vms
        .iter()
        .map(|vm| (vm.callers, vm.operators))
        .collect();
    let callers: Vec<_> = (0..6)
        .map(|index| {
            let http = reqwest::blocking::Client::builder()
                .pool_max_idle_per_host(0)
                .build();
            let mut caller = Caller {
                http: http.expect("a client"),
                vms: vms.clone(),
                failed: failed.clone(),
                next: index,
            };
            let (stop, programs) = (stop.clone(), programs.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let number = programs.fetch_add(1, Ordering::Relaxed);
                    caller.run_program(&format!("rolling-{number}"));
                }
            })
        })
        .collect();
    for index in 0..3 {
        environment.vms[index].process.signal("TERM");
        let status = environment.vms[index].process.wait();
        assert!(status.success(), "{status}");
        environment.restart_vm(index);
        environment.wait_owned();
        poll("the VM is ready", || {
            let operators = environment.vms[index].operators;
            (environment.try_status(operators, "/readyz") == Some(200)).then_some(())
        });
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("no caller panics");
    }
    let failed = failed.lock().expect("the mutex is not poisoned");
    let programs = programs.load(Ordering::Relaxed);
    assert!(
        failed.is_empty(),
        "{} of {programs} programs: {:#?}",
        failed.len(),
        failed
    );
    assert!(programs >= 12, "only {programs} programs were run");
    let counters = environment.counters(environment.service.address);
    let effects = counters["effects"].as_object().expect("a map");
    assert!(effects.values().all(|count| count == 1), "{effects:?}");
}
