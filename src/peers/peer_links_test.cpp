#include "greengagespar/peers/peer_links.h"

#include "greengagespar/base/event_loop.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <unistd.h>

using namespace greengagespar;

namespace {

constexpr std::chrono::seconds Timeout{5};
// Each test process has a port range of its own. Otherwise a node of another
// process could bind a port that one test has freed, and its heartbeats would
// reach the peers of that test.
constexpr int FirstPort = 21117;
constexpr int Ports = 20;
constexpr int PortRanges = 400;

int firstPort() { return FirstPort + (getpid() % PortRanges) * Ports; }

// The links of one entry, without the rest of the entry.
struct Node {
  LinkIdentity Self;
  bool Leaving = false;
  std::optional<Incarnation> ConflictingIncarnation;
  std::vector<Generation> ReportedGenerations;
  std::unique_ptr<PeerLinks> Links;

  // Binds \p address. Returns false when another process uses it.
  bool start(EventLoop &loop, zmq::context_t &context, const Address &address,
             Incarnation life, const DataCentreId &dataCentre = {"a"},
             const MemberLimits &memberLimits = {},
             const PartnerLimits &partnerLimits = {}) {
    Self = {{"entry"}, life, {3}};
    MemberView view;
    view.Self = address;
    view.DataCentre = dataCentre;
    view.Limits = memberLimits;
    PeerLinksHooks hooks;
    hooks.OwnRow = [this, dataCentre, address] {
      MemberRow row;
      row.Host = Self.Name;
      row.DataCentre = dataCentre;
      row.Callers = address;
      row.ProcessIncarnation = Self.ProcessIncarnation;
      row.Leaving = Leaving;
      return row;
    };
    hooks.OnGeneration = [this](const Address &, Generation at) {
      ReportedGenerations.push_back(at);
    };
    hooks.Serve = [](Generation) { return std::string(); };
    hooks.OnSettings = [](const Address &, const wire::Settings &) {};
    hooks.OnChange = [] {};
    hooks.OnLaterIncarnation = [this](Incarnation it) {
      ConflictingIncarnation = it;
      Self.ProcessIncarnation = {it.Value + 1};
    };
    Links = std::make_unique<PeerLinks>(loop.base(), context, Self, view,
                                        std::move(hooks), partnerLimits);
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

struct LoopFixture {
  EventLoop Loop;
  zmq::context_t Context{1};

  bool runUntil(const std::function<bool()> &condition,
                std::chrono::milliseconds timeout = Timeout) {
    auto end = Clock::now() + timeout;
    while (!condition() && Clock::now() < end) {
      timeval pause{0, 5000};
      event_base_loopexit(Loop.base(), &pause);
      event_base_loop(Loop.base(), 0);
    }
    return condition();
  }
};

/// Four data centres with twelve entries each, all on one loop. The limits are
/// those of direct mode.
struct FleetFixture : LoopFixture {
  static constexpr std::size_t DataCentres = 4;
  static constexpr std::size_t Entries = 48;
  std::vector<Node> Nodes{Entries};
  std::vector<Address> Addresses;

  FleetFixture() {
    MemberLimits members;
    members.NearTimeout = members.FarTimeout = std::chrono::seconds(2);
    PartnerLimits partners;
    partners.Far = 8;
    std::string port = std::to_string(firstPort());
    for (std::size_t i = 0; i < Entries; ++i) {
      Address address{"127.0.1."};
      address.Value.append(std::to_string(i + 1)).append(1, ':').append(port);
      Addresses.push_back(address);
      DataCentreId dataCentre;
      dataCentre.Value.assign(1, static_cast<char>('a' + i % DataCentres));
      BOOST_REQUIRE(Nodes[i].start(Loop, Context, Addresses[i], {100 + i},
                                   dataCentre, members, partners));
      Nodes[i].Links->addSeeds({Addresses[0], Addresses[i / 2]});
    }
  }

  // Returns how many entries name entry \p i to callers.
  std::size_t countNaming(std::size_t i) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Nodes, [&](const Node &it) {
          const Member *member = it.Links ? it.member(Addresses[i]) : nullptr;
          return member && acceptsWork(*member);
        }));
  }

  bool allKnowAll() const {
    for (std::size_t i = 0; i < Entries; ++i)
      if (countNaming(i) < Entries)
        return false;
    return true;
  }
};

struct PeersFixture : LoopFixture {
  Node One;
  Node Two;
  Address FirstAddress;
  Address SecondAddress;

  PeersFixture() {
    FirstAddress = startOnFreePort(One, {100});
    SecondAddress = startOnFreePort(Two, {200});
    One.Links->addSeeds({SecondAddress});
    BOOST_REQUIRE(runUntil(
        [&] { return One.member(SecondAddress) && Two.member(FirstAddress); }));
  }

  Address startOnFreePort(Node &node, Incarnation life) {
    for (int port = firstPort(); port < firstPort() + Ports; ++port) {
      Address address{"127.0.0.1:" + std::to_string(port)};
      if (node.start(Loop, Context, address, life))
        return address;
    }
    BOOST_FAIL("no free port");
    return {};
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerLinksSuite, PeersFixture)

BOOST_AUTO_TEST_CASE(heartbeat_fromPeer_reportsItsGeneration) {
  BOOST_TEST(runUntil([&] { return !Two.ReportedGenerations.empty(); }));
  BOOST_TEST((Two.ReportedGenerations.back() == Generation{3}));
}

BOOST_AUTO_TEST_CASE(announce_leaving_isKnownToPeer) {
  One.Leaving = true;
  One.Links->announce();
  BOOST_TEST(runUntil(
      [&] { return Two.member(FirstAddress)->State == MemberState::Leaving; }));
}

BOOST_AUTO_TEST_CASE(restart_clockSetBack_usesLaterIncarnation) {
  Two.Links.reset();
  // From now on no digest contains the old row, since it is unresponsive.
  BOOST_REQUIRE(runUntil([&] {
    return One.member(SecondAddress)->State == MemberState::Unresponsive;
  }));
  // ZeroMQ frees the port only some time after the socket is closed.
  bool isBound = false;
  BOOST_REQUIRE(runUntil([&] {
    isBound = isBound || Two.start(Loop, Context, SecondAddress, {150});
    return isBound;
  }));
  BOOST_TEST(runUntil([&] { return Two.ConflictingIncarnation.has_value(); }));
  BOOST_TEST(runUntil([&] {
    return One.member(SecondAddress)->Row.ProcessIncarnation ==
           Two.Self.ProcessIncarnation;
  }));
  BOOST_TEST(Two.Self.ProcessIncarnation.Value > 200u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(FleetSuite, FleetFixture)

// Guards against entries that send callers to a host that has been off for
// seconds: with many entries each of them waited for a row that comes seldom.
BOOST_AUTO_TEST_CASE(entry_offAmongMany_isNamedByNobodyAfterSeconds) {
  constexpr std::chrono::seconds maxNamed{5};
  BOOST_REQUIRE(runUntil([&] { return allKnowAll(); }, Timeout * 4));
  // Longer than the timeout of a partner.
  runUntil([] { return false; }, std::chrono::milliseconds(2500));
  for (std::size_t i : {17U, 30U})
    Nodes[i].Links.reset();
  BOOST_TEST(runUntil(
      [&] { return countNaming(17) == 0 && countNaming(30) == 0; }, maxNamed));
  for (std::size_t i = 0; i < Entries; ++i)
    if (Nodes[i].Links)
      BOOST_TEST(countNaming(i) == Entries - 2, "entry " << i);
}

BOOST_AUTO_TEST_SUITE_END()
