//! The linear program of a transportation problem, and its translation for the solver.
//!
//! Every edge carries work from a source to a pool at a price, optionally up to a limit. Work that no edge carries is
//! refused at a price. The solver uses an interior-point method: among equally good solutions it returns a central
//! one, so that ties don't oscillate.

use clarabel::algebra::CscMatrix;
use clarabel::solver::{
    DefaultSettingsBuilder, DefaultSolver, IPSolver, SolverStatus, SupportedConeT::NonnegativeConeT,
    SupportedConeT::ZeroConeT,
};

/// A possible flow from a source to a pool.
#[derive(Clone, Copy, Debug)]
pub struct Edge {
    pub source: usize,
    pub pool: usize,
    /// Price per unit of work.
    pub price: f64,
    /// Upper limit of the flow, in units of work per second.
    pub capacity: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct Program<'a> {
    pub edges: &'a [Edge],
    /// Work per second of each source, and the price of refusing a unit of it.
    pub sources: &'a [(f64, f64)],
    /// Capacity of each pool.
    pub pools: &'a [f64],
    /// Weights of refused work by source, and the upper limit of the weighted sum.
    pub refusal_limit: Option<(&'a [f64], f64)>,
    /// Time limit of the solver, s.
    pub time_limit: f64,
}

#[derive(Clone, Debug)]
pub struct Solution {
    /// Work per second of each edge.
    pub flows: Vec<f64>,
    /// Refused work per second of each source.
    pub refused: Vec<f64>,
    /// What one more unit of each pool's capacity would save.
    pub pool_prices: Vec<f64>,
    /// What raising the refusal limit by one unit would save; 0 without the limit.
    pub refusal_price: f64,
}

impl Program<'_> {
    /// Fails with the solver's status if it finds no solution.
    pub fn solve(&self) -> Result<Solution, String> {
        let (edges, sources, pools) = (self.edges.len(), self.sources.len(), self.pools.len());
        let columns = edges + sources;
        // Amounts and prices are scaled to about 1, whatever their units.
        let amount_scale =
            self.sources.iter().map(|(work, _)| *work).fold(0.0, f64::max).max(f64::MIN_POSITIVE);
        let prices =
            self.edges.iter().map(|edge| edge.price).chain(self.sources.iter().map(|(_, price)| *price));
        let price_scale = prices.fold(0.0, f64::max).max(f64::MIN_POSITIVE);
        let mut entries: Vec<Vec<(usize, f64)>> = vec![Vec::new(); columns];
        let mut rhs: Vec<f64> = self.sources.iter().map(|(work, _)| work / amount_scale).collect();
        rhs.extend(self.pools.iter().map(|capacity| capacity / amount_scale));
        for (column, edge) in self.edges.iter().enumerate() {
            entries[column].extend([(edge.source, 1.0), (sources + edge.pool, 1.0)]);
        }
        for source in 0..sources {
            entries[edges + source].push((source, 1.0));
        }
        if let Some((weights, limit)) = self.refusal_limit {
            let weight_scale =
                weights.iter().fold(0.0_f64, |max, weight| max.max(*weight)).max(f64::MIN_POSITIVE);
            for (source, weight) in weights.iter().enumerate().filter(|(_, weight)| **weight > 0.0) {
                entries[edges + source].push((rhs.len(), weight / weight_scale));
            }
            rhs.push(limit / amount_scale / weight_scale);
        }
        for (column, edge) in self.edges.iter().enumerate() {
            if let Some(capacity) = edge.capacity {
                entries[column].push((rhs.len(), 1.0));
                rhs.push(capacity / amount_scale);
            }
        }
        for column in entries.iter_mut() {
            column.push((rhs.len(), -1.0));
            rhs.push(0.0);
        }
        let (mut starts, mut rows, mut values) = (vec![0], Vec::new(), Vec::new());
        for column in &entries {
            rows.extend(column.iter().map(|(row, _)| *row));
            values.extend(column.iter().map(|(_, value)| *value));
            starts.push(rows.len());
        }
        let matrix = CscMatrix::new(rhs.len(), columns, starts, rows, values);
        let costs =
            self.edges.iter().map(|edge| edge.price).chain(self.sources.iter().map(|(_, price)| *price));
        let costs: Vec<f64> = costs.map(|cost| cost / price_scale).collect();
        let cones = [ZeroConeT(sources), NonnegativeConeT(rhs.len() - sources)];
        let settings = DefaultSettingsBuilder::default()
            .verbose(false)
            .time_limit(self.time_limit)
            .build()
            .map_err(|e| format!("{e:?}"))?;
        let quadratic_costs = CscMatrix::zeros((columns, columns));
        let mut solver = DefaultSolver::new(&quadratic_costs, &costs, &matrix, &rhs, &cones, settings)
            .map_err(|e| format!("{e:?}"))?;
        solver.solve();
        let solution = &solver.solution;
        if !matches!(solution.status, SolverStatus::Solved | SolverStatus::AlmostSolved) {
            return Err(format!("solver: {:?} after {} iterations", solution.status, solution.iterations));
        }
        let (flows, refused) = solution.x.split_at(edges);
        let unscaled = |x: &f64| x.max(0.0) * amount_scale;
        let duals = &solution.z[sources..];
        let weight_scale =
            self.refusal_limit.map_or(0.0, |(weights, _)| weights.iter().fold(0.0, |m, x| x.max(m)));
        let refusal_price =
            if weight_scale > 0.0 { duals[pools].max(0.0) * price_scale / weight_scale } else { 0.0 };
        Ok(Solution {
            flows: flows.iter().map(unscaled).collect(),
            refused: refused.iter().map(unscaled).collect(),
            pool_prices: duals[..pools].iter().map(|z| z.max(0.0) * price_scale).collect(),
            refusal_price,
        })
    }
}
