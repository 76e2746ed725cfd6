/// \file
/// Burn ledgers, snapshots and states as JSON: how they pass between processes
/// and how a ledger is kept in the platform. Pure functions; thread safe.
#ifndef GREENGAGESPAR_REPORT_BURN_JSON_H
#define GREENGAGESPAR_REPORT_BURN_JSON_H

#include "greengagespar/base/errors.h"
#include "greengagespar/report/burn.h"
#include <boost/json/value.hpp>

namespace greengagespar {

/// Renders a snapshot.
boost::json::value toJson(const BurnSnapshot &snapshot);

/// Reads a snapshot. Fails with BadRequest when it is malformed.
Result<BurnSnapshot> burnSnapshotFromJson(const boost::json::value &json);

/// Renders a ledger; only buckets with events are written.
boost::json::value toJson(const BurnLedger &ledger);

/// Reads a ledger. Fails with BadRequest when it is malformed.
Result<BurnLedger> burnLedgerFromJson(const boost::json::value &json);

/// Renders the state of an objective for a status object or a report.
boost::json::value toJson(const ObjectiveBurn &burn);

} // namespace greengagespar

#endif // GREENGAGESPAR_REPORT_BURN_JSON_H
