#include "greengagespar/entry/entry_settings.h"

#include <set>

namespace greengagespar {

namespace {

using S = EntrySettings;

constexpr std::size_t MaxPeers = 64;

Schema<S> makeSchema() {
  constexpr auto required = Presence::Required;
  constexpr auto optional = Presence::Optional;
  return {{
      field("name", &S::Name, identifier<HostId>("a host"), required,
            "Name of this entry, unique among all entries."),
      field("data_centre", &S::DataCentre,
            identifier<DataCentreId>("a data centre"), required,
            "Data centre that this entry runs in."),
      field("listen", &S::Listen, ipPort(), required,
            "Address that callers connect to."),
      field("link", &S::Link, ipPort(), required,
            "Address that other processes of the system connect to."),
      field("advertise", &S::Advertise, ipPortOrUnset(), optional,
            "Address that this entry advertises to callers; default: listen."),
      field("platform", &S::Platform, ipPort(), required,
            "Address of the platform's object API."),
      field("peers", &S::Peers, listOfValues(ipPort(), MaxPeers), optional,
            "Link addresses of other entries, to find them at the start while "
            "the platform is unavailable."),
      field("max_body_bytes", &S::MaxBodyBytes, byteCount(KiB, 16 * MiB),
            optional, "Largest body of a request."),
      field("max_header_bytes", &S::MaxHeaderBytes, byteCount(KiB, MiB),
            optional, "Largest headers of a request."),
      field("max_connections", &S::MaxConnections,
            wholeNumber("connections", {1, 65536}), optional,
            "Most connections of callers at a time."),
      field("header_timeout_ms", &S::HeaderTimeout,
            millisecondCount(100, 600000), optional,
            "Time for a caller to send a whole request."),
      field("idle_timeout_ms", &S::IdleTimeout, millisecondCount(100, 3600000),
            optional, "Time after which an idle connection is closed."),
      field("max_queue_bytes", &S::MaxQueueBytes,
            byteCount(64 * KiB, 1024 * MiB), optional,
            "Most memory for the bodies of waiting calls."),
      field("drain_grace_ms", &S::DrainGrace, millisecondCount(0, 60000),
            optional,
            "Time after a stop is asked in which new calls are still taken."),
      field("address_keep_ms", &S::AddressKeep, millisecondCount(100, 600000),
            optional, "Time for which callers may keep the list of addresses."),
      field("retry_budget_percent", &S::RetryBudgetPercent,
            wholeNumber("percent", {0, 100}), optional,
            "Retries allowed as a share of recent successes."),
  }};
}

} // namespace

const Schema<EntrySettings> &entrySettingsSchema() {
  static const Schema<S> schema = makeSchema();
  return schema;
}

EntrySettings defaultEntrySettings() {
  EntrySettings settings;
  settings.Name = {"entry-1"};
  settings.DataCentre = {"kigali-1"};
  settings.Listen = {"127.0.0.1:8001"};
  settings.Link = {"127.0.0.1:7001"};
  settings.Platform = {"127.0.0.1:9000"};
  return settings;
}

void completeEntrySettings(EntrySettings &settings, Findings &findings) {
  if (settings.Advertise.Value.empty())
    settings.Advertise = settings.Listen;
  if (settings.Link == settings.Listen)
    addFinding(findings, "link", "the address of listen", "another address");
  std::set<Address> seen{settings.Link};
  for (std::size_t i = 0; i < settings.Peers.size(); ++i)
    if (!seen.insert(settings.Peers[i]).second)
      addFinding(findings, "peers[" + std::to_string(i) + "]",
                 settings.Peers[i].Value,
                 "an address that is neither link nor a peer before it");
}

} // namespace greengagespar
