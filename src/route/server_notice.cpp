#include "greengagespar/route/server_notice.h"

#include <algorithm>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

bool hasLapsed(const ServerNotices &notices, NoticeKind kind,
               Clock::duration age) {
  return kind == NoticeKind::Gone ? age > notices.GoneFor
                                  : age > notices.LeavingFor;
}

bool add(ServerNotices &notices, ServerIncarnationId server,
         const ServerNotice &notice) {
  auto &servers = notices.Servers;
  auto it = servers.find(server);
  if (it != servers.end()) {
    if (notice.Kind <= it->second.Kind)
      return false;
    it->second = notice;
    return true;
  }
  if (servers.size() >= notices.MaxServers)
    servers.erase(std::ranges::min_element(
        servers, {}, [](const auto &known) { return known.second.At; }));
  servers.emplace(server, notice);
  return true;
}

} // namespace

bool recordNotice(ServerNotices &notices, ServerIncarnationId server,
                  NoticeKind kind, Clock::time_point now) {
  return add(notices, server, {kind, now});
}

bool hasNotice(const ServerNotices &notices, ServerIncarnationId server) {
  return notices.Servers.contains(server);
}

bool isGone(const ServerNotices &notices, ServerIncarnationId server) {
  auto it = notices.Servers.find(server);
  return it != notices.Servers.end() && it->second.Kind == NoticeKind::Gone;
}

std::vector<NoticeRow> noticeRows(const ServerNotices &notices,
                                  std::size_t most, Clock::time_point now) {
  std::vector<NoticeRow> rows;
  for (const auto &[server, it] : notices.Servers)
    if (now - it.At <= notices.SpreadFor)
      rows.push_back({server, it.Kind,
                      std::chrono::duration_cast<milliseconds>(now - it.At)});
  std::ranges::sort(rows, {}, &NoticeRow::Age);
  rows.resize(std::min(rows.size(), most));
  return rows;
}

bool mergeNotice(ServerNotices &notices, const NoticeRow &row,
                 Clock::time_point now) {
  if (hasLapsed(notices, row.Kind, row.Age))
    return false;
  return add(notices, row.Server, {row.Kind, now - row.Age});
}

bool expireNotices(ServerNotices &notices, Clock::time_point now) {
  return std::erase_if(notices.Servers, [&](const auto &it) {
           return hasLapsed(notices, it.second.Kind, now - it.second.At);
         }) > 0;
}

} // namespace greengagespar
