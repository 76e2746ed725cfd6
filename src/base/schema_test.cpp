#include "greengagespar/base/schema.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using std::chrono::milliseconds;

namespace {

struct Inner {
  ServerId Id;
  bool Leaving = false;
};

struct Outer {
  HostId Name;
  Address Listen;
  int Count = 5;
  milliseconds Wait{100};
  double Weight = 0.5;
  std::optional<double> Rate;
  std::string Mode = "fast";
  std::vector<Inner> Items;
};

const Schema<Inner> InnerSchema{
    {field("id", &Inner::Id, identifier<ServerId>("a server"),
           Presence::Required, "Id."),
     field("leaving", &Inner::Leaving, boolean(), Presence::Optional,
           "Whether it leaves.")}};

const Schema<Outer> OuterSchema{
    {field("name", &Outer::Name, identifier<HostId>("a host"),
           Presence::Required, "Name."),
     field("listen", &Outer::Listen, ipPort(), Presence::Required, "Address."),
     field("count", &Outer::Count, wholeNumber("items", {1, 10}),
           Presence::Optional, "Count."),
     field("wait_ms", &Outer::Wait, millisecondCount(1, 1000),
           Presence::Optional, "Time."),
     field("weight", &Outer::Weight, decimalNumber({0, 1}, true),
           Presence::Optional, "Weight."),
     field("rate", &Outer::Rate, optional(decimalNumber({0, 1000})),
           Presence::Optional, "Rate."),
     field("mode", &Outer::Mode, choice({"fast", "slow"}), Presence::Optional,
           "Mode."),
     field("items", &Outer::Items, listOf(InnerSchema, 2), Presence::Optional,
           "Items.")}};

// Parses a document and returns the error message, or "" if it is accepted.
std::string refusal(const std::string &document) {
  return recoverFrom(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(parseSettings(OuterSchema, document, "x"));
        return std::string();
      },
      [](const Error &e) {
        BOOST_TEST((e.Kind == ErrorKind::BadSettings));
        return e.Message;
      });
}

// Returns a valid document with the keys \p more added.
std::string withKeys(const std::string &more) {
  return R"({"name": "a", "listen": "127.0.0.1:1", )" + more + "}";
}

struct BadCase {
  std::string Document;
  std::string Message;
};

void checkRefusals(const std::vector<BadCase> &cases) {
  for (const BadCase &it : cases)
    BOOST_TEST(refusal(it.Document) == "x: " + it.Message);
}

} // namespace

BOOST_AUTO_TEST_SUITE(SchemaSuite)

BOOST_AUTO_TEST_CASE(parseSettings_commentsAndTrailingCommas_areAccepted) {
  BOOST_TEST(refusal("// a\n" + withKeys("/* b */ \"count\": 3.0,") + "// c") ==
             "");
}

BOOST_AUTO_TEST_CASE(parseSettings_badDocument_reportsFault) {
  std::string tooDeep(40, '[');
  std::string json = "JSON, comments allowed";
  checkRefusals({
      {"", "found an empty document, expected a JSON object"},
      {" \n ", "found an empty document, expected a JSON object"},
      {std::string(10 << 20, 'x'),
       "found more than 1 MiB, expected at most 1 MiB of JSON"},
      {std::string("{\n\0}", 4),
       "found a binary byte at line 2, column 1, expected JSON text"},
      {tooDeep, "found more than 32 levels of nesting, expected at most 32 "
                "levels"},
      {"{\n  \"a\" 1}",
       "found syntax error at line 2, column 7, expected " + json},
      {"{\"a\": 1",
       "found incomplete JSON at line 1, column 8, expected " + json},
      {"{} {}", "found extra data at line 1, column 4, expected " + json},
      {"\xff\xfe{}",
       "found syntax error at line 1, column 1, expected " + json},
      {"[1]", "found a list, expected an object"},
      {withKeys(R"("count": 1, "count": 2)"),
       "count: found the key twice, expected each key once"},
      {withKeys(R"("items": [{"id": "b", "id": "c"}])"),
       "items.id: found the key twice, expected each key once"},
  });
}

BOOST_AUTO_TEST_CASE(parseSettings_badValue_reportsFoundAndExpected) {
  std::string address =
      "expected an IP address and port such as \"127.0.0.1:7001\"";
  std::string count = "expected a whole number of items from 1 to 10";
  checkRefusals({
      {withKeys(R"("count": "5")"), "count: found text \"5\", " + count},
      {withKeys(R"("count": 0)"), "count: found number 0, " + count},
      {withKeys(R"("count": 11)"), "count: found number 11, " + count},
      {withKeys(R"("count": 18446744073709551615)"),
       "count: found number 18446744073709551615, " + count},
      {withKeys(R"("count": null)"), "count: found null, " + count},
      {withKeys(R"("wait_ms": true)"),
       "wait_ms: found true, expected a whole number of milliseconds from 1 to "
       "1000"},
      {withKeys(R"("weight": 0)"),
       "weight: found number 0, expected a number over 0 and under 1"},
      {withKeys(R"("weight": 1.0)"),
       "weight: found number 1, expected a number over 0 and under 1"},
      {withKeys(R"("rate": {})"),
       "rate: found an object, expected a number over 0 and at most 1000"},
      {withKeys(R"("mode": "fats")"),
       R"(mode: found text "fats", expected one of "fast", "slow")"},
      {withKeys(R"("cuont": 5)"),
       "cuont: found an unknown key, expected a known key; the nearest is "
       "\"count\""},
      {withKeys(R"("items": [{"id": "b"}, {"leaving": 1}])"),
       "items[1].id: found nothing, expected the name of a server: 1 to 63 of "
       "a-z, 0-9, . and - (required); items[1].leaving: found number 1, "
       "expected true or false"},
      {withKeys(R"("items": [{}, {}, {}])"),
       "items: found 3 items, expected a list of at most 2 objects"},
      {R"({"name": "a", "listen": "localhost:80"})",
       "listen: found text \"localhost:80\", " + address},
      {R"({"name": "A b", "listen": "127.0.0.1:1"})",
       "name: found text \"A b\", expected the name of a host: 1 to 63 of a-z, "
       "0-9, . and -"},
      {R"({"name": "a"})", "listen: found nothing, " + address + " (required)"},
  });
}

BOOST_AUTO_TEST_CASE(parseSettings_manyFaults_listsBoundedFindings) {
  std::string keys;
  for (int i = 0; i < 1000; ++i)
    keys += "\"" + std::string(200, 'z') + std::to_string(i) + "\": 1,";
  std::string message = refusal(withKeys(keys));
  BOOST_TEST(message.size() > 1000u);
  BOOST_TEST(message.size() < MaxFindings * 300);
}

BOOST_AUTO_TEST_CASE(printSettings_anyValues_isValidInput) {
  Outer values;
  values.Name = {"a"};
  values.Listen = {"[::1]:80"};
  values.Count = 7;
  values.Items = {{{"s"}, true}};
  std::string text = printSettings(OuterSchema, "Title", values);
  BOOST_TEST(refusal(text) == "");
  Findings findings;
  Outer back;
  readObject(OuterSchema, *parseDocument(text, findings), "", back, findings);
  BOOST_TEST(
      (writeObject(OuterSchema, back) == writeObject(OuterSchema, values)));
  BOOST_TEST(text.find("// Count.") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(nearestName_transposedLetters_findsKnownName) {
  BOOST_TEST(nearestName("max_boyd", {"listen", "max_body", "max_queue"}) ==
             "max_body");
  BOOST_TEST(nearestName("x", {}) == "");
}

BOOST_AUTO_TEST_SUITE_END()
