/// \file
/// Settings of the endpoint program.
#ifndef GREENGAGESPAR_ENDPOINT_ENDPOINT_SETTINGS_H
#define GREENGAGESPAR_ENDPOINT_ENDPOINT_SETTINGS_H

#include "greengagespar/base/schema.h"
#include "greengagespar/base/units.h"

namespace greengagespar {

/// The kind of server behind an endpoint process.
enum class UpstreamKind {
  Engine,  ///< A model engine.
  Service, ///< A plain service.
};

/// What one endpoint process reads from its settings file. Plain value.
struct EndpointSettings {
  HostId Name;             ///< Unique among all endpoint processes.
  DataCentreId DataCentre; ///< Where the process runs.
  Address Link;            ///< For links from entries and other endpoints.
  Address Platform;        ///< The platform's object API.
  ServerId Server;         ///< The server it stands in front of.
  Address Upstream;        ///< HTTP address of the engine or plain service.
  UpstreamKind Kind = UpstreamKind::Engine;
  std::size_t MaxAnswerBytes = 4 * MiB; ///< Limit on one whole answer.
  /// Limit on retained idempotency keys and their answers.
  std::size_t DedupeMemoryBytes = 8 * MiB;
  /// How long new calls are still accepted after a stop request.
  std::chrono::milliseconds DrainGrace{3000};
  std::chrono::milliseconds LoadReport{500}; ///< Interval between reports.
};

/// Returns the table of the settings. Thread safe.
const Schema<EndpointSettings> &endpointSettingsSchema();

/// Returns default values, and example values for required keys. Thread safe.
EndpointSettings defaultEndpointSettings();

/// Checks keys against each other. Thread safe.
void completeEndpointSettings(EndpointSettings &settings, Findings &findings);

} // namespace greengagespar

#endif // GREENGAGESPAR_ENDPOINT_ENDPOINT_SETTINGS_H
