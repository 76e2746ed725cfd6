#include "greengagespar/report/burn_json.h"

#include <algorithm>
#include <boost/json.hpp>

namespace greengagespar {

namespace {

namespace json = boost::json;

using std::chrono::milliseconds;

// Number of fields of one set of counts: good events, then bad events by cause.
constexpr std::size_t CountFields = 1 + BurnCauseCount;

json::value countsToJson(const EventCounts &counts) {
  json::array out{counts.Good};
  for (std::uint64_t it : counts.Bad)
    out.emplace_back(it);
  return out;
}

EventCounts countsFromJson(const json::array &in, std::size_t from) {
  EventCounts counts;
  counts.Good = in.at(from).to_number<std::uint64_t>();
  for (std::size_t i = 0; i < BurnCauseCount; ++i)
    counts.Bad[i] = in.at(from + 1 + i).to_number<std::uint64_t>();
  return counts;
}

std::string text(const json::object &in, const char *name) {
  return std::string(in.at(name).as_string());
}

json::object keyToJson(const SeriesKey &key) {
  return {{"kind", key.Kind == TargetKind::Group ? "group" : "service"},
          {"target", key.Target},
          {"class", key.Class.Value},
          {"measure", measureName(key.Measured)},
          {"within_ms", key.WithinMs},
          {"share", key.Share}};
}

SeriesKey keyFromJson(const json::object &in) {
  SeriesKey key;
  key.Kind =
      text(in, "kind") == "group" ? TargetKind::Group : TargetKind::Service;
  key.Target = text(in, "target");
  key.Class = {text(in, "class")};
  auto measure = measureByName(text(in, "measure"));
  if (!measure)
    throw std::invalid_argument("unknown measure");
  key.Measured = *measure;
  key.WithinMs = in.at("within_ms").to_number<std::int64_t>();
  key.Share = in.at("share").to_number<double>();
  return key;
}

json::array countersToJson(const BurnCounters &counters) {
  json::array out;
  for (const auto &[key, counts] : counters.Series) {
    json::object series = keyToJson(key);
    series["counts"] = countsToJson(counts);
    out.push_back(std::move(series));
  }
  return out;
}

BurnCounters countersFromJson(const json::array &in) {
  BurnCounters counters;
  for (const json::value &it : in) {
    const json::object &series = it.as_object();
    counters.Series[keyFromJson(series)] =
        countsFromJson(series.at("counts").as_array(), 0);
  }
  return counters;
}

json::object sourceToJson(const BurnSource &source) {
  return {{"entry", source.Entry.Value},
          {"incarnation", source.ProcessIncarnation.Value}};
}

BurnSource sourceFromJson(const json::object &in) {
  return {{text(in, "entry")},
          {in.at("incarnation").to_number<std::uint64_t>()}};
}

template <std::size_t N>
json::array bucketsToJson(const std::array<BurnBucket, N> &buckets) {
  json::array out;
  for (const BurnBucket &it : buckets) {
    if (it.Counts.Good + totalBad(it.Counts) == 0)
      continue;
    json::array bucket = countsToJson(it.Counts).as_array();
    bucket.insert(bucket.begin(), it.Index);
    out.push_back(std::move(bucket));
  }
  return out;
}

template <std::size_t N>
void bucketsFromJson(const json::array &in,
                     std::array<BurnBucket, N> &buckets) {
  for (const json::value &it : in) {
    const json::array &fields = it.as_array();
    if (fields.size() != 1 + CountFields)
      throw std::invalid_argument("a bucket has the wrong length");
    auto index = fields.at(0).to_number<std::int64_t>();
    if (index < 0)
      throw std::invalid_argument("a bucket has a negative index");
    buckets[static_cast<std::size_t>(index) % N] = {index,
                                                    countsFromJson(fields, 1)};
  }
}

json::array ringsToJson(const std::map<SeriesKey, BurnRing> &rings) {
  json::array out;
  for (const auto &[key, ring] : rings) {
    json::object series = keyToJson(key);
    series["fine"] = bucketsToJson(ring.Fine);
    series["coarse"] = bucketsToJson(ring.Coarse);
    out.push_back(std::move(series));
  }
  return out;
}

std::int64_t toMs(WallTime time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
      .count();
}

json::array sourcesToJson(const BurnLedger &ledger) {
  json::array out;
  for (const auto &[source, record] : ledger.Sources) {
    json::object entry = sourceToJson(source);
    entry["heard_ms"] = toMs(record.LastReceivedAt);
    entry["series"] = countersToJson(record.Counters);
    out.push_back(std::move(entry));
  }
  return out;
}

BurnLedger ledgerFromJson(const json::object &in) {
  BurnLedger ledger;
  for (const json::value &it : in.at("sources").as_array()) {
    const json::object &entry = it.as_object();
    SourceRecord &record = ledger.Sources[sourceFromJson(entry)];
    record.LastReceivedAt =
        WallTime{milliseconds(entry.at("heard_ms").to_number<std::int64_t>())};
    record.Counters = countersFromJson(entry.at("series").as_array());
  }
  for (const json::value &it : in.at("rings").as_array()) {
    const json::object &series = it.as_object();
    BurnRing &ring = ledger.Rings[keyFromJson(series)];
    bucketsFromJson(series.at("fine").as_array(), ring.Fine);
    bucketsFromJson(series.at("coarse").as_array(), ring.Coarse);
  }
  return ledger;
}

json::value windowToJson(const WindowBurn &window) {
  return json::object{{"window_s", window.Window.count()},
                      {"good", window.Good},
                      {"bad", window.Bad},
                      {"burn_rate", window.Rate}};
}

// Calls `read` and turns exceptions into errors, because Boost.JSON reports
// malformed values by exceptions.
template <class T, class Read> Result<T> readJson(const char *what, Read read) {
  try {
    return read();
  } catch (const std::exception &e) {
    return fail(ErrorKind::BadRequest,
                std::string(what) + " is malformed: " + e.what());
  }
}

} // namespace

json::value toJson(const BurnSnapshot &snapshot) {
  json::object out = sourceToJson(snapshot.Source);
  out["series"] = countersToJson(snapshot.Counters);
  return out;
}

Result<BurnSnapshot> burnSnapshotFromJson(const json::value &in) {
  return readJson<BurnSnapshot>("burn snapshot", [&] {
    const json::object &object = in.as_object();
    return BurnSnapshot{sourceFromJson(object),
                        countersFromJson(object.at("series").as_array())};
  });
}

json::value toJson(const BurnLedger &ledger) {
  return json::object{{"sources", sourcesToJson(ledger)},
                      {"rings", ringsToJson(ledger.Rings)}};
}

Result<BurnLedger> burnLedgerFromJson(const json::value &in) {
  return readJson<BurnLedger>("burn ledger",
                              [&] { return ledgerFromJson(in.as_object()); });
}

json::value toJson(const ObjectiveBurn &burn) {
  json::object out = keyToJson(burn.Key);
  json::array windows;
  for (const WindowBurn &it : burn.Windows)
    windows.push_back(windowToJson(it));
  json::object causes;
  for (std::size_t i = 0; i < BurnCauseCount; ++i)
    causes[burnCauseName(static_cast<BurnCause>(i))] = burn.Causes[i];
  out["windows"] = std::move(windows);
  out["budget_left"] = burn.BudgetLeft;
  out["bad_by_cause"] = std::move(causes);
  out["alert"] = burnAlertName(burn.Alert);
  return out;
}

} // namespace greengagespar
