//! Which targets a router knows: the whole list, or one after the other as they change.

use std::collections::HashMap;

use super::{Member, Router, Target, predict::Mean, region};
use crate::subset::{item_hash, subset};

impl Router {
    /// Takes in the pool's targets. Those that leave or are held back get no more calls from now on.
    pub fn set_members(&mut self, members: &[Member]) {
        let is_known = |it: &Member| self.known.get(&it.address) == Some(it);
        if self.known.len() == members.len() && members.iter().all(is_known) {
            return;
        }
        self.known = members.iter().map(|it| (it.address.clone(), it.clone())).collect();
        let staying: Vec<&Member> = members.iter().filter(|it| !it.leaving && !it.held).collect();
        let addresses = staying.iter().map(|it| it.address.as_str());
        let chosen = subset(&self.salt, addresses, self.policy.subset as usize);
        let mut old: HashMap<String, Target> =
            self.targets.drain(..).map(|it| (it.address.clone(), it)).collect();
        old.extend(self.held.drain());
        self.index.clear();
        (self.paces, self.others) = (Mean::default(), Mean::default());
        for index in chosen {
            let member = staying[index];
            let target = old.remove(&member.address).unwrap_or_else(|| fresh(member));
            self.add(member, target);
        }
        let held = members.iter().filter(|it| it.held && !it.leaving);
        self.held = held.filter_map(|it| old.remove_entry(&it.address)).collect();
    }

    /// Takes in one target of the pool, a new one or one that has changed. What that costs does not grow
    /// with the pool, unless the router sees a part of it only.
    pub fn put_member(&mut self, member: Member) {
        if self.known.get(&member.address) == Some(&member) {
            return;
        }
        if self.is_bounded(self.known.len() + 1) {
            let mut members: Vec<Member> = self.known.values().cloned().collect();
            members.retain(|it| it.address != member.address);
            members.push(member);
            members.sort_unstable_by(|a, b| a.address.cmp(&b.address));
            return self.set_members(&members);
        }
        let before = self.take(&member.address).or_else(|| self.held.remove(&member.address));
        if member.held && !member.leaving {
            self.held.extend(before.map(|it| (member.address.clone(), it)));
        } else if !member.leaving {
            let target = before.unwrap_or_else(|| fresh(&member));
            self.add(&member, target);
        }
        self.known.insert(member.address.clone(), member);
    }

    /// Takes in that a target is no longer one of the pool's; what was learned of it is forgotten.
    pub fn remove_member(&mut self, address: &str) {
        if self.known.remove(address).is_none() {
            return;
        }
        self.take(address);
        self.held.remove(address);
        if self.is_bounded(self.known.len() + 1) {
            let mut members: Vec<Member> = std::mem::take(&mut self.known).into_values().collect();
            members.sort_unstable_by(|a, b| a.address.cmp(&b.address));
            self.set_members(&members);
        }
    }

    /// Stops giving work to a target at once; the next word of the pool confirms or corrects it.
    pub fn leave(&mut self, address: &str) {
        self.take(address);
        if let Some(it) = self.known.get_mut(address) {
            it.leaving = true;
        }
    }

    /// Whether of so many targets the router sees a part only.
    fn is_bounded(&self, members: usize) -> bool {
        (self.policy.subset as usize) < members
    }

    fn add(&mut self, member: &Member, target: Target) {
        let region = region(&self.topology, &member.domain);
        let target = Target { domain: member.domain.clone(), region, ..target };
        self.paces.replace(None, target.known_pace());
        self.others.replace(None, target.report.as_ref().map(|it| it.others));
        self.index.insert(member.address.clone(), self.targets.len());
        self.targets.push(target);
    }

    /// Takes out a target; the last one has its place.
    fn take(&mut self, address: &str) -> Option<Target> {
        let position = self.index.remove(address)?;
        let target = self.targets.swap_remove(position);
        if let Some(moved) = self.targets.get(position) {
            self.index.insert(moved.address.clone(), position);
        }
        self.paces.replace(target.known_pace(), None);
        self.others.replace(target.report.as_ref().map(|it| it.others), None);
        Some(target)
    }
}

fn fresh(member: &Member) -> Target {
    let address = member.address.clone();
    Target { hash: item_hash(&address), address, ..Target::default() }
}
