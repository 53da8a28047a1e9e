//! What a message changes, and how it is answered.

use super::gossip::{Action, Gossip};
use super::hints::Hint;
use super::queue::Item;
use super::roster::{Change, Standing, Told};
use super::wire::{Header, Kind, Message, News, State};
use crate::id::{Incarnation, Offset, Vm};
use std::net::SocketAddr;
use tokio::time::Instant;

impl Gossip {
    /// Takes in a message that came from `from`.
    pub fn on_message(&mut self, now: Instant, from: SocketAddr, message: Message) -> Vec<Action> {
        let Message {
            from: header,
            kind,
            news,
        } = message;
        if header.vm == self.me || self.left {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for news in &news {
            if matches!(news, News::Profile { profile, .. } if profile.vm == header.vm) {
                self.learn(now, news, true, &mut actions);
            }
        }
        // A member that is held to be gone may hear nobody and doubt everybody; it has to refute
        // that before its word counts.
        if self.hear(now, from, &header, &mut actions) {
            let rumor = !matches!(kind, Kind::Differ { .. } | Kind::Contents);
            for news in &news {
                self.learn(now, news, rumor, &mut actions);
            }
        }
        self.answer(now, from, &header, kind, &mut actions);
        actions
    }

    fn answer(
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
                    let mut news = self.pack(now);
                    if number == 0 {
                        news = vec![self.my_record().full()];
                    }
                    actions.push(self.send(from, Kind::Ack { number }, news));
                }
            }
            Kind::Ack { number: 0 } => actions.extend(self.sync(now, from)),
            Kind::Ack { number } => actions.extend(self.acked(now, number)),
            Kind::Relay {
                number,
                to,
                address,
            } => actions.push(self.relay(now, from, number, to, address)),
            Kind::Gossip | Kind::Contents => {}
            Kind::Digest(digest) => actions.extend(self.compare(now, from, &digest)),
            Kind::Differ { members, claims } => {
                actions.extend(self.contents(now, from, &members, &claims));
            }
            Kind::Doubt { incarnation } => self.refute(from, header, incarnation, actions),
        }
    }

    /// Takes in the header; true when the sender is a member whose word counts.
    fn hear(
        &mut self,
        now: Instant,
        from: SocketAddr,
        header: &Header,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.newest(header.newest);
        let told = Told {
            vm: &header.vm,
            incarnation: header.incarnation,
            state: State::Alive,
            profile: None,
        };
        let known = self.roster.records.contains_key(&header.vm);
        let change = self.roster.take(now, told);
        self.changed_by(now, &header.vm, change, false, actions);
        let Some(record) = self.roster.records.get_mut(&header.vm) else {
            let incarnation = Incarnation(0);
            actions.push(self.send(from, Kind::Doubt { incarnation }, Vec::new()));
            return false;
        };
        if record.standing.state == State::Suspect && record.incarnation == header.incarnation {
            let (vm, incarnation) = (header.vm.clone(), header.incarnation);
            self.doubt(now, &vm, incarnation, actions);
        }
        // Not set in passing: a view that is not published anew hides from the other duties that a
        // peer has a newer configuration, for as long as nothing else changes.
        self.learn_applied(&header.vm, header.applied);
        known && self.roster.records[&header.vm].live()
    }

    /// Takes in one piece of news; `rumor` when it is passed on and not part of an exchange.
    fn learn(&mut self, now: Instant, news: &News, rumor: bool, actions: &mut Vec<Action>) {
        match news {
            News::Profile {
                profile,
                incarnation,
                state,
                applied,
            } => {
                let told = Told {
                    vm: &profile.vm,
                    incarnation: *incarnation,
                    state: *state,
                    profile: Some(profile),
                };
                self.learn_member(now, told, rumor, actions);
                self.learn_applied(&profile.vm, *applied);
            }
            News::Status {
                vm,
                incarnation,
                state,
            } => {
                let told = Told {
                    vm,
                    incarnation: *incarnation,
                    state: *state,
                    profile: None,
                };
                self.learn_member(now, told, rumor, actions);
            }
            News::Applied { vm, applied } => {
                let item = Item::Applied(vm.clone());
                if self.learn_applied(vm, *applied) {
                    self.queue.push(item);
                } else {
                    self.queue.count(&item, self.limit());
                }
            }
            News::Claims { vm, boot, claims } => {
                for claim in claims {
                    let hint = Hint {
                        epoch: claim.epoch,
                        vm: vm.clone(),
                        boot: *boot,
                        released: claim.released,
                    };
                    let change = self.hints.claim(claim.shard, hint);
                    self.passed(change, Item::Claim(vm.clone(), claim.shard), rumor);
                }
            }
            News::Leaving {
                server,
                serial,
                seconds,
            } => {
                let change = self.hints.leaving(now, server, *serial, *seconds);
                self.passed(change, Item::Leaving(server.clone()), rumor);
            }
        }
    }

    fn passed(&mut self, change: Change, item: Item, rumor: bool) {
        match change {
            Change::Joined if !rumor => self.dirty = true,
            Change::Joined | Change::Status | Change::Profile => {
                self.dirty = true;
                self.queue.push(item);
            }
            Change::Known if rumor => self.queue.count(&item, self.limit()),
            _ => {}
        }
    }

    fn learn_applied(&mut self, vm: &Vm, applied: Offset) -> bool {
        self.newest(applied);
        let Some(record) = self.roster.records.get_mut(vm) else {
            return false;
        };
        let newer = *vm != self.me && applied > record.applied;
        if newer {
            record.applied = applied;
            self.dirty = true;
        }
        newer
    }

    pub(super) fn learn_member(
        &mut self,
        now: Instant,
        told: Told<'_>,
        rumor: bool,
        actions: &mut Vec<Action>,
    ) {
        if *told.vm == self.me {
            self.learn_of_myself(told);
            return;
        }
        let change = self.roster.take(now, told);
        self.changed_by(now, told.vm, change, rumor, actions);
    }

    fn changed_by(
        &mut self,
        now: Instant,
        vm: &Vm,
        change: Change,
        rumor: bool,
        actions: &mut Vec<Action>,
    ) {
        match change {
            Change::Doubt(incarnation) => self.doubt(now, vm, incarnation, actions),
            Change::Status => self.passed(change, Item::Status(vm.clone()), rumor),
            Change::Known => {
                self.passed(change, Item::Status(vm.clone()), rumor);
                self.passed(change, Item::Profile(vm.clone()), rumor);
            }
            change => self.passed(change, Item::Profile(vm.clone()), rumor),
        }
        if matches!(change, Change::Status | Change::Joined) {
            let (vm, state) = (vm.clone(), self.roster.records[vm].standing.state);
            actions.push(Action::Tell { vm, state });
        }
    }

    /// Raises the incarnation above one at which others doubt this VM, or above that of an
    /// earlier run, whose profile would otherwise hide the present one.
    fn learn_of_myself(&mut self, told: Told<'_>) {
        let record = self.my_record();
        let doubted = told.state != State::Alive && told.incarnation == record.incarnation;
        if told.incarnation > record.incarnation || doubted {
            record.incarnation = Incarnation(told.incarnation.0 + 1);
            if !doubted {
                record.profile.version = record.incarnation;
            }
            let item = if doubted {
                Item::Status(self.me.clone())
            } else {
                Item::Profile(self.me.clone())
            };
            self.counts.refutations += 1;
            self.queue.push(item);
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
        let told = Told {
            vm: &me,
            incarnation,
            state: State::Suspect,
            profile: None,
        };
        self.learn_of_myself(told);
        let record = self.my_record();
        let news = if unknown {
            record.full()
        } else {
            record.status()
        };
        let to = self.address(&header.vm).unwrap_or(from);
        actions.push(self.send(to, Kind::Gossip, vec![news]));
    }

    /// Tells a member that it is doubted, so that it can refute that soon.
    pub(super) fn doubt(
        &mut self,
        now: Instant,
        vm: &Vm,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        if *vm == self.me || !self.roster.may_doubt(now, vm) {
            return;
        }
        if let Some(to) = self.address(vm) {
            actions.push(self.send(to, Kind::Doubt { incarnation }, Vec::new()));
            // If it is dead, this VM missed the suspicion, and its own turn to probe it would
            // come late in a large group.
            self.probes.next(vm);
        }
    }

    /// Holds a member in suspicion after it answered nobody.
    pub(super) fn suspect(&mut self, now: Instant, vm: &Vm, actions: &mut Vec<Action>) {
        let Some(record) = self.roster.records.get_mut(vm) else {
            return;
        };
        if record.standing.state != State::Alive {
            return;
        }
        record.standing = Standing {
            state: State::Suspect,
            since: now,
        };
        let incarnation = record.incarnation;
        self.roster.suspicious = true;
        self.counts.suspicions += 1;
        self.passed(Change::Status, Item::Status(vm.clone()), true);
        self.doubt(now, vm, incarnation, actions);
        let (vm, state) = (vm.clone(), State::Suspect);
        actions.push(Action::Tell { vm, state });
    }
}
