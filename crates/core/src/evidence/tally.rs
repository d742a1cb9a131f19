//! What one lane observes of one server.

use crate::clock;

use super::{
    EXPIRY, RECOVERY_ANSWERS,
    counts::{Counts, Deviations, SLOW_RATIO},
    key::Incarnation,
};

/// Time without a reply after which a server is reported as silent. Servers pause for 100 ms every few seconds.
const SILENCE: clock::Millis = clock::Millis(250);
/// Number of consecutive attempts, cancelled late without a reply, after which a server counts as silent. A search
/// cancels an attempt as soon as another replica has answered, so few of them wait for long.
const SILENT_ATTEMPTS: u8 = 2;

/// Number of consecutive attempts that were rejected or failed, after which earlier answers no longer count. A lane that
/// sends a server many requests stops after a few failures, when most of the recent results are still answers.
const BAD_RUN: u8 = 3;

/// The result of an attempt, as far as it is evidence about the server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Attempt {
    /// It was answered.
    Answered {
        /// Its reply time, relative to the usual one of the class.
        ratio: f64,
    },
    /// It was rejected before it ran.
    Refused,
    /// It failed, or its answer was lost.
    Failed,
    /// It was cancelled without a reply.
    Cancelled {
        /// When it was sent.
        sent: clock::Millis,
        /// The time until then, relative to the usual reply time of the class.
        ratio: f64,
    },
}

/// A report of a lane on one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The server incarnation.
    pub server: Incarnation,
    /// Results since the lane's previous report, decayed.
    pub counts: Counts,
    /// Time since the last attempt that was not answered in the usual way; `None` if it is not recent.
    pub bad_age: Option<clock::Millis>,
    /// Number of consecutive answers since then, up to [`RECOVERY_ANSWERS`].
    pub streak: u8,
    /// Time since the oldest of these.
    pub streak_age: clock::Millis,
}

/// Recent results of the attempts at one server in one lane.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    recent: Counts,
    /// The part of `recent` that was not reported yet.
    unreported: Counts,
    updated_at: clock::Millis,
    /// When it was last reported while it deviated or had a standing; zero if it never was.
    reported_at: clock::Millis,
    /// When the oldest attempt was sent that has had no reply for longer than most and is still waiting for it, and when
    /// it counts as silence.
    waiting: Option<(clock::Millis, clock::Millis)>,
    /// Number of attempts that were cancelled late since the server last replied, and when the first one was sent.
    unanswered: u8,
    unanswered_since: clock::Millis,
    bad_at: Option<clock::Millis>,
    /// Number of consecutive attempts that were rejected or failed.
    bad_run: u8,
    /// Times of the last consecutive answers, oldest first.
    streak: [clock::Millis; RECOVERY_ANSWERS as usize],
    streak_length: u8,
}

impl Tally {
    fn decay(&mut self, now: clock::Millis) {
        let elapsed = now.since(self.updated_at);
        self.recent.decay(elapsed);
        self.unreported.decay(elapsed);
        self.updated_at = now;
    }

    /// Records the end of an attempt.
    pub fn record(&mut self, now: clock::Millis, attempt: Attempt) {
        self.decay(now);
        let mut counts = Counts::default();
        match attempt {
            Attempt::Answered { ratio } => {
                counts.answered = 1.0;
                counts.add_ratio(ratio);
            }
            Attempt::Refused => counts.refused = 1.0,
            Attempt::Failed => counts.failed = 1.0,
            Attempt::Cancelled { sent, ratio } => {
                if !self.record_unanswered(now, sent, ratio) {
                    return;
                }
                counts.add_ratio(ratio);
            }
        }
        if !matches!(attempt, Attempt::Cancelled { .. }) {
            (self.waiting, self.unanswered) = (None, 0);
        }
        self.count_run(&counts);
        self.recent.add(&counts);
        self.unreported.add(&counts);
        // Healthy servers answer some attempts slowly, so these count only while most are slow.
        let is_slow = counts.slow > 0.0 && self.recent.deviations().contains(Deviations::SLOW);
        if is_slow || counts.refused + counts.failed > 0.0 {
            self.bad_at = Some(now);
            self.streak_length = 0;
        } else if counts.answered > 0.0 {
            self.extend_streak(now);
        }
    }

