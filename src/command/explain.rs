//! `explain`: where time went, or the story of one request or program, from logs.

use super::{Exit, internal, print_json};
use crate::code::{Code, Failure};
use crate::explain::{Field, Group, Groups, Line, Report, Summary};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, ErrorKind, Write, stdin, stdout};
use std::path::PathBuf;
use std::time::Duration;

/// Lines of one story that are kept, the first ones.
const STORY: usize = 10_000;
/// Kinds of event or result that are printed of a slice, the most frequent ones.
const KINDS: usize = 6;

/// Groups that are printed, the worst ones.
const SHOWN: usize = 30;

/// What to explain.
#[derive(Debug, Default)]
pub(crate) struct Question {
    /// Log files; standard input where there are none.
    pub(crate) files: Vec<PathBuf>,
    /// How long a slice of time is.
    pub(crate) slice: Duration,
    /// Only the lines of this request.
    pub(crate) id: Option<String>,
    /// Only the lines of this program.
    pub(crate) program: Option<String>,
    /// Requests by this field, in place of slices of time.
    pub(crate) by: Option<Field>,
    /// Print JSON.
    pub(crate) json: bool,
}

/// Prints what the logs tell.
pub(crate) fn run(question: &Question) -> Result<Exit, Failure> {
    let mut reader = Reader::new(question);
    if question.files.is_empty() {
        reader.read(stdin().lock())?;
    }
    for path in &question.files {
        let file = File::open(path).map_err(|error| {
            Failure::refused(Code::BadBody, format!("{}: {error}", path.display()))
        })?;
        reader.read(BufReader::new(file))?;
    }
    reader.print(question.json)
}

struct Reader<'a> {
    question: &'a Question,
    report: Report,
    groups: Option<Groups>,
    story: Vec<(String, String)>,
    lines: u64,
    /// Lines that are none of a VM.
    others: u64,
}

impl<'a> Reader<'a> {
    fn new(question: &'a Question) -> Self {
        Self {
            question,
            report: Report::new(question.slice),
            groups: question.by.map(Groups::new),
            story: Vec::new(),
            lines: 0,
            others: 0,
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
                Some(line) => self.take(&line, text.trim_end()),
                None => self.others += 1,
            }
        }
    }

    fn take(&mut self, line: &Line<'_>, text: &str) {
        self.lines += 1;
        let Question { id, program, .. } = self.question;
        if id.is_none() && program.is_none() {
            return match &mut self.groups {
                Some(groups) => groups.add(line),
                None => self.report.add(line),
            };
        }
        let is =
            |wanted: &Option<String>, key| wanted.is_some() && line.get(key) == wanted.as_deref();
        if (is(id, "id") || is(program, "program")) && self.story.len() < STORY {
            self.story.push((line.time.to_string(), text.to_owned()));
        }
    }

    fn print(mut self, json: bool) -> Result<Exit, Failure> {
        let (lines, others) = (self.lines, self.others);
        let groups = self.groups.as_ref();
        let left_out = groups.map_or_else(|| self.report.left_out(), Groups::left_out);
        eprintln!("{lines} lines read, {others} that are none of a VM, {left_out} left out");
        if self.question.id.is_some() || self.question.program.is_some() {
            // Logs of several VMs come one after the other.
            self.story.sort();
            let written = written(tell(&self.story))?;
            return Ok(if self.story.is_empty() {
                Exit::Failed
            } else {
                written
            });
        }
        if let Some(groups) = groups {
            let worst = groups.worst();
            if json {
                print_json(&worst)?;
                return Ok(Exit::Success);
            }
            return written(print_groups(&worst));
        }
        let summaries = self.report.summaries();
        if json {
            print_json(&summaries)?;
            return Ok(Exit::Success);
        }
        written(print(&summaries))
    }
}

/// Whoever reads the output may have seen enough, as `head` has.
fn written(done: io::Result<()>) -> Result<Exit, Failure> {
    match done {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(internal(&error)),
        _ => Ok(Exit::Success),
    }
}

fn tell(story: &[(String, String)]) -> io::Result<()> {
    let mut out = BufWriter::new(stdout().lock());
    for (_, line) in story {
        writeln!(out, "{line}")?;
    }
    out.flush()
}

fn print(summaries: &[Summary]) -> io::Result<()> {
    let mut out = BufWriter::new(stdout().lock());
    writeln!(
        out,
        "{:<23} {:>7} {:>16} {:>14} {:>14}  other results; what VMs came to believe",
        "from", "good", "total ms", "allowed ms", "waited ms"
    )?;
    for slice in summaries {
        writeln!(
            out,
            "{:<23} {:>7} {:>16} {:>14} {:>14}  {}; {}",
            slice.begin.format("%Y-%m-%dT%H:%M:%S%.3f"),
            slice.good,
            slice.total.to_string(),
            slice.allowed.to_string(),
            slice.waited.to_string(),
            most(&slice.results),
            most(&slice.beliefs),
        )?;
    }
    out.flush()
}

fn print_groups(groups: &[Group]) -> io::Result<()> {
    let mut out = BufWriter::new(stdout().lock());
    writeln!(
        out,
        "{:<40} {:>7} {:>7} {:>9} {:>9}  other results",
        "worst first", "good", "bad", "waited ms", "total ms"
    )?;
    for group in groups.iter().take(SHOWN) {
        writeln!(
            out,
            "{:<40} {:>7} {:>7} {:>9} {:>9}  {}",
            group.name,
            group.good,
            group.bad,
            group.waited_ms,
            group.total_ms,
            most(&group.results),
        )?;
    }
    out.flush()
}

/// The most frequent of some counts.
fn most(counts: &BTreeMap<String, u64>) -> String {
    let mut counts: Vec<_> = counts.iter().collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    let counts = counts.into_iter().take(KINDS);
    let counts = counts.map(|(name, count)| format!("{name}={count}"));
    counts.collect::<Vec<_>>().join(" ")
}
