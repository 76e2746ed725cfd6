#include "greengagespar/direct/direct_settings.h"

#include <algorithm>

namespace greengagespar {

namespace {

using S = DirectSettings;

constexpr std::size_t MaxPeers = 64;

constexpr double MsPerSecond = 1000;

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
            "Address that callers send requests to."),
      field("ready", &S::Ready, ipPort(), required,
            "Address that answers whether this entry is ready."),
      field("directory", &S::Directory, ipPort(), required,
            "Address that lists the entries for callers to connect to."),
      field("link", &S::Link, ipPort(), required,
            "Address that other entries connect to."),
      field("store", &S::Store, ipPort(), required,
            "Address of the platform's object store."),
      field("metrics", &S::Metrics, ipPort(), optional,
            "Address that shows this process's metrics."),
      field("rank_port", &S::RankPort, wholeNumber("port", {0, 65535}),
            optional,
            "Link port of the processes beside the ranks of groups, on their "
            "hosts; 0: there are none."),
      field("peers", &S::Peers, listOfValues(ipPort(), MaxPeers), optional,
            "Link addresses of some entries, to find the others by."),
      field("grace_s", &S::Grace, duration("seconds", MsPerSecond, {0.5, 600}),
            optional,
            "Time from a request to stop until the process is killed."),
      field("address_keep_ms", &S::AddressKeep, millisecondCount(100, 600000),
            optional, "Time for which callers may keep the addresses."),
      field("retry_share", &S::RetryShare, numberIn({0, 100}), optional,
            "Retries of all entries as a share of requests."),
      field("extra_retries", &S::ExtraRetries, numberIn({0, 1000000}), optional,
            "Retries of all entries beyond the share, in a window."),
      field("retry_window_s", &S::RetryWindow,
            duration("seconds", MsPerSecond, {0.1, 600}), optional,
            "Length of that window."),
      field("registration_heartbeat_ms", &S::RegistrationHeartbeat,
            duration("milliseconds", 1, {10, 600000}), optional,
            "Interval at which servers renew their registrations."),
      field("change_time_ms", &S::ChangeTime,
            duration("milliseconds", 1, {100, 600000}), optional,
            "Time in which a change in the store has to be in force."),
      field("cold_overage", &S::ColdOverage, numberIn({0, 1000}), optional,
            "A cold server gets at most its service's rate times this in any "
            "second, from all entries; 0: no bound."),
      field("cold_slack", &S::ColdSlack, numberIn({0, 1000000}), optional,
            "Requests beyond that in any second."),
      field("share_room", &S::ShareRoom, boolean(), optional,
            "Whether the entries share the room of a group by its reports; off "
            "unless set."),
      field("log_lines_per_second", &S::LogLinesPerSecond,
            wholeNumber("lines", {1, 100000}), optional,
            "Most log lines in a second; more are counted and left out."),
      field("out_of_service_ms", &S::OutOfServiceTime,
            duration("milliseconds", 1, {0, 600000}), optional,
            "Time in which an order to take a data centre out of service has "
            "to be in force; 0: there are no such orders."),
      field("memory_mb", &S::MemoryMegabytes, numberIn({16, 1000000}), optional,
            "Memory of the process in MB. Requests and answers may fill half."),
  }};
}

} // namespace

const Schema<DirectSettings> &directSettingsSchema() {
  static const Schema<S> schema = makeSchema();
  return schema;
}

DirectSettings defaultDirectSettings() {
  DirectSettings settings;
  settings.Name = {"entry-1"};
  settings.DataCentre = {"kigali-1"};
  settings.Listen = {"127.0.0.1:8001"};
  settings.Ready = {"127.0.0.1:8002"};
  settings.Directory = {"127.0.0.1:8003"};
  settings.Link = {"127.0.0.1:7001"};
  settings.Store = {"127.0.0.1:9000"};
  return settings;
}

void completeDirectSettings(DirectSettings &settings, Findings &) {
  std::erase(settings.Peers, settings.Link);
}

} // namespace greengagespar
