#include "greengagespar/direct/digest_messages.h"

#include "greengagespar/base/schema.h"
#include <algorithm>
#include <cmath>

namespace greengagespar {

namespace {

// Greatest age that is read, so that no time before the clock's range results.
constexpr std::uint64_t MaxAgeMs =
    std::chrono::milliseconds(std::chrono::hours(48)).count();

std::chrono::milliseconds ageOf(std::uint64_t ms) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(std::min(ms, MaxAgeMs)));
}

std::uint64_t millisecondsOf(std::chrono::milliseconds age) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count()));
}

void writeChange(const ObjectVersion &at, wire::StoreChange &change) {
  change.set_timeline(at.Timeline.Value);
  change.set_revision(at.Value);
}

ObjectVersion changeOf(const wire::StoreChange &change) {
  return ObjectVersion(change.revision(), StoreTimeline{change.timeline()});
}

} // namespace

void writeEvidence(const std::vector<EvidenceRow> &rows,
                   wire::Members &digest) {
  for (const EvidenceRow &row : rows) {
    wire::PartEvidence &out = *digest.add_parts();
    out.set_part(row.Part.Value);
    for (const CrashRow &it : row.Crashes) {
      wire::PartCrash &crash = *out.add_crashes();
      crash.set_crash(it.Id.Value);
      crash.set_age_ms(millisecondsOf(it.Age));
      crash.set_cleared(it.IsCleared);
      crash.set_uncertain(it.IsUncertain);
    }
  }
}

std::vector<EvidenceRow> readEvidence(const wire::Members &digest) {
  std::vector<EvidenceRow> rows;
  int count = std::min(digest.parts_size(), static_cast<int>(MaxEvidenceRows));
  for (int i = 0; i < count; ++i) {
    const wire::PartEvidence &in = digest.parts(i);
    EvidenceRow &row = rows.emplace_back();
    row.Part = {in.part()};
    for (int j = 0; j < std::min(in.crashes_size(), MaxCrashesInRow); ++j) {
      const wire::PartCrash &crash = in.crashes(j);
      row.Crashes.push_back({{crash.crash()},
                             ageOf(crash.age_ms()),
                             crash.cleared(),
                             crash.uncertain()});
    }
  }
  return rows;
}

void writeLimits(const std::vector<LimitRow> &rows, wire::Members &digest) {
  for (const LimitRow &row : rows) {
    wire::ServerLimit &out = *digest.add_limits();
    out.set_server(row.Server.Value);
    out.set_per_second(row.PerSecond.value_or(0));
    out.set_has_ended(!row.PerSecond);
    out.set_age_ms(millisecondsOf(row.Age));
    out.set_observation(row.Id.Value);
  }
}

std::vector<LimitRow> readLimits(const wire::Members &digest) {
  std::vector<LimitRow> rows;
  int count = std::min(digest.limits_size(), static_cast<int>(MaxLimitRows));
  for (int i = 0; i < count; ++i) {
    const wire::ServerLimit &in = digest.limits(i);
    if (!std::isfinite(in.per_second()) || in.per_second() < 0)
      continue;
    LimitRow &row = rows.emplace_back();
    row.Server = {in.server()};
    if (!in.has_ended())
      row.PerSecond = in.per_second();
    row.Age = ageOf(in.age_ms());
    row.Id = {in.observation()};
  }
  return rows;
}

void writeColdRows(const std::vector<ColdRow> &rows, wire::Members &digest) {
  for (std::size_t i = 0; i < std::min(rows.size(), MaxColdRows); ++i) {
    const ColdRow &row = rows[i];
    wire::ColdServer &out = *digest.add_cold();
    out.set_server(row.Server.Value);
    out.set_remaining_ms(
        static_cast<std::uint32_t>(millisecondsOf(row.Remaining)));
  }
}

std::vector<ColdRow> readColdRows(const wire::Members &digest) {
  std::vector<ColdRow> rows;
  int count = std::min(digest.cold_size(), static_cast<int>(MaxColdRows));
  rows.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    rows.push_back({{digest.cold(i).server()},
                    std::chrono::milliseconds(digest.cold(i).remaining_ms())});
  return rows;
}

void writeNotices(const std::vector<NoticeRow> &rows, wire::Members &digest) {
  for (const NoticeRow &row : rows) {
    wire::ServerNotice &out = *digest.add_notices();
    out.set_server(row.Server.Value);
    out.set_gone(row.Kind == NoticeKind::Gone);
    out.set_age_ms(millisecondsOf(row.Age));
  }
}

std::vector<NoticeRow> readNotices(const wire::Members &digest) {
  std::vector<NoticeRow> rows;
  int count = std::min(digest.notices_size(), static_cast<int>(MaxNoticeRows));
  for (int i = 0; i < count; ++i) {
    const wire::ServerNotice &in = digest.notices(i);
    rows.push_back({{in.server()},
                    in.gone() ? NoticeKind::Gone : NoticeKind::Leaving,
                    ageOf(in.age_ms())});
  }
  return rows;
}

void writeOrders(const std::vector<OrderRow> &rows, wire::Members &digest) {
  for (const OrderRow &row : rows) {
    wire::DataCentreOrder &out = *digest.add_orders();
    out.set_data_centre(row.DataCentre.Value);
    out.set_is_out(row.IsOut);
    out.set_timeline(row.At.Timeline.Value);
    out.set_revision(row.At.Value);
  }
}

std::vector<OrderRow> readOrders(const wire::Members &digest) {
  std::vector<OrderRow> rows;
  int count = std::min(digest.orders_size(), static_cast<int>(MaxOrderRows));
  for (int i = 0; i < count; ++i) {
    const wire::DataCentreOrder &in = digest.orders(i);
    if (isIdText(in.data_centre()))
      rows.push_back(
          {{in.data_centre()},
           in.is_out(),
           ObjectVersion(in.revision(), StoreTimeline{in.timeline()})});
  }
  return rows;
}

void writeStoreNews(const StoreNews &news, wire::Members &digest) {
  if (news.Configuration.Value > 0)
    writeChange(news.Configuration, *digest.mutable_configuration());
  if (news.Servers.Value > 0)
    writeChange(news.Servers, *digest.mutable_servers());
}

StoreNews readStoreNews(const wire::Members &digest) {
  return {changeOf(digest.configuration()), changeOf(digest.servers())};
}

} // namespace greengagespar
