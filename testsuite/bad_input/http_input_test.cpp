#include "bad_input.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar::harness;

namespace {

// A request that the entry must refuse, with the status and kind of its error.
struct RefusedRequest {
  const char *What;
  RawRequest Request;
  int Status;
  const char *Kind;
};

const std::string Members = "X-Workspace: members\r\n";
const std::string Bookings = "/v1/services/ledger/bookings";
const std::string Chat = "/v1/chat/completions";
const std::string Binary = "\x01\x7f\xff\xfe";

RawRequest body(std::string text) { return {.Body = std::move(text)}; }

RawRequest chat(const std::string &messages) {
  return {.Target = Chat,
          .Body = R"({"model":"order-helper","messages":)" + messages + "}"};
}

RawRequest draft(const std::string &members) {
  return body(R"({"model":"order-helper","prompt":"len=2",)" + members + "}");
}

RawRequest deadline(const std::string &value) {
  return {.Headers = Members + "X-Deadline-Ms: " + value + "\r\n",
          .Body = draftBody(2)};
}

RawRequest workspace(const std::string &value) {
  return {.Headers = "X-Workspace: " + value + "\r\n", .Body = draftBody(2)};
}

RawRequest booking(const std::string &key) {
  return {.Target = Bookings,
          .Headers = Members + "Idempotency-Key: " + key + "\r\n",
          .Body = R"({"order":"o-1"})"};
}

RawRequest status(const std::string &path, const std::string &headers = "") {
  return {.Method = "GET", .Target = path, .Headers = Members + headers};
}

void check(const greengagespar::Address &entry, const RefusedRequest &it) {
  BOOST_TEST_CONTEXT(it.What) {
    HttpAnswer answer = answerTo(entry, bytesOf(it.Request));
    BOOST_TEST(answer.Status == it.Status);
    boost::json::value value = jsonOf(answer);
    BOOST_REQUIRE(value.is_object() && value.as_object().contains("error"));
    const auto &error = value.at("error").as_object();
    BOOST_TEST(error.at("kind").as_string() == it.Kind);
    BOOST_TEST(!error.at("message").as_string().empty());
    BOOST_TEST(error.at("ran").as_string() == "no");
    BOOST_TEST(error.at("retry_after_ms").is_int64());
  }
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpInput, BadInputFixture)

BOOST_AUTO_TEST_CASE(body_malformed_isRefused) {
  const RefusedRequest cases[] = {
      {"empty", body(""), 400, "bad_request"},
      {"broken", body("{"), 400, "bad_request"},
      {"two values", body("{}{}"), 400, "bad_request"},
      {"null", body("null"), 400, "bad_request"},
      {"list", body("[]"), 400, "bad_request"},
      {"deep", body(std::string(100000, '[')), 400, "bad_request"},
      {"binary", body(Binary + std::string(3, '\0')), 400, "bad_request"},
      {"binary text", draft("\"user\":\"" + Binary + "\""), 400, "bad_request"},
      {"no model", body(R"({"prompt":"x"})"), 400, "bad_request"},
      {"model", body(R"({"model":1,"prompt":"x"})"), 400, "bad_request"},
      {"unknown model", body(R"({"model":"\u0000","prompt":"x"})"), 404,
       "unknown_group"},
      {"prompt", body(R"({"model":"order-helper","prompt":["x"]})"), 400,
       "bad_request"},
      {"stream", draft(R"("stream":"yes")"), 400, "bad_request"},
      {"tokens as text", draft(R"("max_tokens":"5")"), 400, "bad_request"},
      {"no tokens", draft(R"("max_tokens":0)"), 400, "bad_request"},
      {"half a token", draft(R"("max_tokens":1.5)"), 400, "bad_request"},
      {"many tokens", draft(R"("max_tokens":1e18)"), 400, "bad_request"},
      {"negative tokens", draft(R"("max_tokens":-1)"), 400, "bad_request"},
      {"cache key", draft(R"("prompt_cache_key":{})"), 400, "bad_request"},
      {"no messages", chat("[]"), 400, "bad_request"},
      {"messages", chat("{}"), 400, "bad_request"},
      {"message", chat("[1]"), 400, "bad_request"},
      {"role", chat(R"([{"role":1,"content":"x"}])"), 400, "bad_request"},
      {"content", chat(R"([{"role":"user","content":null}])"), 400,
       "bad_request"},
  };
  for (const RefusedRequest &it : cases)
    check(entry(), it);
}

BOOST_AUTO_TEST_CASE(header_malformed_isRefused) {
  const RefusedRequest cases[] = {
      {"no workspace",
       {.Headers = "", .Body = draftBody(2)},
       400,
       "bad_request"},
      {"unknown workspace", workspace("nobody"), 403, "unknown_workspace"},
      {"binary workspace", workspace(Binary), 400, "bad_request"},
      {"long workspace", workspace(std::string(5000, 'a')), 400, "bad_request"},
      {"deadline 0", deadline("0"), 504, "deadline_too_short"},
      {"far past", deadline("-9223372036854775808"), 504, "deadline_too_short"},
      {"over 64 bits", deadline("99999999999999999999"), 400, "bad_request"},
      {"no number", deadline("soon"), 400, "bad_request"},
      {"fraction", deadline("1.5"), 400, "bad_request"},
      {"binary deadline", deadline(Binary), 400, "bad_request"},
      {"binary key", booking(Binary), 400, "bad_request"},
      {"long key", booking(std::string(5000, 'a')), 400, "bad_request"},
      {"binary type", status(Bookings + "/o-1", "Content-Type: \xff\r\n"), 400,
       "bad_request"},
  };
  for (const RefusedRequest &it : cases)
    check(entry(), it);
}

BOOST_AUTO_TEST_CASE(target_malformed_isRefused) {
  const RefusedRequest cases[] = {
      {"binary path", status("/v1/" + Binary), 404, "not_found"},
      {"binary service", status("/v1/services/\xff/x"), 400, "bad_request"},
      {"binary service path", status(Bookings + "/\xff\xfe"), 400,
       "bad_request"},
      {"control byte", status(Bookings + "/\x01"), 400, "bad_request"},
      {"binary query", status(Bookings + "/o-1?a=\xff"), 400, "bad_request"},
      {"no service", status("/v1/services//x"), 404, "not_found"},
      {"unknown service", status("/v1/services/x"), 404, "unknown_group"},
      {"draft by GET", status("/v1/completions"), 400, "bad_request"},
  };
  for (const RefusedRequest &it : cases)
    check(entry(), it);
}

BOOST_AUTO_TEST_CASE(length_ambiguous_isRefusedAndClosed) {
  const std::string second = bytesOf(status("/healthz"));
  const std::string two = "Content-Length: 2\r\n";
  const RefusedRequest cases[] = {
      {"twice",
       {.Headers = Members + two, .Body = draftBody(2)},
       400,
       "bad_request"},
      {"DELETE with a body",
       {.Method = "DELETE", .Target = Bookings + "/o-1", .Body = second},
       400,
       "bad_request"},
      {"GET with a body",
       {.Method = "GET", .Target = Bookings + "/o-1", .Body = second},
       400,
       "bad_request"},
  };
  for (const RefusedRequest &it : cases) {
    BOOST_TEST_CONTEXT(it.What) {
      RawConnection connection(entry());
      connection.send(bytesOf(it.Request));
      std::string text = connection.readUntil("");
      BOOST_TEST(text.starts_with("HTTP/1.1 400 "));
      BOOST_TEST(text.find(R"("kind":"bad_request")") != std::string::npos);
      // The entry read no part of the body as another request.
      BOOST_TEST(text.find("HTTP/1.1", 1) == std::string::npos);
      BOOST_TEST(connection.waitForClose());
    }
  }
}

BOOST_AUTO_TEST_CASE(deadline_huge_isLimitedToMaximum) {
  for (const char *it : {"9223372036854775807", "4294967296"})
    BOOST_TEST(answerTo(entry(), bytesOf(deadline(it))).Status == 200);
}

// libevent refuses these requests itself: it sends its own error page or closes
// the connection.
BOOST_AUTO_TEST_CASE(request_unreadable_isRefusedByLibrary) {
  const std::string post = "POST /v1/completions HTTP/1.1\r\n" + Members;
  const std::pair<const char *, std::string> cases[] = {
      {"1 GB declared", post + "Content-Length: 1000000000\r\n\r\n{"},
      {"over 64 bits", post + "Content-Length: 99999999999999999999\r\n\r\n"},
      {"negative", post + "Content-Length: -1\r\n\r\n"},
      {"no number", post + "Content-Length: many\r\n\r\n"},
      {"length and chunks", post + "Content-Length: 2\r\nTransfer-Encoding: "
                                   "chunked\r\n\r\n0\r\n\r\n"},
      {"huge chunk", post + "Transfer-Encoding: chunked\r\n\r\n3b9aca00\r\n{"},
      {"bad chunk", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n{"},
      {"no method", "\r\n\r\n"},
      {"garbage", Binary + Binary + "\r\n\r\n"},
      {"unknown method", "BREW /v1/completions HTTP/1.1\r\n\r\n"},
      {"no version", "GET /healthz\r\n\r\n"},
      {"TLS", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11) +
                  "\r\n\r\n"},
      {"header without name", "GET /healthz HTTP/1.1\r\n: x\r\nx\r\n\r\n"},
  };
  for (const auto &[what, bytes] : cases)
    BOOST_TEST_CONTEXT(what) {
      RawConnection connection(entry());
      connection.send(bytes);
      std::string text = connection.readUntil("\r\n\r\n");
      BOOST_TEST((text.empty() || text.starts_with("HTTP/1.1 4") ||
                  text.starts_with("HTTP/1.1 5")),
                 text.substr(0, 40));
      BOOST_TEST(connection.waitForClose());
    }
}

BOOST_AUTO_TEST_SUITE_END()
