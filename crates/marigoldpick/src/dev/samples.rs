//! The two sample sites, built into the program.

use marigoldpick_core::operator::Problem;

use super::site::{Site, Text};

macro_rules! text {
    ($file:literal) => {
        Text {
            file: concat!("examples/", $file).to_owned(),
            text: include_str!(concat!("../../../../examples/", $file)).to_owned(),
        }
    };
}

/// Returns both samples.
pub(super) fn all() -> Result<Vec<Site>, Problem> {
    Ok(vec![kirpputori()?, cyd_robotau()?])
}

/// Returns the sample whose machines also run intents that come without machines.
pub(super) fn first() -> Result<Site, Problem> {
    kirpputori()
}

fn kirpputori() -> Result<Site, Problem> {
    let entries = [
        text!("kirpputori/entries/helsinki-1.toml"),
        text!("kirpputori/entries/helsinki-2.toml"),
        text!("kirpputori/entries/helsinki-3.toml"),
        text!("kirpputori/entries/turku-1.toml"),
        text!("kirpputori/entries/turku-2.toml"),
        text!("kirpputori/entries/turku-3.toml"),
        text!("kirpputori/entries/lahti-1.toml"),
        text!("kirpputori/entries/lahti-2.toml"),
    ];
    let intents = vec![
        text!("kirpputori/intents/10-site.toml"),
        text!("kirpputori/intents/20-services.toml"),
        text!("kirpputori/intents/30-close-out.toml"),
        text!("kirpputori/intents/40-forecast.toml"),
        text!("kirpputori/intents/50-rain.toml"),
    ];
    let standin = text!("kirpputori/standin.toml");
    Site::parse("kirpputori", &standin, &entries, intents)
}

fn cyd_robotau() -> Result<Site, Problem> {
    let entries = [
        text!("cyd-robotau/entries/bangor-1.toml"),
        text!("cyd-robotau/entries/bangor-2.toml"),
        text!("cyd-robotau/entries/aberystwyth-1.toml"),
        text!("cyd-robotau/entries/aberystwyth-2.toml"),
        text!("cyd-robotau/entries/swansea-1.toml"),
        text!("cyd-robotau/entries/swansea-2.toml"),
        text!("cyd-robotau/entries/cardiff-1.toml"),
        text!("cyd-robotau/entries/cardiff-2.toml"),
    ];
    let intents = vec![
        text!("cyd-robotau/intents/10-site.toml"),
        text!("cyd-robotau/intents/20-services.toml"),
        text!("cyd-robotau/intents/30-floor-maps.toml"),
        text!("cyd-robotau/intents/40-map-merge.toml"),
        text!("cyd-robotau/intents/50-breakfast.toml"),
    ];
    let standin = text!("cyd-robotau/standin.toml");
    Site::parse("cyd-robotau", &standin, &entries, intents)
}
