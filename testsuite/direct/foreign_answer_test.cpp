#include "greengagespar/http/carried_requests.h"
#include "site.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

namespace {

/// Servers that send what belongs to no request, or can't go on with a stream.
struct ForeignAnswerFixture : SiteFixture {
  static std::string refusal(const std::string &idField) {
    return "HTTP/1.1 503 X\r\n" + idField +
           "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }

  static std::string idFieldOf(const HttpRequestMessage &request) {
    return "X-Request-Id: " + *findField(request.Head.Fields, "X-Request-Id") +
           "\r\n";
  }

  // Adds a server that refuses the booking "a", and writes \p again on the kept
  // connection when another one comes, which it runs and never answers.
  FakeServer &addRefusingTwice(const std::string &again) {
    return addServer("ledger", [this, again](const HttpRequestMessage &it) {
      if (it.Body == "a")
        return FakeAnswer{refusal(idFieldOf(it))};
      ++Runs;
      return FakeAnswer{.Bytes = again, .IsPartial = true};
    });
  }

  // Sends a booking that the server refuses, and one that it runs while it
  // writes \p again.
  void checkRefusedTwice(const std::string &again) {
    FakeServer &server = addRefusingTwice(again);
    // The entry sends a refused booking again, on another connection.
    Settings.ExtraRetries = 0;
    Settings.RetryShare = 0;
    startEntry();
    NextId = 0;
    BOOST_TEST(
        sendAndWait("POST", "/book/1", "X-Api-Key: k1\r\n", "a").Head.Status ==
        503);
    Reply response = sendAndWait("POST", "/book/1", "X-Api-Key: k1\r\n", "b");
    BOOST_TEST(server.Connections == 1);
    BOOST_TEST(Runs == 1);
    // It has run: no refusal may promise the opposite.
    BOOST_TEST((response.Head.Status == 502 || response.Head.Status == 504));
  }

  // Has a server write \p cut, the beginning of a repeated answer, and then
  // the answer to a booking that it has run, on a kept connection.
  void checkRanAfter(const std::string &cut) {
    Settings.ExtraRetries = 20;
    addServer("ledger", [this, cut](const HttpRequestMessage &it) {
      if (it.Body == "a")
        return FakeAnswer{signedAnswer(it, 200, "done")};
      ++Runs;
      return FakeAnswer{cut + signedAnswer(it, 200, "done")};
    });
    startEntry();
    sendAndWait("POST", "/book/1", "X-Api-Key: k1\r\n", "a");
    Reply response = sendAndWait("POST", "/book/1", "X-Api-Key: k1\r\n", "b");
    BOOST_TEST(Runs == 1);
    // Its own answer, or one that promises nothing.
    int status = response.Head.Status;
    BOOST_TEST((status == 200 || status == 502 || status == 504), status);
  }

  int Runs = 0; ///< Bookings that a server runs.
};

/// One server, which refuses or fails the first request and runs all later
/// ones. Copies of the first answer then precede the second one, on the
/// connection that had the first one.
struct CopiedAnswerFixture : ForeignAnswerFixture {
  CopiedAnswerFixture() {
    Settings.ExtraRetries = 20;
    Server = &addServer("ledger", [this](const HttpRequestMessage &it) {
      if (First.empty()) {
        First = IsFailure ? signedAnswer(it, 500, "failed")
                          : refusal(idFieldOf(it));
        return FakeAnswer{First};
      }
      if (++Runs > 1)
        return FakeAnswer{signedAnswer(it, 200, "done")};
      for (std::size_t i = 0; i < Copies; ++i)
        Server->sendMoreOnFirst(First);
      Server->sendMoreOnFirst(First.substr(0, BytesOfLastCopy));
      return FakeAnswer{.SendsNothing = true};
    });
  }

  // Has the server send the rest of the last copy and the second answer.
  void sendRest() {
    if (BytesOfLastCopy > 0)
      Server->sendMoreOnFirst(First.substr(BytesOfLastCopy));
    Server->answerPending([](const HttpRequestMessage &it) {
      return FakeAnswer{signedAnswer(it, 200, "done")};
    });
  }

