#include "greengagespar/http/message.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;

namespace {

/// A request reader with small limits, and the body that it passed on.
struct RequestFixture {
  std::string Body;
  RequestReader Reader{{.MaxHeadBytes = 512, .MaxBodyBytes = 64},
                       [this](std::string_view it) { Body.append(it); }};

  ReadState take(std::string_view bytes) {
    Reader.take(bytes);
    return Reader.state();
  }
};

/// A response reader with small limits, and the body that it passed on.
struct ResponseFixture {
  std::string Body;
  ResponseReader Reader{{.MaxHeadBytes = 512, .MaxBodyBytes = 1024},
                        [this](std::string_view it) { Body.append(it); }};
};

const std::string Head = "POST /a/b?c=1 HTTP/1.1\r\nHost: x\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestReading, RequestFixture)

BOOST_AUTO_TEST_CASE(request_withLength_isComplete) {
  BOOST_TEST(
      bool(take(Head + "Content-Length: 3\r\n\r\nabc") == ReadState::Complete));
  BOOST_TEST(Reader.head().Method == "POST");
  BOOST_TEST(Reader.head().Target == "/a/b?c=1");
  BOOST_TEST(Body == "abc");
}

BOOST_AUTO_TEST_CASE(request_inChunks_isComplete) {
  BOOST_TEST(bool(take(Head + "Transfer-Encoding: chunked\r\n\r\n"
                              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n") ==
                  ReadState::Complete));
  BOOST_TEST(Body == "abcde");
}

BOOST_AUTO_TEST_CASE(request_byteByByte_isComplete) {
  std::string bytes = Head + "Transfer-Encoding: chunked\r\n\r\n"
                             "3\r\nabc\r\n0\r\n\r\n";
  std::string waiting;
  for (char c : bytes) {
    waiting += c;
    waiting.erase(0, Reader.take(waiting));
  }
  BOOST_TEST(bool(Reader.state() == ReadState::Complete));
  BOOST_TEST(Body == "abc");
}

BOOST_AUTO_TEST_CASE(request_followedByAnother_leavesItsBytes) {
  std::string first = Head + "Content-Length: 1\r\n\r\nx";
  BOOST_TEST(Reader.take(first + "GET / HTTP/1.1\r\n") == first.size());
}

BOOST_AUTO_TEST_CASE(request_withTwoLengths_isRefused) {
  BOOST_TEST(bool(take(Head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n"
                              "abc") == ReadState::Broken));
}

BOOST_AUTO_TEST_CASE(request_withLengthAndChunks_isRefused) {
  BOOST_TEST(bool(take(Head + "Content-Length: 3\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n") ==
                  ReadState::Broken));
}

BOOST_AUTO_TEST_CASE(request_withUnknownEncoding_isRefused) {
  BOOST_TEST(bool(take(Head + "Transfer-Encoding: gzip, chunked\r\n\r\n") ==
                  ReadState::Broken));
}

BOOST_AUTO_TEST_CASE(request_withBadChunkSize_isRefused) {
  BOOST_TEST(bool(take(Head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc") ==
                  ReadState::Broken));
}

BOOST_AUTO_TEST_CASE(request_withBareLineFeed_isRefused) {
  BOOST_TEST(
      bool(take("GET / HTTP/1.1\nHost: x\r\n\r\n") == ReadState::Broken));
}

BOOST_AUTO_TEST_CASE(request_withFoldedLine_isRefused) {
  BOOST_TEST(bool(take(Head + "X-A: 1\r\n Content-Length: 9\r\n\r\n") ==
                  ReadState::Broken));
}

BOOST_AUTO_TEST_CASE(request_withHeadOverLimit_isRefusedAsSuch) {
  take(Head + "X-A: " + std::string(600, 'a'));
  BOOST_TEST(bool(Reader.fault() == ReadFault::HeadTooLarge));
}

BOOST_AUTO_TEST_CASE(request_withBodyOverLimit_isRefusedAsSuch) {
  take(Head + "Content-Length: 65\r\n\r\n");
  BOOST_TEST(bool(Reader.fault() == ReadFault::BodyTooLarge));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ResponseReading, ResponseFixture)

BOOST_AUTO_TEST_CASE(answer_withoutLength_endsWithConnection) {
  Reader.take("HTTP/1.1 200 OK\r\n\r\nabc");
  BOOST_TEST(bool(Reader.state() == ReadState::Body));
  Reader.takeEnd();
  BOOST_TEST(bool(Reader.state() == ReadState::Complete));
  BOOST_TEST(Body == "abc");
}

BOOST_AUTO_TEST_CASE(answer_whoseStatusIsNone_isBroken) {
  for (const char *status : {"000", "001", "099", "600", "999"})
    BOOST_TEST_CONTEXT(status) {
      ResponseFixture it;
      it.Reader.take(std::string("HTTP/1.1 ") + status +
                     " Odd\r\nContent-Length: 3\r\n\r\nabc");
      BOOST_TEST(bool(it.Reader.state() == ReadState::Broken));
      BOOST_TEST(it.Body == "");
    }
}

BOOST_AUTO_TEST_CASE(answer_withFirstAndLastStatus_isComplete) {
  for (const char *status : {"200", "599"})
    BOOST_TEST_CONTEXT(status) {
      ResponseFixture it;
      it.Reader.take(std::string("HTTP/1.1 ") + status +
                     " Known\r\nContent-Length: 3\r\n\r\nabc");
      BOOST_TEST(bool(it.Reader.state() == ReadState::Complete));
      BOOST_TEST(it.Body == "abc");
    }
}

BOOST_AUTO_TEST_CASE(answer_cutBeforeItsLength_isBroken) {
  Reader.take("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
  Reader.takeEnd();
  BOOST_TEST(bool(Reader.state() == ReadState::Broken));
}

BOOST_AUTO_TEST_CASE(answer_cutBetweenChunks_isBroken) {
  Reader.take("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nabc\r\n");
  Reader.takeEnd();
  BOOST_TEST(bool(Reader.state() == ReadState::Broken));
}

BOOST_AUTO_TEST_CASE(answer_ofOtherBytes_isBroken) {
  Reader.take("\x01\x02 nothing\r\n\r\n");
  BOOST_TEST(bool(Reader.state() == ReadState::Broken));
}

// Guards against the status or a field of an answer that was cut in its head,
// taken for that of the answer behind it.
BOOST_AUTO_TEST_CASE(answer_behindTheCutHeadOfAnother_isBroken) {
  const std::string cut = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nA: b\r\n";
  for (std::size_t n = 1; n <= cut.size(); ++n) {
    ResponseReader reader{{}, [](std::string_view) {}};
    reader.take(cut.substr(0, n) +
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(bool(reader.state() == ReadState::Broken), n);
  }
}

BOOST_AUTO_TEST_CASE(answer_thatNamesAProtocolInAField_isComplete) {
  Reader.take("HTTP/1.1 200 HTTP/1.1 is fine\r\nVia: HTTP/1.1 proxy, 1.1 x\r\n"
              "Content-Length: 0\r\n\r\n");
  BOOST_TEST(bool(Reader.state() == ReadState::Complete));
}

BOOST_AUTO_TEST_CASE(answer_withMoreBehindIt_leavesItsBytes) {
  std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
  BOOST_TEST(Reader.take(answer + "more") == answer.size());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Fields)

BOOST_AUTO_TEST_CASE(hopByHop_namedInConnection_isRemoved) {
  HttpFields fields{{"Connection", "close, X-Own"},
                    {"x-own", "1"},
                    {"Keep-Alive", "timeout=2"},
                    {"X-Kept", "2"}};
  removeHopByHopFields(fields);
  BOOST_REQUIRE(fields.size() == 1);
  BOOST_TEST(fields[0].Name == "X-Kept");
}

BOOST_AUTO_TEST_SUITE_END()
