/// \file
/// The status of a group or service, which is stored under
/// `/teams/<team>/status/groups/<group>`: the health of its servers and the
/// burn of its objectives. This file also renders the status as reports for
/// people. Pure functions; thread safe.
#ifndef GREENGAGESPAR_REPORT_STATUS_H
#define GREENGAGESPAR_REPORT_STATUS_H

#include "greengagespar/report/burn.h"
#include "greengagespar/report/burn_json.h"
#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace greengagespar {

/// The health of one server as seen by the entries.
enum class ServerHealth {
  Live,
  Unresponsive, ///< Its name in reports is "silent".
  Aside,        ///< The entries send it no calls for a time.
  Leaving
};

/// Returns the name of \p health in reports.
std::string_view serverHealthName(ServerHealth health);

/// The status of one server.
struct ServerStatus {
  ServerId Id;
  ServerHealth Health = ServerHealth::Live;
  int Running = 0; ///< Calls that the server is running.
  int Waiting = 0; ///< Calls in the server's own queue.
  int Slots = 0;   ///< Calls that the server can run at a time.
};

/// The status of one group or service.
struct GroupStatus {
  TargetKind Kind = TargetKind::Group;
  std::string Target; ///< Id of the group or service.
  TeamId Team;
  Generation SettingsGeneration; ///< In force at the writer.
  WallTime WrittenAt;            ///< When the status was written.
  HostId Writer;                 ///< Entry that wrote the status.
  std::vector<ServerStatus> Servers;
  std::vector<ObjectiveBurn> Objectives;
};

/// Renders the value of the status object. It includes \p ledger, so that
/// another entry can continue the ledger. Null leaves the ledger out, as in a
/// report.
boost::json::value toJson(const GroupStatus &status, const BurnLedger *ledger);

/// Reads the ledger from the value of a status object. Returns an empty ledger
/// if the value has none. Fails with BadRequest if the value or the ledger is
/// malformed.
Result<BurnLedger> ledgerOfStatus(const boost::json::value &status);

/// Renders statuses as text for a terminal of 80 columns.
std::string renderText(const std::vector<GroupStatus> &statuses);

/// Renders statuses as one JSON document.
std::string renderJson(const std::vector<GroupStatus> &statuses);

/// One curve in a plot of burn rates.
struct BurnLine {
  std::string Label;
  std::vector<double> Rates; ///< Oldest first, one per BurnPlot::Step.
};

/// A plot of burn rates over time.
struct BurnPlot {
  std::string Title;
  std::chrono::seconds Step{0}; ///< Time between two points.
  std::vector<BurnLine> Lines;
};

/// Returns a plot of the objectives of \p target from \p ledger. The plot shows
/// the burn rate of each five minutes of the last hour if \p lastHour is set,
/// else of each half hour of the last three days.
BurnPlot plotOf(const BurnLedger &ledger, TargetKind kind,
                const std::string &target, bool lastHour, WallTime now);

/// Renders a plot as an SVG document.
std::string renderSvg(const BurnPlot &plot);

/// Renders \p burns in the Prometheus text format: burn rates, remaining error
/// budgets and bad events by cause.
std::string renderBurnMetrics(const std::vector<ObjectiveBurn> &burns);

} // namespace greengagespar

#endif // GREENGAGESPAR_REPORT_STATUS_H