  // Sends a request that the server refuses or fails at first, and checks that
  // its caller gets the answer of the one run.
  void checkServed(const std::string &method, const std::string &target) {
    startEntry();
    auto call = send(method, target);
    BOOST_REQUIRE(runUntil([&] { return Runs > 0; }));
    runFor(20ms);
    sendRest();
    BOOST_TEST(runUntil([&] { return call->Response.IsDone; }));
    BOOST_TEST(call->Response.Head.Status == 200);
    BOOST_TEST(call->Response.Body == "done");
    BOOST_TEST(Runs == 1);
  }

  FakeServer *Server = nullptr;
  bool IsFailure = false; ///< The first answer is a failure, not a refusal.
  std::size_t Copies = 1;
  std::size_t BytesOfLastCopy = 0; ///< Of one more, whose rest comes later.
  std::string First;               ///< The first answer; empty: none yet.
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ForeignAnswers, ForeignAnswerFixture)

// Guards against a caller who is told that a booking did not run, or one that
// runs twice, because a server writes an earlier refusal once more.
BOOST_AUTO_TEST_CASE(refusal_ofEarlierBookingWrittenAgain_isNotBelieved) {
  checkRefusedTwice(refusal("X-Request-Id: r1\r\n"));
}

BOOST_AUTO_TEST_CASE(refusal_withoutIdOnKeptConnection_isNotBelieved) {
  checkRefusedTwice(refusal(""));
}

// The same refusal, written while the connection is idle.
BOOST_AUTO_TEST_CASE(refusal_writtenAgainOnIdleConnection_endsIt) {
  FakeServer &server = addServer("ledger", [](const HttpRequestMessage &it) {
    return FakeAnswer{signedAnswer(it, 200, "done")};
  });
  startEntry();
  BOOST_TEST(sendAndWait("GET", "/status/1").Head.Status == 200);
  server.sendMore(refusal(""));
  runFor(50ms);
  BOOST_TEST(sendAndWait("POST", "/book/1").Head.Status == 200);
  BOOST_TEST(server.Connections == 2);
}

// Guards against a lost answer: the copy of the answer to a HEAD request has a
// length and no body, and must not take its bytes from the answer that is due.
BOOST_AUTO_TEST_CASE(booking_afterTheCopyOfAHeadAnswer_getsItsAnswer) {
  std::string first;
  FakeServer *server = nullptr;
  server = &addServer("ledger", [&](const HttpRequestMessage &it) {
    if (it.Head.Method == "HEAD") {
      first = signedAnswer(it, 200, "0123456789");
      first.resize(first.size() - 10);
      return FakeAnswer{first};
    }
    server->sendMoreOnFirst(first);
    return FakeAnswer{signedAnswer(it, 200, "done")};
  });
  startEntry();
  BOOST_TEST(sendAndWait("HEAD", "/status/1").Head.Status == 200);
  BOOST_TEST(sendAndWait("POST", "/book/1").Head.Status == 200);
}

// Guards against a request to the process that a server was before: the
// connection was in use while the server's entry changed.
BOOST_AUTO_TEST_CASE(connection_toAnEarlierAddress_isNotUsedAgain) {
  FakeServer &old = addServer("ledger", [](const HttpRequestMessage &) {
    return FakeAnswer{.SendsNothing = true};
  });
  startEntry();
  auto call = send("POST", "/book/1");
  BOOST_REQUIRE(runUntil([&] { return old.Requests.size() == 1; }));
  FakeServer fresh(Loop.base(), old.id(), [](const HttpRequestMessage &it) {
    return FakeAnswer{signedAnswer(it, 200, "new")};
  });
  fresh.StartedMs = 9;
  Objects.put("servers", old.id(), fresh.entry("ledger"));
  runFor(300ms);
  auto answer = [](const HttpRequestMessage &it) {
    return FakeAnswer{signedAnswer(it, 200, "old")};
  };
  old.answerPending(answer);
  old.Respond = answer;
  BOOST_REQUIRE(runUntil([&] { return call->Response.IsDone; }));
  BOOST_TEST(sendAndWait("POST", "/book/1").Body == "new");
}

// Guards against an error of the next server in the midst of a stream, or a
// stream that looks complete without its end.
BOOST_AUTO_TEST_CASE(stream_brokenOffAndAnsweredByAnError_isCut) {
  auto withId = [](const HttpRequestMessage &it, const std::string &head,
                   const std::string &body) {
    return "HTTP/1.1 " + head + "\r\n" + idFieldOf(it) +
           "X-Server-Signature: sig\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  using Answer = std::function<std::string(const HttpRequestMessage &)>;
  const std::vector<Answer> errors = {
      [&](const auto &it) { return withId(it, "500 X", "broken"); },
      [&](const auto &it) { return withId(it, "404 X", "nothing here"); },
      [&](const auto &it) { return withId(it, "200 OK", eventText(2)); },
      [&](const auto &it) {
        return withId(it, "503 X\r\nX-Not-Executed: 1", "full");
      },
      [&](const auto &it) {
        return withId(it, "500 X\r\nContent-Type: text/event-stream",
                      eventText(2));
      },
      [](const auto &it) {
        std::string head = streamHead(it);
        return head.replace(head.find("200 OK"), 6, "500 No") +
               chunk(eventText(2)) + "0\r\n\r\n";
      },
      [](const auto &) { return std::string("no answer at all\r\n\r\n"); }};
  int sent = 0;
  std::size_t i = 0;
  startEntry();
  for (; i < errors.size(); ++i) {
    sent = 0;
    FakeServer::Script script = [&](const HttpRequestMessage &it) {
      if (sent++ > 0)
        return FakeAnswer{.Bytes = errors[i](it), .Closes = true};
      std::string half = eventText(2).substr(0, 9);
      return FakeAnswer{.Bytes =
                            streamHead(it) + chunk(eventText(1)) + chunk(half),
                        .Resets = true};
    };
    for (const auto &it : Servers)
      Objects.remove("servers", it->id());
    addServer("helper", script);
    addServer("helper", script);
    runFor(300ms);
    Reply response = sendAndWait("POST", "/draft/1");
    BOOST_TEST(response.Head.Status == 200, i);
    BOOST_TEST(response.Body == eventText(1), i);
    BOOST_TEST(bool(response.End == ExchangeEnd::Broken), i);
  }
}

// Guards against a caller who is told that a booking did not run, or one that
// runs more than once, because the beginning of a repeated answer and the
// answer that is due look like one head.
BOOST_AUTO_TEST_CASE(refusal_cutInItsReason_provesNothing) {
  checkRanAfter("HTTP/1.1 503 Ser");
}

BOOST_AUTO_TEST_CASE(refusal_cutAfterItsProof_provesNothing) {
  checkRanAfter("HTTP/1.1 503 X\r\nX-Not-Executed: 1");
}

BOOST_AUTO_TEST_CASE(refusal_cutInAnyField_provesNothing) {
  checkRanAfter("HTTP/1.1 503 X\r\nContent-Type: text");
}

BOOST_AUTO_TEST_CASE(answerOfAnotherServer_cut_provesNothing) {
  checkRanAfter("HTTP/1.1 421 Mis");
}

BOOST_AUTO_TEST_CASE(rateLimit_cut_provesNothing) {
  checkRanAfter("HTTP/1.1 429 Too");
}

// Guards against a promise to the caller that the server has not given: only an
// answer that says so proves that the request did not run.
BOOST_AUTO_TEST_CASE(booking_refusedWithoutProof_isNotPromisedNotToHaveRun) {
  int status = 0;
  addServer("ledger", [&](const HttpRequestMessage &it) {
    ++Runs;
    return FakeAnswer{signedAnswer(it, status, "")};
  });
  startEntry();
  for (int each : {408, 429, 503}) {
    status = each;
    int got = sendAndWait("POST", "/book/1").Head.Status;
    BOOST_TEST((got == 502 || got == 504), each << " is answered as " << got);
  }
  BOOST_TEST(Runs == 3);
}

// A caller sends such a request again after any failure.
BOOST_AUTO_TEST_CASE(lookUp_refusedWithoutProof_getsTheServersAnswer) {
  Settings.ExtraRetries = 0;
  Settings.RetryShare = 0;
  addServer("ledger", [](const HttpRequestMessage &it) {
    return FakeAnswer{signedAnswer(it, 503, "busy")};
  });
  startEntry();
  Reply response = sendAndWait("GET", "/status/1");
  BOOST_TEST(response.Head.Status == 503);
  BOOST_TEST(response.Body == "busy");
}

// Guards against a failure that its caller takes for a success.
BOOST_AUTO_TEST_CASE(failure_behindTheCutHeadOfASuccess_isNoSuccess) {
  addServer("ledger", [](const HttpRequestMessage &it) {
    if (it.Body == "a")
      return FakeAnswer{signedAnswer(it, 200, "done")};
    return FakeAnswer{"HTTP/1.1 200 O" + signedAnswer(it, 500, "failed")};
  });
  startEntry();
  sendAndWait("POST", "/book/1", "X-Api-Key: k1\r\n", "a");
  Reply response = sendAndWait("POST", "/book/1", "X-Api-Key: k1\r\n", "b");
  BOOST_TEST(response.Head.Status != 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(CopiedAnswers, CopiedAnswerFixture)

// Guards against a caller who is told that a booking did not run, because a
// copy of the refusal of its first send is taken for the answer to the second.
BOOST_AUTO_TEST_CASE(booking_refusedAndSentAgain_isNotAnsweredByACopy) {
  checkServed("POST", "/book/1");
}

BOOST_AUTO_TEST_CASE(booking_refusedAndSentAgain_isNotAnsweredByTwoCopies) {
  Copies = 2;
  checkServed("POST", "/book/1");
}

BOOST_AUTO_TEST_CASE(booking_refusedAndSentAgain_isNotAnsweredByACopyInPieces) {
  Copies = 0;
  BytesOfLastCopy = 30;
  checkServed("POST", "/book/1");
}

BOOST_AUTO_TEST_CASE(request_failedAndSentAgain_isNotAnsweredByACopy) {
  IsFailure = true;
  checkServed("GET", "/status/1");
}

// Guards against the same for a caller who sends an id again, when the
// connection of the refusal has come back to the pool in between.
BOOST_AUTO_TEST_CASE(booking_sentAgainByItsCaller_isNotAnsweredByACopy) {
  Settings.ExtraRetries = 0;
  Settings.RetryShare = 0;
  startEntry();
  NextId = 0;
  BOOST_TEST(sendAndWait("POST", "/book/1").Head.Status == 503);
  BOOST_TEST(Runs == 0);
  NextId = 0;
  auto call = send("POST", "/book/1");
  BOOST_REQUIRE(runUntil([&] { return Runs > 0; }));
  runFor(20ms);
  sendRest();
  BOOST_TEST(runUntil([&] { return call->Response.IsDone; }));
  BOOST_TEST(call->Response.Head.Status == 200);
  BOOST_TEST(Runs == 1);
}

// Guards against a connection that forgets what it has carried, or keeps ever
// more of it: a full one is used no more.
BOOST_AUTO_TEST_CASE(connection_thatHasCarriedTheMost_isUsedNoMore) {
  Settings.ExtraRetries = 0;
  Settings.RetryShare = 0;
  Runs = 1;
  startEntry();
  for (std::size_t i = 0; i < MaxCarriedRequests; ++i)
    sendAndWait("POST", "/book/1");
  BOOST_TEST(Server->Requests.size() == MaxCarriedRequests);
  BOOST_TEST(Server->Connections == 1);
  BOOST_TEST(sendAndWait("POST", "/book/1").Head.Status == 200);
  BOOST_TEST(Server->Connections == 2);
}

// Guards against a copy that takes the place of the answer to a later request
// on the connection, where its id is the only difference.
BOOST_AUTO_TEST_CASE(booking_afterCopiesOfARefusal_getsItsOwnAnswer) {
  Settings.ExtraRetries = 0;
  Settings.RetryShare = 0;
  Copies = 2;
  BytesOfLastCopy = 30;
  startEntry();
  BOOST_TEST(sendAndWait("POST", "/book/1").Head.Status == 503);
  auto call = send("POST", "/book/1");
  BOOST_REQUIRE(runUntil([&] { return Runs > 0; }));
  runFor(20ms);
  sendRest();
  BOOST_TEST(runUntil([&] { return call->Response.IsDone; }));
  BOOST_TEST(call->Response.Head.Status == 200);
  BOOST_TEST(Server->Connections == 1);
}

// Connections are dear: one that had a refusal serves other requests.
BOOST_AUTO_TEST_CASE(connection_thatHadARefusal_servesOtherRequests) {
  Settings.ExtraRetries = 0;
  Settings.RetryShare = 0;
  Runs = 1;
  startEntry();
  BOOST_TEST(sendAndWait("POST", "/book/1").Head.Status == 503);
  for (int i = 0; i < 5; ++i)
    BOOST_TEST(sendAndWait("POST", "/book/1").Head.Status == 200);
  BOOST_TEST(Server->Connections == 1);
}

BOOST_AUTO_TEST_SUITE_END()
