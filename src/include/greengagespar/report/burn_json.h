/// \file
/// Converts burn ledgers and snapshots to and from JSON, and the burn of an
/// objective to JSON. Processes exchange them in this form, and the platform
/// stores ledgers in it. Pure functions; thread safe.
#ifndef GREENGAGESPAR_REPORT_BURN_JSON_H
#define GREENGAGESPAR_REPORT_BURN_JSON_H

#include "greengagespar/base/errors.h"
#include "greengagespar/report/burn.h"
#include <boost/json/value.hpp>

namespace greengagespar {

/// Renders \p snapshot as JSON.
boost::json::value toJson(const BurnSnapshot &snapshot);

/// Parses a snapshot. Fails with BadRequest if it is malformed.
Result<BurnSnapshot> burnSnapshotFromJson(const boost::json::value &json);

/// Renders \p ledger as JSON. Buckets without events are left out.
boost::json::value toJson(const BurnLedger &ledger);

/// Parses a ledger. Fails with BadRequest if it is malformed.
Result<BurnLedger> burnLedgerFromJson(const boost::json::value &json);

/// Renders \p burn as JSON for a status object or a report.
boost::json::value toJson(const ObjectiveBurn &burn);

} // namespace greengagespar

#endif // GREENGAGESPAR_REPORT_BURN_JSON_H
