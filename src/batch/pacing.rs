//! How fast tasks that use leftover processor time may work beside tasks that serve.

/// Share of the target above which fillers give way, in thousandths; below 1,000, as figures lag by half a second.
const BACK_OFF_MILLI: u64 = 900;
/// Share of the target below which fillers may work more, in thousandths.
const SPEED_UP_MILLI: u64 = 600;
/// Percent that a filler gains at a time; small steps find the limit without passing it far.
const GAIN_PERCENT: u32 = 10;
/// A share below this, in percent, is rounded to nothing.
const LEAST_PERCENT: u32 = 10;

/// A filler's next share, in percent, from the tails and targets of the serving tasks beside it.
///
/// Halves when a tail comes near its target and grows by steps while all are well below.
pub fn next_share(share: u32, serving: &[(u64, u64)]) -> u32 {
    let worst = serving
        .iter()
        .map(|(tail_ms, target_ms)| tail_ms * 1_000 / target_ms.max(&1))
        .max()
        .unwrap_or(0);
    if worst > BACK_OFF_MILLI {
        let half = share / 2;
        return if half < LEAST_PERCENT { 0 } else { half };
    }
    if worst < SPEED_UP_MILLI {
        return (share + GAIN_PERCENT).min(100);
    }
    share
}
