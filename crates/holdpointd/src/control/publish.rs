//! Publishes a snapshot of the control state to the traffic threads.

use std::{collections::BTreeMap, sync::Arc};

use holdpoint_core::{ids::Name, route::Member, subset};
use holdpoint_schema::{
    caller::InstanceStatus,
    peer::Phase,
    platform::{ListState, ListedTarget},
};

use crate::{control::Control, shared::Published};

impl Control {
    pub(crate) fn publish_if_dirty(&mut self) {
        if self.is_dirty {
            self.publish();
        }
    }

    pub(crate) fn publish(&mut self) {
        self.is_dirty = false;
        let published = Published {
            phase: self.lifecycle.phase(),
            offset: self.state.offset(),
            catalog: self.catalog.clone(),
            targets: Arc::new(self.pool_members()),
            claim_writers: Arc::new(self.claim_writers()),
            instances: Arc::new(self.instances()),
            peers: Arc::new(self.peer_addresses()),
        };
        self.shared.published.store(Arc::new(published));
    }

    /// Targets of each pool: declared ones and those that the platform lists for it. An empty or unreadable
    /// list does not remove declared targets.
    fn pool_members(&self) -> BTreeMap<Name, Arc<Vec<Member>>> {
        let listed = self.listing.as_ref().map_or(&[][..], |it| &it.targets);
        let mut by_pool: BTreeMap<&str, Vec<&ListedTarget>> = BTreeMap::new();
        for target in listed {
            by_pool.entry(&target.pool).or_default().push(target);
        }
        let mut pools = BTreeMap::new();
        for (name, pool) in self.catalog.pools.iter() {
            let listed = by_pool.remove(name.as_str()).unwrap_or_default();
            let mut members: Vec<Member> = listed.iter().map(|it| self.listed_member(it)).collect();
            for target in &pool.spec.targets {
                if members.iter().any(|it| it.address == target.address) {
                    continue;
                }
                let is_draining = self.view.draining_at(&target.address).is_some();
                let (address, domain) = (target.address.clone(), target.domain.clone());
                members.push(Member { address, domain, is_draining, is_evacuated: false });
            }
            pools.insert(name.clone(), Arc::new(members));
        }
        pools
    }

    fn listed_member(&self, target: &ListedTarget) -> Member {
        let is_draining = self.view.is_draining(&target.address, &target.incarnation);
        Member {
            address: target.address.clone(),
            domain: target.domain.clone(),
            is_draining: is_draining || target.state == ListState::Leaving,
            is_evacuated: false,
        }
    }

    /// Writer of each claim stream, by rendezvous hashing among the ready instances.
    fn claim_writers(&self) -> Vec<Option<String>> {
        let me = self.view.me();
        let ready = || self.view.live().filter(|it| it.phase == Phase::Ready);
        (0..self.shared.settings.claims.streams)
            .map(|stream| {
                let names = ready().map(|it| it.name.as_str());
                let owner = subset::owner(&stream.to_string(), names)?;
                let member = ready().find(|it| it.name == owner)?;
                (member.incarnation != me.incarnation).then(|| member.peers.clone())
            })
            .collect()
    }

    fn instances(&self) -> Vec<InstanceStatus> {
        self.view
            .members()
            .map(|it| InstanceStatus {
                name: it.name.clone(),
                incarnation: it.incarnation.clone(),
                phase: it.phase.to_string(),
                applied: it.applied,
                domain: it.domain.clone(),
            })
            .collect()
    }

    fn peer_addresses(&self) -> Vec<String> {
        let me = self.view.me().incarnation.clone();
        self.view.live().filter(|it| it.incarnation != me).map(|it| it.peers.clone()).collect()
    }
}
