//! A linear program of ways, sources and pools, for the solver.
//!
//! Every way takes work of a source to a pool at a price, perhaps no more than so much. What no way takes is
//! refused at a price. The solver is an interior-point method: of equally good answers it gives the middle one,
//! so that ties do not swing.

use clarabel::algebra::CscMatrix;
use clarabel::solver::{
    DefaultSettingsBuilder, DefaultSolver, IPSolver, SolverStatus, SupportedConeT::NonnegativeConeT,
    SupportedConeT::ZeroConeT,
};

#[derive(Clone, Copy, Debug)]
pub struct Way {
    pub source: usize,
    pub pool: usize,
    pub price: f64,
    /// Work a second, at most.
    pub most: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct Program<'a> {
    pub ways: &'a [Way],
    /// Work a second of each source, and the price of refusing a unit of it.
    pub sources: &'a [(f64, f64)],
    pub pools: &'a [f64],
    /// A bound on what is refused, each unit counted as given; the answer's price of it comes last.
    pub refused_most: Option<(&'a [f64], f64)>,
    /// s that the solver may take.
    pub patience: f64,
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub flows: Vec<f64>,
    pub refused: Vec<f64>,
    /// What one more unit of each pool would save.
    pub pool_prices: Vec<f64>,
    /// What one more unit allowed to be refused would save; 0 without the bound.
    pub refused_price: f64,
}

impl Program<'_> {
    /// Errors: the solver did not come to an end, with its word.
    pub fn solve(&self) -> Result<Answer, String> {
        let (ways, sources, pools) = (self.ways.len(), self.sources.len(), self.pools.len());
        let columns = ways + sources;
        // Amounts and prices round 1, whatever their units.
        let amount = self.sources.iter().map(|(work, _)| *work).fold(0.0, f64::max).max(f64::MIN_POSITIVE);
        let dearest =
            self.ways.iter().map(|way| way.price).chain(self.sources.iter().map(|(_, price)| *price));
        let price = dearest.fold(0.0, f64::max).max(f64::MIN_POSITIVE);
        let mut entries: Vec<Vec<(usize, f64)>> = vec![Vec::new(); columns];
        let mut right: Vec<f64> = self.sources.iter().map(|(work, _)| work / amount).collect();
        right.extend(self.pools.iter().map(|capacity| capacity / amount));
        for (column, way) in self.ways.iter().enumerate() {
            entries[column].extend([(way.source, 1.0), (sources + way.pool, 1.0)]);
        }
        for source in 0..sources {
            entries[ways + source].push((source, 1.0));
        }
        if let Some((counted, most)) = self.refused_most {
            let scale = counted.iter().fold(0.0_f64, |most, one| most.max(*one)).max(f64::MIN_POSITIVE);
            for (source, one) in counted.iter().enumerate().filter(|(_, one)| **one > 0.0) {
                entries[ways + source].push((right.len(), one / scale));
            }
            right.push(most / amount / scale);
        }
        for (column, way) in self.ways.iter().enumerate() {
            if let Some(most) = way.most {
                entries[column].push((right.len(), 1.0));
                right.push(most / amount);
            }
        }
        for column in entries.iter_mut() {
            column.push((right.len(), -1.0));
            right.push(0.0);
        }
        let (mut starts, mut rows, mut values) = (vec![0], Vec::new(), Vec::new());
        for column in &entries {
            rows.extend(column.iter().map(|(row, _)| *row));
            values.extend(column.iter().map(|(_, value)| *value));
            starts.push(rows.len());
        }
        let matrix = CscMatrix::new(right.len(), columns, starts, rows, values);
        let costs = self.ways.iter().map(|way| way.price).chain(self.sources.iter().map(|(_, price)| *price));
        let costs: Vec<f64> = costs.map(|cost| cost / price).collect();
        let cones = [ZeroConeT(sources), NonnegativeConeT(right.len() - sources)];
        let settings = DefaultSettingsBuilder::default()
            .verbose(false)
            .time_limit(self.patience)
            .build()
            .map_err(|e| format!("{e:?}"))?;
        let none = CscMatrix::zeros((columns, columns));
        let mut solver = DefaultSolver::new(&none, &costs, &matrix, &right, &cones, settings)
            .map_err(|e| format!("{e:?}"))?;
        solver.solve();
        let found = &solver.solution;
        if !matches!(found.status, SolverStatus::Solved | SolverStatus::AlmostSolved) {
            return Err(format!("{:?} after {} steps", found.status, found.iterations));
        }
        let (flows, refused) = found.x.split_at(ways);
        let back = |x: &f64| x.max(0.0) * amount;
        let prices = &found.z[sources..];
        let scale = self.refused_most.map_or(0.0, |(counted, _)| counted.iter().fold(0.0, |m, x| x.max(m)));
        Ok(Answer {
            flows: flows.iter().map(back).collect(),
            refused: refused.iter().map(back).collect(),
            pool_prices: prices[..pools].iter().map(|z| z.max(0.0) * price).collect(),
            refused_price: if scale > 0.0 { prices[pools].max(0.0) * price / scale } else { 0.0 },
        })
    }
}
