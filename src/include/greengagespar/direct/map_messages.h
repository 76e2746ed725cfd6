/// \file
/// Converts the messages of a map switch between entries and rank agents to and
/// from their wire form. Pure; thread safe.
#ifndef GREENGAGESPAR_DIRECT_MAP_MESSAGES_H
#define GREENGAGESPAR_DIRECT_MAP_MESSAGES_H

#include "greengagespar/direct/rank_server.h"
#include "greengagespar/link/link.pb.h"

namespace greengagespar {

/// An order of a switch, with the values that only the servers of direct mode
/// need.
struct DirectMapOrder {
  MapOrder Order;
  std::uint64_t Epoch =
      0;             ///< Of the group; a rank in another epoch ignores it.
  RankPlaces Places; ///< The map; set in Prepare only.
};

/// A report of a rank and the epoch of the group that it belongs to.
struct DirectMapReport {
  RankReport Report;
  std::uint64_t Epoch = 0;
};

/// Returns the wire form of an order.
wire::MapOrder writeMapOrder(const DirectMapOrder &order);
/// Returns the order of a message. Fails with BadRequest when a value is
/// outside of its range.
Result<DirectMapOrder> readMapOrder(const wire::MapOrder &message);
/// Returns the message that lets HoldingRank release its hold. The driver sends
/// it after all ranks have accepted the cancellation under \p ballot.
wire::MapResume writeMapResume(std::uint64_t epoch, const Ballot &ballot);
/// Returns the ballot of a message.
Ballot readBallot(const wire::MapBallot &from);
/// Returns the wire form of a report.
wire::MapReport writeMapReport(const DirectMapReport &report);
/// Returns the report of a message. Fails with BadRequest when a value is
/// outside of its range.
Result<DirectMapReport> readMapReport(const wire::MapReport &message);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_MAP_MESSAGES_H
