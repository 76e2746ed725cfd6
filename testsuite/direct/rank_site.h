/// \file
/// A stand-in of a model group on the loop of a test: servers with the map
/// calls of the users' platform, and the processes beside them. Not thread
/// safe.
#ifndef GREENGAGESPAR_DIRECT_RANK_SITE_TEST_H
#define GREENGAGESPAR_DIRECT_RANK_SITE_TEST_H

#include "greengagespar/direct/rank_agent.h"
#include "site.h"
#include <optional>
#include <set>

namespace greengagespar::site {

/// One rank's server. It knows what the pages say of maps: versions that only
/// rise, one armed map, one hold.
class FakeRank {
public:
  static constexpr std::size_t Experts = 6;

  FakeRank(event_base *loop, std::size_t self, std::size_t size, Address at);

  const Address &at() const { return At; }
  bool holds(std::uint64_t step) const { return Held == step; }
  bool isArmed() const { return Armed.has_value(); }
  std::uint64_t inUse() const { return InUse; }
  /// The body of the order that made the map in use.
  const std::string &mapInUse() const { return Texts.at(InUse); }
  /// Begins \p step; each pass chooses one expert far more often than others.
  void pass(std::uint64_t step);

  std::size_t Liked = 0; ///< That expert.

  /// Orders of this kind are not answered and are carried out after LateBy.
  std::string LateKind;
  std::chrono::milliseconds LateBy{300};

private:
  struct ArmedAt {
    std::uint64_t Map = 0;
    std::uint64_t Step = 0;
  };

  void onCall(const HttpRequestMessage &request,
              const std::shared_ptr<HttpReply> &reply);
  int carryOut(const boost::json::object &order);
  int prepare(const boost::json::object &order);
  boost::json::object report() const;
  boost::json::object picked(bool withLists) const;

  event_base *Loop;
  std::size_t Self;
  std::size_t Size;
  Address At;
  HttpEdge Edge;
  std::uint64_t Step = 0;
  std::uint64_t InUse = 0;
  std::uint64_t Highest = 0;
  std::optional<std::uint64_t> Prepared;
  std::optional<ArmedAt> Armed;
  std::optional<std::uint64_t> Held;
  std::map<std::uint64_t, boost::json::array> Places; ///< By map, own experts.
  std::map<std::uint64_t, std::string> Texts;         ///< By map, all experts.
  std::vector<std::uint64_t> Counts;
  std::vector<std::unique_ptr<Timer>> Late;
};

/// A site with one entry and a group of three ranks, on hosts 127.0.0.2 to 4,
/// whose passes take 10 ms.
struct RankSiteFixture : SiteFixture {
  static constexpr std::size_t Size = 3;

  RankSiteFixture();

  /// Starts the process beside a rank, again if it had run before.
  void startProcess(std::size_t rank);
  /// Whether all ranks use one map that is not the first one.
  bool hasSwitched() const;

  std::vector<std::unique_ptr<FakeRank>> Ranks;
  std::vector<std::unique_ptr<RankAgent>> Processes{Size};
  std::uint64_t Step = 0;
  int MixedPasses = 0;

private:
  void pass();
  Timer Passes;
};

} // namespace greengagespar::site

#endif // GREENGAGESPAR_DIRECT_RANK_SITE_TEST_H
