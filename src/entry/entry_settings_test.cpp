#include "greengagespar/entry/entry_settings.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;

BOOST_AUTO_TEST_SUITE(EntrySettingsSuite)

BOOST_AUTO_TEST_CASE(entrySettings_printedDefaults_readBackEqual) {
  const Schema<EntrySettings> &schema = entrySettingsSchema();
  std::string text = printSettings(schema, "x", defaultEntrySettings());
  Findings findings;
  EntrySettings back;
  readObject(schema, *parseDocument(text, findings), "", back, findings);
  completeEntrySettings(back, findings);
  BOOST_TEST(findings.empty());
  BOOST_TEST((back.Advertise == back.Listen));
  back.Advertise = {};
  BOOST_TEST((writeObject(schema, back) ==
              writeObject(schema, defaultEntrySettings())));
}

BOOST_AUTO_TEST_CASE(completeEntrySettings_noAdvertise_usesListen) {
  EntrySettings settings = defaultEntrySettings();
  settings.Advertise = {};
  Findings findings;
  completeEntrySettings(settings, findings);
  BOOST_TEST((settings.Advertise == settings.Listen));
}

BOOST_AUTO_TEST_CASE(completeEntrySettings_linkIsListen_isRefused) {
  EntrySettings settings = defaultEntrySettings();
  settings.Link = settings.Listen;
  Findings findings;
  completeEntrySettings(settings, findings);
  BOOST_TEST(findings.size() == 1u);
}

BOOST_AUTO_TEST_CASE(completeEntrySettings_ownOrRepeatedPeer_isRefused) {
  EntrySettings settings = defaultEntrySettings();
  settings.Peers = {{"127.0.0.1:7002"}, settings.Link, {"127.0.0.1:7002"}};
  Findings findings;
  completeEntrySettings(settings, findings);
  BOOST_REQUIRE(findings.size() == 2u);
  BOOST_TEST(findings[0].Path == "peers[1]");
  BOOST_TEST(findings[1].Path == "peers[2]");
}

BOOST_AUTO_TEST_CASE(entrySettings_peers_areReadAndChecked) {
  Findings findings;
  EntrySettings settings;
  auto value = writeObject(entrySettingsSchema(), defaultEntrySettings());
  value["peers"] = boost::json::array{"127.0.0.1:7002", "no address"};
  readObject(entrySettingsSchema(), value, "", settings, findings);
  BOOST_REQUIRE(findings.size() == 1u);
  BOOST_TEST(findings[0].Path == "peers[1]");
  BOOST_TEST((settings.Peers.at(0) == Address{"127.0.0.1:7002"}));
}

BOOST_AUTO_TEST_SUITE_END()
