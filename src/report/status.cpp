#include "greengagespar/report/status.h"

#include "greengagespar/report/metrics.h"
#include <array>
#include <boost/json.hpp>
#include <cstdio>
#include <iomanip>
#include <sstream>

namespace greengagespar {

namespace {

namespace json = boost::json;

json::value serverToJson(const ServerStatus &server) {
  return json::object{{"id", server.Id.Value},
                      {"health", serverHealthName(server.Health)},
                      {"running", server.Running},
                      {"waiting", server.Waiting},
                      {"slots", server.Slots}};
}

std::string_view kindName(TargetKind kind) {
  return kind == TargetKind::Group ? "group" : "service";
}

std::string windowName(std::chrono::seconds window) {
  if (window < std::chrono::hours(1))
    return std::to_string(window / std::chrono::minutes(1)) + "m";
  return std::to_string(window / std::chrono::hours(1)) + "h";
}

void writeObjective(std::ostream &out, const ObjectiveBurn &burn) {
  out << "  " << burn.Key.Class.Value << ": " << burn.Key.Share * 100
      << "% with " << measureName(burn.Key.Measured) << " within "
      << burn.Key.WithinMs << " ms\n    burn rate";
  for (const WindowBurn &it : burn.Windows)
    out << "  " << windowName(it.Window) << ' ' << it.Rate;
  out << "\n    budget left " << burn.BudgetLeft * 100 << "%, alert "
      << burnAlertName(burn.Alert) << "\n    burned by";
  for (std::size_t i = 0; i < BurnCauseCount; ++i)
    out << "  " << burnCauseName(static_cast<BurnCause>(i)) << ' '
        << burn.Causes[i];
  out << '\n';
}

void writeServers(std::ostream &out, const std::vector<ServerStatus> &servers) {
  for (const ServerStatus &it : servers)
    out << "  server " << it.Id.Value << ": " << serverHealthName(it.Health)
        << ", running " << it.Running << " of " << it.Slots << ", waiting "
        << it.Waiting << '\n';
}

std::string labelsOf(const SeriesKey &key) {
  std::ostringstream out;
  out << kindName(key.Kind) << "=\"" << escapeLabelValue(key.Target)
      << "\",class=\"" << escapeLabelValue(key.Class.Value) << "\",measure=\""
      << measureName(key.Measured) << "\",within_ms=\"" << key.WithinMs << '"';
  return out.str();
}

} // namespace

std::string_view serverHealthName(ServerHealth health) {
  constexpr std::array<std::string_view, 4> names = {"live", "silent", "aside",
                                                     "leaving"};
  return names[static_cast<std::size_t>(health)];
}

json::value toJson(const GroupStatus &status, const BurnLedger *ledger) {
  json::array servers;
  for (const ServerStatus &it : status.Servers)
    servers.push_back(serverToJson(it));
  json::array objectives;
  for (const ObjectiveBurn &it : status.Objectives)
    objectives.push_back(toJson(it));
  auto written =
      std::chrono::floor<std::chrono::milliseconds>(status.WrittenAt);
  json::object out{{"kind", kindName(status.Kind)},
                   {"target", status.Target},
                   {"team", status.Team.Value},
                   {"generation", status.SettingsGeneration.Value},
                   {"written_ms", written.time_since_epoch().count()},
                   {"writer", status.Writer.Value},
                   {"servers", std::move(servers)},
                   {"objectives", std::move(objectives)}};
  if (ledger)
    out["ledger"] = toJson(*ledger);
  return out;
}

Result<BurnLedger> ledgerOfStatus(const json::value &status) {
  const json::object *object = status.if_object();
  if (!object)
    return fail(ErrorKind::BadRequest, "status is not an object");
  const json::value *ledger = object->if_contains("ledger");
  return ledger ? burnLedgerFromJson(*ledger)
                : Result<BurnLedger>(BurnLedger{});
}

std::string renderText(const std::vector<GroupStatus> &statuses) {
  std::ostringstream out;
  out << std::setprecision(3);
  for (const GroupStatus &it : statuses) {
    out << kindName(it.Kind) << ' ' << it.Target << " of team " << it.Team.Value
        << ", settings generation " << it.SettingsGeneration.Value << '\n';
    for (const ObjectiveBurn &burn : it.Objectives)
      writeObjective(out, burn);
    if (it.Objectives.empty())
      out << "  no calls counted against an objective in three days\n";
    writeServers(out, it.Servers);
  }
  return out.str();
}

std::string renderJson(const std::vector<GroupStatus> &statuses) {
  json::array out;
  for (const GroupStatus &it : statuses)
    out.push_back(toJson(it, nullptr));
  return json::serialize(json::object{{"statuses", std::move(out)}});
}

std::string renderBurnMetrics(const std::vector<ObjectiveBurn> &burns) {
  std::ostringstream out;
  out << "# TYPE greengagespar_burn_rate gauge\n";
  for (const ObjectiveBurn &it : burns)
    for (const WindowBurn &window : it.Windows)
      out << "greengagespar_burn_rate{" << labelsOf(it.Key) << ",window=\""
          << windowName(window.Window) << "\"} " << window.Rate << '\n';
  out << "# TYPE greengagespar_error_budget_left gauge\n";
  for (const ObjectiveBurn &it : burns)
    out << "greengagespar_error_budget_left{" << labelsOf(it.Key) << "} "
        << it.BudgetLeft << '\n';
  out << "# TYPE greengagespar_burned_events gauge\n";
  for (const ObjectiveBurn &it : burns)
    for (std::size_t i = 0; i < BurnCauseCount; ++i)
      out << "greengagespar_burned_events{" << labelsOf(it.Key) << ",cause=\""
          << burnCauseName(static_cast<BurnCause>(i)) << "\"} " << it.Causes[i]
          << '\n';
  return out.str();
}

} // namespace greengagespar
