/// \file
/// The status of a group or service that is written to
/// `/teams/<team>/status/groups/<group>`: health of its servers and
/// service-level burn; and its reports for a person. Pure functions; thread
/// safe.
#ifndef GREENGAGESPAR_REPORT_STATUS_H
#define GREENGAGESPAR_REPORT_STATUS_H

#include "greengagespar/report/burn.h"
#include "greengagespar/report/burn_json.h"
#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace greengagespar {

/// Health of one server as the entries see it.
enum class ServerHealth { Live, Silent, Aside, Leaving };

/// Returns the name of \p health in reports.
std::string_view serverHealthName(ServerHealth health);

/// One server in a status.
struct ServerStatus {
  ServerId Id;
  ServerHealth Health = ServerHealth::Live;
  int Running = 0; ///< Calls that it works on.
  int Waiting = 0; ///< Calls in its own queue.
  int Slots = 0;   ///< Calls that it works on at a time.
};

/// The status of one group or service.
struct GroupStatus {
  TargetKind Kind = TargetKind::Group;
  std::string Target; ///< Id of the group or service.
  TeamId Team;
  Generation At;    ///< Settings in force where it was written.
  WallTime Written; ///< When it was written.
  HostId Writer;    ///< Entry that wrote it.
  std::vector<ServerStatus> Servers;
  std::vector<ObjectiveBurn> Objectives;
};

/// Renders the status object's value. \p ledger is kept in it, so that another
/// entry can go on from it; null leaves it out, as in a report.
boost::json::value toJson(const GroupStatus &status, const BurnLedger *ledger);

/// Reads the ledger out of a status object's value; an empty ledger when it has
/// none. Fails with BadRequest when it is malformed.
Result<BurnLedger> ledgerOfStatus(const boost::json::value &status);

/// Renders statuses as text for a terminal of 80 columns.
std::string renderText(const std::vector<GroupStatus> &statuses);

/// Renders statuses as one JSON document.
std::string renderJson(const std::vector<GroupStatus> &statuses);

/// One line of a plot of burn rates.
struct BurnLine {
  std::string Label;
  std::vector<double> Rates; ///< Oldest first, one for each step of time.
};

/// A plot of burn rates over time.
struct BurnPlot {
  std::string Title;
  std::chrono::seconds Step{0}; ///< Time between two points.
  std::vector<BurnLine> Lines;
};

/// Makes a plot of \p target from \p ledger: the burn rate of each half hour of
/// the last three days, or of each five minutes of the last hour.
BurnPlot plotOf(const BurnLedger &ledger, TargetKind kind,
                const std::string &target, bool lastHour, WallTime now);

/// Renders a plot as an SVG document.
std::string renderSvg(const BurnPlot &plot);

/// Renders all objectives in the Prometheus text format: burn rates, budget
/// left and bad events by cause.
std::string renderBurnMetrics(const std::vector<ObjectiveBurn> &burns);

} // namespace greengagespar

#endif // GREENGAGESPAR_REPORT_STATUS_H
