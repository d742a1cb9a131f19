//! Log lines for the traffic core's decisions.

use shallothub_core::traffic::note;

use super::Shell;

impl Shell {
    /// Logs a decision, with the name that the caller gave the request.
    pub(super) fn log(&self, note: &note::Note) {
        match note {
            note::Note::Extra { caller, shard, server, cause, after } => {
                let request = self.request_name(*caller);
                let cause = cause.as_str();
                tracing::info!(%request, %shard, %server, cause, after_ms = after.0, "another attempt");
            }
            note::Note::Suspect { caller, fingerprint, shard, server, is_trial } => {
                let request = self.request_name(*caller);
                tracing::info!(%request, %fingerprint, %shard, %server, is_trial, "sent an attempt of a suspected request");
            }
            note::Note::Denied { caller, shard, cause } => {
                let request = self.request_name(*caller);
                let cause = cause.as_str();
                tracing::info!(%request, %shard, cause, "no budget for another attempt");
            }
            note::Note::Hopeless { caller, shortfall, after, count } => {
                let request = self.request_name(*caller);
                tracing::info!(%request, %shortfall, after_ms = after.0, count, "ended searches that lack shards");
            }
            note::Note::Failed { caller, server, end, took } => {
                let request = caller.map(|caller| self.request_name(caller)).unwrap_or_default();
                let (end, detail) = (end.as_str(), end.detail());
                tracing::info!(%request, %server, end, detail, took_ms = took.0, "an attempt failed");
            }
            note::Note::Silent { server, silent_for, pause } => {
                let (silent_ms, pause_ms) = (silent_for.0, pause.0);
                tracing::info!(%server, silent_ms, pause_ms, "a silent server is passed over");
            }
            note::Note::Ejected { server, pause } => {
                tracing::info!(%server, pause_ms = pause.0, "ejected a failing server");
            }
            note::Note::OutOfUse { servers, count } => {
                tracing::info!(servers = servers.join(","), count, "other hosts' observations took servers out of use");
            }
            note::Note::BackInUse { servers, count } => {
                tracing::info!(servers = servers.join(","), count, "servers are used again");
            }
            note::Note::Restored { server } => tracing::info!(%server, "an ejected server answers again"),
            note::Note::Paused { gap, expired } => {
                tracing::warn!(gap_ms = gap.0, expired, "the process was stopped for a while");
            }
            note::Note::View { servers, leaving, evacuated } => {
                let view = self.state.borrow().core.view().stamp;
                tracing::info!(stamp = %view, servers, leaving, evacuated, "a lane took the view");
            }
        }
    }
}
