#include "greengagespar/peers/peer_links.h"

#include "greengagespar/base/event_loop.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <unistd.h>

using namespace greengagespar;

namespace {

constexpr std::chrono::seconds Patience{5};
// Each process has ports of its own: a port that one test frees must not be
// taken by the node of another process, which its peers would hear of.
constexpr int FirstPort = 21117;
constexpr int Ports = 20;
constexpr int PortRanges = 400;

int firstPort() { return FirstPort + (getpid() % PortRanges) * Ports; }

// One entry's links, without the rest of the entry.
struct Node {
  LinkIdentity Self;
  bool Leaving = false;
  std::optional<Incarnation> Outlived;
  std::vector<Generation> Mentioned;
  std::unique_ptr<PeerLinks> Links;

  // Binds \p address; false when another process has it.
  bool start(EventLoop &loop, zmq::context_t &context, const Address &address,
             Incarnation life) {
    Self = {{"entry"}, life, {3}};
    MemberView view;
    view.Self = address;
    view.DataCentre = {"a"};
    PeerLinksHooks hooks;
    hooks.OwnRow = [this] {
      MemberRow row;
      row.Host = Self.Name;
      row.DataCentre = {"a"};
      row.Callers = {"127.0.0.1:1"};
      row.Life = Self.Life;
      row.Leaving = Leaving;
      return row;
    };
    hooks.OnMentioned = [this](const Address &, Generation at) {
      Mentioned.push_back(at);
    };
    hooks.Serve = [](Generation) { return std::string(); };
    hooks.OnSettings = [](const Address &, const wire::Settings &) {};
    hooks.OnChange = [] {};
    hooks.OnOutlived = [this](Incarnation it) {
      Outlived = it;
      Self.Life = {it.Value + 1};
    };
    Links = std::make_unique<PeerLinks>(loop.base(), context, Self, view,
                                        std::move(hooks));
    return recoverFrom(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(Links->start());
          return true;
        },
        [](const Error &) { return false; });
  }

  const Member *member(const Address &address) const {
    auto it = Links->view().Members.find(address);
    return it == Links->view().Members.end() ? nullptr : &it->second;
  }
};

struct PeersFixture {
  EventLoop Loop;
  zmq::context_t Context{1};
  Node One;
  Node Two;
  Address FirstAt;
  Address SecondAt;

  PeersFixture() {
    FirstAt = startSomewhere(One, {100});
    SecondAt = startSomewhere(Two, {200});
    One.Links->addSeeds({SecondAt});
    BOOST_REQUIRE(
        runUntil([&] { return One.member(SecondAt) && Two.member(FirstAt); }));
  }

  Address startSomewhere(Node &node, Incarnation life) {
    for (int port = firstPort(); port < firstPort() + Ports; ++port) {
      Address address{"127.0.0.1:" + std::to_string(port)};
      if (node.start(Loop, Context, address, life))
        return address;
    }
    BOOST_FAIL("no free port");
    return {};
  }

  bool runUntil(const std::function<bool()> &condition) {
    auto end = Clock::now() + Patience;
    while (!condition() && Clock::now() < end) {
      timeval pause{0, 5000};
      event_base_loopexit(Loop.base(), &pause);
      event_base_loop(Loop.base(), 0);
    }
    return condition();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerLinksSuite, PeersFixture)

BOOST_AUTO_TEST_CASE(heartbeat_ofPeer_mentionsItsGeneration) {
  BOOST_TEST(runUntil([&] { return !Two.Mentioned.empty(); }));
  BOOST_TEST((Two.Mentioned.back() == Generation{3}));
}

BOOST_AUTO_TEST_CASE(announce_leaving_isKnownAtOnce) {
  One.Leaving = true;
  One.Links->announce();
  BOOST_TEST(runUntil(
      [&] { return Two.member(FirstAt)->State == MemberState::Leaving; }));
}

BOOST_AUTO_TEST_CASE(restart_clockStandsBack_takesALaterLife) {
  Two.Links.reset();
  // From now on the old row is in no digest.
  BOOST_REQUIRE(runUntil(
      [&] { return One.member(SecondAt)->State == MemberState::Silent; }));
  // ZeroMQ frees the port a moment after the socket is closed.
  bool isBound = false;
  BOOST_REQUIRE(runUntil([&] {
    isBound = isBound || Two.start(Loop, Context, SecondAt, {150});
    return isBound;
  }));
  BOOST_TEST(runUntil([&] { return Two.Outlived.has_value(); }));
  BOOST_TEST(runUntil(
      [&] { return One.member(SecondAt)->Row.Life == Two.Self.Life; }));
  BOOST_TEST(Two.Self.Life.Value > 200u);
}

BOOST_AUTO_TEST_SUITE_END()
