//! `explain`: statistics from gateway logs, or the log lines of one request or program.

use super::{Exit, internal, print_json};
use crate::code::{Code, Failure};
use crate::explain::{Field, Group, Groups, Line, Report, Summary};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, ErrorKind, Write, stdin, stdout};
use std::path::PathBuf;
use std::time::Duration;

/// Limit on the printed lines of one request or program.
const MAX_MATCHES: usize = 10_000;
/// Most frequent results or events printed per row.
const MAX_COUNTS_PER_ROW: usize = 6;

const MAX_PRINTED_GROUPS: usize = 30;

/// Options of the command.
#[derive(Debug, Default)]
pub(crate) struct Options {
    /// Log files; empty for standard input.
    pub(crate) files: Vec<PathBuf>,
    /// Length of a time slice.
    pub(crate) slice: Duration,
    /// Print only the lines of this request.
    pub(crate) id: Option<String>,
    /// Print only the lines of this program.
    pub(crate) program: Option<String>,
    /// Group requests by this field instead of by time slice.
    pub(crate) by: Option<Field>,
    pub(crate) json: bool,
}

/// Reads the logs and prints the statistics or matching lines.
pub(crate) fn run(options: &Options) -> Result<Exit, Failure> {
    let mut reader = Reader::new(options);
    if options.files.is_empty() {
        reader.read(stdin().lock())?;
    }
    for path in &options.files {
        let file = File::open(path).map_err(|error| {
            Failure::refused(Code::BadBody, format!("{}: {error}", path.display()))
        })?;
        reader.read(BufReader::new(file))?;
    }
    reader.print(options.json)
}

struct Reader<'a> {
    options: &'a Options,
    report: Report,
    groups: Option<Groups>,
    /// Timestamp and text of the lines of the requested id or program.
    matches: Vec<(String, String)>,
    lines: u64,
    /// Lines that were not written by a VM.
    other_lines: u64,
}

impl<'a> Reader<'a> {
    fn new(options: &'a Options) -> Self {
        Self {
            options,
            report: Report::new(options.slice),
            groups: options.by.map(Groups::new),
            matches: Vec::new(),
            lines: 0,
            other_lines: 0,
        }
    }

    fn read(&mut self, mut source: impl BufRead) -> Result<(), Failure> {
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            let size = source.read_until(b'\n', &mut bytes);
            if size.map_err(|error| internal(&error))? == 0 {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&bytes);
            match Line::parse(text.trim_end()) {
                Some(line) => self.add(&line, text.trim_end()),
                None => self.other_lines += 1,
            }
        }
    }

    fn add(&mut self, line: &Line<'_>, text: &str) {
        self.lines += 1;
        let Options { id, program, .. } = self.options;
        if id.is_none() && program.is_none() {
            return match &mut self.groups {
                Some(groups) => groups.add(line),
                None => self.report.add(line),
            };
        }
        let has =
            |wanted: &Option<String>, key| wanted.is_some() && line.get(key) == wanted.as_deref();
        if (has(id, "id") || has(program, "program")) && self.matches.len() < MAX_MATCHES {
            self.matches.push((line.time.to_string(), text.to_owned()));
        }
    }

    fn print(mut self, json: bool) -> Result<Exit, Failure> {
        let (lines, others) = (self.lines, self.other_lines);
        let groups = self.groups.as_ref();
        let dropped = groups.map_or_else(|| self.report.dropped_lines(), Groups::dropped_lines);
        eprintln!("{lines} lines read, {others} that are none of a VM, {dropped} dropped");
        if self.options.id.is_some() || self.options.program.is_some() {
            // Merges the logs of several VMs by time.
            self.matches.sort();
            let exit = exit_code(print_lines(&self.matches))?;
            return Ok(if self.matches.is_empty() {
                Exit::Failed
            } else {
                exit
            });
        }
        if let Some(groups) = groups {
            let groups = groups.worst_first();
            if json {
                print_json(&groups)?;
                return Ok(Exit::Success);
            }
            return exit_code(print_groups(&groups));
        }
        let summaries = self.report.summaries();
        if json {
            print_json(&summaries)?;
            return Ok(Exit::Success);
        }
        exit_code(print_slices(&summaries))
    }
}

/// Treats a closed pipe, as with `head`, as success.
fn exit_code(result: io::Result<()>) -> Result<Exit, Failure> {
    match result {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(internal(&error)),
        _ => Ok(Exit::Success),
    }
}

fn print_lines(lines: &[(String, String)]) -> io::Result<()> {
    let mut out = BufWriter::new(stdout().lock());
    for (_, line) in lines {
        writeln!(out, "{line}")?;
    }
    out.flush()
}

fn print_slices(summaries: &[Summary]) -> io::Result<()> {
    let mut out = BufWriter::new(stdout().lock());
    writeln!(
        out,
        "{:<23} {:>7} {:>16} {:>14} {:>14}  other results; state changes of VMs",
        "from", "ok", "total ms", "token wait ms", "slot wait ms"
    )?;
    for slice in summaries {
        writeln!(
            out,
            "{:<23} {:>7} {:>16} {:>14} {:>14}  {}; {}",
            slice.begin.format("%Y-%m-%dT%H:%M:%S%.3f"),
            slice.succeeded,
            slice.total.to_string(),
            slice.token_wait.to_string(),
            slice.slot_wait.to_string(),
            most_frequent(&slice.results),
            most_frequent(&slice.state_changes),
        )?;
    }
    out.flush()
}

fn print_groups(groups: &[Group]) -> io::Result<()> {
    let mut out = BufWriter::new(stdout().lock());
    writeln!(
        out,
        "{:<40} {:>7} {:>7} {:>9} {:>9}  other results",
        "group", "ok", "failed", "wait ms", "total ms"
    )?;
    for group in groups.iter().take(MAX_PRINTED_GROUPS) {
        writeln!(
            out,
            "{:<40} {:>7} {:>7} {:>9} {:>9}  {}",
            group.name,
            group.succeeded,
            group.failed,
            group.waited_ms,
            group.total_ms,
            most_frequent(&group.results),
        )?;
    }
    out.flush()
}

/// Formats the largest counts as `name=count`.
fn most_frequent(counts: &BTreeMap<String, u64>) -> String {
    let mut counts: Vec<_> = counts.iter().collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    let counts = counts.into_iter().take(MAX_COUNTS_PER_ROW);
    let counts = counts.map(|(name, count)| format!("{name}={count}"));
    counts.collect::<Vec<_>>().join(" ")
}
