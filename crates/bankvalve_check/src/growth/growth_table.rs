//! A table of quantities, each at several sizes of a site: the middle instance and the busiest one.

use crate::slopes::LineFit;

/// Begin of the line above the sizes.
const TITLE: &str = "middle / busiest";
/// Columns are this many spaces apart at least.
const GAP: &str = "  ";

/// A quantity at each size.
#[derive(Clone, Debug, PartialEq)]
pub struct GrowthRow {
    /// Its name, with its unit.
    pub quantity: String,
    /// Of each size the middle instance and the busiest one.
    pub points: Vec<(f64, f64)>,
}

impl GrowthRow {
    /// The power of the number of instances with which the busiest one grows, of those points that are
    /// not zero; none with fewer than two of them.
    pub fn power(&self, sizes: &[f64]) -> Option<f64> {
        let points = sizes.iter().zip(&self.points);
        let points = points.filter(|(_, (_, busiest))| *busiest > 0.0);
        let logs = points.map(|(size, (_, busiest))| (size.ln(), busiest.ln()));
        let logs: Vec<(f64, f64)> = logs.collect();
        (logs.len() > 1).then(|| LineFit::through(&logs).slope)
    }
}

/// Quantities at several sizes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GrowthTable {
    /// Instances at each size.
    pub sizes: Vec<f64>,
    /// The quantities.
    pub rows: Vec<GrowthRow>,
}

impl GrowthTable {
    /// Reads the table in a text.
    ///
    /// # Errors
    ///
    /// Says what was expected where.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_check::growth::GrowthTable;
    ///
    /// let text = "middle / busiest, by own machines\n        30     100  power\n\
    ///             entry: memory MB   4.8 / 10.0   4.7 / 100.0  1.0\n";
    /// let table = GrowthTable::parse(text).unwrap();
    /// assert_eq!((table.sizes.len(), table.rows[0].points[1]), (2, (4.7, 100.0)));
    /// assert!(table.rows[0].power(&table.sizes).unwrap() > 1.9);
    /// assert!(GrowthTable::parse("nothing").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut lines = text.lines().skip_while(|line| !line.starts_with(TITLE));
        lines
            .next()
            .ok_or_else(|| format!("expected a line that begins with '{TITLE}', found none"))?;
        let head = lines.next().unwrap_or_default();
        let numbers = head.split_whitespace().map_while(|word| word.parse().ok());
        let sizes: Vec<f64> = numbers.collect();
        if sizes.is_empty() {
            return Err(format!("expected numbers of instances, found '{head}'"));
        }
        let rows = lines.map_while(|line| read_row(line, sizes.len()));
        let rows: Vec<GrowthRow> = rows.collect();
        if rows.is_empty() {
            return Err("expected a line for a quantity, found none".to_owned());
        }
        Ok(Self { sizes, rows })
    }
}

fn read_row(line: &str, sizes: usize) -> Option<GrowthRow> {
    let (quantity, rest) = line.trim().split_once(GAP)?;
    let words: Vec<&str> = rest
        .split_whitespace()
        .filter(|word| *word != "/")
        .collect();
    let numbers: Vec<f64> = words.iter().map_while(|word| word.parse().ok()).collect();
    let pairs = numbers.chunks_exact(2).take(sizes);
    let points: Vec<(f64, f64)> = pairs.map(|pair| (pair[0], pair[1])).collect();
    (points.len() == sizes).then(|| GrowthRow {
        quantity: quantity.to_owned(),
        points,
    })
}
