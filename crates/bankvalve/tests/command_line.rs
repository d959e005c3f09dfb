//! Snapshots of the command line.

#[test]
fn command_line_snapshots() {
    trycmd::TestCases::new().case("tests/cmd/*.toml");
}
