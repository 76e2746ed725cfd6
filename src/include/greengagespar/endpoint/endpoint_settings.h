/// \file
/// Settings of the endpoint program.
#ifndef GREENGAGESPAR_ENDPOINT_ENDPOINT_SETTINGS_H
#define GREENGAGESPAR_ENDPOINT_ENDPOINT_SETTINGS_H

#include "greengagespar/base/schema.h"
#include "greengagespar/base/units.h"

namespace greengagespar {

/// What stands behind an endpoint process.
enum class UpstreamKind {
  Engine,  ///< A model engine.
  Service, ///< A plain service.
};

/// What one endpoint process learns from its settings file. Plain value.
struct EndpointSettings {
  HostId Name;             ///< Unique among all endpoint processes.
  DataCentreId DataCentre; ///< Where it runs.
  Address Link;            ///< For links from entries and other endpoints.
  Address Platform;        ///< The platform's object API.
  ServerId Server;         ///< The server it stands before.
  Address Upstream;        ///< The engine's or plain service's HTTP.
  UpstreamKind Kind = UpstreamKind::Engine;
  std::size_t MaxAnswerBytes = 4 * MiB;       ///< Of one whole answer.
  std::size_t DedupeMemoryBytes = 8 * MiB;    ///< Kept keys and answers.
  std::chrono::milliseconds DrainGrace{3000}; ///< Calls still taken on a stop.
  std::chrono::milliseconds LoadReport{500};  ///< Between load reports.
};

/// Returns the table of the settings. Thread safe.
const Schema<EndpointSettings> &endpointSettingsSchema();

/// Returns default values, and example values for required keys. Thread safe.
EndpointSettings defaultEndpointSettings();

/// Checks keys against each other. Thread safe.
void completeEndpointSettings(EndpointSettings &settings, Findings &findings);

} // namespace greengagespar

#endif // GREENGAGESPAR_ENDPOINT_ENDPOINT_SETTINGS_H
