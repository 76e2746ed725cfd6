/// \file
/// Converts the messages between entries and rank agents, those of a map switch
/// and the state of a rank, to and from their wire form. Pure; thread safe.
#ifndef GREENGAGESPAR_DIRECT_MAP_MESSAGES_H
#define GREENGAGESPAR_DIRECT_MAP_MESSAGES_H

#include "greengagespar/direct/rank_server.h"
#include "greengagespar/link/link.pb.h"
#include "greengagespar/route/endpoint_view.h"

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

/// Age from which the load in a rank's state is of no use, and a request for it
/// counts as unanswered.
inline constexpr std::chrono::milliseconds MaxReportedLoadAge{10000};

/// Returns the time \p now of this process's clock as a request for a rank's
/// state carries it.
std::uint64_t writeAskTime(Clock::time_point now);

/// Returns the load in the answer \p state to a request of this process, which
/// receives it at \p now; the caller sets LoadReport::Slots. Empty when the
/// state answers no request, does not state its age, or is older than
/// MaxReportedLoadAge. LoadReport::AsOf is the time of the request less the
/// stated age: the state can't be older than that, however long the answer was
/// under way or waited to be read. Values out of range are bounded.
std::optional<LoadReport> readLoadReport(const wire::RankState &state,
                                         Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_MAP_MESSAGES_H
