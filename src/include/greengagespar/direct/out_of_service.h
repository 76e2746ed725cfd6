/// \file
/// The data centres that the operator has taken out of service: their servers
/// get no new work until the order is withdrawn. An entry learns orders from
/// the platform's store and from other entries, which pass on what they have
/// read there.
///
/// Each statement about a data centre, an order or its withdrawal, holds as of
/// a version of the store, and the one of the latest version counts, whoever
/// told it. Merging is therefore commutative, associative and idempotent, and
/// old news never undoes later news. What the store itself says at a version
/// also tells which data centres have no order then.
///
/// A store that was restored from an older copy may lack an order that was
/// acknowledged. The operator has not withdrawn it, so it stays in force for a
/// time in which the operator can write it again.
///
/// The functions change only the state passed to them and do no input or
/// output. Not thread safe: one event loop owns each state.
#ifndef GREENGAGESPAR_DIRECT_OUT_OF_SERVICE_H
#define GREENGAGESPAR_DIRECT_OUT_OF_SERVICE_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include "greengagespar/store/object.h"
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace greengagespar {

/// Who has told an entry of an order or its withdrawal.
enum class OrderSource { Store, Peer };

/// The latest statement about one data centre.
struct DataCentreOrder {
  bool IsOut = false; ///< An order is in force; otherwise it was withdrawn.
  ObjectVersion At;   ///< The version of the store as of which this holds.
  OrderSource Source = OrderSource::Store;
  Clock::time_point ChangedAt; ///< When this entry learned it.
  /// Set for an order that a restored store lacks: it ends at this time unless
  /// the store lists it again.
  std::optional<Clock::time_point> EndsAt = std::nullopt;
  bool IsReported = false; ///< takeUnknown() has returned the data centre.
};

/// All orders that one entry knows.
struct OutOfService {
  /// Whether the deployment has such orders at all; otherwise those of other
  /// entries are ignored.
  bool IsOn = false;
  /// Time for which an order that a restored store lacks stays in force.
  std::chrono::seconds HoldAfterRestore{60};
  /// Withdrawals are passed on for this long: the membership forgets an entry
  /// that has been silent for longer.
  std::chrono::seconds KeepWithdrawal{120};
  /// Time after which a data centre out of service counts as unknown if no
  /// process or server of it has been heard of.
  std::chrono::seconds UnknownAfter{3};
  /// Most data centres about which statements are kept. Further ones are
  /// ignored.
  std::size_t MaxDataCentres = 256;
  std::map<DataCentreId, DataCentreOrder> DataCentres;
  /// The version of the last answer of the store; 0: there was none.
  ObjectVersion ReadAt;
};

/// What the store reports: all orders, or changes since its last report.
struct OrderReport {
  bool IsSnapshot = false; ///< InForce holds all orders.
  ObjectVersion At;        ///< The version that the report describes.
  std::map<DataCentreId, ObjectVersion> InForce; ///< With their last changes.
  std::set<DataCentreId> Withdrawn;
};

/// A data centre that was taken out of service or put back.
struct OrderChange {
  DataCentreId DataCentre;
  DataCentreOrder Order;
};

/// An order or a withdrawal as entries exchange it.
struct OrderRow {
  DataCentreId DataCentre;
  bool IsOut = false;
  ObjectVersion At;
};

/// Records what the store reports. Returns the data centres whose state has
/// changed.
std::vector<OrderChange> recordOrders(OutOfService &state,
                                      const OrderReport &report,
                                      Clock::time_point now);

/// Merges what another entry says. An order that the store no longer held when
/// this entry last read it is old news; the withdrawal is then passed on again,
/// so that the other entry learns of it. Returns the change; empty: there is
/// none.
std::optional<OrderChange> mergeOrder(OutOfService &state, const OrderRow &row,
                                      Clock::time_point now);

/// Ends the orders that a restored store has lacked for too long, and forgets
/// old withdrawals. Returns the data centres whose state has changed.
std::vector<OrderChange> expireOrders(OutOfService &state,
                                      Clock::time_point now);

/// Returns at most \p most rows for other entries: orders in force first, the
/// latest changes first.
std::vector<OrderRow> orderRows(const OutOfService &state, std::size_t most);

/// Returns the data centres that have been out of service for
/// OutOfService::UnknownAfter and that \p isKnown doesn't know, each once for
/// an order. Its name may be misspelled, so that another one stays in use.
std::vector<DataCentreId>
takeUnknown(OutOfService &state,
            const std::function<bool(const DataCentreId &)> &isKnown,
            Clock::time_point now);

/// Whether the servers of \p dataCentre get no new work.
bool isOutOfService(const OutOfService &state, const DataCentreId &dataCentre);

/// Returns the number of data centres that are out of service.
std::size_t countOutOfService(const OutOfService &state);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_OUT_OF_SERVICE_H
