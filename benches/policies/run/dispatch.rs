//! Dispatch of queued requests to the engines selected by the policy.

use std::collections::BTreeSet;

use medlarlift::scheduling::fair_queue::DispatchDecision;
use medlarlift::scheduling::fair_queue::QueueItem;
use medlarlift::scheduling::routing;
use medlarlift::scheduling::routing::RouteDecision;
use medlarlift::scheduling::routing::RouteRequest;
use medlarlift::scheduling::routing::RouteTarget;
use medlarlift::scheduling::routing::RouteView;
use medlarlift::types::AdapterRef;
use medlarlift::types::MonoMs;
use medlarlift::types::Patience;
use medlarlift::types::ServerName;

use super::Run;
use crate::engines::Job;

impl Run<'_> {
    pub(super) fn dispatch(&mut self, now_ms: u64) {
        let now = MonoMs(now_ms);
        loop {
            let mut blocked: BTreeSet<AdapterRef> = BTreeSet::new();
            let mut target = None;
            let (fleet, residency) = (&self.fleet, &self.view);
            let (prefixes, config) = (&self.prefixes, &self.route_config);
            let (policy, assigned) = (self.policy, &mut self.assigned);
            let popped = self.queue.pop(now, |item| {
                let view = RouteView {
                    fleet,
                    residency,
                    prefixes,
                    config,
                    now,
                };
                let request = RouteRequest {
                    target: RouteTarget::Adapter(&item.adapter),
                    class: item.class,
                    prompt_tokens: item.tokens / 2,
                    prefix: &[],
                    suspect: false,
                    assigned: assigned.get(&item.adapter),
                    nonce: item.payload as u64,
                };
                match routing::choose(&request, &view, policy) {
                    RouteDecision::Dispatch { server, .. } => {
                        target = Some(server);
                        DispatchDecision::Take
                    }
                    RouteDecision::WaitForLoad { server, .. } => {
                        blocked.insert(item.adapter.clone());
                        if let Some(server) = server {
                            assigned.insert(item.adapter.clone(), server);
                        }
                        DispatchDecision::SkipAdapter
                    }
                    RouteDecision::Busy { .. } => DispatchDecision::SkipAdapter,
                    RouteDecision::NoServer => DispatchDecision::Stop,
                }
            });
            self.mark_stalled(&blocked);
            match (popped, target) {
                (Some(item), Some(server)) => self.send(&item, &server, now_ms),
                _ => break,
            }
        }
    }

    fn mark_stalled(&mut self, blocked: &BTreeSet<AdapterRef>) {
        for request in &self.queued_urgent {
            let adapter = &self.adapters[self.arrivals[*request].adapter as usize];
            if blocked.contains(adapter) {
                self.progress[*request].stalled = true;
            }
        }
    }

    fn send(&mut self, item: &QueueItem<usize>, server: &ServerName, now_ms: u64) {
        let now = MonoMs(now_ms);
        let request = item.payload;
        let arrival = self.arrivals[request];
        self.queued_urgent.remove(&request);
        self.progress[request].dispatched = true;
        self.progress[request].wait_ms = now_ms - arrival.at_ms;
        let index = self
            .engines
            .iter()
            .position(|engine| engine.name == *server);
        let index = index.expect("known engine");
        let engine = &mut self.engines[index];
        let permit = self.view.begin(server, &item.adapter, now);
        let permit = permit.expect("routing named a resident adapter");
        if now_ms < engine.down_until_ms || engine.incarnation != permit.incarnation {
            // The connection is refused, so the request can be retried.
            self.view.finish(permit);
            self.fleet.remove(server);
            self.planner.remove_engine(server, now);
            self.push(request, now_ms);
            self.pull(now_ms);
            return;
        }
        if !engine.resident.contains(&item.adapter) {
            self.absent += 1;
        }
        engine.accept(
            Job {
                patient: arrival.class == Patience::Patient,
                sent_ms: now_ms,
                request,
                service_ms: arrival.service_ms,
            },
            now_ms,
        );
        self.fleet
            .record_dispatch(server, false, arrival.tokens, now);
        self.uses.insert(request, (permit, index));
    }
}