    /// Drops earlier answers if the attempts, this one included, have all been rejected or failed for long enough.
    fn count_run(&mut self, counts: &Counts) {
        if counts.answered > 0.0 {
            self.bad_run = 0;
        }
        if counts.refused + counts.failed > 0.0 {
            self.bad_run = self.bad_run.saturating_add(1);
        }
        if self.bad_run == BAD_RUN {
            self.recent = self.recent.without_answers();
            self.unreported = self.unreported.without_answers();
        }
    }

    /// Records an attempt that was cancelled without a reply. Returns whether that was late.
    fn record_unanswered(&mut self, now: clock::Millis, sent: clock::Millis, ratio: f64) -> bool {
        self.waiting = self.waiting.filter(|&(since, _)| since != sent);
        if ratio < SLOW_RATIO {
            return false;
        }
        let is_silence = now.since(sent) >= SILENCE;
        if self.unanswered == 0 {
            self.unanswered_since = sent;
        }
        self.unanswered = self.unanswered.saturating_add(if is_silence { SILENT_ATTEMPTS } else { 1 });
        true
    }

    fn extend_streak(&mut self, now: clock::Millis) {
        if self.streak_length == RECOVERY_ANSWERS {
            self.streak.rotate_left(1);
            self.streak_length -= 1;
        }
        self.streak[usize::from(self.streak_length)] = now;
        self.streak_length += 1;
    }

    /// Records that an attempt, sent at `sent`, has had no reply for longer than most; `usual` is the usual reply time of
    /// its class.
    pub fn record_wait(&mut self, sent: clock::Millis, usual: clock::Millis) {
        self.waiting.get_or_insert((sent, sent + usual.scale(SLOW_RATIO).max(SILENCE)));
    }

    /// When the silence, if any, is long enough to be reported.
    pub fn silence_due(&self) -> Option<clock::Millis> {
        let unanswered = (self.unanswered >= SILENT_ATTEMPTS).then(|| self.unanswered_since + SILENCE);
        let waiting = self.waiting.map(|(_, due)| due);
        unanswered.into_iter().chain(waiting).min()
    }

    /// Number of attempts without a reply if the server is silent, or else 0.
    fn silent_attempts(&self, now: clock::Millis) -> f64 {
        let is_silent = self.silence_due().is_some_and(|due| due <= now);
        if is_silent { f64::from(self.unanswered.max(1)) } else { 0.0 }
    }

    /// How the server deviates from the usual.
    pub fn deviations(&self, now: clock::Millis) -> Deviations {
        Counts { silent: self.silent_attempts(now), ..self.recent }.deviations()
    }

    /// Whether there is anything to report: the server deviates, has a standing, or was reported so recently that the
    /// report must be kept up to date.
    pub fn is_due(&self, now: clock::Millis, has_standing: bool) -> bool {
        let was_reported = self.reported_at > clock::Millis::ZERO && now.since(self.reported_at) < EXPIRY;
        was_reported || self.is_notable(now, has_standing)
    }

    fn is_notable(&self, now: clock::Millis, has_standing: bool) -> bool {
        has_standing || !self.deviations(now).is_empty()
    }

    /// Takes the results since the previous report.
    pub fn take(&mut self, now: clock::Millis, server: Incarnation, has_standing: bool) -> Sample {
        self.decay(now);
        if self.is_notable(now, has_standing) {
            self.reported_at = now;
        }
        let counts = Counts { silent: self.silent_attempts(now), ..std::mem::take(&mut self.unreported) };
        if counts.silent > 0.0 {
            (self.bad_at, self.streak_length) = (Some(now), 0);
        }
        let oldest = self.streak[0];
        Sample {
            server,
            counts,
            bad_age: self.bad_at.map(|at| now.since(at)).filter(|&age| age < EXPIRY),
            streak: self.streak_length,
            streak_age: if self.streak_length > 0 { now.since(oldest) } else { clock::Millis::ZERO },
        }
    }
}
