#include "site.h"

#include <array>
#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::site;

namespace {

// Three digits that are no status of HTTP (RFC 9110, section 15).
constexpr std::array<const char *, 4> OddStatuses = {"000", "099", "600",
                                                     "999"};

enum class Framing { Length, Chunks, None };
constexpr std::array Framings = {Framing::Length, Framing::Chunks,
                                 Framing::None};

/// A server that answers with a status that is none, beside a sound one.
struct OddStatusFixture : SiteFixture {
  int OddAnswers = 0;

  static std::string framed(Framing framing, const std::string &body) {
    if (framing == Framing::Length)
      return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
             body;
    if (framing == Framing::Chunks)
      return "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n";
    return "\r\n" + body;
  }

  // Adds two servers of \p service, of which the one that is asked first gives
  // the odd answer, with \p fields, and the other one answers with \p sound.
  void addServers(const std::string &service, const std::string &status,
                  const std::string &fields, Framing framing,
                  const std::string &body, const FakeServer::Script &sound) {
    FakeServer::Script script = [=, this](const HttpRequestMessage &it) {
      if (OddAnswers++ > 0)
        return sound(it);
      std::string id = *findField(it.Head.Fields, "X-Request-Id");
      return FakeAnswer{.Bytes = "HTTP/1.1 " + status +
                                 " Odd\r\nX-Request-Id: " + id +
                                 "\r\nX-Server-Signature: sig\r\n" + fields +
                                 framed(framing, body),
                        .Closes = framing == Framing::None};
    };
    addServer(service, script);
    addServer(service, script);
    startEntry();
  }
};

FakeAnswer wholeAnswer(const HttpRequestMessage &request) {
  return {signedAnswer(request, 200, "whole")};
}

// Calls \p check with each odd status and framing, at a site of its own.
template <class Check> void forEachOddStatus(Check check) {
  for (const char *status : OddStatuses)
    for (Framing framing : Framings)
      BOOST_TEST_CONTEXT(status << ", framing " << static_cast<int>(framing)) {
        OddStatusFixture site;
        check(site, std::string(status), framing);
      }
}

} // namespace

BOOST_AUTO_TEST_SUITE(OddStatusAnswers)

// Guards against the answer of a server in trouble, whose status is none, being
// passed on as an answer.
BOOST_AUTO_TEST_CASE(idempotentRequest_answeredWithOddStatus_isSentAgain) {
  forEachOddStatus(
      [](OddStatusFixture &site, const std::string &status, Framing framing) {
        site.addServers("ledger", status, "", framing, "odd", wholeAnswer);
        Reply reply = site.sendAndWait("GET", "/status/1");
        BOOST_TEST(reply.Head.Status == 200);
        BOOST_TEST(reply.Body == "whole");
      });
}

// The answer proves nothing, whatever else its head says: the request may have
// run, so the caller gets neither a success nor a promise.
BOOST_AUTO_TEST_CASE(booking_answeredWithOddStatus_failsAndIsNotSentAgain) {
  for (const char *fields : {"", "X-Not-Executed: 1\r\n"})
    forEachOddStatus([&](OddStatusFixture &site, const std::string &status,
                         Framing framing) {
      site.addServers("ledger", status, fields, framing, "odd", wholeAnswer);
      Reply reply = site.sendAndWait("POST", "/book/1");
      BOOST_TEST(reply.Head.Status == 502);
      BOOST_TEST(!findField(reply.Head.Fields, "X-Server-Signature"));
      BOOST_TEST(reply.Body == "");
      BOOST_TEST(site.OddAnswers == 1);
    });
}

BOOST_AUTO_TEST_CASE(stream_headedByOddStatus_isSentAgain) {
  FakeServer::Script sound = [](const HttpRequestMessage &it) {
    return FakeAnswer{streamHead(it) + chunk(eventText(1) + eventText(2)) +
                      "0\r\n\r\n"};
  };
  forEachOddStatus(
      [&](OddStatusFixture &site, const std::string &status, Framing framing) {
        site.addServers("helper", status, "Content-Type: text/event-stream\r\n",
                        framing, "id: 1\ndata: odd\n\n", sound);
        Reply reply = site.sendAndWait("POST", "/draft/1");
        BOOST_TEST(reply.Head.Status == 200);
        std::string body = reply.Body;
        std::erase(body, '\r');
        BOOST_TEST(body == eventText(1) + eventText(2));
      });
}

BOOST_AUTO_TEST_SUITE_END()
