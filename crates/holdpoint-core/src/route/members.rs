//! Membership of a router's pool, applied as a whole list or one change at a time.

use std::collections::HashMap;

use super::{Member, Router, Target, predict::Mean, region};
use crate::subset::{item_hash, subset};

impl Router {
    /// Replaces the pool's targets. Draining and evacuated ones get no more calls.
    pub fn set_members(&mut self, members: &[Member]) {
        let is_known = |it: &Member| self.members.get(&it.address) == Some(it);
        if self.members.len() == members.len() && members.iter().all(is_known) {
            return;
        }
        self.members = members.iter().map(|it| (it.address.clone(), it.clone())).collect();
        let active: Vec<&Member> = members.iter().filter(|it| !it.leaving && !it.held).collect();
        let addresses = active.iter().map(|it| it.address.as_str());
        let chosen = subset(&self.salt, addresses, self.policy.subset as usize);
        let mut old: HashMap<String, Target> =
            self.targets.drain(..).map(|it| (it.address.clone(), it)).collect();
        old.extend(self.evacuated.drain());
        self.index.clear();
        (self.paces, self.other_calls) = (Mean::default(), Mean::default());
        for index in chosen {
            let member = active[index];
            let target = old.remove(&member.address).unwrap_or_else(|| new_target(member));
            self.insert_target(member, target);
        }
        let evacuated = members.iter().filter(|it| it.held && !it.leaving);
        self.evacuated = evacuated.filter_map(|it| old.remove_entry(&it.address)).collect();
    }

    /// Adds or updates one target of the pool. The cost does not depend on the size of the pool, unless
    /// the router sees only a subset of it.
    pub fn put_member(&mut self, member: Member) {
        if self.members.get(&member.address) == Some(&member) {
            return;
        }
        if self.is_subset(self.members.len() + 1) {
            let mut members: Vec<Member> = self.members.values().cloned().collect();
            members.retain(|it| it.address != member.address);
            members.push(member);
            members.sort_unstable_by(|a, b| a.address.cmp(&b.address));
            return self.set_members(&members);
        }
        let before =
            self.remove_target(&member.address).or_else(|| self.evacuated.remove(&member.address));
        if member.held && !member.leaving {
            self.evacuated.extend(before.map(|it| (member.address.clone(), it)));
        } else if !member.leaving {
            let target = before.unwrap_or_else(|| new_target(&member));
            self.insert_target(&member, target);
        }
        self.members.insert(member.address.clone(), member);
    }

    /// Removes a target from the pool and drops its learned state.
    pub fn remove_member(&mut self, address: &str) {
        if self.members.remove(address).is_none() {
            return;
        }
        self.remove_target(address);
        self.evacuated.remove(address);
        if self.is_subset(self.members.len() + 1) {
            let mut members: Vec<Member> =
                std::mem::take(&mut self.members).into_values().collect();
            members.sort_unstable_by(|a, b| a.address.cmp(&b.address));
            self.set_members(&members);
        }
    }

    /// Marks a target as draining and stops routing to it at once. The next membership update confirms or
    /// corrects this.
    pub fn leave(&mut self, address: &str) {
        self.remove_target(address);
        if let Some(it) = self.members.get_mut(address) {
            it.leaving = true;
        }
    }

    /// Whether the router sees only a subset of a pool of this size.
    fn is_subset(&self, members: usize) -> bool {
        (self.policy.subset as usize) < members
    }

    fn insert_target(&mut self, member: &Member, target: Target) {
        let region = region(&self.topology, &member.domain);
        let target = Target { domain: member.domain.clone(), region, ..target };
        self.paces.replace(None, target.known_pace());
        self.other_calls.replace(None, target.report.as_ref().map(|it| it.other_calls));
        self.index.insert(member.address.clone(), self.targets.len());
        self.targets.push(target);
    }

    /// Removes a target; the last one moves to its position.
    fn remove_target(&mut self, address: &str) -> Option<Target> {
        let position = self.index.remove(address)?;
        let target = self.targets.swap_remove(position);
        if let Some(moved) = self.targets.get(position) {
            self.index.insert(moved.address.clone(), position);
        }
        self.paces.replace(target.known_pace(), None);
        self.other_calls.replace(target.report.as_ref().map(|it| it.other_calls), None);
        Some(target)
    }
}

fn new_target(member: &Member) -> Target {
    let address = member.address.clone();
    Target { hash: item_hash(&address), address, ..Target::default() }
}
