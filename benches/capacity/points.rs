//! Measured points and linear fits through them.

/// One metric, measured at several sizes.
#[derive(Debug)]
struct Series {
    name: &'static str,
    samples: Vec<(f64, f64)>,
}

#[derive(Debug, Default)]
pub(crate) struct Points {
    series: Vec<Series>,
}

/// `value = base + slope * size`, with the largest residual as a fraction of the largest value.
#[derive(Debug)]
struct Fit {
    base: f64,
    slope: f64,
    residual: f64,
}

impl Points {
    pub(crate) fn add(&mut self, name: &'static str, size: usize, value: f64) {
        match self.series.iter_mut().find(|series| series.name == name) {
            Some(series) => series.samples.push((size as f64, value)),
            None => self.series.push(Series { name, samples: vec![(size as f64, value)] }),
        }
    }

    pub(crate) fn print(&self) {
        for series in &self.series {
            let fit = fit(&series.samples);
            println!(
                "{:<28} base {:>14.3} slope {:>12.5} residual {:.3} points {:?}",
                series.name, fit.base, fit.slope, fit.residual, series.samples
            );
        }
    }

    pub(crate) fn csv(&self) -> String {
        let mut text = "series,size,value\n".to_owned();
        for series in &self.series {
            for (size, value) in &series.samples {
                text.push_str(&format!("{},{size},{value:.3}\n", series.name));
            }
        }
        text.push_str("fit,base,slope,residual\n");
        for series in &self.series {
            let fit = fit(&series.samples);
            text.push_str(&format!("{},{:.3},{:.5},{:.3}\n", series.name, fit.base, fit.slope, fit.residual));
        }
        text
    }
}

fn fit(samples: &[(f64, f64)]) -> Fit {
    let count = samples.len() as f64;
    let mean = |axis: fn(&(f64, f64)) -> f64| samples.iter().map(axis).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|sample| sample.0), mean(|sample| sample.1));
    let covariance: f64 = samples.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = samples.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    let base = mean_y - slope * mean_x;
    let largest = samples.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let worst = samples.iter().map(|(x, y)| (y - base - slope * x).abs()).fold(0.0, f64::max);
    Fit { base, slope, residual: worst / largest }
}
