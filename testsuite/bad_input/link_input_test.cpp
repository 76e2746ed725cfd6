#include "bad_input.h"
#include "greengagespar/link/link.h"

#include <boost/test/unit_test.hpp>
#include <zmq.hpp>

using namespace greengagespar;
using namespace greengagespar::harness;

namespace {

// In place of a path: a run that holds neither a draft nor a service's request.
constexpr const char *NoWork = "no work";

constexpr std::size_t HugeFrame = MaxLinkMessage + 1;

// A peer that speaks ZeroMQ's protocol but isn't a process of the system.
struct UnknownPeer {
  zmq::context_t Context{1};
  zmq::socket_t Socket{Context, zmq::socket_type::dealer};

  explicit UnknownPeer(const Address &link) {
    constexpr int lingerMs = 2000;
    constexpr int receiveMs = 10000;
    Socket.set(zmq::sockopt::linger, lingerMs);
    Socket.set(zmq::sockopt::rcvtimeo, receiveMs);
    Socket.connect("tcp://" + link.Value);
  }

  void send(std::string_view bytes, bool more = false) {
    Socket.send(zmq::buffer(bytes),
                more ? zmq::send_flags::sndmore : zmq::send_flags::none);
  }

  void send(wire::Envelope envelope) {
    if (envelope.version() == 0)
      envelope.set_version(LinkVersion);
    send(envelope.SerializeAsString());
  }

  // Returns the next answer; an empty envelope if none arrives within 10 s.
  wire::Envelope answer() {
    zmq::message_t msg;
    wire::Envelope out;
    if (Socket.recv(msg))
      out.ParseFromArray(msg.data(), static_cast<int>(msg.size()));
    return out;
  }
};

wire::Envelope withVersion(std::uint32_t version) {
  wire::Envelope out;
  out.set_version(version);
  out.mutable_probe();
  return out;
}

// Returns one empty message of each kind.
std::vector<wire::Envelope> emptyBodies() {
  std::vector<wire::Envelope> out;
  constexpr int firstField = 10;
  constexpr int lastField = 29;
  constexpr int lengthDelimited = 2;
  for (int field = firstField; field <= lastField; ++field) {
    int tag = field << 3 | lengthDelimited;
    std::string bytes{static_cast<char>((tag & 0x7f) | 0x80),
                      static_cast<char>(tag >> 7), 0};
    wire::Envelope it;
    BOOST_TEST(it.ParseFromString(bytes));
    BOOST_TEST((it.body_case() != wire::Envelope::BODY_NOT_SET));
    out.push_back(std::move(it));
  }
  return out;
}

wire::Envelope member(const std::string &link, const std::string &callers) {
  wire::Envelope out;
  out.set_generation(99);
  out.mutable_members()->set_wants_answer(true);
  wire::Member *it = out.mutable_members()->add_members();
  it->set_name("stranger");
  it->set_link(link);
  it->set_callers(callers);
  it->set_data_centre("dc1");
  it->set_incarnation(1);
  return out;
}

// Returns the answer of the process at a link to a probe. Its envelope holds
// the incarnation and generation of that process.
wire::Envelope identityOf(const Address &link) {
  UnknownPeer peer(link);
  peer.send(withVersion(LinkVersion));
  return peer.answer();
}

// Returns a run as an entry with the same settings would send it.
wire::Envelope runOf(const wire::Envelope &endpoint, const std::string &path) {
  static std::uint64_t number = 0;
  wire::Envelope out;
  out.set_generation(endpoint.generation());
  wire::Run &it = *out.mutable_run();
  it.mutable_call()->set_entry(1);
  it.mutable_call()->set_number(++number);
  it.set_endpoint_incarnation(endpoint.incarnation());
  it.set_time_left_ms(1000);
  if (path == NoWork)
    return out;
  it.mutable_service()->set_method("\r\n");
  it.mutable_service()->set_path(path);
  return out;
}

struct LinkFixture : BadInputFixture {
  const std::vector<Address> Links = {link("entry-1"), link("helper-1"),
                                      link("ledger-1")};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LinkInput, LinkFixture)

BOOST_AUTO_TEST_CASE(bytes_notZeroMq_areDiscarded) {
  for (const Address &it : Links)
    for (const std::string &bytes :
         {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(65536, '\xff'),
          std::string(65536, '\0'),
          std::string("\xff\0\0\0\0\0\0\0\1\x7f", 10) +
              std::string(5000, 'x')}) {
      RawConnection connection(it);
      connection.send(bytes);
      connection.close(bytes.size() % 2 == 0);
    }
}

BOOST_AUTO_TEST_CASE(message_notAnEnvelope_isDiscarded) {
  for (const Address &it : Links) {
    UnknownPeer peer(it);
    peer.send("");
    peer.send("\xff\xff\xff garbage");
    peer.send(std::string(1UL << 20, '\x08'));
    peer.send("one", true);
    peer.send("two");
    peer.send(withVersion(0xffffffff));
    peer.send(withVersion(LinkVersion + 1));
    peer.send(wire::Envelope());
  }
}

BOOST_AUTO_TEST_CASE(message_oversized_isNotAccepted) {
  for (const Address &it : Links) {
    UnknownPeer peer(it);
    peer.send(std::string(HugeFrame, 'x'));
  }
}

BOOST_AUTO_TEST_CASE(message_emptyBodies_processStillAnswers) {
  for (const Address &it : Links) {
    UnknownPeer peer(it);
    for (const wire::Envelope &envelope : emptyBodies())
      peer.send(envelope);
    wire::Envelope pull;
    pull.mutable_pull_settings();
    peer.send(pull);
    BOOST_TEST(peer.answer().version() == LinkVersion);
  }
}

BOOST_AUTO_TEST_CASE(member_invalidAddress_isNotListed) {
  UnknownPeer peer(link("entry-1"));
  for (const char *it :
       {"", "nowhere", "127.0.0.1", "127.0.0.1:99999", "tcp://*:*", "\x01"})
    peer.send(member(it, it));
  BOOST_TEST(peer.answer().version() == LinkVersion);
  // The draft outlasts the next round of the membership exchange, in which the
  // entry would connect to its new partners.
  BOOST_TEST(answerTo(entry(), bytesOf({.Body = draftBody(1000)})).Status ==
             200);
  BOOST_TEST(entriesListedBy("entry-1").size() == 1u);
}

BOOST_AUTO_TEST_CASE(run_malformed_isRefused) {
  for (const char *name : {"helper-1", "ledger-1"}) {
    wire::Envelope endpoint = identityOf(link(name));
    BOOST_TEST(endpoint.incarnation() != 0u);
    for (const char *path :
         {NoWork, "", "bookings", "/a b", "/ HTTP/1.1\r\nX: y\r\n\r\n"}) {
      UnknownPeer peer(link(name));
      peer.send(runOf(endpoint, path));
      wire::Envelope answer = peer.answer();
      BOOST_TEST(answer.has_refusal(), name << ' ' << path);
      BOOST_TEST(answer.refusal().did_not_run());
      BOOST_TEST(answer.refusal().kind() ==
                 static_cast<std::uint32_t>(ErrorKind::BadRequest));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
