//! Routing of waiting queries whose class the view in force lacks.
//!
//! A query that waits has been sent to no server, so another class may serve it: that of a route with a shorter prefix,
//! say. Only the shell knows the request's destination. The core hands the query back to it and gets a new request for
//! the same caller, which is admitted like any other.

use crate::id;

use super::event;

impl super::Core {
    /// Hands back all waiting queries of classes that the view in force lacks.
    pub(super) fn reroute_waiting(&mut self) {
        for index in 0..self.classes.len() {
            let class = &mut self.classes[index];
            if self.view.classes.contains_key(&class.name) {
                continue;
            }
            for query in std::mem::take(&mut class.queue) {
                self.reroute(query);
            }
        }
    }

    /// Hands back a query that has not begun to run.
    pub(super) fn reroute(&mut self, id: id::Query) {
        let Some(query) = self.withdraw(id) else {
            return;
        };
        self.remember_key(&query, event::Outcome::NotRun);
        let timeout = (query.deadline + self.policy.margin).since(self.now);
        let waited = self.now.since(query.arrived);
        self.outputs.push(event::Output::Reroute { caller: query.caller, timeout, waited });
    }
}
