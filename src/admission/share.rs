//! Weighted max-min fair division of a capacity.

/// One party to a division.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// What the party asks for, in the capacity's unit.
    pub need: f64,
    /// The party's weight; zero gets nothing while others ask.
    pub weight: u32,
}

/// Divides `capacity` among the claims by weighted max-min fairness.
///
/// Nobody gets more than it needs. A party that needs less than its weighted share gets all of its need, and what it
/// leaves is divided among the others by weight. The result has one entry a claim, in order.
pub fn max_min(capacity: f64, claims: &[Claim]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by(|a, b| level(&claims[*a]).total_cmp(&level(&claims[*b])));
    let mut left = capacity.max(0.0);
    let mut weights: f64 = claims.iter().map(|claim| f64::from(claim.weight)).sum();
    let mut given = vec![0.0; claims.len()];
    for index in order {
        let claim = &claims[index];
        if weights <= 0.0 {
            break;
        }
        let share = left * f64::from(claim.weight) / weights;
        given[index] = claim.need.max(0.0).min(share);
        left -= given[index];
        weights -= f64::from(claim.weight);
    }
    given
}

/// The fill level at which a claim is satisfied.
fn level(claim: &Claim) -> f64 {
    if claim.weight == 0 {
        return f64::INFINITY;
    }
    claim.need / f64::from(claim.weight)
}
