#include "endpoint.h"

#include "greengagespar/base/event_loop.h"
#include <boost/test/unit_test.hpp>
#include <event2/event.h>

using namespace greengagespar;

namespace {

constexpr std::chrono::seconds Patience{5};

// An endpoint process, and an entry that sends messages to it.
struct FenceFixture {
  EventLoop Loop;
  zmq::context_t Context{1};
  EndpointSettings Settings = defaultEndpointSettings();
  std::unique_ptr<Endpoint> Process;
  LinkIdentity Self{{"entry-1"}, {1}, {5}};
  std::unique_ptr<LinkClient> Link;
  std::vector<wire::Envelope> Received;
  std::uint64_t EndpointIncarnation = 0;
  bool ServesSettings = true;

  FenceFixture() {
    // Tries one port after the other, since another process may use a port.
    for (int port = 21017; !Process && port < 21100; ++port) {
      Settings.Link = {"127.0.0.1:" + std::to_string(port)};
      auto process = std::make_unique<Endpoint>(Loop.base(), Context, Settings);
      bool isBound = recoverFrom(
          [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(process->start());
            return true;
          },
          [](const Error &) { return false; });
      if (isBound)
        Process = std::move(process);
    }
    BOOST_REQUIRE(Process);
    Link = std::make_unique<LinkClient>(
        Loop.base(), Context, Self, Settings.Link,
        [this](const wire::Envelope &envelope) { onMessage(envelope); });
  }

  void onMessage(const wire::Envelope &envelope) {
    EndpointIncarnation = envelope.incarnation();
    Received.push_back(envelope);
    if (!envelope.has_pull_settings() || !ServesSettings)
      return;
    wire::Envelope answer;
    Snapshot snapshot;
    snapshot.At = Self.Settings;
    answer.mutable_settings()->set_snapshot(
        serializeSnapshot(snapshot, {envelope.pull_settings().newer_than()}));
    Link->send(answer);
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

  bool probe() {
    EndpointIncarnation = 0;
    return runUntil([&] {
      wire::Envelope envelope;
      envelope.mutable_probe()->set_number(1);
      Link->send(envelope);
      return EndpointIncarnation != 0;
    });
  }

  // Sends a call and returns the first message about it.
  wire::Envelope run(std::uint64_t number) {
    wire::Envelope envelope;
    auto *run = envelope.mutable_run();
    run->mutable_call()->set_number(number);
    run->set_endpoint_incarnation(EndpointIncarnation);
    run->set_time_left_ms(10000);
    run->mutable_draft()->set_prompt("len=1");
    Link->send(envelope);
    auto isAbout = [&](const wire::Envelope &it) {
      return it.acknowledge().call().number() == number ||
             it.refusal().call().number() == number;
    };
    wire::Envelope found;
    runUntil([&] {
      for (const wire::Envelope &it : Received)
        if (isAbout(it)) {
          found = it;
          return true;
        }
      return false;
    });
    return found;
  }

  bool isStale(const wire::Envelope &answer) {
    auto kind = static_cast<std::uint32_t>(ErrorKind::StaleSettings);
    return answer.has_refusal() && answer.refusal().kind() == kind &&
           answer.refusal().did_not_run();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SettingsFenceSuite, FenceFixture)

BOOST_AUTO_TEST_CASE(run_olderSettings_isRefusedWithNewerGeneration) {
  BOOST_REQUIRE(probe());
  BOOST_TEST(run(1).has_acknowledge());
  Self.Settings = {4};
  wire::Envelope answer = run(2);
  BOOST_TEST(isStale(answer));
  BOOST_TEST(answer.generation() == 5u);
}

BOOST_AUTO_TEST_CASE(run_newerSettings_waitsForThePull) {
  BOOST_REQUIRE(probe());
  Self.Settings = {6};
  wire::Envelope answer = run(1);
  BOOST_TEST(answer.has_acknowledge());
  BOOST_TEST(answer.generation() == 6u);
}

BOOST_AUTO_TEST_CASE(run_settingsNotReceived_isRefusedAsNotRun) {
  ServesSettings = false;
  BOOST_REQUIRE(probe());
  BOOST_TEST(isStale(run(1)));
}

// An entry that resumes a held call must learn that the call has not run,
// instead of a refusal as unknown.
BOOST_AUTO_TEST_CASE(resume_heldCall_isNotRefusedAsUnknown) {
  ServesSettings = false;
  BOOST_REQUIRE(probe());
  wire::Envelope resume;
  resume.mutable_resume()->mutable_call()->set_number(1);
  wire::Envelope first;
  first.mutable_run()->mutable_call()->set_number(1);
  first.mutable_run()->set_endpoint_incarnation(EndpointIncarnation);
  Link->send(first);
  Link->send(resume);
  BOOST_REQUIRE(runUntil([&] { return Received.back().has_refusal(); }));
  BOOST_TEST(isStale(Received.back()));
}

BOOST_AUTO_TEST_SUITE_END()
