//! Handling of received messages: merging their updates and replying.

use super::gossip::{Action, Gossip};
use super::queue::Subject;
use super::roster::{Change, Report, Status};
use super::shared::OwnerClaim;
use super::wire::{Header, Kind, Message, State, Update};
use crate::id::{Incarnation, Offset, Vm};
use std::net::SocketAddr;
use tokio::time::Instant;

impl Gossip {
    /// Handles a message received from the address `from`.
    pub fn on_message(&mut self, now: Instant, from: SocketAddr, message: Message) -> Vec<Action> {
        let Message {
            from: header,
            kind,
            updates,
        } = message;
        if header.vm == self.me || self.left {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for update in &updates {
            if matches!(update, Update::Profile { profile, .. } if profile.vm == header.vm) {
                self.apply_update(now, update, true, &mut actions);
            }
        }
        // A member that is considered gone may be cut off itself and suspect everybody else, so
        // its updates are ignored until it has refuted that.
        if self.apply_header(now, from, &header, &mut actions) {
            let gossiped = !matches!(kind, Kind::Differ { .. } | Kind::Contents);
            for update in &updates {
                self.apply_update(now, update, gossiped, &mut actions);
            }
        }
        self.reply(now, from, &header, kind, &mut actions);
        actions
    }

    fn reply(
        &mut self,
        now: Instant,
        from: SocketAddr,
        header: &Header,
        kind: Kind,
        actions: &mut Vec<Action>,
    ) {
        match kind {
            Kind::Ping { number, to } => {
                if to.is_none_or(|to| to == self.me) {
                    let mut updates = self.pack_updates(now);
                    if number == 0 {
                        updates = vec![self.own_record().profile_update()];
                    }
                    actions.push(self.send_action(from, Kind::Ack { number }, updates));
                }
            }
            Kind::Ack { number: 0 } => actions.extend(self.start_sync(now, from)),
            Kind::Ack { number } => actions.extend(self.handle_ack(now, number)),
            Kind::Relay {
                number,
                to,
                address,
            } => actions.push(self.relay_ping(now, from, number, to, address)),
            Kind::Gossip | Kind::Contents => {}
            Kind::Digest(digest) => actions.extend(self.answer_digest(now, from, &digest)),
            Kind::Differ { members, claims } => {
                actions.extend(self.answer_difference(now, from, &members, &claims));
            }
            Kind::Suspicion { incarnation } => self.refute(from, header, incarnation, actions),
        }
    }

    /// Applies the header; true if the sender was known before and is live.
    fn apply_header(
        &mut self,
        now: Instant,
        from: SocketAddr,
        header: &Header,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.raise_newest_offset(header.newest);
        let report = Report {
            vm: &header.vm,
            incarnation: header.incarnation,
            state: State::Alive,
            profile: None,
        };
        let known = self.roster.records.contains_key(&header.vm);
        let change = self.roster.apply(now, report);
        self.handle_change(now, &header.vm, change, false, actions);
        let Some(record) = self.roster.records.get_mut(&header.vm) else {
            let incarnation = Incarnation(0);
            actions.push(self.send_action(from, Kind::Suspicion { incarnation }, Vec::new()));
            return false;
        };
        if record.status.state == State::Suspect && record.incarnation == header.incarnation {
            let (vm, incarnation) = (header.vm.clone(), header.incarnation);
            self.request_refutation(now, &vm, incarnation, actions);
        }
        // Through the method that marks the view as changed: other threads read from the view which
        // members have a newer configuration.
        self.apply_offset(&header.vm, header.applied);
        known && self.roster.records[&header.vm].is_live()
    }

    /// Merges one update; `gossiped` is false if it came in an anti-entropy exchange.
    fn apply_update(
        &mut self,
        now: Instant,
        update: &Update,
        gossiped: bool,
        actions: &mut Vec<Action>,
    ) {
        match update {
            Update::Profile {
                profile,
                incarnation,
                state,
                applied,
            } => {
                let report = Report {
                    vm: &profile.vm,
                    incarnation: *incarnation,
                    state: *state,
                    profile: Some(profile),
                };
                self.apply_report(now, report, gossiped, actions);
                self.apply_offset(&profile.vm, *applied);
            }
            Update::Status {
                vm,
                incarnation,
                state,
            } => {
                let report = Report {
                    vm,
                    incarnation: *incarnation,
                    state: *state,
                    profile: None,
                };
                self.apply_report(now, report, gossiped, actions);
            }
            Update::Applied { vm, applied } => {
                let subject = Subject::Applied(vm.clone());
                if self.apply_offset(vm, *applied) {
                    self.queue.push(subject);
                } else {
                    self.queue
                        .count_transmission(&subject, self.max_transmissions());
                }
            }
            Update::Claims { vm, boot, claims } => {
                for claim in claims {
                    let owner_claim = OwnerClaim {
                        epoch: claim.epoch,
                        vm: vm.clone(),
                        boot: *boot,
                        released: claim.released,
                    };
                    let change = self.shared.apply_claim(claim.shard, owner_claim);
                    self.gossip_change(change, Subject::Claim(vm.clone(), claim.shard), gossiped);
                }
            }
            Update::Draining {
                server,
                serial,
                seconds,
            } => {
                let change = self.shared.apply_draining(now, server, *serial, *seconds);
                self.gossip_change(change, Subject::Draining(server.clone()), gossiped);
            }
        }
    }

    fn gossip_change(&mut self, change: Change, subject: Subject, gossiped: bool) {
        match change {
            Change::Joined if !gossiped => self.view_changed = true,
            Change::Joined | Change::Status | Change::Profile => {
                self.view_changed = true;
                self.queue.push(subject);
            }
            Change::Known if gossiped => self
                .queue
                .count_transmission(&subject, self.max_transmissions()),
            _ => {}
        }
    }

    fn apply_offset(&mut self, vm: &Vm, applied: Offset) -> bool {
        self.raise_newest_offset(applied);
        let Some(record) = self.roster.records.get_mut(vm) else {
            return false;
        };
        let newer = *vm != self.me && applied > record.applied;
        if newer {
            record.applied = applied;
            self.view_changed = true;
        }
        newer
    }

    pub(super) fn apply_report(
        &mut self,
        now: Instant,
        report: Report<'_>,
        gossiped: bool,
        actions: &mut Vec<Action>,
    ) {
        if *report.vm == self.me {
            self.apply_report_about_self(report);
            return;
        }
        let change = self.roster.apply(now, report);
        self.handle_change(now, report.vm, change, gossiped, actions);
    }

    fn handle_change(
        &mut self,
        now: Instant,
        vm: &Vm,
        change: Change,
        gossiped: bool,
        actions: &mut Vec<Action>,
    ) {
        match change {
            Change::Conflict(incarnation) => self.request_refutation(now, vm, incarnation, actions),
            Change::Status => self.gossip_change(change, Subject::Status(vm.clone()), gossiped),
            Change::Known => {
                self.gossip_change(change, Subject::Status(vm.clone()), gossiped);
                self.gossip_change(change, Subject::Profile(vm.clone()), gossiped);
            }
            change => self.gossip_change(change, Subject::Profile(vm.clone()), gossiped),
        }
        if matches!(change, Change::Status | Change::Joined) {
            let (vm, state) = (vm.clone(), self.roster.records[vm].status.state);
            actions.push(Action::LogState { vm, state });
        }
    }

    /// Raises the incarnation above one at which others suspect this VM, or above that of an
    /// earlier run, whose profile would otherwise override the current one.
    fn apply_report_about_self(&mut self, report: Report<'_>) {
        let record = self.own_record();
        let suspected = report.state != State::Alive && report.incarnation == record.incarnation;
        if report.incarnation > record.incarnation || suspected {
            record.incarnation = Incarnation(report.incarnation.0 + 1);
            if !suspected {
                record.profile.version = record.incarnation;
            }
            let subject = if suspected {
                Subject::Status(self.me.clone())
            } else {
                Subject::Profile(self.me.clone())
            };
            self.counts.refutations += 1;
            self.queue.push(subject);
        }
    }

    fn refute(
        &mut self,
        from: SocketAddr,
        header: &Header,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        let unknown = incarnation == Incarnation(0);
        let me = self.me.clone();
        let report = Report {
            vm: &me,
            incarnation,
            state: State::Suspect,
            profile: None,
        };
        self.apply_report_about_self(report);
        let record = self.own_record();
        let update = if unknown {
            record.profile_update()
        } else {
            record.status_update()
        };
        let to = self.address_of(&header.vm).unwrap_or(from);
        actions.push(self.send_action(to, Kind::Gossip, vec![update]));
    }

    /// Tells a member that it is suspected, so that it can refute that soon.
    pub(super) fn request_refutation(
        &mut self,
        now: Instant,
        vm: &Vm,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        if *vm == self.me || !self.roster.may_request_refutation(now, vm) {
            return;
        }
        if let Some(to) = self.address_of(vm) {
            actions.push(self.send_action(to, Kind::Suspicion { incarnation }, Vec::new()));
            // In a large group the regular probe of a dead member could be far off.
            self.probes.probe_next(vm);
        }
    }

    /// Marks a member as suspect after an unanswered probe.
    pub(super) fn mark_suspect(&mut self, now: Instant, vm: &Vm, actions: &mut Vec<Action>) {
        let Some(record) = self.roster.records.get_mut(vm) else {
            return;
        };
        if record.status.state != State::Alive {
            return;
        }
        record.status = Status {
            state: State::Suspect,
            since: now,
        };
        let incarnation = record.incarnation;
        self.roster.may_have_suspects = true;
        self.counts.suspicions += 1;
        self.gossip_change(Change::Status, Subject::Status(vm.clone()), true);
        self.request_refutation(now, vm, incarnation, actions);
        let (vm, state) = (vm.clone(), State::Suspect);
        actions.push(Action::LogState { vm, state });
    }
}
