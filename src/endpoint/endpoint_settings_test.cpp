#include "greengagespar/endpoint/endpoint_settings.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;

BOOST_AUTO_TEST_SUITE(EndpointSettingsSuite)

BOOST_AUTO_TEST_CASE(endpointSettings_printedDefaults_readBackEqual) {
  const Schema<EndpointSettings> &schema = endpointSettingsSchema();
  EndpointSettings defaults = defaultEndpointSettings();
  defaults.Kind = UpstreamKind::Service;
  std::string text = printSettings(schema, "x", defaults);
  Findings findings;
  EndpointSettings back;
  readObject(schema, *parseDocument(text, findings), "", back, findings);
  completeEndpointSettings(back, findings);
  BOOST_TEST(findings.empty());
  BOOST_TEST((back.Kind == UpstreamKind::Service));
  BOOST_TEST((writeObject(schema, back) == writeObject(schema, defaults)));
}

BOOST_AUTO_TEST_CASE(completeEndpointSettings_linkIsUpstream_isRefused) {
  EndpointSettings settings = defaultEndpointSettings();
  settings.Link = settings.Upstream;
  Findings findings;
  completeEndpointSettings(settings, findings);
  BOOST_TEST(findings.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
