/// \file
/// A stand-in for a model group that runs on the event loop of a test: one
/// server for each rank, with the expert-map calls of the users' platform, and
/// the rank agent of each server. Not thread safe.
#ifndef GREENGAGESPAR_DIRECT_RANK_SITE_TEST_H
#define GREENGAGESPAR_DIRECT_RANK_SITE_TEST_H

#include "greengagespar/direct/rank_agent.h"
#include "site.h"
#include <optional>
#include <set>

namespace greengagespar::site {

/// Returns an address on the host of \p rank with the port of \p samePort.
/// Rank 0 is on 127.0.0.2.
Address rankAddress(std::size_t rank, const Address &samePort);

/// The server of one rank. It follows the platform's documented rules for maps:
/// versions only rise, at most one map is armed and at most one step is held.
class FakeRank {
public:
  static constexpr std::size_t Experts = 6;

  FakeRank(event_base *loop, std::size_t self, std::size_t size, Address at);

  const Address &at() const { return At; }
  /// Carries out \p request and returns the bytes of its answer.
  std::string answerTo(const HttpRequestMessage &request);
  bool holds(std::uint64_t step) const { return Held == step; }
  bool isArmed() const { return Armed.has_value(); }
  bool hasPrepared(std::uint64_t map) const { return Prepared == map; }
  std::uint64_t inUse() const { return InUse; }
  /// Returns the map in use as JSON text; "first" before the first switch.
  const std::string &mapInUse() const { return SerializedMaps.at(InUse); }
  /// Puts the server into the state that a driver leaves which dies after it
  /// has armed the rank with \p map for \p step.
  void leaveArmed(std::uint64_t map, std::uint64_t step, bool holdsStep);
  /// Leaves the rank as leaveArmed() does, but not armed.
  void leavePrepared(std::uint64_t map, std::uint64_t step, bool holdsStep);
  /// Begins \p step: switches to the map that is armed for it, if any, and
  /// counts far more tokens for one expert than for each of the others.
  void beginPass(std::uint64_t step);

  std::size_t PreferredExpert = 0; ///< The expert with the most tokens.
  std::string Group = "g";         ///< Name of the rank's group.

  /// The server doesn't answer orders with this operation and applies them
  /// after OrderDelay. Empty: the server delays no order.
  std::string DelayedOperation;
  std::chrono::milliseconds OrderDelay{300};

  /// The server applies orders with this operation at once and answers them
  /// after AnswerDelay. Empty: the server answers all at once.
  std::string LateAnsweredOperation;
  std::chrono::milliseconds AnswerDelay{60};

private:
  struct ArmedMap {
    std::uint64_t Map = 0;
    std::uint64_t Step = 0;
  };

  void onCall(const HttpRequestMessage &request,
              const std::shared_ptr<HttpReply> &reply);
  int applyOrder(const boost::json::object &order);
  int carryOut(const boost::json::object &order);
  int prepare(const boost::json::object &order);
  boost::json::object report() const;
  boost::json::object picked(bool withLists) const;

  event_base *Loop;
  std::size_t Self;
  std::size_t Size;
  Address At;
  HttpListener CallListener;
  std::uint64_t Step = 0;
  std::uint64_t Sequence = 0; ///< Orders that were accepted.
  std::uint64_t InUse = 0;
  std::uint64_t Highest = 0;
  std::optional<std::uint64_t> Prepared;
  std::optional<ArmedMap> Armed;
  std::optional<std::uint64_t> Held;
  /// The experts of this rank, by map version.
  std::map<std::uint64_t, boost::json::array> ExpertsByMap;
  /// The experts of all ranks as JSON text, by map version.
  std::map<std::uint64_t, std::string> SerializedMaps;
  std::vector<std::uint64_t> Counts;
  std::vector<std::unique_ptr<Timer>> DelayedOrders;
};

/// A site with one entry and a group of three ranks on the hosts 127.0.0.2 to
/// 127.0.0.4. One pass takes 10 ms.
struct RankSiteFixture : SiteFixture {
  static constexpr std::size_t Size = 3;

  RankSiteFixture();

  /// Starts the agent of \p rank. Destroys the previous one first, if any.
  void startAgent(std::size_t rank);
  /// Returns whether all ranks use the same map, and it isn't the first one.
  bool hasSwitched() const;

  std::vector<std::unique_ptr<FakeRank>> Ranks;
  std::vector<std::unique_ptr<RankAgent>> Agents{Size};
  std::uint64_t Step = 0;
  int MixedPasses = 0; ///< Passes in which the ranks used different maps.

private:
  void beginPass();
  Timer PassTimer;
};

} // namespace greengagespar::site

#endif // GREENGAGESPAR_DIRECT_RANK_SITE_TEST_H
