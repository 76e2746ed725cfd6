#include "greengagespar/link/member_message.h"

#include "greengagespar/base/address.h"
#include "greengagespar/base/schema.h"
#include <algorithm>
#include <cmath>

namespace greengagespar {

void writeMember(const MemberRow &row, wire::Member &message) {
  message.set_name(row.Host.Value);
  message.set_callers(row.Callers.Value);
  message.set_link(row.Link.Value);
  message.set_data_centre(row.DataCentre.Value);
  message.set_incarnation(row.ProcessIncarnation.Value);
  message.set_heartbeat(row.Heartbeat);
  message.set_generation(row.Settings.Value);
  message.set_is_endpoint(row.Role == MemberRole::Endpoint);
  message.set_leaving(row.Leaving);
  message.set_silent(row.IsSilent);
  for (const ServiceDemand &it : row.Demands) {
    wire::Demand &demand = *message.add_demands();
    demand.set_service(it.Service);
    demand.set_per_second(static_cast<float>(it.PerSecond));
  }
}

std::optional<MemberRow> readMember(const wire::Member &message) {
  // The values are used in socket calls and in answers to callers, so only
  // values that the settings would allow are accepted from another process.
  bool isCallable = message.is_endpoint() || parseIpPort(message.callers());
  if (!isIdText(message.name()) || !isIdText(message.data_centre()) ||
      !parseIpPort(message.link()) || !isCallable)
    return std::nullopt;
  MemberRow row;
  row.Host = {message.name()};
  row.Role = message.is_endpoint() ? MemberRole::Endpoint : MemberRole::Entry;
  row.Link = {message.link()};
  row.Callers = {message.callers()};
  row.DataCentre = {message.data_centre()};
  row.ProcessIncarnation = {message.incarnation()};
  row.Heartbeat = message.heartbeat();
  row.Leaving = message.leaving();
  row.IsSilent = message.silent();
  row.Settings = {message.generation()};
  int count = std::min(message.demands_size(), MaxDemandsAccepted);
  for (int i = 0; i < count; ++i) {
    const wire::Demand &it = message.demands(i);
    if (std::isfinite(it.per_second()) && it.per_second() > 0)
      row.Demands.push_back({it.service(), it.per_second()});
  }
  return row;
}

std::vector<MemberRow> readMembers(const wire::Members &message) {
  std::vector<MemberRow> rows;
  int count = std::min(message.members_size(), MaxRowsAccepted);
  for (int i = 0; i < count; ++i)
    if (auto row = readMember(message.members(i)))
      rows.push_back(std::move(*row));
  return rows;
}

} // namespace greengagespar
