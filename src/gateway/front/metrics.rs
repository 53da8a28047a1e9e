//! Metrics of the gateway.

use crate::intake::{Intake, observe};
use crate::policy::dispatch::PaceStats;
use crate::telemetry::{Exporter, dropped_log_lines};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, ObservableCounter};
use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt;
use std::time::Duration;

/// Upper bounds of the buckets of all duration histograms. A token takes 3 ms, a latency objective
/// is a few hundred, and callers wait for some seconds.
const BUCKET_BOUNDS_MS: [f64; 12] = [
    1.0, 3.0, 10.0, 30.0, 60.0, 100.0, 180.0, 250.0, 400.0, 800.0, 2000.0, 5000.0,
];

/// Teams with a label of their own: bounds the number of time series per VM.
const MAX_TEAM_LABELS: usize = 16;
/// Label of all other teams.
const OTHER_TEAMS: &str = "(rest)";

pub(crate) struct Metrics {
    exporter: Exporter,
    /// Turns that waited for a silent store, by result.
    held_turns: Counter<u64>,
    /// New connections to backend servers.
    pub(crate) connections: Counter<u64>,
    /// Attempts at backend servers without a response, by reason.
    attempts_failed: Counter<u64>,
    /// Requests placed at services without an engine, by how the server was chosen.
    plain_choices: Counter<u64>,
    /// Messages with load reports between VMs, by what became of them.
    load_notes: Counter<u64>,
    /// Decisions about copies of runs, by verdict.
    run_copies: Counter<u64>,
    /// Runs whose engine was lost and that had a copy, by outcome.
    runs_continued: Counter<u64>,
    /// Prompts pinned at engines, and their releases.
    prompt_pins: Counter<u64>,
    /// Moves of runs off draining engines, by outcome.
    run_moves: Counter<u64>,
    /// Servers that ended under requests, and requests refused for that.
    server_ends: Counter<u64>,
    /// Responses to callers, by kind of route and result.
    responses: Counter<u64>,
    /// Requests refused by team limits, by team.
    limit_refusals: Counter<u64>,
    /// Teams that have a label of their own.
    labelled_teams: RefCell<HashSet<String>>,
    /// Time from a request's head to the last byte of the response, by kind of route.
    total_ms: Histogram<f64>,
    /// Wait of requests for a slot at a backend server.
    slot_wait_ms: Histogram<f64>,
    /// Wait of turns for their token grant.
    token_wait_ms: Histogram<f64>,
    /// Wait of requests for the owner of their team's limit.
    limit_wait_ms: Histogram<f64>,
    /// Wait at the end of a response for its turn to be saved, by where it is saved.
    turn_save_ms: Histogram<f64>,
    /// Wait of turns for the conversation history.
    history_wait_ms: Histogram<f64>,
    /// Time since the store last confirmed the server directory.
    directory_age_ms: Gauge<f64>,
    /// Servers whose hosts are slow at the moment, by service.
    slow_hosts: Gauge<u64>,
    /// Servers whose reports of pace are ignored, by service.
    distrusted_reports: Gauge<u64>,
    /// Requests queued for a server of usual pace although another had room, by service.
    pace_waits: Gauge<u64>,
    /// Requests queued for lack of memory, by service.
    memory_waits: Gauge<u64>,
    programs_waiting: Gauge<u64>,
    /// Usual time of the store's answers.
    store_answer_ms: Gauge<f64>,
    _dropped_log_lines: ObservableCounter<u64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    pub(crate) fn new(intake: &Intake) -> Self {
        let exporter = Exporter::new();
        let meter = exporter.meter();
        observe(&meter, intake);
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let histogram = |name: &'static str, description: &'static str| {
            let histogram = meter.f64_histogram(name).with_description(description);
            histogram.with_boundaries(BUCKET_BOUNDS_MS.to_vec()).build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Self {
            connections: counter("backend_connections", "New connections to backend servers"),
            held_turns: counter(
                "turns_held",
                "Turns that waited for a silent store, by result",
            ),
            attempts_failed: counter("attempts_failed", "Attempts without an answer, by reason"),
            plain_choices: counter(
                "plain_choices",
                "Requests placed at services without an engine, by how the server was chosen",
            ),
            load_notes: counter(
                "load_notes",
                "Messages with load reports between VMs: sent, received, or received too late",
            ),
            run_copies: counter("run_copies", "Decisions about copies of runs, by verdict"),
            runs_continued: counter(
                "runs_continued",
                "Runs that had a copy when their engine was lost, by outcome",
            ),
            prompt_pins: counter(
                "prompt_pins",
                "Prompts pinned at engines, and their releases",
            ),
            run_moves: counter(
                "run_moves",
                "Moves of runs off draining engines, by outcome",
            ),
            server_ends: counter(
                "server_ends",
                "Servers that ended under requests, and requests refused for that",
            ),
            responses: counter("gateway_answers", "Answers to callers, by kind and result"),
            limit_refusals: counter(
                "limit_refusals",
                "Requests refused by the limits of teams, by team",
            ),
            labelled_teams: RefCell::default(),
            total_ms: histogram("request_ms", "Milliseconds from the head to the last byte"),
            slot_wait_ms: histogram("waited_ms", "Milliseconds of waiting for a backend server"),
            token_wait_ms: histogram("allowed_ms", "Milliseconds of waiting for leave for tokens"),
            limit_wait_ms: histogram(
                "limited_ms",
                "Milliseconds of waiting for the count of a team",
            ),
            turn_save_ms: histogram("turn_kept_ms", "Milliseconds of keeping a turn, by place"),
            history_wait_ms: histogram("history_ms", "Milliseconds of waiting for earlier turns"),
            directory_age_ms: meter
                .f64_gauge("directory_age_ms")
                .with_description("Milliseconds since the store said what stands in the directory")
                .build(),
            slow_hosts: gauge(
                "slow_hosts",
                "Servers on hosts that are slow now, by service",
            ),
            distrusted_reports: gauge(
                "distrusted_reports",
                "Servers whose reported pace contradicts their answers, by service",
            ),
            pace_waits: gauge(
                "pace_waits",
                "Requests queued for a server of usual pace while a slower one had room, by service",
            ),
            memory_waits: gauge(
                "memory_waits",
                "Requests queued since no engine with room had enough memory, by service",
            ),
            programs_waiting: gauge(
                "programs_waiting",
                "Programs that wait here to be admitted in the order of shares",
            ),
            store_answer_ms: meter
                .f64_gauge("store_answer_ms")
                .with_description("Milliseconds that the store usually takes to answer")
                .build(),
            _dropped_log_lines: meter
                .u64_observable_counter("log_lines_dropped")
                .with_description("Log lines dropped, since nobody read them fast enough")
                .with_callback(|observer| observer.observe(dropped_log_lines(), &[]))
                .build(),
            exporter,
        }
    }

    /// Counts a turn that waited for a silent store.
    pub(crate) fn count_held_turn(&self, served: bool) {
        let result = if served { "served" } else { "refused" };
        self.held_turns.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts an attempt at a backend server without a response.
    pub(crate) fn count_failed_attempt(&self, reason: &'static str) {
        self.attempts_failed
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts requests placed at services without an engine.
    pub(crate) fn count_plain_choices(&self, choice: &'static str, requests: u64) {
        self.plain_choices
            .add(requests, &[KeyValue::new("choice", choice)]);
    }

    /// Counts a message with load reports; `what` is `sent`, `received` or `late`.
    pub(crate) fn count_load_note(&self, what: &'static str) {
        self.load_notes.add(1, &[KeyValue::new("what", what)]);
    }

    /// Counts a server that ended under a request, or a request that was refused for that.
    pub(crate) fn count_server_end(&self, what: &'static str) {
        self.server_ends.add(1, &[KeyValue::new("what", what)]);
    }

    /// Counts a decision about the copy of a run.
    pub(crate) fn count_copy(&self, verdict: &'static str) {
        self.run_copies.add(1, &[KeyValue::new("verdict", verdict)]);
    }

    /// Counts a run that was to continue from its copy.
    pub(crate) fn count_continued_run(&self, outcome: &'static str) {
        self.runs_continued
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a pin that was set or released.
    pub(crate) fn count_pin(&self, step: &'static str) {
        self.prompt_pins.add(1, &[KeyValue::new("step", step)]);
    }

    /// Counts a move of a run.
    pub(crate) fn count_move(&self, outcome: &'static str) {
        self.run_moves.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a finished request and records its duration.
    pub(crate) fn record_response(&self, kind: &'static str, result: String, total: Duration) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("result", result)];
        self.responses.add(1, &labels);
        self.total_ms.record(millis(total), &labels[..1]);
    }

    pub(crate) fn record_slot_wait(&self, time: Duration) {
        self.slot_wait_ms.record(millis(time), &[]);
    }

    pub(crate) fn record_token_wait(&self, time: Duration) {
        self.token_wait_ms.record(millis(time), &[]);
    }

    pub(crate) fn count_limit_refusal(&self, team: &str) {
        let mut labelled_teams = self.labelled_teams.borrow_mut();
        if labelled_teams.len() < MAX_TEAM_LABELS {
            labelled_teams.insert(team.to_owned());
        }
        let label = if labelled_teams.contains(team) {
            team
        } else {
            OTHER_TEAMS
        };
        self.limit_refusals
            .add(1, &[KeyValue::new("team", label.to_owned())]);
    }

    pub(crate) fn record_limit_wait(&self, time: Duration) {
        self.limit_wait_ms.record(millis(time), &[]);
    }

    /// `place` names where the turn was saved.
    pub(crate) fn record_turn_save(&self, time: Duration, place: &'static str) {
        self.turn_save_ms
            .record(millis(time), &[KeyValue::new("place", place)]);
    }

    pub(crate) fn record_history_wait(&self, time: Duration) {
        self.history_wait_ms.record(millis(time), &[]);
    }

    pub(crate) fn record_pace(&self, pace: &PaceStats<'_>) {
        let labels = [KeyValue::new("service", pace.service.to_owned())];
        self.slow_hosts.record(pace.slow as u64, &labels);
        self.distrusted_reports
            .record(pace.distrusted as u64, &labels);
        self.pace_waits.record(pace.waits, &labels);
        self.memory_waits.record(pace.memory_waits, &labels);
    }

    pub(crate) fn directory_age(&self, age: Duration) {
        self.directory_age_ms.record(millis(age), &[]);
    }

    pub(crate) fn programs_waiting(&self, programs: usize) {
        self.programs_waiting.record(programs as u64, &[]);
    }

    pub(crate) fn store_answer(&self, usual: Duration) {
        self.store_answer_ms.record(millis(usual), &[]);
    }

    /// All metrics in the text format served at `/metrics`.
    pub(crate) fn text(&self) -> String {
        self.exporter.text()
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
