/// \file
/// Map switch messages between processes, to and from their wire form. Pure;
/// thread safe.
#ifndef GREENGAGESPAR_DIRECT_MAP_MESSAGES_H
#define GREENGAGESPAR_DIRECT_MAP_MESSAGES_H

#include "greengagespar/direct/rank_server.h"
#include "greengagespar/link/link.pb.h"

namespace greengagespar {

/// An order of a switch with what only this platform's servers need.
struct DirectMapOrder {
  MapOrder Order;
  std::uint64_t Epoch = 0; ///< Of the group; another one refuses.
  RankPlaces Places;       ///< The map; set where it is to be prepared.
};

/// A report of a rank and the epoch that it belongs to.
struct DirectMapReport {
  RankReport Report;
  std::uint64_t Epoch = 0;
};

wire::MapOrder writeMapOrder(const DirectMapOrder &order);
/// Fails with BadRequest when a value is outside of its range.
Result<DirectMapOrder> readMapOrder(const wire::MapOrder &message);
wire::MapResume writeMapResume(std::uint64_t epoch, const Ballot &ballot);
Ballot readBallot(const wire::MapBallot &from);
wire::MapReport writeMapReport(const DirectMapReport &report);
/// Fails with BadRequest when a value is outside of its range.
Result<DirectMapReport> readMapReport(const wire::MapReport &message);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_MAP_MESSAGES_H
