//! Provides the two sample sites, which are built into the program.

use marigoldpick_core::operator::Problem;

use super::site::{Site, SourceFile};

macro_rules! source_file {
    ($file:literal) => {
        SourceFile {
            file: concat!("examples/", $file).to_owned(),
            text: include_str!(concat!("../../../../examples/", $file)).to_owned(),
        }
    };
}

/// Returns both sample sites.
pub(super) fn all() -> Result<Vec<Site>, Problem> {
    Ok(vec![kirpputori()?, cyd_robotau()?])
}

/// Returns the sample whose stand-ins and entries run a site that has intents alone.
pub(super) fn default_site() -> Result<Site, Problem> {
    kirpputori()
}

fn kirpputori() -> Result<Site, Problem> {
    let entries = [
        source_file!("kirpputori/entries/helsinki-1.toml"),
        source_file!("kirpputori/entries/helsinki-2.toml"),
        source_file!("kirpputori/entries/helsinki-3.toml"),
        source_file!("kirpputori/entries/turku-1.toml"),
        source_file!("kirpputori/entries/turku-2.toml"),
        source_file!("kirpputori/entries/turku-3.toml"),
        source_file!("kirpputori/entries/lahti-1.toml"),
        source_file!("kirpputori/entries/lahti-2.toml"),
    ];
    let intents = vec![
        source_file!("kirpputori/intents/10-site.toml"),
        source_file!("kirpputori/intents/20-services.toml"),
        source_file!("kirpputori/intents/30-close-out.toml"),
        source_file!("kirpputori/intents/40-forecast.toml"),
        source_file!("kirpputori/intents/50-rain.toml"),
    ];
    let standin = source_file!("kirpputori/standin.toml");
    Site::parse("kirpputori", &standin, &entries, intents)
}

fn cyd_robotau() -> Result<Site, Problem> {
    let entries = [
        source_file!("cyd-robotau/entries/bangor-1.toml"),
        source_file!("cyd-robotau/entries/bangor-2.toml"),
        source_file!("cyd-robotau/entries/aberystwyth-1.toml"),
        source_file!("cyd-robotau/entries/aberystwyth-2.toml"),
        source_file!("cyd-robotau/entries/swansea-1.toml"),
        source_file!("cyd-robotau/entries/swansea-2.toml"),
        source_file!("cyd-robotau/entries/cardiff-1.toml"),
        source_file!("cyd-robotau/entries/cardiff-2.toml"),
    ];
    let intents = vec![
        source_file!("cyd-robotau/intents/10-site.toml"),
        source_file!("cyd-robotau/intents/20-services.toml"),
        source_file!("cyd-robotau/intents/30-floor-maps.toml"),
        source_file!("cyd-robotau/intents/40-map-merge.toml"),
        source_file!("cyd-robotau/intents/50-breakfast.toml"),
    ];
    let standin = source_file!("cyd-robotau/standin.toml");
    Site::parse("cyd-robotau", &standin, &entries, intents)
}
