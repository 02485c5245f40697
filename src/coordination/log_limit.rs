//! Rate limit for log lines on one subject, so that logging many events does not cost more than handling them.

use crate::types::Micros;

/// Sustained rate of lines.
const LINES_PER_S: f64 = 10.0;
/// Maximum burst of lines after a period without any.
const MAX_BURST_LINES: f64 = 100.0;

/// A token bucket for log lines that counts the lines it suppressed.
#[derive(Debug)]
pub(crate) struct LogLimit {
    lines_left: f64,
    refilled_at: Micros,
    left_out_count: u64,
}

impl Default for LogLimit {
    fn default() -> LogLimit {
        LogLimit { lines_left: MAX_BURST_LINES, refilled_at: Micros::ZERO, left_out_count: 0 }
    }
}

impl LogLimit {
    /// Returns whether one more line may be written now, and counts it as written or suppressed.
    pub(crate) fn admits_line(&mut self, now: Micros) -> bool {
        let refill = now.since(self.refilled_at).secs() * LINES_PER_S;
        self.lines_left = (self.lines_left + refill).min(MAX_BURST_LINES);
        self.refilled_at = now;
        let is_admitted = self.lines_left >= 1.0;
        if is_admitted {
            self.lines_left -= 1.0;
        } else {
            self.left_out_count += 1;
        }
        is_admitted
    }

    /// Returns the number of suppressed lines since the last call, and resets it.
    pub(crate) fn take_left_out_count(&mut self) -> u64 {
        std::mem::take(&mut self.left_out_count)
    }
}
