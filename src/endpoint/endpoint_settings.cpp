#include "greengagespar/endpoint/endpoint_settings.h"

namespace greengagespar {

namespace {

using S = EndpointSettings;

Codec<UpstreamKind> upstreamKind() {
  return choiceOf<UpstreamKind>(
      {{"engine", UpstreamKind::Engine}, {"service", UpstreamKind::Service}});
}

Schema<S> makeSchema() {
  constexpr auto required = Presence::Required;
  constexpr auto optional = Presence::Optional;
  return {{
      field("name", &S::Name, identifier<HostId>("a host"), required,
            "Name of this endpoint process, unique among all of them."),
      field("data_centre", &S::DataCentre,
            identifier<DataCentreId>("a data centre"), required,
            "Data centre that this endpoint process runs in."),
      field("link", &S::Link, ipPort(), required,
            "Address that other processes of the system connect to."),
      field("platform", &S::Platform, ipPort(), required,
            "Address of the platform's object API."),
      field("server", &S::Server, identifier<ServerId>("a server"), required,
            "Server that this process stands in front of, as named in the "
            "team's settings."),
      field("upstream", &S::Upstream, ipPort(), required,
            "Address of the model engine or plain service."),
      field("upstream_kind", &S::Kind, upstreamKind(), required,
            "Kind of server at upstream: a model engine or a plain service."),
      field("max_answer_bytes", &S::MaxAnswerBytes, byteCount(KiB, 64 * MiB),
            optional, "Largest answer of a plain service."),
      field("dedupe_memory_bytes", &S::DedupeMemoryBytes,
            byteCount(64 * KiB, 1024 * MiB), optional,
            "Limit on the memory for idempotency keys and their answers."),
      field("drain_grace_ms", &S::DrainGrace, millisecondCount(0, 60000),
            optional,
            "Time after a stop is asked in which new calls are still taken."),
      field("load_report_ms", &S::LoadReport, millisecondCount(50, 60000),
            optional, "Time between two load reports to the entries."),
  }};
}

} // namespace

const Schema<EndpointSettings> &endpointSettingsSchema() {
  static const Schema<S> schema = makeSchema();
  return schema;
}

EndpointSettings defaultEndpointSettings() {
  EndpointSettings settings;
  settings.Name = {"endpoint-1"};
  settings.DataCentre = {"kigali-1"};
  settings.Link = {"127.0.0.1:7101"};
  settings.Platform = {"127.0.0.1:9000"};
  settings.Server = {"helper-1"};
  settings.Upstream = {"127.0.0.1:9101"};
  return settings;
}

void completeEndpointSettings(EndpointSettings &settings, Findings &findings) {
  if (settings.Link == settings.Upstream)
    addFinding(findings, "link", "the address of upstream", "another address");
}

} // namespace greengagespar
